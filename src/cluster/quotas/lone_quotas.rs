use {
    crate::{
        names::ClientAccount,
        policy::{DemandMeter, LoneQuota, QuotaLimit, ToldQuota},
    },
    std::{collections::HashMap, net::SocketAddr},
};

/// How often a batch is told: a datagram may be lost.
const TOLD_TIMES: u8 = 2;
/// How many accounts a batch names at most: with them and some events a report
/// stays below the size of one datagram (20 bytes an account).
const MAX_TOLD_ACCOUNTS: usize = 24;

/// What a daemon that asks hubs lets in by itself while none answers, by client
/// account, and what they have not heard of it yet.
#[derive(Debug, Default)]
pub struct LoneQuotas {
    accounts: HashMap<ClientAccount, (LoneQuota, DemandMeter)>,
    /// What was let in and not told yet.
    untold: HashMap<ClientAccount, f64>,
    /// What is told until the hub has heard it.
    batch: Vec<(String, f64)>,
    batch_number: u64,
    /// How often the batch was told, and to whom.
    told: u8,
    told_to: Option<SocketAddr>,
}

impl LoneQuotas {
    /// Notes what a request asks for.
    pub fn note_demand(&mut self, account: &ClientAccount, cost: f64, now_ms: u64) {
        let (_, demand) = self.accounts.entry(account.clone()).or_default();
        demand.note(cost, now_ms);
    }

    /// Lets a request in by itself, if the daemon's part allows it.
    pub fn admit(
        &mut self,
        account: &ClientAccount,
        cost: f64,
        told: ToldQuota,
        limit: &QuotaLimit,
        now_ms: u64,
    ) -> bool {
        let (quota, demand) = self.accounts.entry(account.clone()).or_default();
        let own_demand = demand.per_s(now_ms);
        if !quota.admit(cost, own_demand, told, limit, now_ms) {
            return false;
        }
        *self.untold.entry(account.clone()).or_default() += cost;
        true
    }

    /// Returns what to tell a hub, and its number; 0 if there is nothing.
    pub fn to_tell(&mut self, hub: SocketAddr) -> (Vec<(String, f64)>, u64) {
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
            self.told_to = Some(hub);
            // From here on it is the hub's to count.
            for (quota, _) in self.accounts.values_mut() {
                quota.spent = 0.0;
            }
        }
        // Another hub would count it once more.
        if self.batch.is_empty() || self.told_to != Some(hub) {
            self.told = TOLD_TIMES;
            return (Vec::new(), 0);
        }
        self.told += 1;
        (self.batch.clone(), self.batch_number)
    }
}
