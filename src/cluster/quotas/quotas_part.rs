use {
    crate::{names::ClientAccount, policy::QuotaNotice},
    bincode::{Decode, Encode},
};

/// A part of what a hub tells of client accounts' quotas. Each account stands
/// for itself: a part that is lost hides no other.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct QuotasPart {
    /// The daemon's name.
    pub name: String,
    /// Which life of it.
    pub incarnation: u64,
    /// Rises with each telling of a life.
    pub sequence: u64,
    /// For how long it has run, in milliseconds.
    pub age_ms: u64,
    /// By account, the weight with which it asks for a part of the quota, what
    /// it has let in, what it sees left, and what all daemons asked for.
    pub quotas: Vec<AnnouncedAccount>,
}

/// A client account's quota state as a hub announces it.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct AnnouncedAccount {
    /// The account.
    pub name: String,
    /// The weight with which the daemon asks for a part of the quota.
    pub weight: f32,
    /// What it has let in since it started.
    pub admitted: f64,
    /// What is left, as it sees it.
    pub level: f32,
    /// The weights of all daemons together.
    pub demand: f32,
}

impl AnnouncedAccount {
    /// Makes what is told from a notice.
    pub fn of(notice: &QuotaNotice) -> Self {
        Self {
            name: notice.account.to_string(),
            weight: notice.weight as f32,
            admitted: notice.admitted,
            level: notice.level as f32,
            demand: notice.demand as f32,
        }
    }

    /// Returns it with typed names.
    pub fn notice(&self) -> QuotaNotice {
        QuotaNotice {
            account: ClientAccount::from(self.name.as_str()),
            weight: f64::from(self.weight),
            admitted: self.admitted,
            level: f64::from(self.level),
            demand: f64::from(self.demand),
        }
    }
}
