use {
    crate::{
        names::ClientAccount,
        policy::{DemandMeter, QuotaLimit, ReceivedQuota, StandaloneQuota},
    },
    std::{collections::HashMap, net::SocketAddr},
};

/// How often a batch is told: a datagram may be lost.
const TOLD_TIMES: u8 = 2;
/// How many accounts a batch names at most: with them and some events a report
/// stays below the size of one datagram (20 bytes an account).
const MAX_TOLD_ACCOUNTS: usize = 24;

/// What a daemon that asks hubs knows of a client account that it lets in by itself.
#[derive(Clone, Copy, Debug, Default)]
struct StandaloneAccount {
    quota: StandaloneQuota,
    demand: DemandMeter,
    /// When what it was told last was told: what it spent counts from there.
    announced_ms: u64,
    /// Since when it has decided by itself without having been told of the account.
    unreported_since_ms: Option<u64>,
}

impl StandaloneAccount {
    /// Returns what is reckoned with where nothing was told: the daemon's even part of
    /// what is earned since it first decided by itself.
    fn untold(&mut self, daemons: usize, now_ms: u64) -> ReceivedQuota {
        ReceivedQuota {
            level: 0.0,
            demand: self.demand.per_s(now_ms) * daemons as f64,
            at_ms: *self.unreported_since_ms.get_or_insert(now_ms),
        }
    }
}

/// What a daemon that asks hubs lets in by itself while none answers, by client
/// account, and what they have not heard of it yet.
#[derive(Debug, Default)]
pub struct StandaloneQuotas {
    accounts: HashMap<ClientAccount, StandaloneAccount>,
    /// What was let in and not told yet.
    untold: HashMap<ClientAccount, f64>,
    /// What is told until the hub has heard it.
    batch: Vec<(String, f64)>,
    batch_number: u64,
    /// How often the batch was told, and to whom.
    told: u8,
    announced_to: Option<SocketAddr>,
}

impl StandaloneQuotas {
    /// Notes what a request asks for.
    pub fn record_demand(&mut self, account: &ClientAccount, cost: f64, now_ms: u64) {
        let standalone = self.accounts.entry(account.clone()).or_default();
        standalone.demand.record(cost, now_ms);
    }

    /// Notes that a hub decided on a request of an account.
    pub fn record_decided(&mut self, account: &ClientAccount) {
        if let Some(standalone) = self.accounts.get_mut(account) {
            standalone.unreported_since_ms = None;
        }
    }

    /// Lets a request in by itself, if the daemon's part allows it: by what it was told of
    /// the account, or else its even part among so many daemons.
    pub fn admit(
        &mut self,
        account: &ClientAccount,
        cost: f64,
        told: Option<ReceivedQuota>,
        daemons: usize,
        limit: &QuotaLimit,
        now_ms: u64,
    ) -> bool {
        let standalone = self.accounts.entry(account.clone()).or_default();
        let told = told.unwrap_or_else(|| standalone.untold(daemons, now_ms));
        if standalone.announced_ms != told.at_ms {
            // What a hub had heard of by then it has counted.
            standalone.announced_ms = told.at_ms;
            standalone.quota.spent = self.untold.get(account).copied().unwrap_or(0.0);
        }
        let own_demand = standalone.demand.per_s(now_ms);
        if !standalone
            .quota
            .admit(cost, own_demand, told, limit, now_ms)
        {
            return false;
        }
        *self.untold.entry(account.clone()).or_default() += cost;
        true
    }

    /// Returns what to tell a hub, and its number; 0 if there is nothing.
    pub fn to_announce(&mut self, hub: SocketAddr) -> (Vec<(String, f64)>, u64) {
        let is_done = self.batch.is_empty() || self.told >= TOLD_TIMES;
        if is_done {
            let next = self.untold.keys().take(MAX_TOLD_ACCOUNTS).cloned();
            let next: Vec<ClientAccount> = next.collect();
            let untold = next
                .into_iter()
                .filter_map(|a| self.untold.remove_entry(&a));
            self.batch = untold.map(|(a, units)| (a.to_string(), units)).collect();
            self.batch_number += u64::from(!self.batch.is_empty());
            self.told = 0;
            self.announced_to = Some(hub);
        }
        // Another hub would count it once more.
        if self.batch.is_empty() || self.announced_to != Some(hub) {
            self.told = TOLD_TIMES;
            return (Vec::new(), 0);
        }
        self.told += 1;
        (self.batch.clone(), self.batch_number)
    }
}
