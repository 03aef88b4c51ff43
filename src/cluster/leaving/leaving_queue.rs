use {crate::names::UpstreamId, std::collections::BTreeMap};

/// How many times a leaving upstream is announced, since a datagram may be lost. Where one datagram
/// in ten is lost, all four are lost once in 10,000 times.
const ANNOUNCEMENTS: u8 = 4;

/// Leaving upstreams that are still to be announced to other daemons.
#[derive(Debug, Default)]
pub struct LeavingQueue {
    due: BTreeMap<UpstreamId, PendingAnnouncement>,
}

#[derive(Debug)]
struct PendingAnnouncement {
    announcements_left: u8,
    /// True if it is announced to other hubs too.
    announces_to_hubs: bool,
}

/// Leaving upstreams to announce next.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeavingToAnnounce {
    /// The upstreams to announce to hubs: those of all failure domains if the daemon is a hub,
    /// otherwise those of its own failure domain.
    pub hubs: Vec<UpstreamId>,
    /// The upstreams to announce to the daemons that report to this one, if it is a hub.
    pub members: Vec<UpstreamId>,
}

impl LeavingQueue {
    /// Adds an upstream to announce to the daemons that report to this one, and to hubs if
    /// `announces_to_hubs` is set. It is not set if a hub announced the upstream to this daemon.
    pub fn record(&mut self, id: UpstreamId, announces_to_hubs: bool) {
        let announcements_left = ANNOUNCEMENTS;
        self.due.insert(
            id,
            PendingAnnouncement {
                announcements_left,
                announces_to_hubs,
            },
        );
    }

    /// Returns at most `most` upstreams to announce next, those with the fewest announcements first.
    pub fn to_announce(&mut self, most: usize) -> LeavingToAnnounce {
        let mut announced = LeavingToAnnounce::default();
        let mut due: Vec<_> = self.due.iter_mut().collect();
        due.sort_by_key(|(_, pending)| std::cmp::Reverse(pending.announcements_left));
        for (id, pending) in due.into_iter().take(most) {
            pending.announcements_left -= 1;
            if pending.announces_to_hubs {
                announced.hubs.push(id.clone());
            }
            announced.members.push(id.clone());
        }
        self.due.retain(|_, pending| pending.announcements_left > 0);
        announced
    }

    /// Returns true if nothing is to be announced.
    pub fn is_empty(&self) -> bool {
        self.due.is_empty()
    }
}
