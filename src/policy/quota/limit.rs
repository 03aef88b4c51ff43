/// The token bucket of a client account, in units of request cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimit {
    /// Units that the bucket gains per second.
    pub rate: f64,
    /// Capacity of the bucket, in units.
    pub burst: f64,
    /// Units by which the admissions of a window may exceed the quota. It covers what daemons
    /// admit before they receive each other's notices, and must not become a permanent
    /// addition to the rate.
    pub slack: f64,
}
