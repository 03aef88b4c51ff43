use {
    crate::names::ClientAccount,
    serde::{Deserialize, Serialize},
};

/// A client account with its keys and its quota.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountTerms {
    /// The name of the client account.
    pub name: ClientAccount,
    /// The API keys that identify the client account.
    pub keys: Vec<String>,
    /// The priority of the account's requests; overrides the route's.
    #[serde(default)]
    pub priority: Option<u8>,
    /// The quota: units per second over all daemons; 0 for no limit.
    #[serde(default)]
    pub rate_per_s: f64,
    /// The burst allowed on top of the rate, in units.
    #[serde(default)]
    pub burst: f64,
    /// The cost of a request without a token count, in units.
    #[serde(default = "one_unit")]
    pub plain_cost: f64,
    /// True if a request costs its number of tokens; otherwise each costs one unit.
    #[serde(default)]
    pub counts_tokens: bool,
}

fn one_unit() -> f64 {
    1.0
}

impl AccountTerms {
    /// Returns the cost of a request in units; `tokens` is its token count, if it names one.
    pub fn cost(&self, tokens: Option<u64>) -> f64 {
        match tokens {
            _ if !self.counts_tokens => 1.0,
            Some(tokens) => tokens as f64,
            None => self.plain_cost,
        }
    }
}
