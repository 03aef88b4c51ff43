//! Three daemons learn of upstreams from one source and from each other, in any order:
//! whole listings and news that are old when they arrive, parts of the log, removals
//! that are heard before their entries. Whatever the order, each knows just what the
//! source says up to where it has read or been told.

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

/// What a record of the source says of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Said {
    Ready(u64),
    Draining(u64),
    /// Its entry is dropped, or what stands there is none.
    Nothing,
}

#[derive(Debug, Default)]
struct Source {
    log: Vec<(usize, Said)>,
}

fn key(upstream: usize) -> String {
    format!("b{upstream}")
}

fn upstream(of: usize, said: Said, offset: usize) -> Option<Upstream> {
    let (started_ms, draining) = match said {
        Said::Ready(incarnation) => (incarnation, false),
        Said::Draining(incarnation) => (incarnation, true),
        Said::Nothing => return None,
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
    fn newest(&self, end: usize) -> BTreeMap<usize, (usize, Said)> {
        let records = self.log[..end].iter().enumerate();
        records
            .map(|(offset, (of, said))| (*of, (offset, *said)))
            .collect()
    }

    fn listing(&self) -> (Vec<Upstream>, usize) {
        let newest = self.newest(self.log.len());
        let listed = newest.into_iter();
        let listed = listed.filter_map(|(of, (offset, said))| upstream(of, said, offset));
        (listed.collect(), self.log.len())
    }

    /// Appends what an upstream may say next: a life that drains is never ready again.
    fn append(&mut self, rng: &mut ChaCha8Rng) {
        let of = rng.random_range(0..UPSTREAMS);
        let mine = self.log.iter().filter(|(other, _)| *other == of);
        let said: Vec<Said> = mine.map(|(_, said)| *said).collect();
        let incarnation = |said: &Said| match said {
            Said::Ready(incarnation) | Said::Draining(incarnation) => Some(*incarnation),
            Said::Nothing => None,
        };
        let newest = said.iter().filter_map(incarnation).max().unwrap_or(0);
        let has_drained = said.contains(&Said::Draining(newest));
        let next = match rng.random_range(0..5) {
            0 => Said::Nothing,
            1 => Said::Ready(newest + 1),
            2 if newest > 0 => Said::Draining(newest),
            _ if newest > 0 && !has_drained => Said::Ready(newest),
            _ => Said::Ready(newest + 1),
        };
        self.log.push((of, next));
    }
}

#[derive(Debug, Default)]
struct Daemon {
    directory: UpstreamDirectory,
    /// Where it reads on in the log.
    cursor: Option<usize>,
    /// A listing that is on its way to it.
    listing: Option<(Vec<Upstream>, usize)>,
    /// Another daemon's news that are on their way to it.
    news: Option<(usize, HeartbeatPayload)>,
    /// Whose news it took in last, and what these told.
    known: Option<(usize, DirectoryCursor)>,
    /// Whether it is of a build that goes by offsets.
    is_landed: bool,
}

#[derive(Debug)]
enum HeartbeatPayload {
    /// As builds that go by offsets are told, and tell.
    Landed(DirectoryChanges),
    New(DirectoryUpdate),
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
            4 | 5 => self.read_on(own, rng),
            6 => self.ask(own, rng.random_range(0..DAEMONS)),
            _ => self.apply_batch(own),
        }
    }

    fn apply_listing(&mut self, own: usize) {
        let daemon = &mut self.daemons[own];
        if let Some((listing, end)) = daemon.listing.take() {
            daemon.directory.replace(listing, end as u64, None);
            daemon.cursor = Some(end);
        }
    }

    fn read_on(&mut self, own: usize, rng: &mut ChaCha8Rng) {
        let daemon = &mut self.daemons[own];
        let Some(from) = daemon.cursor else {
            return;
        };
        let end = rng.random_range(from..=self.source.log.len());
        for (offset, (of, said)) in self.source.log[..end].iter().enumerate().skip(from) {
            match upstream(*of, *said, offset) {
                Some(upstream) => {
                    daemon.directory.upsert(upstream);
                }
                None => daemon.directory.remove(&key(*of), offset as u64),
            }
        }
        daemon.directory.read_to(end as u64);
        daemon.cursor = Some(end);
    }

    fn ask(&mut self, own: usize, other: usize) {
        if own == other {
            return;
        }
        let known = self.daemons[own].known.filter(|(from, _)| *from == other);
        let known = known.map(|(_, told)| told);
        let theirs = &self.daemons[other].directory;
        let news = match self.daemons[own].is_landed || self.daemons[other].is_landed {
            true => HeartbeatPayload::Landed(theirs.changes_since(known)),
            false => HeartbeatPayload::New(theirs.update_since(known)),
        };
        self.daemons[own].news = Some((other, news));
    }

    fn apply_batch(&mut self, own: usize) {
        let daemon = &mut self.daemons[own];
        match daemon.news.take() {
            None => {}
            Some((from, HeartbeatPayload::Landed(changes))) => {
                daemon.known = Some((from, changes.cursor));
                daemon.directory.apply(changes);
            }
            Some((from, HeartbeatPayload::New(news))) => {
                daemon.known = Some((from, news.cursor));
                daemon.directory.apply_update(news);
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
                    Some((_, Said::Ready(incarnation))) => {
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

fn explore(landed: usize) {
    for seed in 0..SCHEDULES {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut world = World {
            source: Source::default(),
            daemons: Default::default(),
        };
        for daemon in world.daemons.iter_mut().take(landed) {
            daemon.is_landed = true;
        }
        for step in 0..STEPS {
            world.step(&mut rng);
            world.check(&format!("{landed} landed, seed {seed}, step {step}"));
        }
    }
}

#[test]
fn in_any_order_each_daemon_knows_what_the_source_said() {
    explore(0);
}

#[test]
fn beside_daemons_that_go_by_offsets_the_same_holds() {
    (1..=DAEMONS).for_each(explore);
}
