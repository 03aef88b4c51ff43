//! Quotas over several daemons, under seeds: lag, cuts and restarts.

use {
    crate::cluster_support::{address, announced_account},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    saddlepulley::{
        cluster::{AnnouncedAccount, Listener, QuotaAnnouncer},
        names::ClientAccount,
        policy::*,
        routing::AccountTerms,
    },
    std::collections::{BTreeSet, HashMap},
};

const RATE: f64 = 100_000.0;
const BURST: f64 = 100_000.0;
const TICK_MS: u64 = 250;
const WINDOW_MS: u64 = 8_000;
const LATE_MS: u64 = 400;
const SILENT_MS: u64 = 700;

fn terms() -> AccountTerms {
    AccountTerms {
        name: ClientAccount::from("t"),
        keys: vec!["k".into()],
        priority: None,
        rate_per_s: RATE,
        burst: BURST,
        plain_cost: 200.0,
        counts_tokens: true,
    }
}

const BOUNDS: QuotaBounds = QuotaBounds {
    window_s: WINDOW_MS as f64 / 1_000.0,
    overshoot: 0.1,
    tolerance: 72_000.0,
};

/// Daemons that offer `offered` times the rate together; `cut` says which are
/// cut off from all others at a time. Returns what was let in, by time.
struct Fleet {
    terms: AccountTerms,
    books: Vec<QuotaTable>,
    news: Vec<QuotaAnnouncer>,
    lives: Vec<u64>,
    started_ms: Vec<u64>,
    heard: Vec<HashMap<usize, (u64, Vec<QuotaNotice>)>>,
    admitted: Vec<(u64, f64)>,
    refused: f64,
    /// How many of what is told of quotas is lost.
    loss: f64,
    rng: ChaCha8Rng,
}

impl Fleet {
    fn new(daemons: usize, seed: u64) -> Self {
        Self {
            terms: terms(),
            books: vec![QuotaTable::new(BOUNDS); daemons],
            news: (0..daemons).map(|_| QuotaAnnouncer::default()).collect(),
            lives: (0..daemons as u64).collect(),
            started_ms: vec![0; daemons],
            heard: vec![HashMap::new(); daemons],
            admitted: Vec::new(),
            refused: 0.0,
            loss: 0.0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn restart(&mut self, daemon: usize) {
        self.books[daemon] = QuotaTable::new(BOUNDS);
        self.news[daemon] = QuotaAnnouncer::default();
        self.lives[daemon] += 1_000;
        self.started_ms[daemon] = self.admitted.last().map_or(0, |(at, _)| *at);
        self.heard[daemon].clear();
    }

    fn run(&mut self, until_ms: u64, offered: f64, cut: impl Fn(usize, u64) -> bool) {
        let from_ms = self
            .admitted
            .last()
            .map_or(0, |(at, _)| *at / TICK_MS * TICK_MS);
        let mut now_ms = from_ms;
        while now_ms < until_ms {
            self.tell(now_ms, &cut);
            self.offer(now_ms, offered);
            now_ms += TICK_MS;
        }
    }

    fn tell(&mut self, now_ms: u64, cut: &impl Fn(usize, u64) -> bool) {
        let daemons = self.books.len();
        for from in 0..daemons {
            let others = self.others_of(from, now_ms);
            let notices =
                self.books[from].tick(std::slice::from_ref(&self.terms), &others, daemons, now_ms);
            let listeners = self.listeners_of(from);
            let told = notices.iter().map(AnnouncedAccount::of).collect();
            let told = self.news[from].due(told, listeners);
            let notices: Vec<_> = told.iter().map(AnnouncedAccount::notice).collect();
            for to in (0..daemons).filter(|to| *to != from) {
                if cut(from, now_ms) || cut(to, now_ms) {
                    continue;
                }
                let node = from.to_string();
                let is_younger = self.started_ms[from] >= self.started_ms[to];
                let incarnation = self.lives[from];
                let heard = self.heard[to].entry(from).or_default();
                heard.0 = now_ms;
                if notices.is_empty() || self.rng.random_bool(self.loss) {
                    continue;
                }
                heard.1 = notices.clone();
                self.books[to].apply(&node, incarnation, &notices, is_younger, now_ms);
            }
        }
    }

    /// Those that one has heard itself, silent ones too.
    fn listeners_of(&self, at: usize) -> BTreeSet<Listener> {
        let heard = self.heard[at].keys();
        heard
            .map(|from| (address(*from), self.lives[*from]))
            .collect()
    }

    fn others_of(&self, at: usize, now_ms: u64) -> HashMap<ClientAccount, Vec<OtherDaemon>> {
        let mut others: HashMap<ClientAccount, Vec<OtherDaemon>> = HashMap::new();
        for (from, (last_seen_ms, notices)) in &self.heard[at] {
            for notice in notices {
                others
                    .entry(notice.account.clone())
                    .or_default()
                    .push(OtherDaemon {
                        node: from.to_string(),
                        weight: notice.weight,
                        last_seen_ms: *last_seen_ms,
                        late: now_ms > last_seen_ms + LATE_MS,
                        silent: now_ms >= last_seen_ms + SILENT_MS,
                        replaced: false,
                    });
            }
        }
        others
    }

    fn offer(&mut self, now_ms: u64, offered: f64) {
        let daemons = self.books.len();
        let mut left = self.terms.rate_per_s * offered * TICK_MS as f64 / 1_000.0;
        while left > 0.0 {
            let cost = self.rng.random_range(500.0..15_000.0_f64);
            let at = self.rng.random_range(0..daemons);
            left -= cost;
            let start_part = 1.0 / daemons as f64;
            let at_ms = now_ms + self.rng.random_range(0..TICK_MS);
            self.books[at].record_demand(&self.terms, cost, start_part, at_ms);
            match self.books[at].admit(&self.terms, cost, start_part, at_ms) {
                Ok(()) => self.admitted.push((at_ms, cost)),
                Err(_) => self.refused += cost,
            }
        }
    }

    /// The most that was let in within any window.
    fn worst_window(&self) -> f64 {
        let starts = self.admitted.iter().map(|(at, _)| *at);
        let sums = starts.map(|start| {
            let inside = |at: u64| at >= start && at < start + WINDOW_MS;
            let inside = self.admitted.iter().filter(|(at, _)| inside(*at));
            inside.map(|(_, cost)| cost).sum::<f64>()
        });
        sums.fold(0.0, f64::max)
    }
}

/// A limit that may not be exceeded at all.
fn exact(rate: f64, burst: f64) -> QuotaLimit {
    QuotaLimit {
        rate,
        burst,
        slack: 0.0,
    }
}

/// What a window may hold at most: a tenth and some requests on top.
fn allowed() -> f64 {
    (RATE * WINDOW_MS as f64 / 1_000.0 + BURST) * 1.1 + 72_000.0
}

#[test]
fn offers_below_the_rate_are_let_in() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(8, seed);
        fleet.run(3_000, 0.4, |_, _| false);
        fleet.refused = 0.0;
        fleet.run(30_000, 0.5, |_, _| false);
        let offered: f64 = fleet.admitted.iter().map(|(_, cost)| cost).sum();
        assert!(
            fleet.refused < offered * 0.01,
            "seed {seed}: {}",
            fleet.refused
        );
    }
}

#[test]
fn large_requests_of_a_account_with_a_small_limit_are_let_in_below_it() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(7, seed);
        fleet.terms.rate_per_s = 60_000.0;
        fleet.terms.burst = 60_000.0;
        fleet.run(3_000, 0.5, |_, _| false);
        fleet.refused = 0.0;
        fleet.run(30_000, 0.6, |_, _| false);
        let offered: f64 = fleet.admitted.iter().map(|(_, cost)| cost).sum();
        assert!(
            fleet.refused < offered * 0.02,
            "seed {seed}: {} of {offered}",
            fleet.refused
        );
    }
}

#[test]
fn after_a_loss_of_all_daemons_most_offers_below_the_rate_are_let_in_at_once() {
    let (mut refused, mut offered) = (0.0, 0.0);
    for seed in 0..40 {
        let mut fleet = Fleet::new(7, seed);
        fleet.run(5_000, 0.6, |_, _| false);
        (0..7).for_each(|daemon| fleet.restart(daemon));
        fleet.started_ms = vec![5_000; 7];
        fleet.refused = 0.0;
        fleet.run(7_000, 0.8, |_, _| false);
        refused += fleet.refused;
        offered += RATE * 0.8 * 2.0;
    }
    assert!(refused < offered * 0.15, "{}", refused / offered);
}

#[test]
fn restarts_one_after_the_other_do_not_add_up() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(7, seed);
        fleet.run(6_000, 4.0, |_, _| false);
        for daemon in 0..7 {
            fleet.restart(daemon);
            let until_ms = 7_000 + 1_000 * daemon as u64;
            fleet.run(until_ms, 4.0, |_, _| false);
        }
        let worst = fleet.worst_window();
        assert!(worst <= allowed(), "seed {seed}: {worst} of {}", allowed());
    }
}

#[test]
fn a_account_that_sends_many_times_its_quota_is_held_to_it() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(8, seed);
        fleet.run(5_000, 0.5, |_, _| false);
        fleet.run(25_000, 5.0, |_, _| false);
        let worst = fleet.worst_window();
        assert!(worst <= allowed(), "seed {seed}: {worst} of {}", allowed());
    }
}

#[test]
fn daemons_that_are_cut_off_do_not_add_up_to_more() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(6, seed);
        fleet.run(5_000, 0.9, |_, _| false);
        // Two of six are alone; each of them is cut off from the other too.
        fleet.run(20_000, 4.0, |daemon, _| daemon < 2);
        let worst = fleet.worst_window();
        assert!(worst <= allowed(), "seed {seed}: {worst} of {}", allowed());
    }
}

#[test]
fn all_daemons_killed_twice_do_not_spend_their_bursts_anew() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(8, seed);
        fleet.run(5_000, 1.0, |_, _| false);
        fleet.run(6_000, 4.8, |_, _| false);
        for kill_ms in [6_000, 10_000] {
            (0..8).for_each(|daemon| fleet.restart(daemon));
            fleet.run(kill_ms + 4_000, 4.8, |_, _| false);
        }
        let worst = fleet.worst_window();
        assert!(worst <= allowed(), "seed {seed}: {worst} of {}", allowed());
    }
}

#[test]
fn the_quota_holds_where_some_of_what_is_told_is_lost() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(15, seed);
        fleet.loss = 0.1;
        fleet.run(5_000, 0.9, |_, _| false);
        (0..3).for_each(|daemon| fleet.restart(daemon));
        fleet.run(20_000, 4.0, |_, _| false);
        let worst = fleet.worst_window();
        assert!(worst <= allowed(), "seed {seed}: {worst} of {}", allowed());
    }
}

/// Hubs told each other all accounts four times a second: of 333 accounts 0.7 MB a second
/// out of each of 15 hubs, whether any request came or not.
#[test]
fn what_hubs_tell_each_other_grows_with_the_accounts_in_use() {
    const HUBS: usize = 15;
    const IN_USE: usize = 20;
    const ANNOUNCEMENTS: usize = 400;
    for accounts in [40, 333, 2_000] {
        let all: Vec<AnnouncedAccount> = (0..accounts).map(announced_account).collect();
        let mut news = QuotaAnnouncer::default();
        let listeners: BTreeSet<Listener> = (0..HUBS).map(|n| (address(n), 1)).collect();
        let mut told = HashMap::<String, usize>::new();
        let mut count = 0;
        for n in 0..ANNOUNCEMENTS {
            let mut now = all.clone();
            now[n % IN_USE].admitted += n as f64;
            // The number of daemons that are heard moves all the time.
            let moved = 1.0 - (n % 3) as f32 / 100.0;
            now.iter_mut().for_each(|account| account.weight *= moved);
            for account in news.due(now, listeners.clone()) {
                *told.entry(account.name).or_default() += 1;
                count += 1;
            }
        }
        assert_eq!(told.len(), accounts);
        let by_turns = ANNOUNCEMENTS * accounts / 8;
        assert!(
            count <= by_turns + 5 * accounts + 5 * ANNOUNCEMENTS,
            "{count}"
        );
        assert!(told.values().all(|times| *times >= ANNOUNCEMENTS / 8));
        // One that started anew needs to know what is left of each.
        let mut anew = listeners.clone();
        anew.remove(&(address(3), 1));
        anew.insert((address(3), 2));
        assert_eq!(news.due(all.clone(), anew).len(), accounts);
    }
}

#[test]
fn a_refused_request_is_told_when_to_come_back() {
    let limit = exact(100.0, 1_000.0);
    let mut account = QuotaAccount::new(1.0, &limit, 0);
    let wait = account.admit(200.0, &limit, 0).unwrap_err();
    let wait_ms = wait.retry_after_ms();
    assert_eq!(wait, QuotaWait::UsedUp(wait_ms));
    assert!((700..=900).contains(&wait_ms), "{wait_ms}");
    assert_eq!(account.admit(200.0, &limit, wait_ms), Ok(()));
}

#[test]
fn one_that_is_out_of_turn_is_told_to_wait_for_the_next_notices() {
    let limit = exact(100_000.0, 100_000.0);
    let mut account = QuotaAccount::new(0.1, &limit, 0);
    let other = OtherDaemon {
        node: "b".into(),
        weight: 90_000.0,
        last_seen_ms: 5_000,
        late: true,
        silent: false,
        replaced: false,
    };
    account.tick(10_000.0, std::slice::from_ref(&other), &limit, 5_000);
    assert!(!account.should_announce(limit.burst));
    let wait = account.admit(30_000.0, &limit, 5_001).unwrap_err();
    assert_eq!(wait, QuotaWait::NotYetDue, "larger than its part");
    assert!((100..=300).contains(&wait.retry_after_ms()));
    assert!(
        account.should_announce(limit.burst),
        "others should hear soon"
    );
    // What it left unused of its parts lets a larger request in, once.
    for now_ms in [5_250, 5_500] {
        account.tick(10_000.0, std::slice::from_ref(&other), &limit, now_ms);
    }
    assert_eq!(account.admit(30_000.0, &limit, 5_501), Ok(()));
    let wait = account.admit(30_000.0, &limit, 5_502).unwrap_err();
    assert_eq!(wait, QuotaWait::NotYetDue);
}

#[test]
fn the_quota_holds_when_all_of_a_large_system_restart_twice() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(40, seed);
        fleet.run(9_000, 6.0, |_, _| false);
        for until_ms in [12_000, 20_000] {
            let now_ms = fleet.admitted.last().map_or(0, |(at, _)| *at);
            (0..40).for_each(|daemon| fleet.restart(daemon));
            fleet.started_ms = vec![now_ms; 40];
            fleet.run(until_ms, 6.0, |_, _| false);
        }
        let worst = fleet.worst_window();
        assert!(worst <= allowed(), "seed {seed}: {worst}");
    }
}

/// A daemon whose notices came late has let nothing in meanwhile.
#[test]
fn what_was_charged_for_a_silent_daemon_is_given_back_when_it_is_heard() {
    let limit = exact(100_000.0, 100_000.0);
    let mut account = QuotaAccount::new(0.5, &limit, 0);
    let others = |last_seen_ms: u64, silent: bool| {
        [OtherDaemon {
            node: "b".into(),
            weight: 50_000.0,
            last_seen_ms,
            late: silent,
            silent,
            replaced: false,
        }]
    };
    account.apply("b", 1, 0.0, false);
    account.tick(50_000.0, &others(2_000, false), &limit, 2_000);
    assert_eq!(account.level(), 100_000.0, "the bucket is full");
    account.tick(50_000.0, &others(2_000, true), &limit, 5_000);
    assert!(account.level() < 0.0, "charged: {}", account.level());
    account.apply("b", 1, 0.0, false);
    account.tick(50_000.0, &others(5_000, false), &limit, 5_001);
    assert_eq!(account.level(), 100_000.0, "it had let nothing in");
}

#[test]
fn daemons_that_seem_silent_while_they_start_cost_their_accounts_nothing() {
    let (mut refused, mut offered) = (0.0, 0.0);
    for seed in 0..5 {
        let mut fleet = Fleet::new(15, seed);
        // Each seems silent to the others for some seconds: they go by a
        // shorter period than its own.
        fleet.run(4_000, 0.1, |daemon, now_ms| now_ms > 500 && daemon % 2 == 0);
        fleet.run(4_500, 0.0, |_, _| false);
        fleet.refused = 0.0;
        fleet.run(10_000, 0.5, |_, _| false);
        refused += fleet.refused;
        offered += RATE * 0.5 * 5.5;
    }
    assert!(refused < offered * 0.01, "{}", refused / offered);
}

#[test]
fn waiting_is_worthwhile_only_while_an_account_asks_for_no_more_than_its_rate() {
    for (offered, is_within) in [(0.5, true), (3.0, false)] {
        let mut fleet = Fleet::new(8, 1);
        fleet.run(6_000, offered, |_, _| false);
        for quota_table in &fleet.books {
            assert_eq!(
                quota_table.is_within_rate(&fleet.terms),
                is_within,
                "{offered}"
            );
        }
    }
}
