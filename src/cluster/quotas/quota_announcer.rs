use {
    crate::cluster::AnnouncedAccount,
    std::{
        collections::{BTreeSet, HashMap},
        net::SocketAddr,
    },
};

/// How often each change is told: a datagram may be lost.
const TOLD_TIMES: u8 = 2;
/// How often all accounts are told to those that listen anew: within the time in which
/// they learn what is left.
const WHOLE_TIMES: u8 = 3;
/// By what part of it a weight must change to be news. An account without requests asks
/// for a part that moves with the number of daemons that are heard.
const WEIGHT_CHANGE: f32 = 0.05;
/// Each how many tellings an account is told of which nothing changes, for what was lost
/// all the same.
const TURNS: usize = 8;

/// A hub that is told: where it listens, and which life of it.
pub type Listener = (SocketAddr, u64);

/// Which accounts a hub tells the others of: those of which something has changed, and the
/// rest by turns. What hubs tell then grows with the accounts in use, not with all that
/// there are.
#[derive(Debug, Default)]
pub struct QuotaAnnouncer {
    told: HashMap<String, Told>,
    listeners: BTreeSet<Listener>,
    /// How often all accounts are still to be told.
    whole_left: u8,
    turn: usize,
}

/// What was told of an account, and how often it is still to be told.
#[derive(Clone, Copy, Debug)]
struct Told {
    /// The weight when it was last news.
    weight: f32,
    admitted: f64,
    times_left: u8,
}

impl QuotaAnnouncer {
    /// Returns what to tell of all accounts to some listeners. One that listens anew is told
    /// of all of them.
    pub fn due(
        &mut self,
        all: Vec<AnnouncedAccount>,
        listeners: BTreeSet<Listener>,
    ) -> Vec<AnnouncedAccount> {
        if !listeners.is_subset(&self.listeners) {
            self.whole_left = WHOLE_TIMES;
        }
        self.listeners = listeners;
        if self.told.len() > all.len() {
            // Some account is gone.
            self.told.clear();
        }
        let is_complete = self.whole_left > 0;
        self.whole_left = self.whole_left.saturating_sub(1);
        self.turn = (self.turn + 1) % TURNS;
        let turn = self.turn;
        let numbered = all.into_iter().enumerate();
        let due = numbered.filter(|(n, account)| {
            let is_change = self.is_change(account);
            is_change || is_complete || n % TURNS == turn
        });
        due.map(|(_, account)| account).collect()
    }

    /// Returns whether something changed, and notes that it is told.
    fn is_change(&mut self, account: &AnnouncedAccount) -> bool {
        let (weight, admitted) = (account.weight, account.admitted);
        let fresh = Told {
            weight,
            admitted,
            times_left: TOLD_TIMES,
        };
        let told = match self.told.get_mut(&account.name) {
            Some(told) => told,
            None => self.told.entry(account.name.clone()).or_insert(fresh),
        };
        let is_moved = (told.weight - weight).abs() > told.weight * WEIGHT_CHANGE;
        if is_moved || told.admitted != admitted {
            *told = fresh;
        }
        let is_change = told.times_left > 0;
        told.times_left = told.times_left.saturating_sub(1);
        is_change
    }
}
