use serde::Deserialize;

/// Mechanisms that can be switched off one by one, to measure the effect of each. All are on by
/// default.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Mechanisms {
    /// Learn the prefill speed of engines; if off, the speed in `first_guess` stays in force.
    pub learned_speed: bool,
    /// Use the slack in the bound on quotas for admissions at other daemons that have not been
    /// announced yet; if off, quotas have no slack.
    pub quota_slack: bool,
    /// Hold requests for a short time until their quota admits them or the first configuration
    /// arrives; if off, they are refused at once.
    pub held_requests: bool,
    /// Give prompts that share parts a home upstream on which all daemons agree; if off, each
    /// daemon relies only on what it has itself sent to each upstream.
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
