use {crate::names::UpstreamId, std::collections::BTreeMap};

/// How often news of an upstream that leaves are told: a datagram may be lost. Three of four
/// times in a row are lost once in 10,000 where one in ten is.
const ANNOUNCEMENTS: u8 = 4;

/// Leaving upstreams that are still to be announced to other daemons.
#[derive(Debug, Default)]
pub struct LeavingQueue {
    due: BTreeMap<UpstreamId, Telling>,
}

#[derive(Debug)]
struct Telling {
    left: u8,
    announces_to_hubs: bool,
}

/// Leaving upstreams to announce next.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeavingToAnnounce {
    /// The hubs of all failure domains, or those of the daemon's own if it is none.
    pub hubs: Vec<UpstreamId>,
    /// The daemons that report to a hub.
    pub members: Vec<UpstreamId>,
}

impl LeavingQueue {
    /// Notes an upstream to tell others of: the daemons that report to this one, and hubs,
    /// unless a hub told it.
    pub fn record(&mut self, id: UpstreamId, announces_to_hubs: bool) {
        let left = ANNOUNCEMENTS;
        self.due.insert(
            id,
            Telling {
                left,
                announces_to_hubs,
            },
        );
    }

    /// Returns the news to tell next, at most some: first those that were told least.
    pub fn to_announce(&mut self, most: usize) -> LeavingToAnnounce {
        let mut told = LeavingToAnnounce::default();
        let mut due: Vec<_> = self.due.iter_mut().collect();
        due.sort_by_key(|(_, telling)| std::cmp::Reverse(telling.left));
        for (id, telling) in due.into_iter().take(most) {
            telling.left -= 1;
            if telling.announces_to_hubs {
                told.hubs.push(id.clone());
            }
            told.members.push(id.clone());
        }
        self.due.retain(|_, telling| telling.left > 0);
        told
    }

    /// Returns whether nobody is to be told of anything.
    pub fn is_empty(&self) -> bool {
        self.due.is_empty()
    }
}
