/// A client account's limit, in units.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimit {
    /// Units a second.
    pub rate: f64,
    /// What may come on top of the rate at once.
    pub burst: f64,
    /// By how much a window may be exceeded: for what daemons let in before
    /// they hear of each other, never to be used for good.
    pub slack: f64,
}
