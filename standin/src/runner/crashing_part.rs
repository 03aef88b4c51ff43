use std::time::Duration;

/// The header that lists the parts of a prompt, as `id:tokens` separated by commas.
pub(super) const PROMPT_PARTS: &str = "saddlepulley-prompt-parts";

/// A part of prompts that crashes each runner that begins to answer one with it.
#[derive(Clone, Debug)]
pub struct CrashingPart {
    /// The id of the part. As the last part of a prompt it does nothing.
    pub id: String,
    /// The runner crashes before it sends the head of its answer.
    pub before_head: bool,
    /// The runner crashes in the middle of an event.
    pub inside_event: bool,
    /// Time from the beginning of the answer to the crash.
    pub delay: Duration,
}

impl CrashingPart {
    /// Returns whether a prompt with these parts crashes a runner.
    pub(super) fn is_in(&self, prompt_parts: &str) -> bool {
        let Some((shared, _last)) = prompt_parts.rsplit_once(',') else {
            return false;
        };
        let mut ids = shared.split(',').filter_map(|part| part.split_once(':'));
        ids.any(|(id, _)| id == self.id)
    }
}
