use super::SentAway;

/// Where a request that its own failure domain can't serve in time is placed.
#[derive(Clone, Debug, PartialEq)]
pub enum SpreadDecision {
    /// It stays in its own domain.
    Stay,
    /// It goes to another domain.
    SendTo(SentAway),
    /// No domain is known to serve it in time: it goes to the upstream with the least cost in any domain.
    Anywhere,
}
