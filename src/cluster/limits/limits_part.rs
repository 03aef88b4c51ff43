use {
    crate::{
        names::UpstreamId,
        policy::{KnownLimit, RequestRate},
    },
    bincode::{Decode, Encode},
};

/// Limits that upstreams name, as a daemon announces them. An announcement that is repeated, or
/// arrives out of order, changes nothing.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct LimitsPart {
    /// True if a hub sends the limits to other hubs, which forward them only to the daemons that
    /// report to them.
    pub among_hubs: bool,
    /// The announced limits.
    pub limits: Vec<AnnouncedLimit>,
}

/// An upstream's limit as it is announced.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct AnnouncedLimit {
    /// The id of the upstream.
    pub upstream: String,
    /// The limit in requests per second; none if the upstream no longer names one.
    pub per_s: Option<f64>,
    /// The number of known changes of the limit.
    pub version: u64,
    /// The age of the answer that named the limit, in milliseconds.
    pub age_ms: u32,
}

impl AnnouncedLimit {
    /// Creates the wire form of a known limit.
    pub fn of(known: &KnownLimit) -> Self {
        Self {
            upstream: known.upstream.to_string(),
            per_s: known.rate.map(RequestRate::per_s),
            version: known.version,
            age_ms: u32::try_from(known.age_ms).unwrap_or(u32::MAX),
        }
    }

    /// Returns the limit that the wire form describes; none if the rate is invalid.
    pub fn to_known(&self) -> Option<KnownLimit> {
        let rate = match self.per_s {
            Some(per_s) => Some(RequestRate::new(per_s)?),
            None => None,
        };
        Some(KnownLimit {
            upstream: UpstreamId::from(self.upstream.as_str()),
            rate,
            version: self.version,
            age_ms: u64::from(self.age_ms),
        })
    }
}
