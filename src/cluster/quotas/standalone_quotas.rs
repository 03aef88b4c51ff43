use {
    crate::{
        names::ClientAccount,
        policy::{DemandMeter, QuotaLimit, ReceivedQuota, StandaloneQuota},
    },
    std::{collections::HashMap, net::SocketAddr},
};

/// How many times a batch is announced, since a datagram may be lost.
const ANNOUNCEMENTS: u8 = 2;
/// The most accounts in a batch, so that a report with it and some events fits into one datagram
/// (20 bytes an account).
const MAX_BATCH_ACCOUNTS: usize = 24;

/// The state of a client account whose requests a daemon admits without a hub.
#[derive(Clone, Copy, Debug, Default)]
struct StandaloneAccount {
    quota: StandaloneQuota,
    demand: DemandMeter,
    /// The time of the quota state that a hub announced last. Spent units count from this time on.
    announced_ms: u64,
    /// The time since which the daemon has decided without a hub and without any announced state of
    /// the account.
    unreported_since_ms: Option<u64>,
}

impl StandaloneAccount {
    /// Returns the quota state to assume if no hub has announced any. It gives the daemon an even
    /// share of what the rate has provided since its first decision without a hub.
    fn assumed_quota(&mut self, daemons: usize, now_ms: u64) -> ReceivedQuota {
        ReceivedQuota {
            level: 0.0,
            demand: self.demand.per_s(now_ms) * daemons as f64,
            at_ms: *self.unreported_since_ms.get_or_insert(now_ms),
        }
    }
}

/// The quotas by which a daemon that is no hub admits requests while no hub answers, by client
/// account, and the admitted units that are still to be announced to hubs.
#[derive(Debug, Default)]
pub struct StandaloneQuotas {
    accounts: HashMap<ClientAccount, StandaloneAccount>,
    /// Units that were admitted without a hub and not announced yet.
    unannounced: HashMap<ClientAccount, f64>,
    /// The units that are being announced, by account name.
    batch: Vec<(String, f64)>,
    batch_number: u64,
    /// How many times the batch was announced, and to which hub.
    announcements: u8,
    announced_to: Option<SocketAddr>,
}

impl StandaloneQuotas {
    /// Records the cost of a request as demand of its account.
    pub fn record_demand(&mut self, account: &ClientAccount, cost: f64, now_ms: u64) {
        let standalone = self.accounts.entry(account.clone()).or_default();
        standalone.demand.record(cost, now_ms);
    }

    /// Records that a hub decided on a request of an account.
    pub fn record_decided(&mut self, account: &ClientAccount) {
        if let Some(standalone) = self.accounts.get_mut(account) {
            standalone.unreported_since_ms = None;
        }
    }

    /// Admits a request without a hub if the daemon's part of the quota allows it. The part follows
    /// from the account's `received` state, or without one is an even share among `daemons`.
    pub fn admit(
        &mut self,
        account: &ClientAccount,
        cost: f64,
        received: Option<ReceivedQuota>,
        daemons: usize,
        limit: &QuotaLimit,
        now_ms: u64,
    ) -> bool {
        let standalone = self.accounts.entry(account.clone()).or_default();
        let received = received.unwrap_or_else(|| standalone.assumed_quota(daemons, now_ms));
        if standalone.announced_ms != received.at_ms {
            // The hub's state includes the units that were announced before it.
            standalone.announced_ms = received.at_ms;
            standalone.quota.spent = self.unannounced.get(account).copied().unwrap_or(0.0);
        }
        let own_demand = standalone.demand.per_s(now_ms);
        if !standalone
            .quota
            .admit(cost, own_demand, received, limit, now_ms)
        {
            return false;
        }
        *self.unannounced.entry(account.clone()).or_default() += cost;
        true
    }

    /// Returns the batch to announce to a hub and its number, or an empty batch and 0 if there is
    /// none.
    pub fn to_announce(&mut self, hub: SocketAddr) -> (Vec<(String, f64)>, u64) {
        let is_done = self.batch.is_empty() || self.announcements >= ANNOUNCEMENTS;
        if is_done {
            let next = self.unannounced.keys().take(MAX_BATCH_ACCOUNTS).cloned();
            let next: Vec<ClientAccount> = next.collect();
            let entries = next
                .into_iter()
                .filter_map(|a| self.unannounced.remove_entry(&a));
            self.batch = entries.map(|(a, units)| (a.to_string(), units)).collect();
            self.batch_number += u64::from(!self.batch.is_empty());
            self.announcements = 0;
            self.announced_to = Some(hub);
        }
        // Another hub would count the batch a second time.
        if self.batch.is_empty() || self.announced_to != Some(hub) {
            self.announcements = ANNOUNCEMENTS;
            return (Vec::new(), 0);
        }
        self.announcements += 1;
        (self.batch.clone(), self.batch_number)
    }
}
