/// Phase of a daemon, which decides whether it accepts new clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GatewayPhase {
    /// The daemon lacks a configuration or the list of upstreams, and accepts no clients.
    Starting,
    /// The daemon accepts clients.
    Ready,
    /// A planned stop has begun: the daemon finishes the requests in flight.
    Stopping,
}
