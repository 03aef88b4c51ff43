use {
    super::QuotaLimit,
    crate::{conf::not_negative, routing::AccountTerms},
    serde::Deserialize,
};

/// Settings that bound how far all daemons together may exceed a quota.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct QuotaBounds {
    /// Length of the windows over which the bound has to hold, in seconds.
    #[serde(deserialize_with = "not_negative")]
    pub window_s: f64,
    /// Share of a window's quota by which it may be exceeded.
    #[serde(deserialize_with = "not_negative")]
    pub overshoot: f64,
    /// Units by which a window's quota may be exceeded in addition.
    #[serde(deserialize_with = "not_negative")]
    pub tolerance: f64,
}

impl QuotaBounds {
    /// Returns the limit of a client account, with the slack that these bounds give it.
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
