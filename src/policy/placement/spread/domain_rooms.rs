use {
    super::{DomainRoom, RoomFigures, RoomLeft},
    crate::names::{FailureDomain, ServiceName},
    std::{collections::HashMap, sync::Arc},
};

/// The newest figures of other hubs, and when each arrived. Times are milliseconds of the daemon's
/// steady clock.
#[derive(Clone, Debug, Default)]
pub struct DomainRooms {
    by_hub: HashMap<Arc<str>, (RoomFigures, u64)>,
}

impl DomainRooms {
    /// Applies the figures of a hub. Returns false if they are not newer than those that are known.
    pub fn apply(&mut self, figures: RoomFigures, now_ms: u64) -> bool {
        let known = self.by_hub.get(&figures.hub);
        if known.is_some_and(|(known, _)| !figures.replaces(known)) {
            return false;
        }
        self.by_hub.insert(figures.hub.clone(), (figures, now_ms));
        true
    }

    /// Returns the room of a domain for a service; `None` if all known figures have lapsed. If several
    /// hubs of the domain announce figures, the lowest room counts: a hub that has missed reports of
    /// loads announces too much.
    pub fn left(
        &self,
        domain: &FailureDomain,
        service: &ServiceName,
        now_ms: u64,
    ) -> Option<RoomLeft> {
        let there = self.by_hub.values().filter(|(f, _)| f.domain == *domain);
        let lefts = there.filter_map(|(figures, at_ms)| {
            let room = figures.rooms.iter().find(|r| r.service == *service)?;
            room_left(figures, room, now_ms.saturating_sub(*at_ms))
        });
        lefts.reduce(|a, b| {
            let newer = if a.age_ms <= b.age_ms { a } else { b };
            RoomLeft {
                work_ms: a.work_ms.min(b.work_ms),
                best_ms: a.best_ms.max(b.best_ms),
                hubs: a.hubs + b.hubs,
                ..newer
            }
        })
    }

    /// Removes figures that have lapsed.
    pub fn tick(&mut self, now_ms: u64) {
        self.by_hub
            .retain(|_, (figures, at_ms)| now_ms < *at_ms + figures.lapse_ms());
    }
}

fn room_left(figures: &RoomFigures, room: &DomainRoom, age_ms: u64) -> Option<RoomLeft> {
    (age_ms < figures.lapse_ms()).then(|| RoomLeft {
        work_ms: room.work_ms,
        best_ms: room.best_ms,
        age_ms,
        lapse_ms: figures.lapse_ms(),
        hubs: 1,
    })
}
