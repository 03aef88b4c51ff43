use {
    super::EngineConfig,
    sha2::{Digest, Sha256},
};

/// Words from which answers are composed.
const WORDS: [&str; 32] = [
    "index", "query", "found", "match", "claim", "item", "case", "gate", "train", "bag", "file",
    "line", "call", "type", "field", "value", "list", "branch", "merge", "review", "desk", "hall",
    "code", "reply", "notes", "date", "time", "owner", "blue", "small", "large", "lost",
];

/// Returns token `i` of the answer to a prompt. It is the same on every engine,
/// unless the engine adds its name to its tokens (`salted`).
pub fn answer_token(cfg: &EngineConfig, prompt: &str, i: usize) -> String {
    let word = expected_word(prompt, i);
    if cfg.salted {
        return format!("{word}@{} ", cfg.name);
    }
    format!("{word} ")
}

/// Returns the word of token `i`, which depends only on the prompt and `i`.
pub fn expected_word(prompt: &str, i: usize) -> String {
    let mut hash = Sha256::new();
    hash.update(prompt);
    hash.update(i.to_le_bytes());
    let hash = hash.finalize();
    format!("{}{}", WORDS[usize::from(hash[0]) % WORDS.len()], hash[1])
}
