use {
    crate::cluster::*,
    crate::names::{ClientAccount, UpstreamId},
    std::collections::{HashMap, VecDeque},
};

/// How long a daemon counts whose reports stay away, in milliseconds: some of
/// its periods.
const MEMBER_SILENT_MS: u64 = 2_000;
/// How long a placement counts that no report has counted in, in milliseconds:
/// the question may have been answered in vain.
const BOOKED_MS: u64 = 1_500;
/// How many answers to a daemon's questions are remembered: asked again, it gets
/// the same one.
const REMEMBERED_ANSWERS: usize = 64;
/// For how long an account counts as one whose requests come to a daemon, in milliseconds:
/// longer than it may have to do without a hub.
const USED_MS: u64 = 30_000;
/// Within how many milliseconds two daemons must miss an upstream for it to
/// count as gone for all: one may only be cut off itself.
const MISSED_WITHIN_MS: u64 = 2_000;

/// A daemon that reports to this one.
#[derive(Debug, Default)]
struct Member {
    incarnation: u64,
    last_seen_ms: u64,
    /// Whether it lets its requests in through this daemon.
    leans: bool,
    loads: ReceivedLoads,
    /// When its loads were last told whole.
    loads_ms: u64,
    booked: Vec<Booking>,
    last_event: u64,
    last_alone: u64,
    /// The client accounts whose requests it asked to let in, and when last.
    accounts: HashMap<ClientAccount, u64>,
    /// Where its next turn among the other accounts begins.
    next_account: usize,
    answers: VecDeque<(u64, HubDecision)>,
}

/// A placement that no report has counted in yet.
#[derive(Debug)]
struct Booking {
    query: u64,
    upstream: UpstreamId,
    tokens: u64,
    at_ms: u64,
}

/// The changes that a report brought.
#[derive(Debug, Default, PartialEq)]
pub struct ReportChanges {
    /// What happened to requests.
    pub events: Vec<MemberEvent>,
    /// What was let in without a hub, by client account.
    pub admitted_standalone: Vec<(ClientAccount, f64)>,
}

/// The daemons that report to a hub. Times are milliseconds of the daemon's
/// steady clock.
#[derive(Debug, Default)]
pub struct MemberTable {
    members: HashMap<String, Member>,
    /// Who missed an upstream last, and when.
    missed: HashMap<UpstreamId, (String, u64)>,
}

impl MemberTable {
    /// Takes in a report; returns what is new.
    pub fn apply_report(&mut self, report: &Report, now_ms: u64) -> ReportChanges {
        let member = self.member(&report.daemon.name, report.incarnation, now_ms);
        member.leans = report.is_dependent;
        if !member.leans {
            return ReportChanges::default();
        }
        let last_event = member.last_event;
        let fresh = report.events.iter().filter(|(n, _)| *n > last_event);
        let events = fresh.map(|(_, event)| event.clone()).collect();
        let newest = report.events.iter().map(|(n, _)| *n).max();
        member.last_event = last_event.max(newest.unwrap_or(0));
        let mut admitted_standalone = Vec::new();
        if report.standalone_batch > member.last_alone {
            member.last_alone = report.standalone_batch;
            let typed = |(name, units): &(String, f64)| (ClientAccount::from(&**name), *units);
            admitted_standalone = report.admitted_standalone.iter().map(typed).collect();
        }
        ReportChanges {
            events,
            admitted_standalone,
        }
    }

    /// Takes in what a daemon has at upstreams.
    pub fn apply_loads(&mut self, part: LoadsPart, now_ms: u64) {
        let member = self.member(&part.name, part.incarnation, now_ms);
        if member.loads.apply(part) {
            member.loads_ms = now_ms;
            let counted = member.loads.counted;
            member.booked.retain(|b| b.query > counted);
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

    /// Returns the answer that a question already got.
    pub fn known_answer(&mut self, query: &AdmissionQuery, now_ms: u64) -> Option<HubDecision> {
        let member = self.member(&query.name, query.incarnation, now_ms);
        member.leans = true;
        if let Some(quota) = &query.quota {
            let account = ClientAccount::from(quota.account.as_str());
            member.accounts.insert(account, now_ms);
        }
        let known = member.answers.iter().find(|(id, _)| *id == query.id);
        known.map(|(_, decision)| decision.clone())
    }

    /// Remembers an answer, and counts the request in where it was placed.
    pub fn record_answer(&mut self, query: &AdmissionQuery, decision: &HubDecision, now_ms: u64) {
        let member = self.member(&query.name, query.incarnation, now_ms);
        if let HubDecision::Placed {
            upstream,
            unread_tokens,
            ..
        } = decision
        {
            member.booked.push(Booking {
                query: query.id,
                upstream: UpstreamId::from(upstream.as_str()),
                tokens: *unread_tokens,
                at_ms: now_ms,
            });
        }
        member.answers.retain(|(id, _)| *id != query.id);
        member.answers.push_back((query.id, decision.clone()));
        if member.answers.len() > REMEMBERED_ANSWERS {
            member.answers.pop_front();
        }
    }

    /// Returns what to tell a daemon of the client accounts: of those whose requests come to
    /// it each time, of the others by turns, as far as there is room.
    pub fn quotas_for(
        &mut self,
        name: &str,
        all: Vec<AnnouncedAccount>,
    ) -> Vec<Vec<AnnouncedAccount>> {
        let Some(member) = self.members.get_mut(name) else {
            return Vec::new();
        };
        let is_used = |told: &AnnouncedAccount| member.accounts.contains_key(told.name.as_str());
        let (mut told, mut others): (Vec<_>, Vec<_>) = all.into_iter().partition(is_used);
        let used = told.len();
        let begin = member.next_account.checked_rem(others.len()).unwrap_or(0);
        others.rotate_left(begin);
        told.extend(others);
        let mut parts = Vec::new();
        let mut count = 0;
        for part in in_parts(told) {
            if count > 0 && count >= used {
                break;
            }
            count += part.len();
            parts.push(part);
        }
        member.next_account = begin + count.saturating_sub(used);
        parts
    }

    /// Notes that a daemon could not reach an upstream; returns whether another
    /// one missed it just before.
    pub fn is_unreachable_for_others(&mut self, name: &str, id: &UpstreamId, now_ms: u64) -> bool {
        let before = self.missed.insert(id.clone(), (name.to_string(), now_ms));
        before.is_some_and(|(by, at_ms)| by != name && now_ms < at_ms + MISSED_WITHIN_MS)
    }

    /// Forgets daemons that fell silent, and placements that came to nothing.
    pub fn tick(&mut self, now_ms: u64) {
        self.members
            .retain(|_, m| now_ms < m.last_seen_ms + MEMBER_SILENT_MS);
        for member in self.members.values_mut() {
            member.booked.retain(|b| now_ms < b.at_ms + BOOKED_MS);
            member.accounts.retain(|_, at_ms| now_ms < *at_ms + USED_MS);
        }
        self.missed
            .retain(|_, (_, at_ms)| now_ms < *at_ms + MISSED_WITHIN_MS);
    }

    /// Returns how many daemons let their requests in through this one, itself
    /// included.
    pub fn dependents(&self) -> u32 {
        1 + self.members.values().filter(|m| m.leans).count() as u32
    }

    /// Returns how old the oldest loads are that such a daemon told, in
    /// milliseconds.
    pub fn oldest_loads_ms(&self, now_ms: u64) -> u64 {
        let dependents = self.members.values().filter(|m| m.leans);
        let ages = dependents.map(|m| now_ms.saturating_sub(m.loads_ms));
        ages.max().unwrap_or(0)
    }

    /// Returns how many such daemons there are, and how old their loads are in sum, in
    /// milliseconds.
    pub fn loads_ages(&self, now_ms: u64) -> (u64, u64) {
        let dependents = self.members.values().filter(|m| m.leans);
        let ages = dependents.map(|m| now_ms.saturating_sub(m.loads_ms));
        ages.fold((0, 0), |(count, sum), age_ms| (count + 1, sum + age_ms))
    }

    /// Tells what those daemons have at upstreams: requests and waiting prompt
    /// tokens.
    pub fn each_load(&self, mut tell: impl FnMut(&UpstreamId, u32, u64)) {
        for member in self.members.values().filter(|m| m.leans) {
            for (id, active, tokens) in &member.loads.loads {
                tell(id, *active, *tokens);
            }
            for booking in &member.booked {
                tell(&booking.upstream, 1, booking.tokens);
            }
        }
    }
}
