/// Waiting requests of one priority, either all still in time or all late. The derived order is the
/// order of service: lanes in time go before late ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RoomLane {
    /// The answers will be late, however soon the requests are sent.
    pub is_late: bool,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u8,
}
