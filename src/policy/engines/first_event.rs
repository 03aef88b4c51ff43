/// The first event of an answer, as its daemon saw it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirstEvent {
    /// The prompt tokens that the engine had to read for it.
    pub unread_tokens: u64,
    /// How long it took, in milliseconds.
    pub after_ms: f64,
}
