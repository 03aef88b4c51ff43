use {
    super::World,
    crate::{names::*, peer::*, policy::*, requests::*},
    futures_util::future::join_all,
    std::time::Duration,
};

const LOCATE_TIMEOUT: Duration = Duration::from_millis(600);
/// How many boxes of the first failure domain, and of the others together, are asked.
const ASKED: usize = 3;

/// Where a request was found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Found {
    /// This box owns it, with at least the tokens asked for.
    At(BoxId),
    /// All that would know were asked, and none does.
    Nowhere,
    /// Some could not be asked, or have less than was asked for.
    Unsure,
}

/// Looks for the owner of a request that has at least `from` tokens.
///
/// Its copy's holder is worked out from its identifier, and knows the owner: a
/// handful of calls, however many boxes there are.
pub async fn locate(world: &World, id: RequestId, from: usize) -> Found {
    let mut candidates = world.holder_candidates();
    candidates.push(HolderCandidate {
        id: world.me.id.clone(),
        failure_domain: world.my_domain().clone(),
    });
    let asked = rank_locate_targets(id, &candidates, ASKED);
    let answers = join_all(asked.iter().map(|c| ask(world, &c.id, id))).await;
    let unsure = answers.iter().any(Result::is_err);
    // Of two owners of one epoch the other one counts: it was there first.
    let mut located: Vec<Located> = locate_here(world, id).into_iter().collect();
    located.extend(answers.into_iter().flatten().flatten());
    located.sort_by_key(|l| l.epoch);
    let any = !located.is_empty();
    let best = located.into_iter().rev().find(|l| l.tokens >= from);
    match best {
        Some(l) => Found::At(l.owner),
        None if unsure || any => Found::Unsure,
        None => Found::Nowhere,
    }
}

/// Returns what this box knows of a request.
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
    // A copy may lag what its owner has shown, by what is on its way.
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

async fn ask(world: &World, at: &BoxId, id: RequestId) -> Result<Option<Located>, ()> {
    if *at == world.me.id {
        return Ok(None);
    }
    let call = PeerCall::Locate(id);
    match world.call_box(at, &call, LOCATE_TIMEOUT).await {
        Ok(PeerReply::Located(located)) => Ok(located),
        _ => Err(()),
    }
}
