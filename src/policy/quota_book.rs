use {
    super::QuotaAccount,
    crate::{names::TenantName, routing::Tenant},
    std::collections::HashMap,
};

/// What a daemon tells about a tenant's quota.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaNotice {
    /// The tenant.
    pub tenant: TenantName,
    /// The weight with which it asks for a part of the rate.
    pub weight: f64,
    /// What it has let in since it started.
    pub admitted: f64,
}

/// All tenants' quotas as one daemon sees them.
#[derive(Clone, Debug, Default)]
pub struct QuotaBook {
    accounts: HashMap<TenantName, QuotaAccount>,
    /// The weights that were announced last.
    announced: HashMap<TenantName, f64>,
}

impl QuotaBook {
    /// Lets a request of a tenant in; `start_part` is the part of the rate
    /// that a daemon has before it knows others.
    ///
    /// # Errors
    ///
    /// Returns after how many milliseconds it would be let in.
    pub fn admit(
        &mut self,
        tenant: &Tenant,
        cost: f64,
        start_part: f64,
        now_ms: u64,
    ) -> Result<(), u64> {
        if tenant.rate_per_s <= 0.0 {
            return Ok(());
        }
        let account = self.account(tenant, start_part, now_ms);
        account.admit(cost, tenant.rate_per_s, tenant.burst, now_ms)
    }

    /// Takes in what another daemon tells.
    pub fn hear(&mut self, node: &str, incarnation: u64, notices: &[QuotaNotice]) {
        for notice in notices {
            if let Some(account) = self.accounts.get_mut(&notice.tenant) {
                account.hear(node, incarnation, notice.admitted);
            }
        }
    }

    /// Returns what to tell others. While some are silent, no weight grows:
    /// what they asked for is still theirs.
    pub fn announce(
        &mut self,
        tenants: &[Tenant],
        daemons: usize,
        may_grow: bool,
        now_ms: u64,
    ) -> Vec<QuotaNotice> {
        let limited = tenants.iter().filter(|t| t.rate_per_s > 0.0);
        let mut notices = Vec::new();
        for tenant in limited {
            let start_part = 1.0 / daemons.max(1) as f64;
            let account = self.account(tenant, start_part, now_ms);
            let mut weight = account.weight(tenant.rate_per_s, daemons, now_ms);
            let admitted = account.admitted();
            if !may_grow && let Some(last) = self.announced.get(&tenant.name) {
                weight = weight.min(*last);
            }
            self.announced.insert(tenant.name.clone(), weight);
            notices.push(QuotaNotice {
                tenant: tenant.name.clone(),
                weight,
                admitted,
            });
        }
        notices
    }

    /// Reserves for silent daemons the parts that they asked for. `live` and
    /// `silent` give the sums of the other daemons' weights.
    pub fn reserve(&mut self, live: &HashMap<TenantName, f64>, silent: &HashMap<TenantName, f64>) {
        for (name, account) in &mut self.accounts {
            let own = self.announced.get(name).copied().unwrap_or(0.0);
            let silent = silent.get(name).copied().unwrap_or(0.0);
            let all = own + silent + live.get(name).copied().unwrap_or(0.0);
            account.reserve(silent / all.max(f64::MIN_POSITIVE));
        }
    }

    fn account(&mut self, tenant: &Tenant, start_part: f64, now_ms: u64) -> &mut QuotaAccount {
        let fresh = || QuotaAccount::new(tenant.burst, 1.0 - start_part, now_ms);
        let accounts = &mut self.accounts;
        accounts.entry(tenant.name.clone()).or_insert_with(fresh)
    }
}
