use {
    crate::names::*,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// A contract: the row for one client account, service and failure domain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// The client account that the row is for.
    pub account: ClientAccount,
    /// The service that the row is for.
    pub service: ServiceName,
    /// The failure domain that the row is for.
    pub failure_domain: FailureDomain,
    /// Weight of the account in fair queueing, 1 to 1,000.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Requests admitted per second in this failure domain.
    #[serde(default = "default_rate")]
    pub rate: f64,
    /// Concurrent requests admitted in this failure domain.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
    /// Prompt and answer tokens admitted per second; 0 means no limit.
    #[serde(default)]
    pub tokens_per_s: f64,
    /// Target for the time to the first token, or to the answer of a plain call, in milliseconds.
    #[serde(default = "default_first_token_ms")]
    pub first_token_ms: u32,
    /// Target for the time between tokens, in milliseconds.
    #[serde(default = "default_between_tokens_ms")]
    pub between_tokens_ms: u32,
    /// Share of requests that should meet the targets, from 0 to 0.99999.
    #[serde(default = "default_objective")]
    pub objective: f64,
    /// Share of the row's requests that each policy gets, as a relative weight.
    #[serde(default = "default_policies")]
    pub policies: BTreeMap<PolicyName, u32>,
    /// Class of the boxes on which the row's requests may run.
    #[serde(default)]
    pub class: ClassPreference,
    /// Retries allowed per admitted request, 0 to 1.
    #[serde(default = "default_retry_budget")]
    pub retry_budget: f64,
    /// True if calls may be repeated unless the caller says otherwise.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
    /// Priority that is passed to engines; higher goes first.
    #[serde(default)]
    pub priority: u8,
}

/// The class of boxes on which the requests of a row may run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClassPreference {
    /// Any class; price and risk decide.
    #[default]
    Any,
    /// On-demand boxes only.
    OnDemand,
    /// Reclaimable boxes only.
    Reclaimable,
}

/// A client account with the hashes of its bearer tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountEntry {
    /// Name of the account.
    pub name: ClientAccount,
    /// SHA-256 of each valid bearer token, in hexadecimal.
    pub token_sha256: Vec<String>,
}

fn default_weight() -> u32 {
    1
}

fn default_rate() -> f64 {
    100.0
}

fn default_concurrency() -> u32 {
    64
}

fn default_first_token_ms() -> u32 {
    400
}

fn default_between_tokens_ms() -> u32 {
    46
}

fn default_objective() -> f64 {
    0.95
}

fn default_policies() -> BTreeMap<PolicyName, u32> {
    BTreeMap::from([(PolicyName::from("cheapest-on-target"), 1)])
}

fn default_retry_budget() -> f64 {
    0.1
}

fn default_repeatable() -> bool {
    true
}
