use {super::DomainRoom, crate::names::FailureDomain, std::sync::Arc};

/// The shortest time after which figures lapse, in milliseconds. A few announcements may be lost
/// until then.
const MIN_LAPSE_MS: u64 = 600;
/// Figures lapse after this many announcement intervals of their hub.
const LAPSE_INTERVALS: u64 = 3;

/// The room in its own failure domain, as a hub announces it.
#[derive(Clone, Debug, PartialEq)]
pub struct RoomFigures {
    /// The name of the hub.
    pub hub: Arc<str>,
    /// The failure domain of the hub.
    pub domain: FailureDomain,
    /// The incarnation of the hub.
    pub incarnation: u64,
    /// Increases with each announcement of an incarnation.
    pub sequence: u64,
    /// The interval at which the hub announces figures, in milliseconds.
    pub interval_ms: u64,
    /// The room by service.
    pub rooms: Vec<DomainRoom>,
}

impl RoomFigures {
    /// Returns the age from which on the figures don't count, in milliseconds.
    pub fn lapse_ms(&self) -> u64 {
        (self.interval_ms * LAPSE_INTERVALS).max(MIN_LAPSE_MS)
    }

    /// Returns whether the figures replace others of the same hub: those of an incarnation may
    /// arrive out of order.
    pub(super) fn replaces(&self, known: &Self) -> bool {
        self.incarnation != known.incarnation || self.sequence > known.sequence
    }
}
