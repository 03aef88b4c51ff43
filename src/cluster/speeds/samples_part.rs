use {
    crate::{names::UpstreamId, policy::SpeedSample},
    bincode::{Decode, Encode},
};

/// Samples of upstreams' speeds, as a daemon sends them to its hub. Each is sent once: a lost sample
/// only makes an estimate slightly less precise.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct SamplesPart {
    /// The name of the daemon that sends them.
    pub name: String,
    /// The daemon's incarnation.
    pub incarnation: u64,
    /// The samples, numbered in order, so that each is applied once.
    pub samples: Vec<(u64, AnnouncedSample)>,
}

/// The wire form of a [`SpeedSample`].
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct AnnouncedSample {
    /// The id of the upstream.
    pub upstream: String,
    /// The prompt tokens of other requests that waited there.
    pub waiting_tokens: u32,
    /// The prompt tokens of the request that the upstream had to read.
    pub unread_tokens: u32,
    /// The time to the first event of the answer, in milliseconds.
    pub after_ms: f32,
}

impl AnnouncedSample {
    /// Creates the wire form of a sample.
    pub fn of(sample: &SpeedSample) -> Self {
        let capped = |tokens| u32::try_from(tokens).unwrap_or(u32::MAX);
        Self {
            upstream: sample.upstream.to_string(),
            waiting_tokens: capped(sample.waiting_tokens),
            unread_tokens: capped(sample.unread_tokens),
            after_ms: sample.after_ms as f32,
        }
    }

    /// Returns the sample.
    pub fn to_sample(&self) -> SpeedSample {
        SpeedSample {
            upstream: UpstreamId::from(self.upstream.as_str()),
            waiting_tokens: u64::from(self.waiting_tokens),
            unread_tokens: u64::from(self.unread_tokens),
            after_ms: f64::from(self.after_ms),
        }
    }
}
