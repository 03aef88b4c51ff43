use crate::{
    cluster::{Extension, RequestUrgency},
    names::UpstreamVersion,
};

/// What a daemon states of a request beside its admission query. Builds that don't know a term leave it
/// out, or ignore it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueryTerms {
    /// The urgency of the request.
    pub urgency: Option<RequestUrgency>,
    /// The software version of the only upstreams that may run the request: it continues a stream that
    /// this version began.
    pub version: Option<UpstreamVersion>,
}

impl QueryTerms {
    /// Reads the terms from the extensions of a query.
    pub(in crate::cluster) fn of(extensions: &[Extension]) -> Self {
        let mut terms = Self::default();
        for extension in extensions {
            match extension {
                Extension::Urgency(urgency) => terms.urgency = Some(*urgency),
                Extension::OnlyVersion(version) => terms.version = Some(version.as_str().into()),
                _ => {}
            }
        }
        terms
    }

    /// Returns the extensions that state the terms.
    pub(in crate::cluster) fn to_extensions(&self) -> Vec<Extension> {
        let version = self.version.as_ref().map(ToString::to_string);
        let urgency = self.urgency.map(Extension::Urgency);
        let version = version.map(Extension::OnlyVersion);
        urgency.into_iter().chain(version).collect()
    }
}
