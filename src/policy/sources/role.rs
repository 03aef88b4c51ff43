use crate::policy::DaemonRank;

/// How many daemons a follower queries before it reads the source itself.
const FOLLOWED_DAEMONS: usize = 2;

/// Another daemon of the same failure domain that could read the shared source.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainDaemon<A> {
    /// Its rank among the daemons of the domain.
    pub rank: DaemonRank,
    /// Address at which it listens for other daemons.
    pub address: A,
    /// True if it calls the source and gets no answer.
    pub cut_from_source: bool,
}

/// Number of daemons, ranked next after the readers, that read the source as soon as the
/// readers' state is stale: a reader may be cut off without having detected it yet. All other
/// followers keep querying other daemons; otherwise an outage of the source would make all
/// daemons call it.
const STANDBYS: usize = 2;

/// How a daemon gets the state of the shared source.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SourceRole<A> {
    /// The daemon reads the source itself.
    Reads,
    /// The daemon follows others.
    Follows {
        /// The daemons that it queries, in this order.
        daemons: Vec<A>,
        /// True if it reads the source as soon as their state is stale.
        is_standby: bool,
    },
}

/// Failed queries to other daemons since the last answer that was not stale.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SourceTries {
    /// Number of queries without an answer.
    pub unreachable: usize,
    /// Number of queries answered by a daemon whose own contact with the source was too long
    /// ago.
    pub stale: usize,
}

impl<A: Clone> SourceRole<A> {
    /// Returns the daemon to query next, or `None` to read the source itself. `others` are
    /// daemons of any failure domain that report recent contact with the source.
    pub fn next(&self, tries: SourceTries, others: &[A]) -> Option<A> {
        let Self::Follows {
            daemons,
            is_standby,
        } = self
        else {
            return None;
        };
        let stale_tries = if *is_standby { tries.stale } else { 0 };
        if tries.unreachable + stale_tries >= daemons.len() {
            return None;
        }
        let other_index = tries.stale.checked_rem(others.len());
        if let (true, Some(index)) = (tries.stale >= daemons.len(), other_index) {
            return others.get(index).cloned();
        }
        daemons
            .get((tries.unreachable + tries.stale) % daemons.len())
            .cloned()
    }
}

/// Decides if a daemon reads the shared source itself, where `readers` daemons of a failure
/// domain should read.
///
/// All daemons of a failure domain compute the same ranking without communicating. Where
/// their views differ, a few more of them read, which does no harm. A daemon that knows of no
/// others reads.
pub fn source_role<A: Clone>(
    own: DaemonRank,
    domain: &[DomainDaemon<A>],
    readers: usize,
) -> SourceRole<A> {
    let mut higher_ranked: Vec<(DaemonRank, A)> = domain
        .iter()
        .filter(|daemon| !daemon.cut_from_source && daemon.rank > own)
        .map(|daemon| (daemon.rank, daemon.address.clone()))
        .collect();
    if higher_ranked.len() < readers {
        return SourceRole::Reads;
    }
    let is_standby = higher_ranked.len() < readers + STANDBYS;
    higher_ranked.sort_by_key(|(rank, _)| std::cmp::Reverse(*rank));
    higher_ranked.truncate(FOLLOWED_DAEMONS.max(readers));
    // Followers are distributed evenly over the readers.
    let offset = own.name_hash() as usize % readers.max(1);
    higher_ranked[..readers].rotate_left(offset);
    SourceRole::Follows {
        daemons: higher_ranked
            .into_iter()
            .map(|(_, address)| address)
            .collect(),
        is_standby,
    }
}
