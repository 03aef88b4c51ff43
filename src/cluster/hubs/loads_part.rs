use {
    crate::names::UpstreamId,
    bincode::{Decode, Encode},
    rapidhash::RapidHashMap,
    std::collections::HashMap,
};

/// A daemon's load at one upstream.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct AnnouncedLoad {
    /// The upstream's id.
    pub upstream: String,
    /// The number of requests that run there.
    pub active: u32,
    /// The prompt tokens of those requests whose answer has not begun.
    pub waiting_tokens: u32,
}

/// A part of the loads that a daemon has at upstreams. All parts of the same sequence number
/// together are complete.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct LoadsPart {
    /// The daemon's name.
    pub name: String,
    /// The daemon's incarnation.
    pub incarnation: u64,
    /// Increases with each announcement of an incarnation.
    pub sequence: u64,
    /// The index of this part, from 0.
    pub part: u32,
    /// The number of parts of this sequence number.
    pub parts: u32,
    /// The id up to which the requests of all of the daemon's admission queries are either included
    /// in the loads or over.
    pub counted_up_to: u64,
    /// The loads by upstream.
    pub loads: Vec<AnnouncedLoad>,
}

/// Requests and waiting prompt tokens by upstream. Upstream ids come from the platform, not from
/// clients, so a fast hash without protection against chosen keys is enough.
pub type LoadSums = RapidHashMap<UpstreamId, (u32, u64)>;

/// The newest complete loads received from a daemon.
#[derive(Clone, Debug, Default)]
pub struct ReceivedLoads {
    incarnation: u64,
    sequence: u64,
    /// The received parts of a newer sequence number that is not complete yet, by index.
    pending: HashMap<u32, Vec<AnnouncedLoad>>,
    pending_sequence: u64,
    /// The id up to which the daemon's admission queries are included in the loads, or over.
    pub counted_up_to: u64,
    /// The requests and waiting prompt tokens by upstream.
    pub loads: Vec<(UpstreamId, u32, u64)>,
}

impl ReceivedLoads {
    /// Applies a part. Returns true if it completes newer loads.
    pub fn apply(&mut self, part: LoadsPart) -> bool {
        if part.incarnation != self.incarnation {
            *self = Self {
                incarnation: part.incarnation,
                ..Self::default()
            };
        }
        if part.sequence <= self.sequence || part.sequence < self.pending_sequence {
            return false;
        }
        if part.sequence > self.pending_sequence {
            self.pending.clear();
            self.pending_sequence = part.sequence;
        }
        self.pending.insert(part.part, part.loads);
        if self.pending.len() < part.parts as usize {
            return false;
        }
        self.sequence = part.sequence;
        self.counted_up_to = part.counted_up_to;
        let announced = self.pending.drain().flat_map(|(_, loads)| loads);
        self.loads = announced
            .map(|l| {
                let id = UpstreamId::from(l.upstream.as_str());
                (id, l.active, u64::from(l.waiting_tokens))
            })
            .collect();
        true
    }
}

/// Adds the load at an upstream to the sums.
pub fn add_load(sums: &mut LoadSums, id: &UpstreamId, active: u32, tokens: u64) {
    match sums.get_mut(id) {
        Some(sum) => *sum = (sum.0 + active, sum.1 + tokens),
        None => {
            sums.insert(id.clone(), (active, tokens));
        }
    }
}
