use {
    crate::{
        names::UpstreamVersion,
        policy::{KnownVersions, SeenVersions},
    },
    bincode::{Decode, Encode},
};

/// A daemon's query for the software version that began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct OriginQuery {
    /// The incarnation of the daemon that sends the query.
    pub incarnation: u64,
    /// The number of the query, unique within the incarnation.
    pub id: u64,
    /// The service of the stream.
    pub service: String,
    /// The hash of the id of the attempt that brought the first event.
    pub attempt: u64,
}

/// The answer to an [`OriginQuery`]. [`Extension::AloneVersion`](crate::cluster::Extension::AloneVersion)
/// goes with it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct OriginAnswer {
    /// The incarnation of the daemon that sent the query.
    pub incarnation: u64,
    /// The number of the query.
    pub id: u64,
    /// The version; none if the daemon does not know the stream.
    pub version: Option<String>,
    /// How many versions of the service the daemon has seen; see [`OriginAnswer::seen`].
    pub seen: u8,
}

/// An answer as received, with what goes with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedOrigin {
    /// The version that began the stream, if the daemon knows it.
    pub version: Option<UpstreamVersion>,
    /// What the daemon knows of the versions of the service.
    pub versions: KnownVersions,
}

const UNSURE: u8 = 0;
const ONE: u8 = 1;
const SEVERAL: u8 = 2;

impl OriginAnswer {
    /// Returns the encoded form of how many versions were seen.
    pub fn code_of(seen: SeenVersions) -> u8 {
        match seen {
            SeenVersions::Unsure => UNSURE,
            SeenVersions::One => ONE,
            SeenVersions::Several => SEVERAL,
        }
    }

    /// Returns how many versions of the service the daemon has seen.
    pub fn seen(&self) -> SeenVersions {
        match self.seen {
            ONE => SeenVersions::One,
            SEVERAL => SeenVersions::Several,
            _ => SeenVersions::Unsure,
        }
    }

    /// Returns the answer with the version that the daemon knows to have served alone, if it names one.
    pub fn received(&self, alone: Option<&str>) -> ReceivedOrigin {
        ReceivedOrigin {
            version: self.version.as_deref().map(UpstreamVersion::from),
            versions: KnownVersions {
                seen: self.seen(),
                alone: alone.map(UpstreamVersion::from),
            },
        }
    }
}
