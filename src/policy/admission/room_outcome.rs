use super::RoomRefusal;

/// Requests that leave the queue, by ticket.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoomOutcome {
    /// Requests to send now, in this order, and how long they waited in milliseconds.
    pub released: Vec<(u64, u64)>,
    /// Requests to refuse now.
    pub refused: Vec<(u64, RoomRefusal)>,
}
