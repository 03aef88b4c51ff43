use {
    crate::{
        cluster::*,
        names::{ClientAccount, UpstreamId},
        policy::SpeedSample,
    },
    std::collections::{HashMap, VecDeque},
};

/// The time without a message from a daemon after which it is removed, in milliseconds: several
/// of its report intervals.
const MEMBER_SILENT_MS: u64 = 2_000;
/// How long a placement counts that is not included in the daemon's loads, in milliseconds. The
/// daemon may not have received or used the answer.
const RESERVATION_MS: u64 = 1_500;
/// How many answers to a daemon's queries are kept, so that a repeated query gets the same answer.
const REMEMBERED_ANSWERS: usize = 64;
/// Time after the last repetition of a held query from which on its daemon counts as no longer
/// waiting, in milliseconds: several of the intervals at which queries are repeated.
const HELD_LAPSE_MS: u64 = 1_200;
/// How long after its last query a client account counts as used at a daemon, in milliseconds:
/// longer than the daemon may have to run without a hub.
const USED_MS: u64 = 30_000;
/// The window in which two daemons must fail to reach an upstream for it to count as unreachable
/// for all, in milliseconds. A single daemon may be cut off itself.
const UNREACHABLE_WINDOW_MS: u64 = 2_000;

/// A daemon that reports to this one.
#[derive(Debug, Default)]
struct Member {
    incarnation: u64,
    last_seen_ms: u64,
    /// True if it sends its admission queries to this daemon.
    is_dependent: bool,
    loads: ReceivedLoads,
    /// When its last complete loads arrived.
    loads_ms: u64,
    reservations: Vec<Reservation>,
    /// The number of the last event that was applied.
    last_event: u64,
    /// The number of the last sample of an upstream's speed that was applied.
    last_sample: u64,
    /// The number of its reports that requested all state, as counted for speeds of upstreams.
    speed_requests: usize,
    /// The number of the last batch of units admitted without a hub that was applied.
    last_standalone_batch: u64,
    /// The client accounts that it queried for, and the time of the last query.
    accounts: HashMap<ClientAccount, u64>,
    /// The index among the other accounts from which the next announcement continues.
    next_account: usize,
    /// The newest answers by query id.
    answers: VecDeque<(u64, HubDecision)>,
    /// When the queries of held requests last arrived, by query id.
    held_queries: HashMap<u64, u64>,
}

/// A placement that is not included in the daemon's loads yet.
#[derive(Debug)]
struct Reservation {
    /// The id of the admission query.
    query: u64,
    upstream: UpstreamId,
    /// The prompt tokens that the upstream has to process.
    tokens: u64,
    /// The tokens that the request holds in the upstream's memory.
    held_tokens: u64,
    at_ms: u64,
}

/// What of a report was not applied before.
#[derive(Debug, Default, PartialEq)]
pub struct ReportChanges {
    /// New events of the daemon's requests.
    pub events: Vec<MemberEvent>,
    /// The units that were admitted without a hub, by client account.
    pub admitted_standalone: Vec<(ClientAccount, f64)>,
}

/// The daemons that report to a hub. Times are milliseconds of the daemon's
/// steady clock.
#[derive(Debug, Default)]
pub struct MemberTable {
    members: HashMap<String, Member>,
    /// The daemon that last failed to reach an upstream, and when.
    unreachable: HashMap<UpstreamId, (String, u64)>,
}

impl MemberTable {
    /// Applies a report. Returns what was not applied before.
    pub fn apply_report(&mut self, report: &Report, now_ms: u64) -> ReportChanges {
        let member = self.member(&report.daemon.name, report.incarnation, now_ms);
        member.is_dependent = report.is_dependent;
        if !member.is_dependent {
            return ReportChanges::default();
        }
        let last_event = member.last_event;
        let fresh = report.events.iter().filter(|(n, _)| *n > last_event);
        let events = fresh.map(|(_, event)| event.clone()).collect();
        let newest = report.events.iter().map(|(n, _)| *n).max();
        member.last_event = last_event.max(newest.unwrap_or(0));
        let mut admitted_standalone = Vec::new();
        if report.standalone_batch > member.last_standalone_batch {
            member.last_standalone_batch = report.standalone_batch;
            let typed = |(name, units): &(String, f64)| (ClientAccount::from(&**name), *units);
            admitted_standalone = report.admitted_standalone.iter().map(typed).collect();
        }
        ReportChanges {
            events,
            admitted_standalone,
        }
    }

    /// Returns the samples of upstreams' speeds that were not applied before, of a daemon that sends
    /// its admission queries to this one.
    pub fn apply_samples(&mut self, part: &SamplesPart, now_ms: u64) -> Vec<SpeedSample> {
        let member = self.member(&part.name, part.incarnation, now_ms);
        let last_sample = member.last_sample;
        let fresh = part.samples.iter().filter(|(n, _)| *n > last_sample);
        let samples = fresh.map(|(_, sample)| sample.to_sample()).collect();
        let newest = part.samples.iter().map(|(n, _)| *n).max();
        member.last_sample = last_sample.max(newest.unwrap_or(0));
        samples
    }

    /// Counts a report by which a daemon requests all state. Returns how many were counted before; none
    /// for an unknown daemon.
    pub fn next_speed_request(&mut self, name: &str) -> Option<usize> {
        let member = self.members.get_mut(name)?;
        member.speed_requests += 1;
        Some(member.speed_requests - 1)
    }

    /// Keeps the tokens that go with a part of a daemon's loads, until this part is applied.
    pub fn apply_held(&mut self, part: &LoadsPart, held: HeldPart, now_ms: u64) {
        let member = self.member(&part.name, part.incarnation, now_ms);
        member.loads.apply_held(part, held);
    }

    /// Applies a part of a daemon's loads. When the loads are complete, drops the reservations that
    /// they include.
    pub fn apply_loads(&mut self, part: LoadsPart, now_ms: u64) {
        let member = self.member(&part.name, part.incarnation, now_ms);
        if member.loads.apply(part) {
            member.loads_ms = now_ms;
            let counted_up_to = member.loads.counted_up_to;
            member.reservations.retain(|r| r.query > counted_up_to);
        }
    }

    fn member(&mut self, name: &str, incarnation: u64, now_ms: u64) -> &mut Member {
        let member = self.members.entry(name.to_string()).or_default();
        if member.incarnation != incarnation {
            *member = Member {
                incarnation,
                ..Member::default()
            };
        }
        member.last_seen_ms = now_ms;
        member
    }

    /// Returns the answer that a query already got, and records that its daemon and its client
    /// account are in use.
    pub fn known_answer(&mut self, query: &AdmissionQuery, now_ms: u64) -> Option<HubDecision> {
        let member = self.member(&query.name, query.incarnation, now_ms);
        member.is_dependent = true;
        if let Some(quota) = &query.quota {
            let account = ClientAccount::from(quota.account.as_str());
            member.accounts.insert(account, now_ms);
        }
        if let Some(at_ms) = member.held_queries.get_mut(&query.id) {
            *at_ms = now_ms;
        }
        let known = member.answers.iter().find(|(id, _)| *id == query.id);
        known.map(|(_, decision)| decision.clone())
    }

    /// Keeps an answer, and adds a reservation at the upstream where the request was placed. `Held`
    /// does not replace a decision that is already known, since its query may be repeated.
    pub fn record_answer(&mut self, query: &AdmissionQuery, decision: &HubDecision, now_ms: u64) {
        let member = self.member(&query.name, query.incarnation, now_ms);
        let is_decided = |(id, d): &(u64, HubDecision)| *id == query.id && *d != HubDecision::Held;
        if *decision == HubDecision::Held && member.answers.iter().any(is_decided) {
            return;
        }
        member.reservations.retain(|r| r.query != query.id);
        if let HubDecision::Placed {
            upstream,
            unread_tokens,
            ..
        } = decision
        {
            member.reservations.push(Reservation {
                query: query.id,
                upstream: UpstreamId::from(upstream.as_str()),
                tokens: *unread_tokens,
                held_tokens: unread_tokens.saturating_add(query.placement.tokens_out),
                at_ms: now_ms,
            });
        }
        if *decision == HubDecision::Held {
            member.held_queries.insert(query.id, now_ms);
        } else {
            member.held_queries.remove(&query.id);
        }
        member.answers.retain(|(id, _)| *id != query.id);
        member.answers.push_back((query.id, decision.clone()));
        // The answer to a held request is dropped only once it is decided, as its query is repeated
        // until then.
        let is_decided = |(_, decision): &(u64, HubDecision)| *decision != HubDecision::Held;
        if member.answers.len() > REMEMBERED_ANSWERS
            && let Some(oldest) = member.answers.iter().position(is_decided)
        {
            member.answers.remove(oldest);
        }
    }

    /// Returns whether a daemon still waits for the decision on a held request. If not, forgets
    /// the query, so that it is decided anew should it arrive again.
    pub fn awaits_decision(&mut self, query: &AdmissionQuery, now_ms: u64) -> bool {
        let Some(member) = self.members.get_mut(&query.name) else {
            return false;
        };
        let at_ms = member.held_queries.get(&query.id).copied();
        let is_same = member.incarnation == query.incarnation;
        if is_same && at_ms.is_some_and(|at_ms| now_ms < at_ms + HELD_LAPSE_MS) {
            return true;
        }
        if is_same {
            member.held_queries.remove(&query.id);
            member.answers.retain(|(id, _)| *id != query.id);
        }
        false
    }

    /// Returns the client accounts to announce to a daemon, in parts: each time all that it uses,
    /// and the others in rotation as far as there is room.
    pub fn quotas_for(
        &mut self,
        name: &str,
        all: Vec<AnnouncedAccount>,
    ) -> Vec<Vec<AnnouncedAccount>> {
        let Some(member) = self.members.get_mut(name) else {
            return Vec::new();
        };
        let is_used = |a: &AnnouncedAccount| member.accounts.contains_key(a.name.as_str());
        let (mut announced, mut others): (Vec<_>, Vec<_>) = all.into_iter().partition(is_used);
        let used = announced.len();
        let begin = member.next_account.checked_rem(others.len()).unwrap_or(0);
        others.rotate_left(begin);
        announced.extend(others);
        let mut parts = Vec::new();
        let mut count = 0;
        for part in split_into_parts(announced) {
            if count > 0 && count >= used {
                break;
            }
            count += part.len();
            parts.push(part);
        }
        member.next_account = begin + count.saturating_sub(used);
        parts
    }

    /// Records that a daemon could not reach an upstream. Returns true if another daemon failed to
    /// reach it shortly before.
    pub fn is_unreachable_for_others(&mut self, name: &str, id: &UpstreamId, now_ms: u64) -> bool {
        let before = self
            .unreachable
            .insert(id.clone(), (name.to_string(), now_ms));
        before.is_some_and(|(by, at_ms)| by != name && now_ms < at_ms + UNREACHABLE_WINDOW_MS)
    }

    /// Removes silent daemons, and expired reservations, accounts and unreachable upstreams.
    pub fn tick(&mut self, now_ms: u64) {
        self.members
            .retain(|_, m| now_ms < m.last_seen_ms + MEMBER_SILENT_MS);
        for member in self.members.values_mut() {
            member
                .reservations
                .retain(|r| now_ms < r.at_ms + RESERVATION_MS);
            member.accounts.retain(|_, at_ms| now_ms < *at_ms + USED_MS);
        }
        self.unreachable
            .retain(|_, (_, at_ms)| now_ms < *at_ms + UNREACHABLE_WINDOW_MS);
    }

    /// Returns the number of daemons that send their admission queries to this one, itself included.
    pub fn dependents(&self) -> u32 {
        1 + self.members.values().filter(|m| m.is_dependent).count() as u32
    }

    /// Returns the age of the oldest loads of a dependent daemon, in milliseconds.
    pub fn oldest_loads_ms(&self, now_ms: u64) -> u64 {
        let dependents = self.members.values().filter(|m| m.is_dependent);
        let ages = dependents.map(|m| now_ms.saturating_sub(m.loads_ms));
        ages.max().unwrap_or(0)
    }

    /// Returns the number of dependent daemons, and the sum of the ages of their loads in
    /// milliseconds.
    pub fn loads_ages(&self, now_ms: u64) -> (u64, u64) {
        let dependents = self.members.values().filter(|m| m.is_dependent);
        let ages = dependents.map(|m| now_ms.saturating_sub(m.loads_ms));
        ages.fold((0, 0), |(count, sum), age_ms| (count + 1, sum + age_ms))
    }

    /// Calls `visit` with the requests and waiting prompt tokens of each load of the dependent
    /// daemons, and of each reservation.
    pub fn each_load(&self, mut visit: impl FnMut(&UpstreamId, u32, u64)) {
        for member in self.members.values().filter(|m| m.is_dependent) {
            for (id, active, tokens) in &member.loads.loads {
                visit(id, *active, *tokens);
            }
            for reservation in &member.reservations {
                visit(&reservation.upstream, 1, reservation.tokens);
            }
        }
    }

    /// Calls `visit` with the requests of each load of the dependent daemons and of each reservation,
    /// and with the tokens that they hold in the upstream's memory, if these are known.
    pub fn each_held(&self, mut visit: impl FnMut(&UpstreamId, u32, Option<u64>)) {
        for member in self.members.values().filter(|m| m.is_dependent) {
            member.loads.each_held(&mut visit);
            for reservation in &member.reservations {
                visit(&reservation.upstream, 1, Some(reservation.held_tokens));
            }
        }
    }
}
