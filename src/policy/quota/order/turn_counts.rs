/// What became of the turns inside quotas since the daemon started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TurnCounts {
    /// Turns given to refused requests.
    pub given: u64,
    /// Requests that came at their turn and were admitted.
    pub kept: u64,
    /// Requests that came at their turn and had to wait again.
    pub missed: u64,
    /// Requests that came before their turn.
    pub early: u64,
    /// Turns that nobody took up.
    pub lapsed: u64,
}
