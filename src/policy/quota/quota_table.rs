use {
    super::{
        AccountOrder, OtherDaemon, QuotaAccount, QuotaBounds, QuotaLimit, QuotaWait,
        account::sum_of_weights,
    },
    crate::{names::ClientAccount, routing::AccountTerms},
    std::collections::{HashMap, VecDeque},
};

/// Number of announced weights kept. While another daemon may be cut off, this daemon uses
/// the lowest of them, since others may not have received the latest.
const REMEMBERED_WEIGHTS: usize = 3;

/// What a daemon announces about a client account's quota.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaNotice {
    /// The client account.
    pub account: ClientAccount,
    /// Weight of the daemon's claim to a share of the rate, in units per second.
    pub weight: f64,
    /// Units that the daemon has admitted since it started.
    pub admitted: f64,
    /// Units left in the bucket, in the daemon's view.
    pub level: f64,
    /// Sum of the weights of all daemons, in units per second.
    pub demand: f64,
}

/// The quotas of all client accounts as one daemon sees them.
#[derive(Clone, Debug, Default)]
pub struct QuotaTable {
    bounds: QuotaBounds,
    accounts: HashMap<ClientAccount, QuotaAccount>,
    /// The order of each account that has had requests in [`QuotaTable::admit_in_order`].
    orders: HashMap<ClientAccount, AccountOrder>,
    /// The weights announced last, the latest at the end.
    announced: HashMap<ClientAccount, VecDeque<f64>>,
    last_notices: Vec<QuotaNotice>,
}

impl QuotaTable {
    /// Makes an empty table whose quotas hold within `bounds`.
    pub fn new(bounds: QuotaBounds) -> Self {
        Self {
            bounds,
            ..Self::default()
        }
    }

    /// Records the cost of a request of a client account as demand. `start_share` is the
    /// share of the rate that a daemon uses before it knows other daemons.
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

    /// Admits a request of a client account. An account without a rate is not limited.
    /// `start_share` is the share of the rate that a daemon uses before it knows other
    /// daemons.
    ///
    /// # Errors
    ///
    /// Returns why the request is not admitted now.
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

    /// Gives back the units of a request that was admitted and has not run. `priority` is its priority
    /// if it was admitted by [`QuotaTable::admit_in_order`].
    pub fn give_back(&mut self, terms: &AccountTerms, units: f64, priority: Option<u8>) {
        if let Some(account) = self.accounts.get_mut(&terms.name) {
            account.give_back(units, terms.burst);
        }
        if let (Some(order), Some(priority)) = (self.orders.get_mut(&terms.name), priority) {
            let is_plain = terms.counts_tokens && units <= terms.plain_cost;
            order.give_back(units, priority, is_plain);
        }
    }

    /// Applies the notices of another daemon. `is_younger` says that the other daemon has not
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
                    account.adopt_level(notice.level, now_ms);
                }
            }
        }
    }

    /// Returns the units left in a client account's bucket, in this daemon's view.
    pub fn level(&self, terms: &AccountTerms) -> f64 {
        let account = self.accounts.get(&terms.name);
        account.map_or(terms.burst, QuotaAccount::level)
    }

    /// Returns whether the last announced demand of an account at all daemons is within its
    /// rate. Only then is a request that waits for quota more likely than not to be served:
    /// beyond the rate, other requests use up what the bucket gains meanwhile.
    pub fn is_within_rate(&self, terms: &AccountTerms) -> bool {
        self.demand(terms) <= terms.rate_per_s
    }

    /// Returns an account's demand at all daemons together as of the last tick, in units per
    /// second.
    pub fn demand(&self, terms: &AccountTerms) -> f64 {
        let notice = self.last_notices.iter().find(|n| n.account == terms.name);
        notice.map_or(0.0, |n| n.demand)
    }

    /// Returns whether the admissions should be announced to the other daemons now.
    pub fn should_announce(&self, terms: &AccountTerms) -> bool {
        let account = self.accounts.get(&terms.name);
        terms.rate_per_s > 0.0 && account.is_some_and(|a| a.should_announce(terms.burst))
    }

    /// Brings the accounts up to date and returns the notices for the other daemons. `others`
    /// holds the known state of the other daemons by client account. While another daemon may
    /// be cut off, this daemon's weight does not grow, since the share that the other one
    /// claimed is still reserved for it.
    pub fn tick(
        &mut self,
        accounts: &[AccountTerms],
        others: &HashMap<ClientAccount, Vec<OtherDaemon>>,
        daemons: usize,
        now_ms: u64,
    ) -> Vec<QuotaNotice> {
        self.orders
            .retain(|name, _| accounts.iter().any(|t| t.name == *name));
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
            // This daemon takes over the weights of the daemons that it replaces. Otherwise
            // the requests of a whole failure domain would have to wait until this daemon's
            // own demand has grown.
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
                demand: weight + sum_of_weights(&others),
            });
        }
        self.last_notices.clone_from(&notices);
        notices
    }

    /// Returns the notices of the last tick.
    pub fn last_notices(&self) -> &[QuotaNotice] {
        &self.last_notices
    }

    /// Takes units out of the bucket that another daemon admitted on its own and that this
    /// daemon has to count.
    pub fn record_admitted(&mut self, account: &ClientAccount, units: f64) {
        if let Some(account) = self.accounts.get_mut(account) {
            account.record_admitted(units);
        }
    }

    /// Returns the limit of a client account.
    pub fn limit_of(&self, account: &AccountTerms) -> QuotaLimit {
        self.bounds.limit_of(account)
    }

    /// Returns an account and its order, created if they don't exist.
    pub(super) fn ordered_account(
        &mut self,
        terms: &AccountTerms,
        start_share: f64,
        now_ms: u64,
    ) -> (&mut QuotaAccount, &mut AccountOrder) {
        let limit = self.bounds.limit_of(terms);
        let account = self.accounts.entry(terms.name.clone());
        let order = self.orders.entry(terms.name.clone());
        (
            account.or_insert_with(|| QuotaAccount::new(start_share, &limit, now_ms)),
            order.or_insert_with(|| AccountOrder::new(now_ms)),
        )
    }

    /// Returns the order of an account, if there is one.
    pub(super) fn order_of(&self, terms: &AccountTerms) -> Option<&AccountOrder> {
        self.orders.get(&terms.name)
    }

    fn account(
        &mut self,
        terms: &AccountTerms,
        start_share: f64,
        now_ms: u64,
    ) -> &mut QuotaAccount {
        let limit = self.bounds.limit_of(terms);
        let new_account = || QuotaAccount::new(start_share, &limit, now_ms);
        let accounts = &mut self.accounts;
        accounts
            .entry(terms.name.clone())
            .or_insert_with(new_account)
    }
}
