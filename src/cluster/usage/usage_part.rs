use bincode::{Decode, Encode};

/// The number of requests that began to run, by client account.
pub type AnnouncedCounts = Vec<(String, u32)>;

/// A part of a daemon's usage counts, sent to the holder of the duties. Counts only grow, so parts
/// may arrive twice and in any order.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct UsagePart {
    /// The name of the daemon that counted.
    pub name: String,
    /// The incarnation of that daemon.
    pub incarnation: u64,
    /// Increases with each part that the sender announces of this incarnation.
    pub number: u64,
    /// All windows before this one are over, and the receiver has acknowledged all of their counts.
    /// 0 if another daemon forwards counts that it has received.
    pub complete_before: u64,
    /// The window that the counts belong to.
    pub window: u64,
    /// The counts of the window, or a part of them.
    pub counts: AnnouncedCounts,
}

/// The acknowledgement of a usage part by a daemon that holds or watches the duties.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub struct UsageAck {
    /// The incarnation of the daemon that acknowledges.
    pub holder_incarnation: u64,
    /// The incarnation of the daemon that counted.
    pub incarnation: u64,
    /// The number of the acknowledged part.
    pub number: u64,
}
