//! Random schedules of three daemons while their source returns from older copies of itself. Two of them
//! read it, the third only follows them. Listings and updates arrive late, in any order. What
//! the writers lost is written again. Once each daemon has the newest state, and the entries that
//! are still missing have expired, each knows exactly the source's upstreams, whatever arrives late.

use {
    crate::support::{source_id as id, source_upstream as upstream},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    saddlepulley::{
        names::{SourceEra, UpstreamId},
        upstreams::{DirectoryCursor, DirectoryUpdate, Upstream, UpstreamDirectory},
    },
    std::collections::BTreeMap,
};

const SCHEDULES: u64 = 30_000;
const STEPS: usize = 50;
const READERS: usize = 2;
const DAEMONS: usize = 3;
const UPSTREAMS: u32 = 4;
/// When missing entries expire. All steps come before that.
const UNTIL_MS: u64 = 1_000;

/// Whether a record says that its upstream is there.
type IsPresent = bool;

#[derive(Debug)]
struct Source {
    era: u64,
    log: Vec<(u32, IsPresent)>,
    /// Records that were lost, to be written again.
    lost: Vec<(u32, IsPresent)>,
}

#[derive(Clone, Debug)]
struct Listing {
    era: SourceEra,
    upstreams: Vec<Upstream>,
    end: u64,
}

impl Source {
    fn newest(&self) -> BTreeMap<u32, (u64, IsPresent)> {
        let records = (0..).zip(&self.log);
        records
            .map(|(offset, (of, is_present))| (*of, (offset, *is_present)))
            .collect()
    }

    fn listing(&self) -> Listing {
        let present = self.newest().into_iter().filter(|(_, (_, is))| *is);
        Listing {
            era: SourceEra::from_code(self.era),
            upstreams: present.map(|(of, (at, _))| upstream(of, at)).collect(),
            end: self.log.len() as u64,
        }
    }

    fn append(&mut self, of: u32, is_present: IsPresent) {
        self.lost.retain(|(lost, _)| *lost != of);
        self.log.push((of, is_present));
    }

    /// Returns from a copy that lacks some of the newest records.
    fn restore(&mut self, rng: &mut ChaCha8Rng) {
        let before = self.newest();
        self.log.truncate(rng.random_range(0..=self.log.len()));
        let after = self.newest();
        for (of, (_, is_present)) in before {
            let is_lost = after.get(&of).is_none_or(|(_, now)| *now != is_present);
            if is_lost && !self.lost.iter().any(|(lost, _)| *lost == of) {
                self.lost.push((of, is_present));
            }
        }
        self.era += 1;
    }
}

#[derive(Debug, Default)]
struct Daemon {
    directory: UpstreamDirectory,
    /// The era of the source and the next offset that it reads there.
    cursor: Option<(SourceEra, u64)>,
    listings: Vec<Listing>,
    updates: Vec<(usize, DirectoryUpdate)>,
    /// The daemon whose update it applied last, and the cursor of that update.
    known: Option<(usize, DirectoryCursor)>,
}

impl Daemon {
    fn apply_listing(&mut self, listing: Listing) {
        if self.directory.enter_era(listing.era, UNTIL_MS) {
            let upstreams = listing.upstreams;
            self.directory
                .replace(upstreams, listing.end, Some(UNTIL_MS));
            self.cursor = Some((listing.era, listing.end));
        }
    }

    fn apply_update(&mut self, from: usize, update: DirectoryUpdate) {
        let cursor = update.cursor;
        let is_applied = self.directory.apply_update(update, UNTIL_MS);
        self.known = is_applied.then_some((from, cursor));
    }

    fn ready(&self) -> Vec<UpstreamId> {
        let ready = self.directory.all().filter(|u| !u.draining);
        let mut ready: Vec<UpstreamId> = ready.map(|u| u.id.clone()).collect();
        ready.sort();
        ready
    }
}

struct World {
    source: Source,
    daemons: [Daemon; DAEMONS],
}

impl World {
    fn step(&mut self, rng: &mut ChaCha8Rng) {
        let own = rng.random_range(0..DAEMONS);
        match rng.random_range(0..12) {
            0 | 1 => {
                let of = rng.random_range(0..UPSTREAMS);
                self.source.append(of, rng.random_bool(0.6));
            }
            2 => self.source.restore(rng),
            3 => self.write_again(rng),
            4 if own < READERS => {
                let listing = self.source.listing();
                self.daemons[own].listings.push(listing);
            }
            5 | 6 => self.apply_a_listing(own, rng),
            7 => self.read_log(own),
            8 | 9 => self.query(own, rng.random_range(0..DAEMONS)),
            _ => self.apply_a_late_update(own, rng),
        }
    }

    fn write_again(&mut self, rng: &mut ChaCha8Rng) {
        let count = self.source.lost.len();
        if count > 0 {
            let (of, is_present) = self.source.lost.remove(rng.random_range(0..count));
            self.source.append(of, is_present);
        }
    }

    fn apply_a_listing(&mut self, own: usize, rng: &mut ChaCha8Rng) {
        let daemon = &mut self.daemons[own];
        let count = daemon.listings.len();
        if count > 0 {
            let listing = daemon.listings.remove(rng.random_range(0..count));
            daemon.apply_listing(listing);
        }
    }

    fn read_log(&mut self, own: usize) {
        let era = SourceEra::from_code(self.source.era);
        let daemon = &mut self.daemons[own];
        let Some((_, from)) = daemon.cursor.filter(|(read, _)| *read == era) else {
            return;
        };
        if !daemon.directory.enter_era(era, UNTIL_MS) {
            return;
        }
        for (offset, (of, is_present)) in (0..).zip(&self.source.log).skip(from as usize) {
            match is_present {
                true => {
                    daemon.directory.upsert(upstream(*of, offset));
                }
                false => daemon.directory.lapse(id(*of).upstream(), offset, UNTIL_MS),
            }
        }
        let end = self.source.log.len() as u64;
        daemon.directory.read_to(end);
        daemon.cursor = Some((era, end));
    }

    fn query(&mut self, own: usize, other: usize) {
        if own != other {
            let known = self.daemons[own].known.filter(|(from, _)| *from == other);
            let theirs = &self.daemons[other].directory;
            let update = theirs.update_since(known.map(|(_, cursor)| cursor));
            self.daemons[own].updates.push((other, update));
        }
    }

    /// Applies an update that was sent before, in any order. A daemon has one query open at a time, so an
    /// update of changes only counts if it follows the last one.
    fn apply_a_late_update(&mut self, own: usize, rng: &mut ChaCha8Rng) {
        let daemon = &mut self.daemons[own];
        let count = daemon.updates.len();
        if count > 0 {
            let (from, update) = daemon.updates.remove(rng.random_range(0..count));
            if update.is_complete {
                daemon.apply_update(from, update);
            }
        }
    }

    /// Lets all that was lost be written again, each upstream that is there write once more, and each daemon
    /// learn the newest state.
    fn calm_down(&mut self, rng: &mut ChaCha8Rng) {
        while !self.source.lost.is_empty() {
            self.write_again(rng);
        }
        for own in 0..READERS {
            let listing = self.source.listing();
            self.daemons[own].apply_listing(listing);
        }
        let newest = self.source.newest().into_iter();
        let present: Vec<u32> = newest
            .filter(|(_, (_, is))| *is)
            .map(|(of, _)| of)
            .collect();
        for of in present {
            self.source.append(of, true);
        }
        for own in 0..READERS {
            self.read_log(own);
        }
        for own in 0..DAEMONS {
            while !self.daemons[own].updates.is_empty() {
                self.apply_a_late_update(own, rng);
            }
        }
        for reader in &mut self.daemons[..READERS] {
            reader.directory.expire_lapsed(UNTIL_MS);
        }
        let from = rng.random_range(0..READERS);
        let update = self.daemons[from].directory.update_since(None);
        let follower = &mut self.daemons[READERS];
        follower.apply_update(from, update);
        follower.directory.expire_lapsed(UNTIL_MS);
    }

    fn check(&self, context: &str) {
        let listed = self.source.listing().upstreams.into_iter();
        let mut expected: Vec<UpstreamId> = listed.map(|u| u.id).collect();
        expected.sort();
        for (own, daemon) in self.daemons.iter().enumerate() {
            assert_eq!(daemon.ready(), expected, "{context}, daemon {own}");
        }
    }
}

/// Guards against requests to upstreams that have left, in any order of reads and updates between daemons.
#[test]
fn after_returns_of_the_source_in_any_order_each_daemon_agrees_with_it() {
    for seed in 0..SCHEDULES {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = World {
            source: Source {
                era: 4,
                log: Vec::new(),
                lost: Vec::new(),
            },
            daemons: Default::default(),
        };
        for _ in 0..STEPS {
            world.step(&mut rng);
        }
        world.calm_down(&mut rng);
        world.check(&format!("seed {seed}"));
    }
}
