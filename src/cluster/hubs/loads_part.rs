use {
    crate::{names::UpstreamId, policy::HeldTokens},
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

/// The tokens that the requests of a [`LoadsPart`] hold in the memory of their upstreams, in the order
/// of its loads. It is sent behind that part in the same packet.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct HeldPart {
    /// The tokens at each upstream; none if the sender doesn't know them.
    pub tokens: Vec<Option<u32>>,
}

/// Requests and waiting prompt tokens by upstream. Upstream ids come from the platform, not from
/// clients, so a fast hash without protection against chosen keys is enough.
pub type LoadSums = RapidHashMap<UpstreamId, (u32, u64)>;

/// Tokens that requests hold in the memory of upstreams.
pub type HeldSums = RapidHashMap<UpstreamId, HeldTokens>;

/// The newest complete loads received from a daemon.
#[derive(Clone, Debug, Default)]
pub struct ReceivedLoads {
    incarnation: u64,
    sequence: u64,
    /// The received parts of a newer sequence number that is not complete yet, by index.
    pending: HashMap<u32, Vec<AnnouncedLoad>>,
    /// The tokens held by the requests of the parts, by index.
    pending_held: HashMap<u32, HeldPart>,
    pending_sequence: u64,
    /// The id up to which the daemon's admission queries are included in the loads, or over.
    pub counted_up_to: u64,
    /// The requests and waiting prompt tokens by upstream.
    pub loads: Vec<(UpstreamId, u32, u64)>,
    /// The tokens that the requests hold, in the order of the loads; none if they were not announced.
    held: Vec<Option<u64>>,
}

impl ReceivedLoads {
    /// Keeps the tokens that go with a part of the loads, until this part is applied.
    pub fn apply_held(&mut self, part: &LoadsPart, held: HeldPart) {
        if self.prepare_for(part) {
            self.pending_held.insert(part.part, held);
        }
    }

    /// Applies a part. Returns true if it completes newer loads.
    pub fn apply(&mut self, part: LoadsPart) -> bool {
        if !self.prepare_for(&part) {
            return false;
        }
        self.pending.insert(part.part, part.loads);
        if self.pending.len() < part.parts as usize {
            return false;
        }
        self.sequence = part.sequence;
        self.counted_up_to = part.counted_up_to;
        let mut held = std::mem::take(&mut self.pending_held);
        (self.loads, self.held) = self
            .pending
            .drain()
            .flat_map(|(index, loads)| with_held(loads, held.remove(&index).unwrap_or_default()))
            .unzip();
        true
    }

    /// Calls `visit` with each load: the upstream, its requests, and the tokens that they hold.
    pub fn each_held(&self, mut visit: impl FnMut(&UpstreamId, u32, Option<u64>)) {
        for ((id, active, _), held) in self.loads.iter().zip(&self.held) {
            visit(id, *active, *held);
        }
    }

    /// Prepares to apply a part: drops pending parts of older loads. Returns false if the part itself is
    /// outdated.
    fn prepare_for(&mut self, part: &LoadsPart) -> bool {
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
            self.pending_held.clear();
            self.pending_sequence = part.sequence;
        }
        true
    }
}

/// An upstream, its requests and their waiting prompt tokens.
type Load = (UpstreamId, u32, u64);

/// Combines the loads of a part with the tokens held there; none for those beyond the end of `held`.
fn with_held(
    loads: Vec<AnnouncedLoad>,
    held: HeldPart,
) -> impl Iterator<Item = (Load, Option<u64>)> {
    let tokens = held.tokens.into_iter().chain(std::iter::repeat(None));
    loads.into_iter().zip(tokens).map(|(load, held)| {
        let id = UpstreamId::from(load.upstream.as_str());
        let load = (id, load.active, u64::from(load.waiting_tokens));
        (load, held.map(u64::from))
    })
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
