use {
    crate::{names::*, requests::*},
    serde::{Deserialize, Serialize},
};

/// Maximum length of an answer in tokens, if the caller sets none.
const DEFAULT_MAX_TOKENS: u32 = 64;
/// Maximum length of an answer that a caller may request, in tokens.
pub const MAX_TOKENS: u32 = 32_768;

/// The body of `POST /v1/completions`. Other fields are ignored.
#[derive(Clone, Debug, Deserialize)]
pub struct CompletionBody {
    /// The name of the service that runs the model.
    pub model: String,
    /// The text to complete.
    pub prompt: String,
    /// Maximum length of the answer in tokens.
    pub max_tokens: Option<u32>,
    /// True if the answer is to be streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

/// The body of `POST /v1/chat/completions`. Other fields are ignored.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatBody {
    /// The name of the service that runs the model.
    pub model: String,
    /// The conversation so far, oldest message first.
    pub messages: Vec<ChatMessage>,
    /// Maximum length of the answer in tokens.
    #[serde(alias = "max_completion_tokens")]
    pub max_tokens: Option<u32>,
    /// True if the answer is to be streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

/// One message of a chat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChatMessage {
    /// The author, such as `user` or `assistant`.
    pub role: String,
    /// The text.
    pub content: String,
}

/// A parsed model call.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelCall {
    /// The service that runs the model.
    pub service: ServiceName,
    /// The prompt and the limits of the answer.
    pub work: ModelWork,
    /// True if the answer is to be streamed as server-sent events.
    pub stream: bool,
}

/// Parses the body of a model call; `chat` selects the chat format.
///
/// # Errors
///
/// Returns a message that names the malformed field or the position of the syntax error, with
/// the expected value.
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
