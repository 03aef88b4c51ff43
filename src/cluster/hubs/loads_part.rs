use {
    crate::names::UpstreamId,
    bincode::{Decode, Encode},
    rapidhash::RapidHashMap,
    std::collections::HashMap,
};

/// The load that a daemon has at one upstream.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct AnnouncedLoad {
    /// The upstream.
    pub upstream: String,
    /// Requests that are there.
    pub active: u32,
    /// Prompt tokens of those that have not begun to answer.
    pub waiting_tokens: u32,
}

/// A part of what a daemon has at upstreams. All parts of a sequence together
/// are the whole.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct LoadsPart {
    /// The daemon's name.
    pub name: String,
    /// Which life of it.
    pub incarnation: u64,
    /// Rises with each telling of a life.
    pub sequence: u64,
    /// Which part this is, from 0.
    pub part: u32,
    /// How many parts there are.
    pub parts: u32,
    /// Each question up to this one is counted in, or over.
    pub counted: u64,
    /// What is at upstreams.
    pub loads: Vec<AnnouncedLoad>,
}

/// Requests and waiting prompt tokens by upstream. Names of upstreams come from the
/// platform, not from callers: a hash that is fast will do.
pub type LoadSums = RapidHashMap<UpstreamId, (u32, u64)>;

/// The newest whole of what a daemon told of its loads.
#[derive(Clone, Debug, Default)]
pub struct ReceivedLoads {
    incarnation: u64,
    sequence: u64,
    /// Parts of a newer telling that is not whole yet.
    pending: HashMap<u32, Vec<AnnouncedLoad>>,
    pending_sequence: u64,
    /// Each question up to this one is counted in.
    pub counted: u64,
    /// What is at upstreams.
    pub loads: Vec<(UpstreamId, u32, u64)>,
}

impl ReceivedLoads {
    /// Takes in a part; returns whether a newer whole is known by it.
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
        self.counted = part.counted;
        let told = self.pending.drain().flat_map(|(_, loads)| loads);
        self.loads = told
            .map(|l| {
                let id = UpstreamId::from(l.upstream.as_str());
                (id, l.active, u64::from(l.waiting_tokens))
            })
            .collect();
        true
    }
}

/// Adds requests and waiting tokens at an upstream to sums.
pub fn add_load(sums: &mut LoadSums, id: &UpstreamId, active: u32, tokens: u64) {
    match sums.get_mut(id) {
        Some(sum) => *sum = (sum.0 + active, sum.1 + tokens),
        None => {
            sums.insert(id.clone(), (active, tokens));
        }
    }
}
