use serde::Deserialize;

/// Mechanisms that can be switched one by one, to measure the effect of each. All but the queue for
/// room and the balance between failure domains are on by default.
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
    /// Learn the speed of each upstream and use it for placement; if off, all upstreams of a
    /// service count as equally fast.
    pub upstream_speeds: bool,
    /// Count the tokens that running requests hold in an upstream's memory, where the configuration
    /// states its size; if off, placement considers only slots and the tokens to read.
    pub upstream_memory: bool,
    /// Let requests wait at their hub, in the order of their urgency, while no upstream can begin
    /// with them soon; if off, all are sent at once. Off by default: while upstreams are lost, hubs
    /// learn of room at the others too late to make full use of it.
    pub room_queue: bool,
    /// Admit requests of a client account that exceeds its quota in the order of their urgency, and
    /// tell a refused request when it will be admitted; if off, the order of arrival decides.
    pub quota_order: bool,
    /// Keep requests in the failure domain of their callers as long as it serves them in time, and
    /// send the others to domains that announce room; if off, the least cost over all domains
    /// decides.
    pub domain_balance: bool,
    /// Send requests through another daemon to upstreams that only this daemon can't reach; if off, they
    /// go to other upstreams, or are refused.
    pub relays: bool,
    /// Continue to read answers from upstreams while their clients don't read, as far as there is
    /// memory; if off, an upstream waits for the client.
    pub read_ahead: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self {
            learned_speed: true,
            quota_slack: true,
            held_requests: true,
            homes: true,
            upstream_speeds: true,
            upstream_memory: true,
            room_queue: false,
            quota_order: true,
            domain_balance: false,
            relays: true,
            read_ahead: true,
        }
    }
}
