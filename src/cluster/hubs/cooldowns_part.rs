use {
    crate::names::UpstreamId,
    bincode::{Decode, Encode},
    std::time::Duration,
};

/// Upstreams in cooldown for a daemon, as it announces them to the hub that places its requests.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CooldownsPart {
    /// The upstreams in cooldown, each with its remaining time.
    pub cooldowns: Vec<AnnouncedCooldown>,
}

/// An upstream in cooldown for the daemon that announces it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct AnnouncedCooldown {
    /// The upstream's id.
    pub upstream: String,
    /// The remaining cooldown, in milliseconds.
    pub left_ms: u32,
}

impl AnnouncedCooldown {
    /// Creates the message for an upstream and its remaining cooldown, which is capped at
    /// [`u32::MAX`] milliseconds.
    pub fn of(id: &UpstreamId, left: Duration) -> Self {
        Self {
            upstream: id.to_string(),
            left_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// Returns the remaining cooldown.
    pub fn left(&self) -> Duration {
        Duration::from_millis(u64::from(self.left_ms))
    }
}
