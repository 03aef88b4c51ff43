use {
    super::World,
    crate::{names::*, peer::*, policy::*, requests::*},
    futures_util::future::join_all,
    std::time::Duration,
};

/// Timeout of a query for a request's owner.
const LOCATE_TIMEOUT: Duration = Duration::from_millis(600);
/// Largest number of boxes that are queried in the failure domain of the first box in
/// rendezvous order, and in all other failure domains together.
const MAX_TARGETS: usize = 3;

/// The result of locating a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Found {
    /// This box owns the request and has at least the requested tokens.
    At(BoxId),
    /// All boxes that would know the request were queried, and none does.
    Nowhere,
    /// Some of these boxes could not be queried, or the request was found with fewer tokens
    /// than requested.
    Unsure,
}

/// Locates the owner of a request that has at least `from` tokens.
///
/// The holder of the copy is computed from the request's identifier and knows the owner, so
/// that a few calls are enough however many boxes there are.
pub async fn locate(world: &World, id: RequestId, from: usize) -> Found {
    let mut candidates = world.holder_candidates();
    candidates.push(HolderCandidate {
        id: world.me.id.clone(),
        failure_domain: world.my_domain().clone(),
    });
    let targets = rank_locate_targets(id, &candidates, MAX_TARGETS);
    let replies = join_all(targets.iter().map(|c| query(world, &c.id, id))).await;
    let unsure = replies.iter().any(Result::is_err);
    // Of two owners of the same epoch the remote one takes precedence: it was there first.
    let mut located: Vec<Located> = locate_here(world, id).into_iter().collect();
    located.extend(replies.into_iter().flatten().flatten());
    located.sort_by_key(|l| l.epoch);
    let found_any = !located.is_empty();
    let best = located.into_iter().rev().find(|l| l.tokens >= from);
    match best {
        Some(l) => Found::At(l.owner),
        None if unsure || found_any => Found::Unsure,
        None => Found::Nowhere,
    }
}

/// Returns the owner of a request, its epoch and its tokens as far as this box knows them.
pub fn locate_here(world: &World, id: RequestId) -> Option<Located> {
    let cell = world.requests.get(id)?;
    let r = cell.read();
    if r.is_not_run() {
        return None;
    }
    let owner = match &r.role {
        Role::Owner => world.me.id.clone(),
        Role::Copy { .. } if r.is_ended() => world.me.id.clone(),
        Role::Copy { owner } => owner.clone(),
        Role::Moved { to } => to.clone(),
    };
    // A copy may lag behind the tokens that its owner has sent to the client, by those under
    // way, so that its own count is no upper bound.
    let tokens = match &r.role {
        Role::Owner => r.tokens.len(),
        Role::Copy { .. } if r.is_ended() => r.tokens.len(),
        _ => usize::MAX,
    };
    Some(Located {
        owner,
        epoch: r.epoch,
        tokens,
    })
}

async fn query(world: &World, at: &BoxId, id: RequestId) -> Result<Option<Located>, ()> {
    if *at == world.me.id {
        return Ok(None);
    }
    let call = PeerCall::Locate(id);
    match world.call_box(at, &call, LOCATE_TIMEOUT).await {
        Ok(PeerReply::Located(located)) => Ok(located),
        _ => Err(()),
    }
}
