/// Whether a daemon takes new clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GatewayPhase {
    /// It lacks a configuration or upstreams.
    Starting,
    /// It takes clients.
    Ready,
    /// It will stop: it finishes what it has.
    Stopping,
}
