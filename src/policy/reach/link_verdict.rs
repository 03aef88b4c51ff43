/// Why a daemon can't connect to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkVerdict {
    /// The daemon has lost its own path: another daemon reaches the upstream.
    OwnPath,
    /// Other daemons don't reach the upstream either.
    Upstream,
    /// No daemon that could tell has answered yet.
    Unknown,
}
