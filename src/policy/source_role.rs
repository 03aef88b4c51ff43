use super::home_rank;

/// How many daemons of a zone read the shared source; the others follow them.
pub const READERS_PER_ZONE: usize = 2;
/// Distinguishes this ranking from others of the same names.
const RANK_SALT: u64 = 0x0073_6f75_7263_6501;

/// Another daemon of the same zone that could read the shared source.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneDaemon<A> {
    /// Its name.
    pub name: String,
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

/// Decides whether a daemon reads the shared source itself.
///
/// All daemons of a zone rank each other in the same way, without talking
/// about it. Where their views differ, a few more of them read, which does no
/// harm; one that hears of nobody reads.
pub fn source_role<A: Clone>(own_name: &str, zone: &[ZoneDaemon<A>]) -> SourceRole<A> {
    let own_rank = rank(own_name);
    let mut ahead: Vec<(u64, A)> = zone
        .iter()
        .filter(|daemon| !daemon.cut_from_source)
        .map(|daemon| (rank(&daemon.name), daemon.address.clone()))
        .filter(|(rank, _)| *rank > own_rank)
        .collect();
    if ahead.len() < READERS_PER_ZONE {
        return SourceRole::Reads;
    }
    ahead.sort_by_key(|(rank, _)| std::cmp::Reverse(*rank));
    ahead.truncate(READERS_PER_ZONE);
    // Followers are shared out evenly among the readers.
    let first = own_rank as usize % READERS_PER_ZONE;
    ahead.rotate_left(first);
    SourceRole::Follows(ahead.into_iter().map(|(_, address)| address).collect())
}

fn rank(name: &str) -> u64 {
    home_rank(RANK_SALT, name)
}
