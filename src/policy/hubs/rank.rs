use rapidhash::v3::rapidhash_v3;

/// How many daemons of a failure domain are its hubs. The first one is asked;
/// the others take over at once. In a domain with no more daemons than that,
/// each decides for itself, as is best there: nobody knows more.
pub const HUBS_PER_DOMAIN: usize = 3;
/// Distinguishes this ranking from others of the same names.
const RANK_SALT: u64 = 0x0073_6f75_7263_6501;
/// Capacities are compared in this part of a processor core: smaller
/// differences are none.
const CAPACITY_UNIT: f32 = 0.01;

/// A daemon's place among those of its failure domain: larger boxes first, then
/// in an order that is the same on all daemons without talking about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DaemonRank {
    capacity: u32,
    drawn: u64,
}

impl DaemonRank {
    /// Ranks a daemon by its name and its share of processor cores.
    pub fn new(name: &str, capacity: f32) -> Self {
        Self {
            capacity: (capacity.max(0.0) / CAPACITY_UNIT).round() as u32,
            drawn: rapidhash_v3(&[&RANK_SALT.to_le_bytes(), name.as_bytes()].concat()),
        }
    }

    /// Returns a number that spreads daemons evenly.
    pub fn drawn(&self) -> u64 {
        self.drawn
    }
}
