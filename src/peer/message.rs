use {
    crate::{engine::EngineLoad, names::*, policy::*, requests::*},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// A call from one daemon to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerCall {
    /// Tests that the daemon answers.
    Ping,
    /// Queries whether the called box still owns these requests, whose copies the caller holds.
    QueryOwner {
        /// The box that calls, which holds the copies.
        holder: BoxId,
        /// The requests whose copies the caller holds.
        requests: Vec<RequestId>,
    },
    /// Sends a heartbeat with what changed since the last one.
    Heartbeat(HeartbeatPayload),
    /// Stores a copy of a request on the called box.
    Hold(Snapshot),
    /// Appends to the copies that the called box holds for an owner.
    Replicate {
        /// The box that owns the requests.
        owner: BoxId,
        /// The additions to the copies.
        appends: Vec<CopyAppend>,
    },
    /// Makes the called box the owner of a request.
    TakeOver(Box<TakeOver>),
    /// Queries which box owns a request.
    Locate(RequestId),
    /// Fetches the table's records from this log offset on.
    FetchTable(u64),
    /// Appends claims to the log, in a batch with those of other boxes of the failure domain.
    AppendClaims(Vec<ClaimRecord>),
    /// Queries whether the called box has given up a claim. If it has, it appends the release to
    /// the log again and replies [`PeerReply::Refused`], otherwise [`PeerReply::Done`].
    QueryClaim(ClaimKey),
}

/// The reply to a [`PeerCall`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// The call was carried out.
    Done,
    /// The daemon runs, in this incarnation; answers [`PeerCall::Ping`].
    Alive(u64),
    /// The call was refused, for this reason.
    Refused(String),
    /// The call was refused because this box owns the request.
    Superseded(BoxId),
    /// How the called box relates to each of the queried requests, in the order of the query.
    Ownership(Vec<Ownership>),
    /// The state of the called box and its log offset of the table, without facts and loads:
    /// each box sends these only on the links that it opened itself, so that none is sent twice.
    Heartbeat(HeartbeatPayload),
    /// How far each copy has got.
    Replicated(Vec<Ack>),
    /// The owner of the request, if the called box knows it.
    Located(Option<Located>),
    /// The table's records, or the full table.
    Table(TableUpdate),
    /// The log offset of an append; none if the append may or may not be in the log.
    Appended(Option<u64>),
}

/// The payload of a heartbeat and of the reply to it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HeartbeatPayload {
    /// The state of the sending box.
    pub from: BoxFact,
    /// The log offset up to which the sender has folded the table.
    pub table_folded_to: u64,
    /// States of boxes that changed since the last message on this link.
    pub facts: Vec<BoxFact>,
    /// Loads of upstreams that changed since the last message on this link.
    pub loads: Vec<(BoxId, EngineLoad)>,
}

/// The complete state of a request, for transfer to another box.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Snapshot {
    /// The request as its client sent it.
    pub spec: RequestSpec,
    /// The box that owns the request.
    pub owner: BoxId,
    /// The owner's epoch, which rises with each change of owner.
    pub epoch: u64,
    /// The tokens generated so far.
    pub tokens: Vec<Arc<str>>,
    /// How the request ended; none while it runs.
    pub ending: Option<Ending>,
    /// The upstream that runs the request, if any.
    pub upstream: Option<BoxId>,
    /// Number of tokens that were computed more than once.
    pub recomputed: u64,
}

/// The transfer of a request to its new owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TakeOver {
    /// The state of the request.
    pub snapshot: Snapshot,
    /// The incarnation of the box that becomes the owner.
    pub taker: BoxIncarnation,
    /// The claim to run the request; set if the request must not run twice and was claimed.
    pub right: Option<HandOver>,
}

/// An addition to the copy of a request's answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CopyAppend {
    /// The request that the copy belongs to.
    pub request: RequestId,
    /// The owner's epoch.
    pub epoch: u64,
    /// The offset of the first token in the answer.
    pub offset: usize,
    /// The tokens to append.
    pub tokens: Vec<Arc<str>>,
    /// How the request ended; none while it runs.
    pub ending: Option<Ending>,
    /// The upstream that runs the request, if any.
    pub upstream: Option<BoxId>,
}

/// How a box relates to a request whose copy another box holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ownership {
    /// The box owns the request, and uses the copy of the querying box.
    Owner,
    /// The box owns the request, but keeps the copy on another box.
    CopyElsewhere,
    /// The request is owned by this other box.
    OwnedBy(BoxId),
    /// The box does not know the request, because it has restarted.
    Unknown,
}

/// The acknowledgement of an append to a copy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// The request that the copy belongs to.
    pub request: RequestId,
    /// The state of the copy after the append.
    pub state: AckState,
}

/// The state of a copy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AckState {
    /// The copy holds this many tokens; the flag is set if it also holds the ending.
    Holds(usize, bool),
    /// The box has no copy, or the append would leave a gap in it.
    Unknown,
    /// This other box owns the request now, instead of the sender of the append.
    Superseded(BoxId),
}

/// The owner of a request, as the queried box knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Located {
    /// The box that owns the request.
    pub owner: BoxId,
    /// The owner's epoch.
    pub epoch: u64,
    /// Number of tokens of the answer that the queried box holds.
    pub tokens: usize,
}

/// An update of the table for another daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum TableUpdate {
    /// The records that the caller lacks, each with its log offset.
    Records(Vec<(u64, String)>),
    /// The full table, as JSON.
    Whole(String),
}

/// A call that subscribes to the answer of a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Attach {
    /// The request whose answer is wanted.
    pub request: RequestId,
    /// The client account of the subscriber; requests of other accounts are refused.
    pub account: ClientAccount,
    /// Number of tokens that the subscriber has already; the answer continues after them.
    pub from: usize,
}

/// An event of the stream that answers [`Attach`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum AttachEvent {
    /// The request as its client sent it; always the first event of an answer.
    Spec(Box<RequestSpec>),
    /// Further tokens of the answer.
    Tokens {
        /// The offset of the first token in the answer.
        offset: usize,
        /// The tokens.
        tokens: Vec<Arc<str>>,
    },
    /// How the request ended; the last event.
    Ending(Ending),
    /// The request has moved to this box.
    Moved(BoxId),
    /// The request belongs to another client account.
    OtherAccount,
    /// The box does not have the request, or holds fewer tokens than the subscriber.
    NotHere,
}
