use {
    super::{World, give_way},
    crate::{names::*, peer::*, policy::*, requests::*},
    std::{sync::Arc, time::Duration},
};

/// How long a box may take to say that it holds a copy.
const HOLD_TIMEOUT: Duration = Duration::from_millis(500);
/// How many boxes are asked to hold a copy before the request goes without.
const MAX_TRIES: usize = 6;

/// How safe an accepted request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// A copy is in another failure domain.
    CrossDomain,
    /// A copy is on another box of this failure domain.
    Domain,
    /// There is no copy: no other box could be reached.
    None,
}

impl Durability {
    /// Returns the name in the header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::CrossDomain => "cross-domain",
            Self::Domain => "domain",
            Self::None => "none",
        }
    }
}

/// Finds a box to hold the request's copy and sends it the whole of it.
pub async fn hold(world: &World, cell: &RequestCell, not: Option<&BoxId>) -> Durability {
    if !world.settings.trial.copies {
        cell.change(Record::record_no_holder);
        return Durability::None;
    }
    cell.change(|r| r.holder = Holder::Searching);
    let candidates: Vec<HolderCandidate> = world
        .holder_candidates()
        .into_iter()
        .filter(|c| Some(&c.id) != not && !world.links.is_silent(&c.id))
        .collect();
    let mut ranked = rank_holders(cell.id(), world.my_domain(), &candidates);
    // Those whose last call failed go last: a dead box must not slow each request.
    ranked.sort_by_key(|c| world.links.is_failing(&c.id));
    for candidate in ranked.into_iter().take(MAX_TRIES) {
        match hold_at(world, cell, &candidate.id).await {
            HoldEnd::Held if candidate.failure_domain == *world.my_domain() => {
                return Durability::Domain;
            }
            HoldEnd::Held => return Durability::CrossDomain,
            HoldEnd::OwnedBy(owner) => {
                give_way(cell, &candidate.id, owner);
                return Durability::None;
            }
            HoldEnd::Failed => {}
        }
    }
    cell.change(Record::record_no_holder);
    Durability::None
}

/// Makes the snapshot of a request that this box owns.
pub fn snapshot(world: &World, r: &Record) -> Snapshot {
    Snapshot {
        spec: (*r.spec).clone(),
        owner: world.me.id.clone(),
        epoch: r.epoch,
        tokens: r.tokens.clone(),
        ending: r.ending.clone(),
        upstream: r.upstream.clone(),
        recomputed: r.recomputed,
    }
}

/// How one box took the ask to hold a copy.
enum HoldEnd {
    Held,
    /// It knows the request as another box's: its key came in there first, or
    /// it was taken over.
    OwnedBy(BoxId),
    Failed,
}

async fn hold_at(world: &World, cell: &RequestCell, id: &BoxId) -> HoldEnd {
    let snapshot = snapshot(world, &cell.read());
    let tokens = snapshot.tokens.len();
    let ending = snapshot.ending.is_some();
    let call = PeerCall::Hold(snapshot);
    let reply = world.call_box(id, &call, HOLD_TIMEOUT).await;
    match reply {
        Ok(PeerReply::Done) => {}
        Ok(PeerReply::Superseded(owner)) if owner != world.me.id => return HoldEnd::OwnedBy(owner),
        _ => return HoldEnd::Failed,
    }
    cell.change(|r| {
        r.holder = Holder::At(id.clone());
        r.copied(tokens, ending);
    });
    HoldEnd::Held
}

/// Finds another holder in the background, after the one it had was lost.
pub fn hold_again(world: &Arc<World>, cell: &Arc<RequestCell>, lost: Option<BoxId>) {
    let world = world.clone();
    let cell = cell.clone();
    tokio::spawn(async move {
        if cell.read().is_owner() {
            hold(&world, &cell, lost.as_ref()).await;
            world.replicators.mark(&world, &cell);
        }
    });
}
