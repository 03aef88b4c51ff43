//! Random schedules of three daemons that learn of upstreams from one source and from each
//! other: full listings and updates that are outdated when they arrive, parts of the log,
//! and removals that arrive before their entries. In any order, each daemon knows exactly
//! the state of the source as of the position up to which it has read or received updates.

use {
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    saddlepulley::{
        names::{FailureDomain, ServiceName, UpstreamId},
        upstreams::{
            DirectoryChanges, DirectoryCursor, DirectoryUpdate, Upstream, UpstreamDirectory,
        },
    },
    std::collections::BTreeMap,
};

const SCHEDULES: u64 = 30_000;
const STEPS: usize = 70;
const DAEMONS: usize = 3;
const UPSTREAMS: usize = 4;

/// The state of an upstream in a record of the source.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Record {
    Ready(u64),
    Draining(u64),
    /// The entry is removed or is not valid.
    Nothing,
}

#[derive(Debug, Default)]
struct Source {
    log: Vec<(usize, Record)>,
}

fn key(upstream: usize) -> String {
    format!("b{upstream}")
}

fn upstream(of: usize, record: Record, offset: usize) -> Option<Upstream> {
    let (started_ms, draining) = match record {
        Record::Ready(incarnation) => (incarnation, false),
        Record::Draining(incarnation) => (incarnation, true),
        Record::Nothing => return None,
    };
    Some(Upstream {
        id: UpstreamId::of_incarnation(&key(of), started_ms),
        service: ServiceName::from("s"),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: FailureDomain::from("a"),
        slots: 8,
        draining,
        version: Default::default(),
        reclaimable: false,
        offset: offset as u64,
    })
}

impl Source {
    fn newest(&self, end: usize) -> BTreeMap<usize, (usize, Record)> {
        let records = self.log[..end].iter().enumerate();
        records
            .map(|(offset, (of, record))| (*of, (offset, *record)))
            .collect()
    }

    fn listing(&self) -> (Vec<Upstream>, usize) {
        let newest = self.newest(self.log.len());
        let listed = newest.into_iter();
        let listed = listed.filter_map(|(of, (offset, record))| upstream(of, record, offset));
        (listed.collect(), self.log.len())
    }

    /// Appends a possible next record of an upstream: an incarnation that drains is never
    /// ready again.
    fn append(&mut self, rng: &mut ChaCha8Rng) {
        let of = rng.random_range(0..UPSTREAMS);
        let mine = self.log.iter().filter(|(other, _)| *other == of);
        let records: Vec<Record> = mine.map(|(_, record)| *record).collect();
        let incarnation = |record: &Record| match record {
            Record::Ready(incarnation) | Record::Draining(incarnation) => Some(*incarnation),
            Record::Nothing => None,
        };
        let newest = records.iter().filter_map(incarnation).max().unwrap_or(0);
        let has_drained = records.contains(&Record::Draining(newest));
        let next = match rng.random_range(0..5) {
            0 => Record::Nothing,
            1 => Record::Ready(newest + 1),
            2 if newest > 0 => Record::Draining(newest),
            _ if newest > 0 && !has_drained => Record::Ready(newest),
            _ => Record::Ready(newest + 1),
        };
        self.log.push((of, next));
    }
}

#[derive(Debug, Default)]
struct Daemon {
    directory: UpstreamDirectory,
    /// The next offset of the log that it reads.
    cursor: Option<usize>,
    /// A listing in transit to it.
    listing: Option<(Vec<Upstream>, usize)>,
    /// An update in transit to it, with the daemon that sent it.
    update: Option<(usize, Update)>,
    /// The daemon whose update it applied last, and the cursor of that update.
    known: Option<(usize, DirectoryCursor)>,
    /// True if its build goes by offsets.
    goes_by_offsets: bool,
}

#[derive(Debug)]
enum Update {
    /// The form that builds that go by offsets send and receive.
    ByOffsets(DirectoryChanges),
    ByRevisions(DirectoryUpdate),
}

struct World {
    source: Source,
    daemons: [Daemon; DAEMONS],
}

impl World {
    fn step(&mut self, rng: &mut ChaCha8Rng) {
        let own = rng.random_range(0..DAEMONS);
        match rng.random_range(0..9) {
            0 | 1 => self.source.append(rng),
            2 => self.daemons[own].listing = Some(self.source.listing()),
            3 => self.apply_listing(own),
            4 | 5 => self.read_log(own, rng),
            6 => self.query(own, rng.random_range(0..DAEMONS)),
            _ => self.apply_pending_update(own),
        }
    }

    fn apply_listing(&mut self, own: usize) {
        let daemon = &mut self.daemons[own];
        if let Some((listing, end)) = daemon.listing.take() {
            daemon.directory.replace(listing, end as u64, None);
            daemon.cursor = Some(end);
        }
    }

    fn read_log(&mut self, own: usize, rng: &mut ChaCha8Rng) {
        let daemon = &mut self.daemons[own];
        let Some(from) = daemon.cursor else {
            return;
        };
        let end = rng.random_range(from..=self.source.log.len());
        for (offset, (of, record)) in self.source.log[..end].iter().enumerate().skip(from) {
            match upstream(*of, *record, offset) {
                Some(upstream) => {
                    daemon.directory.upsert(upstream);
                }
                None => daemon.directory.remove(&key(*of), offset as u64),
            }
        }
        daemon.directory.read_to(end as u64);
        daemon.cursor = Some(end);
    }

    fn query(&mut self, own: usize, other: usize) {
        if own == other {
            return;
        }
        let known = self.daemons[own].known.filter(|(from, _)| *from == other);
        let known = known.map(|(_, cursor)| cursor);
        let theirs = &self.daemons[other].directory;
        let update = match self.daemons[own].goes_by_offsets || self.daemons[other].goes_by_offsets
        {
            true => Update::ByOffsets(theirs.changes_since(known)),
            false => Update::ByRevisions(theirs.update_since(known)),
        };
        self.daemons[own].update = Some((other, update));
    }

    fn apply_pending_update(&mut self, own: usize) {
        let daemon = &mut self.daemons[own];
        match daemon.update.take() {
            None => {}
            Some((from, Update::ByOffsets(changes))) => {
                daemon.known = Some((from, changes.cursor));
                daemon.directory.apply(changes);
            }
            Some((from, Update::ByRevisions(update))) => {
                daemon.known = Some((from, update.cursor));
                daemon.directory.apply_update(update, 0);
            }
        }
    }

    fn check(&self, context: &str) {
        for (own, daemon) in self.daemons.iter().enumerate() {
            let position = daemon.directory.position() as usize;
            let newest = self.source.newest(position);
            for of in 0..UPSTREAMS {
                let later = self.source.log.iter().skip(position);
                if later.clone().any(|(other, _)| *other == of) {
                    continue;
                }
                let expected = match newest.get(&of) {
                    Some((_, Record::Ready(incarnation))) => {
                        Some(UpstreamId::of_incarnation(&key(of), *incarnation))
                    }
                    _ => None,
                };
                let service = ServiceName::from("s");
                let ready = daemon.directory.ready(&service);
                let ready: Vec<_> = ready
                    .map(|u| u.id.clone())
                    .filter(|id| id.upstream() == key(of))
                    .collect();
                let expected: Vec<_> = expected.into_iter().collect();
                assert_eq!(ready, expected, "{context}, daemon {own} at {position}");
            }
        }
    }
}

fn explore(by_offsets: usize) {
    for seed in 0..SCHEDULES {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = World {
            source: Source::default(),
            daemons: Default::default(),
        };
        for daemon in world.daemons.iter_mut().take(by_offsets) {
            daemon.goes_by_offsets = true;
        }
        for step in 0..STEPS {
            world.step(&mut rng);
            world.check(&format!(
                "{by_offsets} by offsets, seed {seed}, step {step}"
            ));
        }
    }
}

#[test]
fn in_any_order_each_daemon_agrees_with_the_source() {
    explore(0);
}

#[test]
fn daemons_that_go_by_offsets_agree_with_the_source_too() {
    (1..=DAEMONS).for_each(explore);
}
