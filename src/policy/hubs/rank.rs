use rapidhash::v3::rapidhash_v3;

/// Number of daemons of a failure domain that are its hubs. The first one is queried; the
/// others take over at once when it fails. In a domain with no more daemons than this, each
/// daemon decides for itself: no hub would know more than it does.
pub const HUBS_PER_DOMAIN: usize = 3;
/// Salt of the hash, so that this ranking differs from other rankings by the same names.
const RANK_SALT: u64 = 0x0073_6f75_7263_6501;
/// Capacities are rounded to this fraction of a processor core, so that smaller differences
/// don't affect the ranking.
const CAPACITY_UNIT: f32 = 0.01;

/// A daemon's rank in its failure domain: larger boxes come first, then the order is by a
/// hash of the name. All daemons compute the same order without communicating.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DaemonRank {
    capacity: u32,
    name_hash: u64,
}

impl DaemonRank {
    /// Computes the rank from a daemon's name and its share of processor cores.
    pub fn new(name: &str, capacity: f32) -> Self {
        Self {
            capacity: (capacity.max(0.0) / CAPACITY_UNIT).round() as u32,
            name_hash: rapidhash_v3(&[&RANK_SALT.to_le_bytes(), name.as_bytes()].concat()),
        }
    }

    /// Returns the hash of the name, which distributes daemons evenly.
    pub fn name_hash(&self) -> u64 {
        self.name_hash
    }
}
