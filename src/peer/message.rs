use {
    crate::{engine::EngineLoad, names::*, policy::*, requests::*},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// A call from one daemon to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerCall {
    /// Is anybody there?
    Ping,
    /// Does the box that is called still own these requests, whose copies the
    /// caller holds?
    QueryOwner {
        /// The caller.
        holder: BoxId,
        /// The requests.
        requests: Vec<RequestId>,
    },
    /// News, and a sign of life.
    Heartbeat(HeartbeatPayload),
    /// Hold the copy of a request.
    Hold(Snapshot),
    /// Append to the copies that this box holds for an owner.
    Replicate {
        /// The owner.
        owner: BoxId,
        /// What is new.
        appends: Vec<CopyAppend>,
    },
    /// Own a request from now on.
    TakeOver(Box<TakeOver>),
    /// Where is a request?
    Locate(RequestId),
    /// The table's records from an offset on.
    FetchTable(u64),
    /// Append claims, together with those of other boxes of the failure domain.
    AppendClaims(Vec<ClaimRecord>),
    /// How does a claim of this box stand?
    QueryClaim(ClaimKey),
}

/// The answer to a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// Done.
    Done,
    /// Here, in this life.
    Alive(u64),
    /// Refused, for this reason.
    Refused(String),
    /// Refused: this box owns the request.
    Superseded(BoxId),
    /// What it is to each of the requests asked about.
    Ownership(Vec<Ownership>),
    /// News in return.
    Heartbeat(HeartbeatPayload),
    /// How far each copy is.
    Replicated(Vec<Ack>),
    /// Where the request is, if it is known.
    Located(Option<Located>),
    /// The table's records or the whole of it.
    Table(TableUpdate),
    /// The log offset of an append; none if it may or may not be in the log.
    Appended(Option<u64>),
}

/// The payload of a heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HeartbeatPayload {
    /// The sender.
    pub from: BoxFact,
    /// How far the sender has folded the table.
    pub table_folded_to: u64,
    /// Facts that are new on this link.
    pub facts: Vec<BoxFact>,
    /// Loads of upstreams that are new on this link.
    pub loads: Vec<(BoxId, EngineLoad)>,
}

/// A whole request on its way to another box.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Snapshot {
    /// What was asked.
    pub spec: RequestSpec,
    /// The owner.
    pub owner: BoxId,
    /// The owner's epoch.
    pub epoch: u64,
    /// The answer's tokens so far.
    pub tokens: Vec<Arc<str>>,
    /// How it ended, if it did.
    pub ending: Option<Ending>,
    /// The upstream that runs it.
    pub upstream: Option<BoxId>,
    /// Tokens that were computed again.
    pub recomputed: u64,
}

/// A hand-over of a request to its new owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TakeOver {
    /// The request.
    pub snapshot: Snapshot,
    /// The life of the box that shall own it.
    pub taker: BoxIncarnation,
    /// The right to run it, if it is not repeatable and was claimed.
    pub right: Option<HandOver>,
}

/// What is new of a request's answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CopyAppend {
    /// The request.
    pub request: RequestId,
    /// The owner's epoch.
    pub epoch: u64,
    /// The offset of the first token.
    pub offset: usize,
    /// The tokens.
    pub tokens: Vec<Arc<str>>,
    /// How it ended, if it did.
    pub ending: Option<Ending>,
    /// The upstream that runs it.
    pub upstream: Option<BoxId>,
}

/// What a box is to a request whose copy another one holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ownership {
    /// Its owner, and the copy counts.
    Owner,
    /// Its owner, with the copy on another box.
    CopyElsewhere,
    /// Not its owner, but knows it.
    OwnedBy(BoxId),
    /// It knows nothing of it: it started anew.
    Unknown,
}

/// How far a copy is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// The request.
    pub request: RequestId,
    /// The state of the copy.
    pub state: AckState,
}

/// The state of a copy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AckState {
    /// It holds this many tokens, and the ending or not.
    Holds(usize, bool),
    /// There is no copy here, or one with a gap.
    Unknown,
    /// The request has another owner; the sender is no longer it.
    Superseded(BoxId),
}

/// Where a request is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Located {
    /// The owner.
    pub owner: BoxId,
    /// The owner's epoch.
    pub epoch: u64,
    /// Tokens that this box has of it.
    pub tokens: usize,
}

/// An update of the table for another daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum TableUpdate {
    /// The records that the asker lacks.
    Records(Vec<(u64, String)>),
    /// The whole table, as JSON.
    Whole(String),
}

/// An ask for the answer of a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Attach {
    /// The request.
    pub request: RequestId,
    /// The account that asks; another one's request is not found.
    pub account: ClientAccount,
    /// Tokens that the asker has.
    pub from: usize,
}

/// What the owner sends of an answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum AttachEvent {
    /// What was asked, before anything else.
    Spec(Box<RequestSpec>),
    /// Tokens.
    Tokens {
        /// The offset of the first one.
        offset: usize,
        /// The tokens.
        tokens: Vec<Arc<str>>,
    },
    /// The end.
    Ending(Ending),
    /// The request went to this box.
    Moved(BoxId),
    /// The request is another account's.
    OtherAccount,
    /// The request is not here, or holds less than the asker has.
    NotHere,
}
