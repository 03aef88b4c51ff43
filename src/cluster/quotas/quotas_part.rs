use {
    crate::{names::ClientAccount, policy::QuotaNotice},
    bincode::{Decode, Encode},
};

/// A part of a hub's announcement of client accounts' quotas. Each account is independent of the
/// others, so that a lost part does not invalidate another.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct QuotasPart {
    /// The hub's name.
    pub name: String,
    /// The hub's incarnation.
    pub incarnation: u64,
    /// Increases with each announcement of an incarnation.
    pub sequence: u64,
    /// How long it has been a hub, in milliseconds; 0 in an announcement to a daemon that reports to
    /// it.
    pub age_ms: u64,
    /// The announced client accounts.
    pub quotas: Vec<AnnouncedAccount>,
}

/// A client account's quota state as a hub announces it.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct AnnouncedAccount {
    /// The client account's name.
    pub name: String,
    /// The weight with which the hub requests a part of the quota.
    pub weight: f32,
    /// The units that it has admitted since it started.
    pub admitted: f64,
    /// The units left in the quota, as the hub knows it.
    pub level: f32,
    /// The sum of the weights of all daemons.
    pub demand: f32,
}

impl AnnouncedAccount {
    /// Converts a notice to its wire form.
    pub fn of(notice: &QuotaNotice) -> Self {
        Self {
            name: notice.account.to_string(),
            weight: notice.weight as f32,
            admitted: notice.admitted,
            level: notice.level as f32,
            demand: notice.demand as f32,
        }
    }

    /// Converts it back to a notice.
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
