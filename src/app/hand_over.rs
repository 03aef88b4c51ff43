use {
    super::*,
    crate::{names::*, peer::*, policy::*, requests::*},
    std::{sync::Arc, time::Duration},
};

const TAKE_OVER_TIMEOUT: Duration = Duration::from_millis(800);
/// How often a request is sent on before it must run where it is.
const MAX_HOPS: u8 = 2;
/// How many boxes are asked to take a request.
const MAX_TRIES: usize = 4;

/// Gives a request to a failure domain that has an upstream for it.
///
/// Returns whether another box owns it now.
pub async fn move_to_other_domain(world: &Arc<World>, cell: &Arc<RequestCell>) -> bool {
    let spec = cell.spec();
    if spec.hops >= MAX_HOPS {
        return false;
    }
    let domains = world.boxes.read().domains_with(&spec.service);
    hop_to_one(world, cell, takers_in(world, &spec, &domains)).await
}

/// Gives a request to a failure domain that has more room for it.
///
/// Returns whether another box owns it now.
pub async fn move_to_domain(
    world: &Arc<World>,
    cell: &Arc<RequestCell>,
    domain: &FailureDomain,
) -> bool {
    let takers = takers_in(world, &cell.spec(), std::slice::from_ref(domain));
    hop_to_one(world, cell, takers).await
}

async fn hop_to_one(world: &Arc<World>, cell: &Arc<RequestCell>, takers: Vec<BoxId>) -> bool {
    for taker in takers.into_iter().take(MAX_TRIES) {
        if hand_to(world, cell, &taker, true).await {
            return true;
        }
    }
    false
}

/// Gives a request away because this box will be taken back: to the box that
/// holds its copy, or to another one that stays.
pub async fn move_off_this_box(world: &Arc<World>, cell: &Arc<RequestCell>) -> bool {
    let holder = match &cell.read().holder {
        Holder::At(holder) => Some(holder.clone()),
        Holder::Searching | Holder::Nowhere => None,
    };
    let mut takers: Vec<BoxId> = holder.into_iter().collect();
    let ranked = rank_holders(cell.id(), world.my_domain(), &world.holder_candidates());
    takers.extend(
        ranked
            .into_iter()
            .map(|c| c.id)
            .filter(|id| !world.links.is_silent(id)),
    );
    takers.dedup();
    for taker in takers.into_iter().take(MAX_TRIES) {
        if is_live(world, &taker) && hand_to(world, cell, &taker, false).await {
            return true;
        }
    }
    false
}

/// Hands a request to one box. From the moment the message leaves, this box
/// commits nothing more to it unless the box refuses.
async fn hand_to(world: &Arc<World>, cell: &Arc<RequestCell>, taker: &BoxId, hop: bool) -> bool {
    let Some(incarnation) = incarnation_of(world, taker) else {
        return false;
    };
    // Two hand-overs at once would make two owners of one epoch.
    let Some(_moving) = cell.start_move() else {
        return false;
    };
    let snapshot = {
        let r = cell.read();
        if !r.is_owner() || r.is_ended() {
            return !r.is_owner();
        }
        let mut snapshot = snapshot(world, &r);
        snapshot.epoch += 1;
        snapshot.spec.hops += u8::from(hop);
        snapshot
    };
    let epoch = snapshot.epoch;
    let take_over = TakeOver {
        snapshot,
        taker: BoxIncarnation {
            id: taker.clone(),
            incarnation,
        },
        right: None,
    };
    let call = PeerCall::TakeOver(Box::new(take_over));
    let reply = world.call_box(taker, &call, TAKE_OVER_TIMEOUT).await;
    match reply {
        Ok(PeerReply::Done) => {}
        Ok(_) | Err(PeerError::NotConnected(_)) => return false,
        // The answer was lost: the taker may own it. It is found there or not at all.
        Err(_) if hop => return false,
        Err(_) => {}
    }
    cell.change_owner(|r| {
        if r.is_owner() && r.epoch < epoch {
            r.role = Role::Moved { to: taker.clone() };
            r.epoch = epoch;
        }
    });
    true
}

/// Returns the boxes of other failure domains that may take a request, in the
/// order of its rendezvous hashes, those that fail last.
fn takers_in(world: &World, spec: &RequestSpec, domains: &[FailureDomain]) -> Vec<BoxId> {
    let candidates = world.holder_candidates();
    let near: Vec<HolderCandidate> = candidates
        .into_iter()
        .filter(|c| c.failure_domain != *world.my_domain() && domains.contains(&c.failure_domain))
        .filter(|c| !world.links.is_silent(&c.id))
        .collect();
    let mut ranked = rank_holders(spec.id, world.my_domain(), &near);
    ranked.sort_by_key(|c| world.links.is_failing(&c.id));
    ranked.into_iter().map(|c| c.id).collect()
}

fn incarnation_of(world: &World, id: &BoxId) -> Option<u64> {
    world.boxes.read().get(id).map(|b| b.incarnation)
}

fn is_live(world: &World, id: &BoxId) -> bool {
    let boxes = world.boxes.read();
    boxes.get(id).is_some_and(|b| b.state == BoxState::Live)
}
