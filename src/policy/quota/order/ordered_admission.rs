use {
    super::{AccountOrder, OrderRefusal, OrderedRequest, TurnCounts},
    crate::{policy::QuotaTable, routing::AccountTerms},
};

/// Admission in the order of priority while an account's quota is short.
impl QuotaTable {
    /// Admits a request as [`QuotaTable::admit`] does, but while the quota of its client account
    /// is short, only in the order of the account. `is_repeat` says that the request is held here
    /// and asks again.
    ///
    /// # Errors
    ///
    /// Returns why the request is not admitted now, and its turn if it has one.
    pub fn admit_in_order(
        &mut self,
        terms: &AccountTerms,
        request: &OrderedRequest,
        is_repeat: bool,
        start_share: f64,
        now_ms: u64,
    ) -> Result<(), OrderRefusal> {
        if terms.rate_per_s <= 0.0 {
            return Ok(());
        }
        let is_plain = terms.counts_tokens && request.cost <= terms.plain_cost;
        let is_within_rate = self.is_within_rate(terms);
        let demand_at_all = self.demand(terms);
        let limit = self.limit_of(terms);
        let (account, order) = self.ordered_account(terms, start_share, now_ms);
        account.refill(&limit, now_ms);
        if !is_repeat {
            order.record_demand(request, is_plain, now_ms);
        }
        if is_within_rate || !AccountOrder::is_short(account, &limit) {
            account
                .admit(request.cost, &limit, now_ms)
                .map_err(OrderRefusal::Unordered)?;
            order.forget(request.fingerprint);
            return Ok(());
        }
        order.set_demand_at_all(demand_at_all);
        order.check(request, is_plain, account, &limit, now_ms)?;
        match account.admit(request.cost, &limit, now_ms) {
            Ok(()) => {
                order.record_admitted(request, is_plain);
                Ok(())
            }
            Err(wait) => Err(order.record_delayed(request, is_plain, wait, now_ms)),
        }
    }

    /// Returns the units of an account that are kept for turns and for other lanes, and the time
    /// until a request's turn in milliseconds, if it has one.
    pub fn turn_of(
        &self,
        terms: &AccountTerms,
        fingerprint: u64,
        now_ms: u64,
    ) -> (f64, Option<u64>) {
        match self.order_of(terms) {
            Some(order) => (order.reserve(), order.turn_ms(fingerprint, now_ms)),
            None => (0.0, None),
        }
    }

    /// Returns what became of the turns of a client account since this daemon started.
    pub fn turn_counts(&self, terms: &AccountTerms) -> TurnCounts {
        self.order_of(terms)
            .map_or_else(TurnCounts::default, AccountOrder::counts)
    }
}
