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

/// Where a daemon learns from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SourceRole<A> {
    /// It reads the source itself.
    Reads,
    /// It follows these daemons, the first one that answers.
    Follows(Vec<A>),
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
    ahead.sort_by_key(|(rank, _)| std::cmp::Reverse(*rank));
    ahead.truncate(FOLLOWED.max(readers));
    // Followers are shared out evenly among the readers.
    let first = own.drawn() as usize % readers.max(1);
    ahead[..readers].rotate_left(first);
    SourceRole::Follows(ahead.into_iter().map(|(_, address)| address).collect())
}
