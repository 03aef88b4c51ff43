use {
    super::*,
    crate::names::{FailureDomain, ServiceName},
    std::collections::HashMap,
};

/// How long shares and sent work are kept without a request, in milliseconds. Both count as zero by
/// then.
const KEPT_MS: u64 = 5_000;

/// Decides which requests a hub sends to other failure domains, and to which. Times are milliseconds of
/// the daemon's steady clock.
#[derive(Clone, Debug, Default)]
pub struct DomainSpread {
    /// The room of the domains.
    pub rooms: DomainRooms,
    shares: HashMap<(FailureDomain, ServiceName), SendingShare>,
    /// The work that this hub sent to each domain lately, and that the domain's figures may not include
    /// yet.
    sent: HashMap<(FailureDomain, ServiceName), FadingSum>,
}

impl DomainSpread {
    /// Returns whether a request's own domain serves it in time. Records the request for the sending
    /// share of its domain and service.
    pub fn is_in_time(&mut self, request: &SpreadRequest, now_ms: u64) -> bool {
        let bound_ms = in_time_bound_ms(request.target_ms);
        let key = (request.domain.clone(), request.service.clone());
        let share = self.shares.entry(key).or_default();
        share.observe(request.own_ms, bound_ms, now_ms);
        request.own_ms <= bound_ms
    }

    /// Returns the share of the requests that a domain can't serve in time that is sent away.
    pub fn share(&self, domain: &FailureDomain, service: &ServiceName) -> f64 {
        let share = self.shares.get(&(domain.clone(), service.clone()));
        share.map_or(0.0, SendingShare::share)
    }

    /// Decides where a request goes that its own domain doesn't serve in time. `draw` is the
    /// request's random number.
    pub fn decide(
        &mut self,
        request: &SpreadRequest,
        offers: &[DomainOffer],
        draw: u64,
        now_ms: u64,
    ) -> SpreadDecision {
        let takers = self.takers(request, offers, now_ms);
        if takers.is_empty() {
            return SpreadDecision::Anywhere;
        }
        let share = self.share(&request.domain, &request.service);
        let (for_share, for_domain) = (fraction(draw >> 32), fraction(draw));
        if request.own_ms <= request.target_ms && for_share >= share {
            return SpreadDecision::Stay;
        }
        let sent = draw_by_room(takers, for_domain);
        let key = (sent.to.clone(), request.service.clone());
        let fade_ms = self.fade_ms(&sent.to, &request.service, now_ms);
        let sum = self.sent.entry(key).or_default();
        sum.add(request.work_ms, fade_ms, now_ms);
        SpreadDecision::SendTo(sent)
    }

    /// Returns the domains that can take a request: in time, and with room left for it.
    fn takers(
        &self,
        request: &SpreadRequest,
        offers: &[DomainOffer],
        now_ms: u64,
    ) -> Vec<SentAway> {
        let bound_ms = in_time_bound_ms(request.target_ms);
        let share = self.share(&request.domain, &request.service);
        let known = offers.iter().filter_map(|offer| {
            let left = self.rooms.left(&offer.domain, &request.service, now_ms)?;
            let best_ms = offer.best_ms.max(left.best_ms);
            Some(SentAway {
                to: offer.domain.clone(),
                there_ms: best_ms + request.way_ms(),
                room_ms: self.own_room_ms(&left, offer, &request.service, now_ms),
                age_ms: left.age_ms,
                share,
            })
        });
        let takers = known.filter(|t| t.there_ms <= bound_ms && t.room_ms >= request.work_ms);
        takers.collect()
    }

    /// Returns the work that this hub may still send to a domain, in milliseconds. Several hubs may send
    /// at once without knowing of each other, so each takes an equal part of the room.
    fn own_room_ms(
        &self,
        left: &RoomLeft,
        offer: &DomainOffer,
        service: &ServiceName,
        now_ms: u64,
    ) -> f64 {
        let senders = offer.senders.max(1) as f64;
        let key = (offer.domain.clone(), service.clone());
        let sent = self.sent.get(&key);
        let sent_ms = sent.map_or(0.0, |sum| sum.at(fade_of(left), now_ms));
        left.aged_ms() / senders - sent_ms
    }

    /// Returns the time constant with which work sent to a domain fades, in milliseconds.
    fn fade_ms(&self, domain: &FailureDomain, service: &ServiceName, now_ms: u64) -> f64 {
        let left = self.rooms.left(domain, service, now_ms);
        left.map_or(1.0, |left| fade_of(&left))
    }

    /// Removes lapsed figures, and shares and sent work that have not changed for long.
    pub fn tick(&mut self, now_ms: u64) {
        self.rooms.tick(now_ms);
        self.shares
            .retain(|_, share| now_ms < share.changed_ms() + KEPT_MS);
        self.sent
            .retain(|_, sum| now_ms < sum.changed_ms() + KEPT_MS);
    }
}

/// Returns the time in which the figures of a domain come to include the work sent there, in
/// milliseconds.
fn fade_of(left: &RoomLeft) -> f64 {
    left.lapse_ms as f64 / 2.0
}

/// Returns the low 32 bits of a random number as a fraction, from 0 to less than 1.
fn fraction(bits: u64) -> f64 {
    f64::from(bits as u32) / (f64::from(u32::MAX) + 1.0)
}

/// Draws one of the domains in proportion to their room.
///
/// # Panics
///
/// Panics if `takers` is empty.
fn draw_by_room(mut takers: Vec<SentAway>, fraction: f64) -> SentAway {
    let total: f64 = takers.iter().map(|t| t.room_ms).sum();
    let mut at = total * fraction;
    let drawn = takers.iter().position(|taker| {
        at -= taker.room_ms;
        at < 0.0
    });
    let last = takers.len() - 1;
    takers.swap_remove(drawn.unwrap_or(last))
}
