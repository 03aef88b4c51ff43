use {
    super::{World, yield_ownership},
    crate::{names::*, peer::*, policy::*, requests::*},
    std::{sync::Arc, time::Duration},
};

/// Timeout of a call that asks a box to hold a copy.
const HOLD_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest number of boxes that are asked to hold a copy. If none does, the request
/// continues without a copy.
const MAX_CANDIDATES: usize = 6;

/// Where the copy of an accepted request is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// On a box of another failure domain.
    CrossDomain,
    /// On another box of this failure domain.
    Domain,
    /// Nowhere: no other box could be reached, or another box owns the request.
    None,
}

impl Durability {
    /// Returns the value used in the response header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::CrossDomain => "cross-domain",
            Self::Domain => "domain",
            Self::None => "none",
        }
    }
}

/// Finds a box to hold the request's copy, other than `excluded`, and sends it a full snapshot.
pub async fn hold(world: &World, cell: &RequestCell, excluded: Option<&BoxId>) -> Durability {
    if !world.settings.trial.copies {
        cell.change(Record::record_no_holder);
        return Durability::None;
    }
    cell.change(|r| r.holder = Holder::Searching);
    let candidates: Vec<HolderCandidate> = world
        .holder_candidates()
        .into_iter()
        .filter(|c| Some(&c.id) != excluded && !world.links.is_silent(&c.id))
        .collect();
    let mut ranked = rank_holders(cell.id(), world.my_domain(), &candidates);
    // Boxes whose last call failed come last, so that a dead box doesn't delay each request.
    ranked.sort_by_key(|c| world.links.is_failing(&c.id));
    for candidate in ranked.into_iter().take(MAX_CANDIDATES) {
        match hold_at(world, cell, &candidate.id).await {
            HoldOutcome::Held if candidate.failure_domain == *world.my_domain() => {
                return Durability::Domain;
            }
            HoldOutcome::Held => return Durability::CrossDomain,
            HoldOutcome::OwnedBy(owner) => {
                yield_ownership(cell, &candidate.id, owner);
                return Durability::None;
            }
            HoldOutcome::Failed => {}
        }
    }
    cell.change(Record::record_no_holder);
    Durability::None
}

/// Creates the snapshot of a request that this box owns.
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

/// The outcome of asking one box to hold a copy.
enum HoldOutcome {
    Held,
    /// The request is owned by this other box: its key arrived there first, or it was taken
    /// over.
    OwnedBy(BoxId),
    Failed,
}

async fn hold_at(world: &World, cell: &RequestCell, id: &BoxId) -> HoldOutcome {
    let snapshot = snapshot(world, &cell.read());
    let tokens = snapshot.tokens.len();
    let ending = snapshot.ending.is_some();
    let call = PeerCall::Hold(snapshot);
    let reply = world.call_box(id, &call, HOLD_TIMEOUT).await;
    match reply {
        Ok(PeerReply::Done) => {}
        Ok(PeerReply::Superseded(owner)) if owner != world.me.id => {
            return HoldOutcome::OwnedBy(owner);
        }
        _ => return HoldOutcome::Failed,
    }
    cell.change(|r| {
        r.holder = Holder::At(id.clone());
        r.record_copied(tokens, ending);
    });
    HoldOutcome::Held
}

/// Finds another holder in the background after the previous one was lost.
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
