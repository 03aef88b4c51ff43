use {
    crate::cluster::AnnouncedAccount,
    std::{
        collections::{BTreeSet, HashMap},
        net::SocketAddr,
    },
};

/// How many times each change is announced, since a datagram may be lost.
const CHANGE_ANNOUNCEMENTS: u8 = 2;
/// How many times all accounts are announced after a new listener appears. They reach it within
/// the time in which it learns what is left of the quotas.
const FULL_ANNOUNCEMENTS: u8 = 3;
/// The relative change of a weight from which it is announced. Smaller changes are left out, since
/// the weight of an account without requests varies with the number of live daemons.
const WEIGHT_CHANGE: f32 = 0.05;
/// Every how many announcements an unchanged account is included, in case all announcements of its
/// last change were lost.
const ROTATION: usize = 8;

/// A hub that receives announcements: its address and its incarnation.
pub type Listener = (SocketAddr, u64);

/// Selects the client accounts that a hub announces to the other hubs: those that have changed, and
/// the rest in rotation. The size of announcements then grows with the accounts in use rather than
/// with all accounts.
#[derive(Debug, Default)]
pub struct QuotaAnnouncer {
    announced: HashMap<String, LastAnnounced>,
    listeners: BTreeSet<Listener>,
    /// How many times all accounts are still to be announced.
    full_left: u8,
    /// Accounts whose index modulo [`ROTATION`] is this value are announced even if unchanged.
    rotation: usize,
}

/// The state of an account as announced, and how many times it is still to be announced.
#[derive(Clone, Copy, Debug)]
struct LastAnnounced {
    /// The weight at the last change that was announced.
    weight: f32,
    admitted: f64,
    announcements_left: u8,
}

impl QuotaAnnouncer {
    /// Returns which of all accounts to announce to the listeners now. If there is a new listener,
    /// these are all accounts.
    pub fn due(
        &mut self,
        all: Vec<AnnouncedAccount>,
        listeners: BTreeSet<Listener>,
    ) -> Vec<AnnouncedAccount> {
        if !listeners.is_subset(&self.listeners) {
            self.full_left = FULL_ANNOUNCEMENTS;
        }
        self.listeners = listeners;
        if self.announced.len() > all.len() {
            // An account was removed.
            self.announced.clear();
        }
        let is_complete = self.full_left > 0;
        self.full_left = self.full_left.saturating_sub(1);
        self.rotation = (self.rotation + 1) % ROTATION;
        let rotation = self.rotation;
        let numbered = all.into_iter().enumerate();
        let due = numbered.filter(|(n, account)| {
            let is_change = self.is_change(account);
            is_change || is_complete || n % ROTATION == rotation
        });
        due.map(|(_, account)| account).collect()
    }

    /// Returns true if a change of the account is still to be announced, and counts one announcement
    /// of it.
    fn is_change(&mut self, account: &AnnouncedAccount) -> bool {
        let (weight, admitted) = (account.weight, account.admitted);
        let fresh = LastAnnounced {
            weight,
            admitted,
            announcements_left: CHANGE_ANNOUNCEMENTS,
        };
        let announced = match self.announced.get_mut(&account.name) {
            Some(announced) => announced,
            None => self.announced.entry(account.name.clone()).or_insert(fresh),
        };
        let is_moved = (announced.weight - weight).abs() > announced.weight * WEIGHT_CHANGE;
        if is_moved || announced.admitted != admitted {
            *announced = fresh;
        }
        let is_change = announced.announcements_left > 0;
        announced.announcements_left = announced.announcements_left.saturating_sub(1);
        is_change
    }
}
