use {
    crate::{contracts::ClassPreference, engine::PlainCall, names::*},
    serde::{Deserialize, Serialize},
};

/// What a request asks for, with all that a box needs to go on with it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestSpec {
    /// The request.
    pub id: RequestId,
    /// Who sent it.
    pub account: ClientAccount,
    /// The service.
    pub service: ServiceName,
    /// The work.
    pub work: Work,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// When its answer is worth nothing any more, in Unix milliseconds.
    pub deadline_ms: u64,
    /// When it was accepted, in Unix milliseconds.
    pub accepted_at_ms: u64,
    /// The policy that places it.
    pub policy: PolicyName,
    /// The contract's terms.
    pub terms: Terms,
    /// How often it was sent on before it ran.
    pub hops: u8,
}

/// The terms of a contract that go with a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    /// Target for the first token, in milliseconds.
    pub first_token_ms: u32,
    /// Target between tokens, in milliseconds.
    pub between_tokens_ms: u32,
    /// The class of box.
    pub class: ClassPreference,
    /// Retries allowed per admitted request.
    pub retry_budget: f64,
    /// The priority passed to engines.
    pub priority: u8,
}

/// The work of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Work {
    /// An answer of a model.
    Model(ModelWork),
    /// A call to a plain service.
    Plain(PlainCall),
}

/// What a model is asked.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelWork {
    /// The prompt.
    pub prompt: String,
    /// Length of the answer, in tokens.
    pub max_tokens: u32,
    /// Whether the answer has the form of a chat.
    pub chat: bool,
}

impl RequestSpec {
    /// Returns the model's work, if it is one.
    pub fn model(&self) -> Option<&ModelWork> {
        match &self.work {
            Work::Model(work) => Some(work),
            Work::Plain(_) => None,
        }
    }

    /// Returns about how many bytes the request takes in memory.
    pub fn bytes(&self) -> usize {
        match &self.work {
            Work::Model(work) => work.prompt.len(),
            Work::Plain(call) => call.body.len() + call.path.len(),
        }
    }
}
