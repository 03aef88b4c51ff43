use {
    super::{heartbeat::*, *},
    crate::{names::*, peer::*, policy::*, requests::*},
    async_trait::async_trait,
    std::sync::Arc,
    tokio::sync::mpsc,
};

/// Upper bound on the requests in the table, as a multiple of the configured
/// maximum of own requests. Kept answers and copies for other boxes count too.
const MAX_TABLE_FACTOR: usize = 8;

/// Serves the calls that other daemons send to this one.
pub struct PeerService {
    world: Arc<World>,
}

impl PeerService {
    /// Creates the service on the state of this daemon.
    pub fn new(world: Arc<World>) -> Self {
        Self { world }
    }

    /// Stores a copy of a request that another box owns.
    fn hold(&self, s: Snapshot) -> PeerReply {
        let world = &self.world;
        if s.owner == world.me.id {
            return PeerReply::Refused("not for the owner itself".to_string());
        }
        if world.requests.len() >= world.settings.requests.max_requests * MAX_TABLE_FACTOR {
            return PeerReply::Refused("full".to_string());
        }
        if world.leaves_at_ms().is_some() {
            return PeerReply::Refused("leaving".to_string());
        }
        let record = record_from(
            &s,
            Role::Copy {
                owner: s.owner.clone(),
            },
        );
        let (cell, inserted) = world.requests.insert(record);
        if inserted {
            return PeerReply::Done;
        }
        if cell.read().spec.account != s.spec.account {
            return PeerReply::Refused("another account's".to_string());
        }
        let held = cell.change_owner(|r| {
            if r.epoch > s.epoch || (r.epoch == s.epoch && !yields_to(r, &world.me.id, &s.owner)) {
                return false;
            }
            let readers = r.readers;
            *r = record_from(
                &s,
                Role::Copy {
                    owner: s.owner.clone(),
                },
            );
            r.readers = readers;
            true
        });
        if held {
            return PeerReply::Done;
        }
        let owner = match &cell.read().role {
            Role::Owner => world.me.id.clone(),
            Role::Copy { owner } => owner.clone(),
            Role::Moved { to } => to.clone(),
        };
        PeerReply::Superseded(owner)
    }

    fn replicate(&self, owner: &BoxId, appends: Vec<CopyAppend>) -> PeerReply {
        self.world.links.record_contact(owner);
        let acks = appends.into_iter().map(|a| Ack {
            request: a.request,
            state: self.append(owner, a),
        });
        PeerReply::Replicated(acks.collect())
    }

    /// Appends tokens to a held copy, if the sender is its current owner.
    fn append(&self, from: &BoxId, a: CopyAppend) -> AckState {
        let Some(cell) = self.world.requests.get(a.request) else {
            return AckState::Unknown;
        };
        cell.change(|r| {
            match &r.role {
                Role::Owner if r.epoch > a.epoch => {
                    return AckState::Superseded(self.world.me.id.clone());
                }
                Role::Moved { to } if r.epoch > a.epoch => {
                    return AckState::Superseded(to.clone());
                }
                Role::Copy { owner } if r.epoch > a.epoch => {
                    return AckState::Superseded(owner.clone());
                }
                Role::Copy { owner } if r.epoch == a.epoch && owner == from => {}
                _ => return AckState::Unknown,
            }
            r.upstream = a.upstream;
            if !r.append(a.offset, &a.tokens, a.ending) {
                return AckState::Unknown;
            }
            if r.is_ended() && r.ended_at_ms == 0 {
                r.ended_at_ms = now_ms();
            }
            AckState::Holds(r.tokens.len(), r.is_ended())
        })
    }

    /// Becomes the owner of a request that its owner hands over.
    fn take_over(&self, t: TakeOver) -> PeerReply {
        let world = &self.world;
        if t.taker != world.me {
            return PeerReply::Refused("for another life of this box".to_string());
        }
        if world.leaves_at_ms().is_some() {
            return PeerReply::Refused("leaving".to_string());
        }
        let claimant = t
            .right
            .as_ref()
            .and_then(|r| world.claims.take(r, &world.me));
        if t.right.is_some() && claimant.is_none() {
            return PeerReply::Refused("the right was taken before".to_string());
        }
        let s = t.snapshot;
        let (cell, inserted) = world.requests.insert(record_from(&s, Role::Owner));
        if !inserted {
            let taken = cell.change_owner(|r| {
                if r.epoch >= s.epoch {
                    return false;
                }
                let readers = r.readers;
                *r = record_from(&s, Role::Owner);
                r.readers = readers;
                true
            });
            let already_owned = !taken && {
                let r = cell.read();
                r.epoch == s.epoch && r.is_owner()
            };
            if already_owned {
                // The request runs here already: a second run would commit its tokens twice.
                return PeerReply::Done;
            }
            if !taken {
                return PeerReply::Refused("superseded".to_string());
            }
        }
        own(world, &cell, claimant);
        PeerReply::Done
    }

    /// Returns the owner of a request of which `holder` has a copy, as far as this box knows.
    fn ownership(&self, holder: &BoxId, id: RequestId) -> Ownership {
        let Some(cell) = self.world.requests.get(id) else {
            return Ownership::Unknown;
        };
        let r = cell.read();
        match (&r.role, &r.holder) {
            (Role::Owner, Holder::At(at)) if at != holder => Ownership::CopyElsewhere,
            (Role::Owner, _) => Ownership::Owner,
            (Role::Copy { owner }, _) => Ownership::OwnedBy(owner.clone()),
            (Role::Moved { to }, _) => Ownership::OwnedBy(to.clone()),
        }
    }

    async fn append_claims(&self, records: Vec<ClaimRecord>) -> PeerReply {
        match self.world.claims.append(records).await {
            Ok(super::claim_client::ClaimAppendOutcome::At(offset)) => {
                PeerReply::Appended(Some(offset))
            }
            Ok(super::claim_client::ClaimAppendOutcome::Unknown) => PeerReply::Appended(None),
            Ok(super::claim_client::ClaimAppendOutcome::NotAccepted) | Err(_) => {
                PeerReply::Refused("not taken".to_string())
            }
        }
    }
}

/// Returns true if this box replaces its record by a copy for another owner of the same epoch.
///
/// The same key can be accepted by two boxes at once. The box with the larger
/// id yields, and only while it still searches a holder for its copy and so has
/// delivered no part of the answer. Ownership thus passes only to a smaller id
/// or to a box that has its holder, so that boxes can't yield in a cycle.
fn yields_to(r: &Record, me: &BoxId, owner: &BoxId) -> bool {
    match &r.role {
        // The client retried the key at another box after `not-run`.
        _ if r.is_not_run() => true,
        Role::Copy { owner: known } => known == owner,
        Role::Owner => r.holder == Holder::Searching && r.durable == 0 && owner < me,
        // This box yielded to the same owner before, and can hold its copy.
        Role::Moved { to } => to == owner,
    }
}

/// Builds a record from a snapshot.
fn record_from(s: &Snapshot, role: Role) -> Record {
    let mut r = Record::new(Arc::new(s.spec.clone()), role, s.epoch, now_ms());
    r.tokens = s.tokens.clone();
    r.ending = s.ending.clone();
    r.upstream = s.upstream.clone();
    r.recomputed = s.recomputed;
    if r.is_ended() {
        r.ended_at_ms = now_ms();
    }
    r
}

/// Starts a request that this box now owns: finds a holder for its copy, and runs it unless it
/// has ended.
pub fn own(world: &Arc<World>, cell: &Arc<RequestCell>, right: Option<Claimant>) {
    let (world, cell) = (world.clone(), cell.clone());
    tokio::spawn(async move {
        let holding = {
            let (world, cell) = (world.clone(), cell.clone());
            tokio::spawn(async move {
                hold(&world, &cell, None).await;
                world.replicators.mark(&world, &cell);
            })
        };
        if !cell.read().is_ended() {
            run(world, cell, right).await;
        }
        let _ = holding.await;
    });
}

#[async_trait]
impl PeerHandler for PeerService {
    async fn call(&self, call: PeerCall) -> PeerReply {
        match call {
            PeerCall::Ping => PeerReply::Alive(self.world.me.incarnation),
            PeerCall::QueryOwner { holder, requests } => {
                let all = requests.iter().map(|id| self.ownership(&holder, *id));
                PeerReply::Ownership(all.collect())
            }
            PeerCall::Heartbeat(payload) => {
                PeerReply::Heartbeat(apply_heartbeat(&self.world, payload))
            }
            PeerCall::Hold(s) => self.hold(s),
            PeerCall::Replicate { owner, appends } => self.replicate(&owner, appends),
            PeerCall::TakeOver(t) => self.take_over(*t),
            PeerCall::Locate(id) => PeerReply::Located(locate_here(&self.world, id)),
            PeerCall::FetchTable(from) => PeerReply::Table(table_update_since(&self.world, from)),
            PeerCall::AppendClaims(records) => self.append_claims(records).await,
            PeerCall::QueryClaim(key) if self.world.claims.release_again(&key) => {
                PeerReply::Refused("given up".to_string())
            }
            PeerCall::QueryClaim(_) => PeerReply::Done,
        }
    }

    async fn attach(&self, query: Attach, tx: mpsc::Sender<AttachEvent>) {
        let Some(cell) = self.world.requests.get(query.request) else {
            let _ = tx.send(AttachEvent::NotHere).await;
            return;
        };
        if cell.read().spec.account != query.account {
            let _ = tx.send(AttachEvent::OtherAccount).await;
            return;
        }
        let _reader = cell.reader();
        let spec = Box::new((*cell.spec()).clone());
        if tx.send(AttachEvent::Spec(spec)).await.is_err() {
            return;
        }
        send_answer(&cell, query.from, tx).await;
    }
}

/// Streams the answer from an offset on until it ends, moves to another box, or the reader leaves.
async fn send_answer(cell: &RequestCell, from: usize, tx: mpsc::Sender<AttachEvent>) {
    let mut position = from;
    let mut changed = cell.watch();
    loop {
        let event = match next_step(cell, position) {
            ReadStep::Wait => {
                tokio::select! {
                    _ = changed.changed() => continue,
                    () = tx.closed() => return,
                }
            }
            ReadStep::Tokens(tokens) => {
                let offset = position;
                position += tokens.len();
                AttachEvent::Tokens { offset, tokens }
            }
            ReadStep::Ending(ending) => AttachEvent::Ending(ending),
            ReadStep::Moved(to) => AttachEvent::Moved(to),
            ReadStep::NotHere => AttachEvent::NotHere,
        };
        let last = !matches!(event, AttachEvent::Tokens { .. });
        if tx.send(event).await.is_err() || last {
            return;
        }
    }
}
