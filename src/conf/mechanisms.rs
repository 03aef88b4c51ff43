use serde::Deserialize;

/// Mechanisms that can be switched off, one by one, to measure what each is
/// worth (docs/DECISIONS.md has the table). All are on by default.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Mechanisms {
    /// Engines' reading speed is learned; else the first guess stays in force.
    pub learned_speed: bool,
    /// The slack of the quotas' bound covers what daemons have not heard yet.
    pub quota_slack: bool,
    /// Requests are held a little for their quota's turn and for the first
    /// configuration; else they are sent back at once.
    pub held_requests: bool,
    /// Prompts that share parts have a home among the upstreams that all daemons
    /// agree on; else each daemon goes by what it has sent where itself.
    pub homes: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self {
            learned_speed: true,
            quota_slack: true,
            held_requests: true,
            homes: true,
        }
    }
}
