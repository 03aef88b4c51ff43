use {
    crate::{
        names::UpstreamId,
        policy::{KnownLimit, RequestRate},
    },
    bincode::{Decode, Encode},
};

/// Limits that upstreams name, as a daemon tells others. What is told again, or out of
/// order, changes nothing.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct LimitsPart {
    /// Whether a hub tells other hubs: these tell only those that report to them.
    pub among_hubs: bool,
    /// The limits.
    pub limits: Vec<AnnouncedLimit>,
}

/// An upstream's limit as it is announced.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct AnnouncedLimit {
    /// The upstream.
    pub upstream: String,
    /// Requests a second; none if it names no limit any more.
    pub per_s: Option<f64>,
    /// How many times it is known to have changed.
    pub version: u64,
    /// How old the answer is that said so, in milliseconds.
    pub age_ms: u32,
}

impl AnnouncedLimit {
    /// Makes the message of what is known.
    pub fn of(known: &KnownLimit) -> Self {
        Self {
            upstream: known.upstream.to_string(),
            per_s: known.rate.map(RequestRate::per_s),
            version: known.version,
            age_ms: u32::try_from(known.age_ms).unwrap_or(u32::MAX),
        }
    }

    /// Returns what is known by the message; none of a rate that can't be one.
    pub fn known(&self) -> Option<KnownLimit> {
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
