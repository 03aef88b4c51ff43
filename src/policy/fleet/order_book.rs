use {
    super::{DomainKind, DomainOrder, LowerDelays},
    std::collections::HashMap,
};

/// Time after which an order without effect is placed again, in addition to the boot time
/// of the upstreams, in milliseconds.
const REORDER_AFTER_MS: u64 = 2_000;
/// Time after which an order is placed again where no upstreams were available, in
/// milliseconds.
const NONE_LEFT_RETRY_MS: u64 = 2_000;
/// How long after the time of the next try the platform still counts as having none left if no
/// further order was placed, in milliseconds.
const REMEMBER_NONE_LEFT_MS: u64 = 8_000;
/// The least growth, as a share of what is ordered, for which an order is placed. Each call to the
/// platform has a cost, and the headroom carries a smaller difference.
const MIN_RAISE: f64 = 0.1;
/// The least decline, as a share of what is ordered, for which an order is placed. It is more than
/// [`MIN_RAISE`], so that orders don't go back and forth.
const MIN_DECLINE: f64 = 0.2;

/// The most recent order for one kind of upstream.
#[derive(Clone, Copy, Debug)]
struct PlacedOrder {
    count: u32,
    /// How many upstreams were present when last observed, up to `count`.
    seen: u32,
    /// The time from which on the order may be placed again.
    next_ms: u64,
    /// False if no upstreams were available.
    taken: bool,
}

impl PlacedOrder {
    /// Returns true if the platform had none left, not long ago.
    fn is_out(&self, now_ms: u64) -> bool {
        !self.taken && now_ms < self.next_ms + REMEMBER_NONE_LEFT_MS
    }
}

/// The orders that were placed for a service's upstreams, from which it follows which changes are due.
/// Covers demand that goes up and down, and a platform that has no upstreams left.
#[derive(Clone, Debug, Default)]
pub struct OrderBook {
    placed: HashMap<DomainKind, PlacedOrder>,
    /// The time from which on fewer upstreams have been needed than there are.
    lower_since: HashMap<DomainKind, u64>,
}

impl OrderBook {
    /// Records how many upstreams are present. Those that have gone since an order was placed
    /// no longer count as ordered: a lost upstream does not come back by itself.
    pub fn observe(&mut self, kind: &DomainKind, present: u32) {
        let Some(placed) = self.placed.get_mut(kind) else {
            return;
        };
        let lost = placed.seen.saturating_sub(present);
        placed.count = placed.count.saturating_sub(lost);
        placed.seen = present.min(placed.count);
    }

    /// Returns how many upstreams run or start: those that are present, or more if an order
    /// for them was placed not longer ago than they take to boot.
    pub fn with_starting(&self, kind: &DomainKind, present: u32, now_ms: u64) -> u32 {
        let placed = self.placed.get(kind);
        let starting = placed.filter(|p| p.taken && now_ms < p.next_ms);
        starting.map_or(present, |p| p.count.max(present))
    }

    /// Returns true if the platform had none left when it was last asked, and that is not long ago.
    pub fn is_out(&self, kind: &DomainKind, now_ms: u64) -> bool {
        let placed = self.placed.get(kind);
        placed.is_some_and(|p| p.is_out(now_ms))
    }

    /// Returns whether an order may be placed. It may not for some time after the platform had none
    /// left.
    pub fn may_place(&self, kind: &DomainKind, now_ms: u64) -> bool {
        let placed = self.placed.get(kind);
        placed.is_none_or(|p| p.taken || now_ms >= p.next_ms)
    }

    /// Returns true if the platform had no reclaimable upstreams left in some failure domain
    /// when it was last asked, and that is not long ago.
    pub fn is_short(&self, now_ms: u64) -> bool {
        let mut reclaimable = self.placed.iter().filter(|(kind, _)| kind.reclaimable);
        reclaimable.any(|(_, p)| p.is_out(now_ms))
    }

    /// Returns whether to place an order now: an increase immediately, a decrease only once it
    /// has been wanted for long enough.
    pub fn is_due(
        &mut self,
        order: &DomainOrder,
        present: u32,
        lower_after: LowerDelays,
        now_ms: u64,
    ) -> bool {
        let placed = self.placed.get(&order.kind).copied();
        let is_waiting = placed.is_some_and(|p| now_ms < p.next_ms);
        let standing = match placed {
            Some(placed) if placed.taken && is_waiting => placed.count,
            _ => present,
        };
        if order.count >= standing {
            self.lower_since.remove(&order.kind);
            let is_refused = placed.is_some_and(|p| !p.taken) && is_waiting;
            let raise = f64::from(order.count - standing);
            return !is_refused && raise > 0.0 && raise >= f64::from(standing) * MIN_RAISE;
        }
        let decline = f64::from(standing - order.count) / f64::from(standing);
        if decline < MIN_DECLINE {
            self.lower_since.remove(&order.kind);
            return false;
        }
        let since_ms = *self.lower_since.entry(order.kind.clone()).or_insert(now_ms);
        now_ms >= since_ms + lower_after.of(decline)
    }

    /// Records the outcome of an order: whether it was taken, or none are available.
    pub fn record(&mut self, order: &DomainOrder, taken: bool, boot_ms: u64, now_ms: u64) {
        let next_ms = match taken {
            true => now_ms + boot_ms + REORDER_AFTER_MS,
            false => now_ms + NONE_LEFT_RETRY_MS,
        };
        self.lower_since.remove(&order.kind);
        let placed = PlacedOrder {
            count: order.count,
            seen: 0,
            next_ms,
            taken,
        };
        self.placed.insert(order.kind.clone(), placed);
    }
}
