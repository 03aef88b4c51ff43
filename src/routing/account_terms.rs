use {
    crate::names::ClientAccount,
    serde::{Deserialize, Serialize},
};

/// A client account, its keys and its quota.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountTerms {
    /// The name.
    pub name: ClientAccount,
    /// The keys that name the client account.
    pub keys: Vec<String>,
    /// The rank of its requests; goes before the route's.
    #[serde(default)]
    pub priority: Option<u8>,
    /// The quota: units a second over all daemons; 0 for no limit.
    #[serde(default)]
    pub rate_per_s: f64,
    /// What may come on top of the rate at once, in units.
    #[serde(default)]
    pub burst: f64,
    /// What a request without a token count costs, in units.
    #[serde(default = "one_unit")]
    pub plain_cost: f64,
    /// Whether requests cost their tokens; else each costs one unit.
    #[serde(default)]
    pub counts_tokens: bool,
}

fn one_unit() -> f64 {
    1.0
}

impl AccountTerms {
    /// Returns what a request costs, given its tokens if it names them.
    pub fn cost(&self, tokens: Option<u64>) -> f64 {
        match tokens {
            _ if !self.counts_tokens => 1.0,
            Some(tokens) => tokens as f64,
            None => self.plain_cost,
        }
    }
}
