use {
    crate::names::*,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The role of a box.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BoxKind {
    /// An entry box, which runs this daemon.
    Entry,
    /// A model engine.
    Engine,
    /// A plain service.
    Plain,
}

/// The state of one incarnation of a box. It only moves forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BoxState {
    /// Takes work.
    Live,
    /// Given notice to leave: takes no new work.
    Leaving,
    /// Shut down or reclaimed.
    Gone,
}

/// The price class of a box.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BoxClass {
    /// Cheap, but the provider may reclaim it.
    Reclaimable,
    /// More expensive, and never reclaimed.
    OnDemand,
}

/// What is known of a box. Facts from different sources are merged so that the state only
/// moves forward.
///
/// Sources: the platform's list of boxes, reclaim notices, peers, and refused connections.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxFact {
    /// The box.
    pub id: BoxId,
    /// Incarnation of the box; a restarted or replaced box has a higher one.
    pub incarnation: u64,
    /// The state of this incarnation.
    pub state: BoxState,
    /// When a leaving box is reclaimed, in Unix milliseconds; 0 if unknown.
    pub leaves_at_ms: u64,
    /// What the box is for.
    pub kind: BoxKind,
    /// The box's failure domain.
    pub failure_domain: FailureDomain,
    /// Address at which it accepts calls: of peers for an entry box, requests for an
    /// upstream.
    pub address: SocketAddr,
    /// The service that an upstream serves; empty for an entry box.
    pub service: ServiceName,
    /// The price class.
    pub class: BoxClass,
    /// Price in millionths of a currency unit per second.
    pub price_micros: u64,
    /// True if the upstream checks the fencing token of an order.
    pub checks_fence: bool,
}

impl BoxFact {
    /// Merges another fact about the same box into this one: a higher incarnation replaces
    /// it; within one incarnation the more advanced state counts.
    ///
    /// Returns true if this fact changed.
    pub fn merge(&mut self, other: &Self) -> bool {
        if other.incarnation > self.incarnation {
            *self = other.clone();
            return true;
        }
        if other.incarnation < self.incarnation {
            return false;
        }
        let state = self.state.max(other.state);
        let leaves_at_ms = earlier(self.leaves_at_ms, other.leaves_at_ms);
        let changed = state != self.state || leaves_at_ms != self.leaves_at_ms;
        self.state = state;
        self.leaves_at_ms = leaves_at_ms;
        changed
    }
}

/// Returns the earlier of two times, where 0 means unknown.
fn earlier(a: u64, b: u64) -> u64 {
    match (a, b) {
        (0, t) | (t, 0) => t,
        (a, b) => a.min(b),
    }
}
