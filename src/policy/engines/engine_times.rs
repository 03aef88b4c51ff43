/// What a daemon reckons with when it chooses an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineTimes {
    /// How long an engine takes to read a prompt token, in milliseconds.
    pub ms_per_token: f64,
    /// How long a first event takes where nothing waits, in milliseconds.
    pub first_event_ms: f64,
    /// How long a request stays, in milliseconds.
    pub stay_ms: f64,
}
