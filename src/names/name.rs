use {
    serde::{Deserialize, Serialize},
    std::{borrow::Borrow, fmt, sync::Arc},
};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(s: &str) -> Self {
                Self(Arc::from(s))
            }
        }

        impl Default for $name {
            fn default() -> Self {
                Self::from("")
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

name_type! {
    /// The name of a box, assigned by the platform; no two boxes have the same name at a time.
    BoxId
}
name_type! {
    /// The name of a failure domain: boxes that can be reclaimed or cut off together.
    FailureDomain
}
name_type! {
    /// The name of a client account, as in the table.
    ClientAccount
}
name_type! {
    /// The name of a service: a model service or a plain one.
    ServiceName
}
name_type! {
    /// The version of an upstream's software.
    UpstreamVersion
}
name_type! {
    /// The name of a placement policy.
    PolicyName
}
name_type! {
    /// The id of one incarnation of an upstream; each restart gets a new one, even if the
    /// upstream keeps its own id.
    UpstreamId
}
