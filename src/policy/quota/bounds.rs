use {
    super::QuotaLimit,
    crate::{conf::not_negative, routing::AccountTerms},
    serde::Deserialize,
};

/// How exactly quotas have to hold over all daemons together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct QuotaBounds {
    /// The length of a window over which they have to hold, in seconds.
    #[serde(deserialize_with = "not_negative")]
    pub window_s: f64,
    /// By which share of what a window allows it may be exceeded.
    #[serde(deserialize_with = "not_negative")]
    pub overshoot: f64,
    /// By how many units more.
    #[serde(deserialize_with = "not_negative")]
    pub tolerance: f64,
}

impl QuotaBounds {
    /// Returns a client account's limit.
    pub fn limit_of(&self, terms: &AccountTerms) -> QuotaLimit {
        let (rate, burst) = (terms.rate_per_s, terms.burst);
        let window = rate * self.window_s + burst;
        QuotaLimit {
            rate,
            burst,
            slack: window * self.overshoot + self.tolerance,
        }
    }
}
