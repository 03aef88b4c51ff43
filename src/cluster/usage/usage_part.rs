use bincode::{Decode, Encode};

/// Counts of requests that began to run, by client account.
pub type AnnouncedCounts = Vec<(String, u32)>;

/// A part of what a daemon counted, for the holder of the duties. Counts only
/// grow, so that parts may come twice and in any order.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct UsagePart {
    /// The daemon's name.
    pub name: String,
    /// Which life of it.
    pub incarnation: u64,
    /// Rises with each part of a life.
    pub number: u64,
    /// All windows before this one are over, and the holder has heard all of
    /// them; 0 where another daemon passes on what it has heard.
    pub complete_before: u64,
    /// A window.
    pub window: u64,
    /// Its counts, or a part of them.
    pub counts: AnnouncedCounts,
}

/// The acknowledgement of a usage part by the holder of the duties.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub struct UsageAck {
    /// Which life of the holder.
    pub holder_incarnation: u64,
    /// Which life of the daemon counted.
    pub incarnation: u64,
    /// The part's number.
    pub number: u64,
}
