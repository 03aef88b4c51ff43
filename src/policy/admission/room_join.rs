use super::RoomRefusal;

/// The outcome of [`RoomQueue::join`](super::RoomQueue::join).
#[derive(Clone, Debug, PartialEq)]
pub enum RoomJoin {
    /// The request waits under this ticket.
    Waits(u64),
    /// The request can't begin in time, or is the last in the order of service of a full queue.
    Refused(RoomRefusal),
}
