use {
    crate::{contracts::ClassPreference, engine::PlainCall, names::*},
    serde::{Deserialize, Serialize},
};

/// The specification of a request, with everything that a box needs to take it over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestSpec {
    /// The identifier of the request.
    pub id: RequestId,
    /// The client account that sent it.
    pub account: ClientAccount,
    /// The service that runs it.
    pub service: ServiceName,
    /// The work to do.
    pub work: Work,
    /// True if the request may run more than once.
    pub repeatable: bool,
    /// The deadline after which the answer is useless, in Unix milliseconds.
    pub deadline_ms: u64,
    /// When the request was accepted, in Unix milliseconds.
    pub accepted_at_ms: u64,
    /// The policy that places the request.
    pub policy: PolicyName,
    /// The terms of the contract under which it was accepted.
    pub terms: Terms,
    /// How many times the request was forwarded to another box before it ran.
    pub hops: u8,
}

/// The terms of a contract that apply to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    /// Target for the time to the first token, in milliseconds.
    pub first_token_ms: u32,
    /// Target for the time between tokens, in milliseconds.
    pub between_tokens_ms: u32,
    /// The preferred class of box.
    pub class: ClassPreference,
    /// Retries allowed per admitted request.
    pub retry_budget: f64,
    /// The priority that is passed to engines.
    pub priority: u8,
}

/// The work of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Work {
    /// A model call.
    Model(ModelWork),
    /// A call to a plain service.
    Plain(PlainCall),
}

/// The work of a model call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelWork {
    /// The prompt.
    pub prompt: String,
    /// Maximum length of the answer, in tokens.
    pub max_tokens: u32,
    /// True if the answer has the chat format.
    pub chat: bool,
}

impl RequestSpec {
    /// Returns the work of a model call, or `None` for a call to a plain service.
    pub fn model(&self) -> Option<&ModelWork> {
        match &self.work {
            Work::Model(work) => Some(work),
            Work::Plain(_) => None,
        }
    }

    /// Estimates the memory that the request takes, in bytes.
    pub fn bytes(&self) -> usize {
        match &self.work {
            Work::Model(work) => work.prompt.len(),
            Work::Plain(call) => call.body.len() + call.path.len(),
        }
    }
}
