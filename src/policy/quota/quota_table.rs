use {
    super::{OtherDaemon, QuotaAccount, QuotaBounds, QuotaLimit, QuotaWait},
    crate::{names::ClientAccount, routing::AccountTerms},
    std::collections::{HashMap, VecDeque},
};

/// How many announced weights are remembered: a daemon that may be cut off goes
/// by the least of them, since others may not have heard the newest.
const REMEMBERED_WEIGHTS: usize = 3;

/// What a daemon tells about a client account's quota.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaNotice {
    /// The client account.
    pub account: ClientAccount,
    /// The weight with which it asks for a part of the rate.
    pub weight: f64,
    /// What it has let in since it started.
    pub admitted: f64,
    /// What is left of the quota, as it sees it.
    pub level: f64,
    /// The weights of all daemons together.
    pub demand: f64,
}

/// The quotas of all client accounts as one daemon sees them.
#[derive(Clone, Debug, Default)]
pub struct QuotaTable {
    bounds: QuotaBounds,
    accounts: HashMap<ClientAccount, QuotaAccount>,
    /// The weights that were announced last, the newest at the end.
    announced: HashMap<ClientAccount, VecDeque<f64>>,
    last_notices: Vec<QuotaNotice>,
}

impl QuotaTable {
    /// Opens a book whose quotas hold within some bounds.
    pub fn new(bounds: QuotaBounds) -> Self {
        Self {
            bounds,
            ..Self::default()
        }
    }

    /// Notes what a client account's request asks for; `start_share` is the part of the
    /// rate that a daemon has before it knows others.
    pub fn record_demand(
        &mut self,
        terms: &AccountTerms,
        cost: f64,
        start_share: f64,
        now_ms: u64,
    ) {
        if terms.rate_per_s > 0.0 {
            let account = self.account(terms, start_share, now_ms);
            account.record_demand(cost, now_ms);
        }
    }

    /// Lets a request of a client account in; `start_share` is the part of the rate
    /// that a daemon has before it knows others.
    ///
    /// # Errors
    ///
    /// Returns why it is not let in now.
    pub fn admit(
        &mut self,
        terms: &AccountTerms,
        cost: f64,
        start_share: f64,
        now_ms: u64,
    ) -> Result<(), QuotaWait> {
        if terms.rate_per_s <= 0.0 {
            return Ok(());
        }
        let limit = self.bounds.limit_of(terms);
        let account = self.account(terms, start_share, now_ms);
        account.admit(cost, &limit, now_ms)
    }

    /// Takes in what another daemon tells; `is_younger` says that it has not
    /// run for longer than this one.
    pub fn apply(
        &mut self,
        node: &str,
        incarnation: u64,
        notices: &[QuotaNotice],
        is_younger: bool,
        now_ms: u64,
    ) {
        for notice in notices {
            if let Some(account) = self.accounts.get_mut(&notice.account) {
                account.apply(node, incarnation, notice.admitted, is_younger);
                if !is_younger {
                    account.learn_level(notice.level, now_ms);
                }
            }
        }
    }

    /// Returns what is left of a client account's quota, as this daemon sees it.
    pub fn level(&self, terms: &AccountTerms) -> f64 {
        let account = self.accounts.get(&terms.name);
        account.map_or(terms.burst, QuotaAccount::level)
    }

    /// Returns whether an account asked for no more than its rate when all
    /// daemons last told what they were asked for: only then does a request that
    /// waits end in service more likely than not. Beyond the rate, others take
    /// what comes in meanwhile.
    pub fn is_within_rate(&self, terms: &AccountTerms) -> bool {
        self.demand(terms) <= terms.rate_per_s
    }

    /// Returns what all daemons together were asked for of an account's quota, in
    /// units a second, as they told last.
    pub fn demand(&self, terms: &AccountTerms) -> f64 {
        let told = self.last_notices.iter().find(|n| n.account == terms.name);
        told.map_or(0.0, |n| n.demand)
    }

    /// Returns whether others should hear now of what was let in.
    pub fn should_announce(&self, terms: &AccountTerms) -> bool {
        let account = self.accounts.get(&terms.name);
        terms.rate_per_s > 0.0 && account.is_some_and(|a| a.should_announce(terms.burst))
    }

    /// Brings the accounts up to date and returns what to tell others.
    /// `others` gives what is known of the other daemons, by client account. While one
    /// may be cut off, no weight grows: what it asked for is still its own.
    pub fn tick(
        &mut self,
        accounts: &[AccountTerms],
        others: &HashMap<ClientAccount, Vec<OtherDaemon>>,
        daemons: usize,
        now_ms: u64,
    ) -> Vec<QuotaNotice> {
        let limited = accounts.iter().filter(|t| t.rate_per_s > 0.0);
        let mut notices = Vec::new();
        for terms in limited {
            let others = others.get(&terms.name).map_or(&[][..], Vec::as_slice);
            let any_late = others.iter().any(|o| o.late);
            let start_share = 1.0 / daemons.max(1) as f64;
            let account = self.account(terms, start_share, now_ms);
            let mut weight = account.weight(terms.rate_per_s, daemons, now_ms);
            let announced = self.announced.entry(terms.name.clone()).or_default();
            if any_late {
                weight = announced.iter().copied().fold(weight, f64::min);
            }
            // What another asked for is this daemon's to let in now: without it,
            // the requests of a whole failure domain would be out of turn until
            // its own demand has grown.
            let taken_over = others.iter().filter(|o| o.replaced).map(|o| o.weight);
            weight = weight.max(taken_over.sum());
            let others: Vec<_> = others.iter().filter(|o| !o.replaced).cloned().collect();
            announced.push_back(weight);
            if announced.len() > REMEMBERED_WEIGHTS {
                announced.pop_front();
            }
            let limit = self.bounds.limit_of(terms);
            let account = self.account(terms, start_share, now_ms);
            account.tick(weight, &others, &limit, now_ms);
            notices.push(QuotaNotice {
                account: terms.name.clone(),
                weight,
                admitted: account.admitted(),
                level: account.level(),
                demand: weight + others.iter().map(|o| o.weight).sum::<f64>(),
            });
        }
        self.last_notices.clone_from(&notices);
        notices
    }

    /// Returns what was told last.
    pub fn last_notices(&self) -> &[QuotaNotice] {
        &self.last_notices
    }

    /// Takes out what another daemon let in by itself and this one is to count.
    pub fn record_admitted(&mut self, account: &ClientAccount, units: f64) {
        if let Some(account) = self.accounts.get_mut(account) {
            account.record_admitted(units);
        }
    }

    /// Returns an account's limit.
    pub fn limit_of(&self, account: &AccountTerms) -> QuotaLimit {
        self.bounds.limit_of(account)
    }

    fn account(
        &mut self,
        terms: &AccountTerms,
        start_share: f64,
        now_ms: u64,
    ) -> &mut QuotaAccount {
        let limit = self.bounds.limit_of(terms);
        let fresh = || QuotaAccount::new(start_share, &limit, now_ms);
        let accounts = &mut self.accounts;
        accounts.entry(terms.name.clone()).or_insert_with(fresh)
    }
}
