use {
    crate::cluster::AnnouncedLimit,
    bincode::{Decode, Encode},
};

/// A daemon's query for a permit to send one request to an upstream that names a limit. It is
/// sent to the daemon that issues the permits of that upstream.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct PermitQuery {
    /// The incarnation of the daemon that sends the query.
    pub incarnation: u64,
    /// The number of the query, unique within the incarnation.
    pub id: u64,
    /// True if another daemon forwards the query. The receiver then decides it itself, even if
    /// it takes another daemon for the issuer.
    pub is_forwarded: bool,
    /// The limit, as the sender knows it.
    pub limit: AnnouncedLimit,
}

/// The answer to a [`PermitQuery`].
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct PermitAnswer {
    /// The incarnation of the daemon that sent the query.
    pub incarnation: u64,
    /// The number of the query.
    pub id: u64,
    /// True if the request may be sent.
    pub is_granted: bool,
    /// If no permit is granted, the time until a new query makes sense, in milliseconds.
    pub wait_ms: u32,
    /// The limit, as the daemon that answers knows it; none if it knows none.
    pub limit: Option<AnnouncedLimit>,
}
