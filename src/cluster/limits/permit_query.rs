use {
    crate::cluster::AnnouncedLimit,
    bincode::{Decode, Encode},
};

/// A daemon's query for a permit to send one request to an upstream that names a limit. It is
/// sent to the daemon that issues the permits of that upstream.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct PermitQuery {
    /// Which life of the daemon asks.
    pub incarnation: u64,
    /// The number of the question.
    pub id: u64,
    /// Whether it is passed on: then it is decided here, whoever issues permits.
    pub is_forwarded: bool,
    /// The limit, as the daemon knows it.
    pub limit: AnnouncedLimit,
}

/// The answer.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct PermitAnswer {
    /// Which life of the daemon asked.
    pub incarnation: u64,
    /// The number of the question.
    pub id: u64,
    /// Whether the request may be sent.
    pub is_granted: bool,
    /// If not, when to ask again, in milliseconds.
    pub wait_ms: u32,
    /// The limit, if the one who answers knows of any.
    pub limit: Option<AnnouncedLimit>,
}
