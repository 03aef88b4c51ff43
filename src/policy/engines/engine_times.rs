/// Engine times that a daemon assumes when it chooses an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineTimes {
    /// How long an engine takes to prefill a prompt token, in milliseconds.
    pub ms_per_token: f64,
    /// Time to the first event of a request that doesn't wait, in milliseconds.
    pub first_event_ms: f64,
    /// How long a request stays at an upstream, in milliseconds.
    pub stay_ms: f64,
}
