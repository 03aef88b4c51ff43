use {
    super::{heartbeat::*, *},
    crate::{names::*, peer::*, policy::*, requests::*},
    async_trait::async_trait,
    std::sync::Arc,
    tokio::sync::mpsc,
};

/// The most requests in the table, kept answers and copies for others
/// included, as a multiple of the most own requests.
const MAX_HELD_FACTOR: usize = 8;

/// What this daemon does for its peers.
pub struct PeerService {
    world: Arc<World>,
}

impl PeerService {
    /// Makes the desk.
    pub fn new(world: Arc<World>) -> Self {
        Self { world }
    }

    fn hold(&self, s: Snapshot) -> PeerReply {
        let world = &self.world;
        if s.owner == world.me.id {
            return PeerReply::Refused("not for the owner itself".to_string());
        }
        if world.requests.len() >= world.settings.requests.max_requests * MAX_HELD_FACTOR {
            return PeerReply::Refused("full".to_string());
        }
        if world.leaves_at_ms().is_some() {
            return PeerReply::Refused("leaving".to_string());
        }
        let record = record_of(
            &s,
            Role::Copy {
                owner: s.owner.clone(),
            },
        );
        let (cell, fresh) = world.requests.insert(record);
        if fresh {
            return PeerReply::Done;
        }
        if cell.read().spec.account != s.spec.account {
            return PeerReply::Refused("another account's".to_string());
        }
        let held = cell.change_owner(|r| {
            if r.epoch > s.epoch || (r.epoch == s.epoch && !yields(r, &world.me.id, &s.owner)) {
                return false;
            }
            let readers = r.readers;
            *r = record_of(
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
        self.world.links.heard(owner);
        let acks = appends.into_iter().map(|a| Ack {
            request: a.request,
            state: self.append(owner, a),
        });
        PeerReply::Replicated(acks.collect())
    }

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
        let (cell, fresh) = world.requests.insert(record_of(&s, Role::Owner));
        if !fresh {
            let taken = cell.change_owner(|r| {
                if r.epoch >= s.epoch {
                    return false;
                }
                let readers = r.readers;
                *r = record_of(&s, Role::Owner);
                r.readers = readers;
                true
            });
            let doubled = !taken && {
                let r = cell.read();
                r.epoch == s.epoch && r.is_owner()
            };
            if doubled {
                // It runs already: a second run would commit its tokens twice.
                return PeerReply::Done;
            }
            if !taken {
                return PeerReply::Refused("superseded".to_string());
            }
        }
        own(world, &cell, claimant);
        PeerReply::Done
    }

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
            Ok(super::claim_client::ClaimAppendOutcome::NotTaken) | Err(_) => {
                PeerReply::Refused("not taken".to_string())
            }
        }
    }
}

/// Whether a record makes room for another owner's copy of the same epoch.
///
/// One key can come in at two boxes at once. One of them yields: the one with
/// the larger name, and only while it still looks for a holder itself and so
/// has shown nothing. Yielding always leads to a smaller name or to a box that
/// has its holder, so that it can't go in a circle.
fn yields(r: &Record, me: &BoxId, owner: &BoxId) -> bool {
    match &r.role {
        // The key was sent again after `not-run`, to another box.
        _ if r.is_not_run() => true,
        Role::Copy { owner: known } => known == owner,
        Role::Owner => r.holder == Holder::Searching && r.durable == 0 && owner < me,
        // It gave way to this very owner, and can hold its copy.
        Role::Moved { to } => to == owner,
    }
}

/// Makes the record that a snapshot describes.
fn record_of(s: &Snapshot, role: Role) -> Record {
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

/// Starts to run a request that this box owns from now on.
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
            PeerCall::AskOwner { holder, requests } => {
                let all = requests.iter().map(|id| self.ownership(&holder, *id));
                PeerReply::Ownership(all.collect())
            }
            PeerCall::Heartbeat(news) => PeerReply::Heartbeat(take_news(&self.world, news)),
            PeerCall::Hold(s) => self.hold(s),
            PeerCall::Replicate { owner, appends } => self.replicate(&owner, appends),
            PeerCall::TakeOver(t) => self.take_over(*t),
            PeerCall::Locate(id) => PeerReply::Located(locate_here(&self.world, id)),
            PeerCall::FetchTable(from) => PeerReply::Table(table_update_since(&self.world, from)),
            PeerCall::AppendClaims(records) => self.append_claims(records).await,
            PeerCall::AskClaim(key) if self.world.claims.release_again(&key) => {
                PeerReply::Refused("given up".to_string())
            }
            PeerCall::AskClaim(_) => PeerReply::Done,
        }
    }

    async fn attach(&self, ask: Attach, tx: mpsc::Sender<AttachEvent>) {
        let Some(cell) = self.world.requests.get(ask.request) else {
            let _ = tx.send(AttachEvent::NotHere).await;
            return;
        };
        if cell.read().spec.account != ask.account {
            let _ = tx.send(AttachEvent::NotYours).await;
            return;
        }
        let _reader = cell.reader();
        let spec = Box::new((*cell.spec()).clone());
        if tx.send(AttachEvent::Spec(spec)).await.is_err() {
            return;
        }
        send_answer(&cell, ask.from, tx).await;
    }
}

async fn send_answer(cell: &RequestCell, from: usize, tx: mpsc::Sender<AttachEvent>) {
    let mut at = from;
    let mut changed = cell.watch();
    loop {
        let event = match next_step(cell, at) {
            Step::Wait => {
                tokio::select! {
                    _ = changed.changed() => continue,
                    () = tx.closed() => return,
                }
            }
            Step::Tokens(tokens) => {
                let offset = at;
                at += tokens.len();
                AttachEvent::Tokens { offset, tokens }
            }
            Step::Ending(ending) => AttachEvent::Ending(ending),
            Step::Moved(to) => AttachEvent::Moved(to),
            Step::NotHere => AttachEvent::NotHere,
        };
        let last = !matches!(event, AttachEvent::Tokens { .. });
        if tx.send(event).await.is_err() || last {
            return;
        }
    }
}
