/// Why a request is refused instead of waiting.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomRefusal {
    /// The time after which room for the request is expected, in milliseconds.
    pub retry_after_ms: u64,
    /// True if the queue is full; false if the request would begin only after its client gives up.
    pub is_full: bool,
}
