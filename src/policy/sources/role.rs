use crate::policy::DaemonRank;

/// How many daemons a follower asks before it reads the source itself.
const FOLLOWED: usize = 2;

/// Another daemon of the same failure domain that could read the shared source.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainDaemon<A> {
    /// Its place among those of the domain.
    pub rank: DaemonRank,
    /// Where it listens for other daemons.
    pub address: A,
    /// Whether it tries to reach the source and can't.
    pub cut_from_source: bool,
}

/// How many daemons that come after the readers read the source as soon as what
/// the readers tell is old: one of the readers may be cut off without knowing it
/// yet. All others go on asking: if the source itself is away, it would be called by each
/// of them.
const STANDBYS: usize = 2;

/// Where a daemon learns from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SourceRole<A> {
    /// It reads the source itself.
    Reads,
    /// It follows others.
    Follows {
        /// Whom it asks, the first one first.
        daemons: Vec<A>,
        /// Whether it reads the source as soon as what they tell is old.
        is_standby: bool,
    },
}

/// How asking others went since it last brought news.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SourceTries {
    /// How many did not answer.
    pub unreachable: usize,
    /// How many answered, but had heard nothing of the source for too long.
    pub stale: usize,
}

impl<A: Clone> SourceRole<A> {
    /// Returns whom to ask next, or none to read the source itself. `others` are
    /// daemons anywhere that say that they have news.
    pub fn next(&self, tries: SourceTries, others: &[A]) -> Option<A> {
        let Self::Follows {
            daemons,
            is_standby,
        } = self
        else {
            return None;
        };
        let old = if *is_standby { tries.stale } else { 0 };
        if tries.unreachable + old >= daemons.len() {
            return None;
        }
        let far = tries.stale.checked_rem(others.len());
        if let (true, Some(index)) = (tries.stale >= daemons.len(), far) {
            return others.get(index).cloned();
        }
        daemons
            .get((tries.unreachable + tries.stale) % daemons.len())
            .cloned()
    }
}

/// Decides whether a daemon reads the shared source itself, where so many of a
/// failure domain are to be its readers.
///
/// All daemons of a failure domain rank each other in the same way, without
/// talking about it. Where their views differ, a few more of them read, which
/// does no harm; one that hears of nobody reads.
pub fn source_role<A: Clone>(
    own: DaemonRank,
    domain: &[DomainDaemon<A>],
    readers: usize,
) -> SourceRole<A> {
    let mut ahead: Vec<(DaemonRank, A)> = domain
        .iter()
        .filter(|daemon| !daemon.cut_from_source && daemon.rank > own)
        .map(|daemon| (daemon.rank, daemon.address.clone()))
        .collect();
    if ahead.len() < readers {
        return SourceRole::Reads;
    }
    let is_standby = ahead.len() < readers + STANDBYS;
    ahead.sort_by_key(|(rank, _)| std::cmp::Reverse(*rank));
    ahead.truncate(FOLLOWED.max(readers));
    // Followers are shared out evenly among the readers.
    let first = own.drawn() as usize % readers.max(1);
    ahead[..readers].rotate_left(first);
    SourceRole::Follows {
        daemons: ahead.into_iter().map(|(_, address)| address).collect(),
        is_standby,
    }
}
