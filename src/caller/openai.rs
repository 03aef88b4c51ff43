use {
    crate::{names::*, requests::*},
    serde::{Deserialize, Serialize},
};

const DEFAULT_MAX_TOKENS: u32 = 64;
/// The longest answer that can be asked for, in tokens.
pub const MAX_TOKENS: u32 = 32_768;

/// The body of `POST /v1/completions`, as far as it is used.
#[derive(Clone, Debug, Deserialize)]
pub struct CompletionBody {
    /// The service.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Length of the answer.
    pub max_tokens: Option<u32>,
    /// Whether the answer comes as events.
    #[serde(default)]
    pub stream: bool,
}

/// The body of `POST /v1/chat/completions`, as far as it is used.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatBody {
    /// The service.
    pub model: String,
    /// The messages.
    pub messages: Vec<ChatMessage>,
    /// Length of the answer.
    #[serde(alias = "max_completion_tokens")]
    pub max_tokens: Option<u32>,
    /// Whether the answer comes as events.
    #[serde(default)]
    pub stream: bool,
}

/// One message of a chat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Who says it.
    pub role: String,
    /// What is said.
    pub content: String,
}

/// What a model call asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelCall {
    /// The service.
    pub service: ServiceName,
    /// The work.
    pub work: ModelWork,
    /// Whether the answer comes as events.
    pub stream: bool,
}

/// Reads the body of a model call.
///
/// # Errors
///
/// Returns what was expected, and where.
pub fn parse_model_call(chat: bool, body: &[u8]) -> Result<ModelCall, String> {
    let (model, prompt, max_tokens, stream) = if chat {
        let b: ChatBody = serde_json::from_slice(body).map_err(|e| e.to_string())?;
        (b.model, chat_prompt(&b.messages)?, b.max_tokens, b.stream)
    } else {
        let b: CompletionBody = serde_json::from_slice(body).map_err(|e| e.to_string())?;
        (b.model, b.prompt, b.max_tokens, b.stream)
    };
    let max_tokens = max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    if !(1..=MAX_TOKENS).contains(&max_tokens) {
        return Err(format!(
            "`max_tokens`: expected 1 to {MAX_TOKENS}, found {max_tokens}"
        ));
    }
    Ok(ModelCall {
        service: ServiceName::from(model.as_str()),
        work: ModelWork {
            prompt,
            max_tokens,
            chat,
        },
        stream,
    })
}

fn chat_prompt(messages: &[ChatMessage]) -> Result<String, String> {
    if messages.is_empty() {
        return Err("`messages`: expected at least one".to_string());
    }
    let lines: Vec<String> = messages
        .iter()
        .map(|m| format!("{}: {}", m.role, m.content))
        .collect();
    Ok(lines.join("\n"))
}
