/// The first event of an answer, as observed by the daemon that forwarded the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirstEvent {
    /// Prompt tokens that the engine had to read before it: those that were not in its cache.
    pub unread_tokens: u64,
    /// Time from sending the request to this event, in milliseconds.
    pub after_ms: f64,
}
