use {
    super::*,
    crate::{names::*, peer::*, policy::*, requests::*},
    std::{sync::Arc, time::Duration},
};

/// Timeout of a call that offers a request to a box.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(800);
/// How often a request is moved to another failure domain before it must run where it is.
const MAX_HOPS: u8 = 2;
/// Largest number of boxes to which a request is offered.
const MAX_TAKERS: usize = 4;

/// Hands a request over to another failure domain that has an upstream for it.
///
/// Returns true if another box owns the request now.
pub async fn move_to_other_domain(world: &Arc<World>, cell: &Arc<RequestCell>) -> bool {
    let spec = cell.spec();
    if spec.hops >= MAX_HOPS {
        return false;
    }
    let domains = world.boxes.read().domains_with(&spec.service);
    hand_to_first_accepting(world, cell, takers_in(world, &spec, &domains)).await
}

/// Hands a request over to the given failure domain, which has more capacity for it.
///
/// Returns true if another box owns the request now.
pub async fn move_to_domain(
    world: &Arc<World>,
    cell: &Arc<RequestCell>,
    domain: &FailureDomain,
) -> bool {
    let takers = takers_in(world, &cell.spec(), std::slice::from_ref(domain));
    hand_to_first_accepting(world, cell, takers).await
}

async fn hand_to_first_accepting(
    world: &Arc<World>,
    cell: &Arc<RequestCell>,
    takers: Vec<BoxId>,
) -> bool {
    for taker in takers.into_iter().take(MAX_TAKERS) {
        if hand_over_to(world, cell, &taker, true).await {
            return true;
        }
    }
    false
}

/// Hands a request over because this box is going to be reclaimed: to the box that holds
/// its copy, or to another live box.
///
/// Returns true if another box owns the request now.
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
    for taker in takers.into_iter().take(MAX_TAKERS) {
        if is_live(world, &taker) && hand_over_to(world, cell, &taker, false).await {
            return true;
        }
    }
    false
}

/// Hands a request over to one box. Once the message is sent, this box commits no more
/// tokens to the request unless the other box refuses.
async fn hand_over_to(
    world: &Arc<World>,
    cell: &Arc<RequestCell>,
    taker: &BoxId,
    hop: bool,
) -> bool {
    let Some(incarnation) = incarnation_of(world, taker) else {
        return false;
    };
    // Two concurrent hand-overs would create two owners of the same epoch.
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
    let reply = world.call_box(taker, &call, HAND_OVER_TIMEOUT).await;
    match reply {
        Ok(PeerReply::Done) => {}
        Ok(_) | Err(PeerError::NotConnected(_)) => return false,
        // The reply was lost, so the taker may own the request. A move to another failure
        // domain counts as failed. A box that is being reclaimed marks the request as moved:
        // it is found at the taker or not at all.
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

/// Returns the boxes in these other failure domains that may take a request, ordered by
/// rendezvous hash, with boxes whose last call failed at the end.
fn takers_in(world: &World, spec: &RequestSpec, domains: &[FailureDomain]) -> Vec<BoxId> {
    let candidates = world.holder_candidates();
    let eligible: Vec<HolderCandidate> = candidates
        .into_iter()
        .filter(|c| c.failure_domain != *world.my_domain() && domains.contains(&c.failure_domain))
        .filter(|c| !world.links.is_silent(&c.id))
        .collect();
    let mut ranked = rank_holders(spec.id, world.my_domain(), &eligible);
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
