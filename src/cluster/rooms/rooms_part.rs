use {
    crate::{names::ServiceName, policy::*},
    bincode::{Decode, Encode},
};

/// The largest number of services in one announcement, so that it fits into a datagram.
const MAX_SERVICES: usize = 16;

/// The room in the failure domain of a hub, as it announces it with its digests.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct RoomsPart {
    /// The name of the hub.
    pub name: String,
    /// The hub's failure domain.
    pub domain: String,
    /// The hub's incarnation.
    pub incarnation: u64,
    /// Increases with each announcement of an incarnation.
    pub sequence: u64,
    /// The interval at which the hub announces its room, in milliseconds.
    pub interval_ms: u32,
    /// The room by service.
    pub rooms: Vec<AnnouncedRoom>,
}

/// The wire form of a [`DomainRoom`].
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct AnnouncedRoom {
    /// The name of the service.
    pub service: String,
    /// The work that the domain's upstreams can take, in milliseconds of a usual upstream.
    pub work_ms: f32,
    /// The least time to the first event, in milliseconds.
    pub best_ms: f32,
}

impl RoomsPart {
    /// Creates the wire form of figures. Of many services, those with the most room are announced.
    pub fn of(figures: &RoomFigures) -> Self {
        let mut rooms: Vec<_> = figures.rooms.iter().collect();
        rooms.sort_by(|a, b| b.work_ms.total_cmp(&a.work_ms));
        rooms.truncate(MAX_SERVICES);
        Self {
            name: figures.hub.to_string(),
            domain: figures.domain.to_string(),
            incarnation: figures.incarnation,
            sequence: figures.sequence,
            interval_ms: u32::try_from(figures.interval_ms).unwrap_or(u32::MAX),
            rooms: rooms.into_iter().map(AnnouncedRoom::of).collect(),
        }
    }

    /// Returns the figures, without those that are negative or not finite.
    pub fn to_figures(&self) -> RoomFigures {
        let rooms = self.rooms.iter().take(MAX_SERVICES);
        RoomFigures {
            hub: self.name.as_str().into(),
            domain: self.domain.as_str().into(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            interval_ms: u64::from(self.interval_ms),
            rooms: rooms.filter_map(AnnouncedRoom::to_room).collect(),
        }
    }
}

impl AnnouncedRoom {
    fn of(room: &DomainRoom) -> Self {
        Self {
            service: room.service.to_string(),
            work_ms: room.work_ms as f32,
            best_ms: room.best_ms as f32,
        }
    }

    fn to_room(&self) -> Option<DomainRoom> {
        let is_valid = |ms: f32| ms.is_finite() && ms >= 0.0;
        (is_valid(self.work_ms) && is_valid(self.best_ms)).then(|| DomainRoom {
            service: ServiceName::from(self.service.as_str()),
            work_ms: f64::from(self.work_ms),
            best_ms: f64::from(self.best_ms),
        })
    }
}
