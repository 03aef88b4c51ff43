use {
    super::{peer_service::own, *},
    crate::{names::*, peer::*, policy::*, requests::*},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// Time after which a request whose answer nobody reads is ended, in milliseconds.
const UNREAD_TIMEOUT_MS: u64 = 30_000;
/// Time for which the record of a moved request is kept, in milliseconds.
const MOVED_RETENTION_MS: u64 = 30_000;
/// Interval of the ownership queries about all copies to an owner that stays up, in milliseconds.
const OWNERSHIP_QUERY_INTERVAL_MS: u64 = 5_000;
/// Pause before a sweep that a state change causes, and so the minimum interval of sweeps.
const MIN_SWEEP_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum interval of sweeps over the requests.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Sweeps the requests: takes over those whose owner is gone, looks for holders of copies, ends
/// requests whose answer nobody reads, and removes records whose retention time is over.
pub async fn sweep_requests(world: Arc<World>) {
    let mut owner_states: BTreeMap<BoxId, OwnerState> = BTreeMap::new();
    loop {
        // A restarted box announces its new incarnation. The sweep follows at once, so that the
        // requests that the box owned don't wait for the next interval.
        tokio::select! {
            () = tokio::time::sleep(SWEEP_INTERVAL) => {}
            () = world.state_changed.notified() => tokio::time::sleep(MIN_SWEEP_INTERVAL).await,
        }
        let cells = world.requests.all();
        check_owners(&world, &cells, &mut owner_states).await;
        for cell in &cells {
            sweep_one(&world, cell);
        }
        remove_expired(&world, &cells);
        world.admission.wake_all(&world);
        metrics::gauge!("saddlepulley_requests").set(cells.len() as f64);
    }
}

/// The state of an owner of copies that this box holds.
#[derive(Clone, Copy, Debug, Default)]
struct OwnerState {
    /// Time of the first unanswered ping, in Unix milliseconds; none if the owner answers.
    silent_since_ms: Option<u64>,
    /// The incarnation that answered the last ownership query.
    incarnation: u64,
    /// Time of the last answered ownership query, in Unix milliseconds.
    last_query_ms: u64,
}

/// Checks the owners of held copies: takes over a copy if its owner is silent for too long, is
/// gone, or has restarted and doesn't know the request any more.
///
/// An owner that replicates answers to this box counts as alive; any other owner
/// is pinged. The ownership query names every copy, so that its size grows with
/// their number. It is sent only after a restart of the owner and at intervals.
async fn check_owners(
    world: &Arc<World>,
    cells: &[Arc<RequestCell>],
    owner_states: &mut BTreeMap<BoxId, OwnerState>,
) {
    let mut by_owner: BTreeMap<BoxId, Vec<Arc<RequestCell>>> = BTreeMap::new();
    for cell in cells {
        if let Some(owner) = live_owner(cell) {
            by_owner.entry(owner).or_default().push(cell.clone());
        }
    }
    owner_states.retain(|id, _| by_owner.contains_key(id));
    let checks = by_owner.into_iter().map(|(owner, copies)| {
        let state = owner_states.get(&owner).copied().unwrap_or_default();
        check_owner(world, owner, copies, state)
    });
    owner_states.extend(futures_util::future::join_all(checks).await);
}

/// Checks one owner; returns the owner's updated state.
async fn check_owner(
    world: &Arc<World>,
    owner: BoxId,
    copies: Vec<Arc<RequestCell>>,
    mut state: OwnerState,
) -> (BoxId, OwnerState) {
    let within = Duration::from_millis(world.settings.peers.silence_ms / 2);
    let now = now_ms();
    let recently_queried = now < state.last_query_ms + OWNERSHIP_QUERY_INTERVAL_MS;
    if recently_queried && is_same_incarnation(world, &owner, state.incarnation) {
        let ms = world.settings.peers.silence_ms / 2;
        if world.links.seen_within(&owner, ms) {
            state.silent_since_ms = None;
            return (owner, state);
        }
    }
    let Ok(PeerReply::Alive(incarnation)) = world.call_box(&owner, &PeerCall::Ping, within).await
    else {
        let since = *state.silent_since_ms.get_or_insert(now);
        let silent_ms = now_ms().saturating_sub(since);
        if silent_ms >= world.settings.peers.silence_ms || is_gone(world, &owner) {
            copies.iter().for_each(|c| take_over(world, c, &owner));
        }
        return (owner, state);
    };
    state.silent_since_ms = None;
    if incarnation == state.incarnation && recently_queried {
        return (owner, state);
    }
    let call = PeerCall::QueryOwner {
        holder: world.me.id.clone(),
        requests: copies.iter().map(|c| c.id()).collect(),
    };
    if let Ok(PeerReply::Ownership(all)) = world.call_box(&owner, &call, within).await {
        state.incarnation = incarnation;
        state.last_query_ms = now;
        let answers = copies.iter().zip(all);
        answers.for_each(|(c, o)| apply_ownership(world, c, &owner, o));
    }
    (owner, state)
}

fn is_same_incarnation(world: &World, id: &BoxId, incarnation: u64) -> bool {
    let boxes = world.boxes.read();
    boxes.get(id).is_some_and(|b| b.incarnation == incarnation)
}

/// Updates a held copy by its owner's answer to an ownership query.
fn apply_ownership(
    world: &Arc<World>,
    cell: &Arc<RequestCell>,
    owner: &BoxId,
    ownership: Ownership,
) {
    match ownership {
        Ownership::Owner => {}
        Ownership::CopyElsewhere => world.requests.remove(cell.id()),
        Ownership::OwnedBy(other) if other != world.me.id => cell.change(|r| {
            if is_copy_of(r, owner) {
                r.role = Role::Copy { owner: other };
            }
        }),
        Ownership::OwnedBy(_) | Ownership::Unknown => take_over(world, cell, owner),
    }
}

fn is_copy_of(r: &Record, owner: &BoxId) -> bool {
    matches!(&r.role, Role::Copy { owner: known } if known == owner) && !r.is_ended()
}

/// Returns the owner of a copy of a request that has not ended.
fn live_owner(cell: &RequestCell) -> Option<BoxId> {
    let r = cell.read();
    match &r.role {
        Role::Copy { owner } if !r.is_ended() => Some(owner.clone()),
        _ => None,
    }
}

fn is_gone(world: &World, id: &BoxId) -> bool {
    let boxes = world.boxes.read();
    boxes.get(id).is_none_or(|b| b.state == BoxState::Gone)
}

/// Finds a holder for a request that lacks one, or ends a request whose answer nobody reads.
fn sweep_one(world: &Arc<World>, cell: &Arc<RequestCell>) {
    let r = cell.read();
    let unread_ms = now_ms().saturating_sub(r.unread_since_ms);
    match &r.role {
        Role::Owner if is_leaving(world, &r.holder) => {
            let lost = match &r.holder {
                Holder::At(id) => Some(id.clone()),
                Holder::Searching | Holder::Nowhere => None,
            };
            drop(r);
            hold_again(world, cell, lost);
        }
        Role::Owner if r.holder == Holder::Nowhere && !r.is_ended() => {
            drop(r);
            hold_again(world, cell, None);
        }
        Role::Owner if !r.is_ended() && r.readers == 0 && unread_ms > UNREAD_TIMEOUT_MS => {
            drop(r);
            abandon(world, cell);
        }
        _ => {}
    }
}

/// Returns true if the holder of a request's copy is leaving or gone: its copies are lost with it.
fn is_leaving(world: &World, holder: &Holder) -> bool {
    let Holder::At(id) = holder else { return false };
    let boxes = world.boxes.read();
    boxes.get(id).is_some_and(|b| b.state != BoxState::Live)
}

/// Takes over a request whose owner is gone: runs it if it is repeatable, or else ends it as
/// `may-have-run`.
fn take_over(world: &Arc<World>, cell: &Arc<RequestCell>, owner: &BoxId) {
    let repeatable = cell.change_owner(|r| {
        if !is_copy_of(r, owner) {
            return None;
        }
        log::info!(target: "app", "taking over a request. request={} role={:?}", r.spec.id, r.role);
        r.role = Role::Owner;
        r.epoch += 1;
        r.durable = 0;
        r.holder = Holder::Searching;
        r.unread_since_ms = now_ms();
        Some(r.spec.repeatable)
    });
    let Some(repeatable) = repeatable else { return };
    metrics::counter!("saddlepulley_takeovers_total").increment(1);
    if !repeatable {
        let failure = Failure::new(Outcome::MayHaveRun, "the box that ran it is gone", 0);
        let score = RunScore::new(&cell.spec());
        run_model::finish(world, cell, Ending::Failed(failure), &score);
    }
    own(world, cell, None);
}

/// Ends a repeatable request whose answer nobody reads.
fn abandon(world: &Arc<World>, cell: &Arc<RequestCell>) {
    if !cell.spec().repeatable {
        return;
    }
    let failure = Failure::new(Outcome::MayHaveRun, "nobody read the answer", 0);
    let score = RunScore::new(&cell.spec());
    run_model::finish(world, cell, Ending::Failed(failure), &score);
}

/// Removes requests whose retention time is over, and then the oldest ended requests while kept
/// answers exceed their limits on bytes or number.
fn remove_expired(world: &World, cells: &[Arc<RequestCell>]) {
    let s = &world.settings.requests;
    let now = now_ms();
    let mut kept = Vec::new();
    for cell in cells {
        let r = cell.read();
        let moved = matches!(r.role, Role::Moved { .. });
        let since = if r.is_ended() {
            r.ended_at_ms
        } else {
            r.unread_since_ms
        };
        let age = now.saturating_sub(since);
        let is_expired = if moved {
            age > MOVED_RETENTION_MS && r.readers == 0
        } else if r.is_ended() {
            age > s.keep_answers_s * 1_000
        } else {
            // A request that has not ended long after its deadline, such as a copy that its
            // owner has dropped.
            now > r.spec.deadline_ms + s.keep_answers_s * 1_000
        };
        if is_expired {
            drop(r);
            world.requests.remove(cell.id());
        } else if r.is_ended() {
            kept.push((r.ended_at_ms, r.bytes(), cell.id()));
        }
    }
    kept.sort_unstable();
    let mut bytes: usize = kept.iter().map(|(_, b, _)| b).sum();
    let mut remaining = kept.len();
    for (_, b, id) in kept {
        if bytes <= s.keep_answers_bytes && remaining <= 4 * s.max_requests {
            return;
        }
        world.requests.remove(id);
        bytes -= b;
        remaining -= 1;
    }
}

/// Returns true if this box owns a request that is still running or whose answer is being read.
pub fn has_unfinished_requests(world: &World) -> bool {
    let is_unfinished = |r: &Record| {
        let is_being_read = r.is_ended() && r.readers > 0;
        r.is_owner() && (!r.is_ended() || is_being_read)
    };
    world
        .requests
        .all()
        .iter()
        .any(|c| is_unfinished(&c.read()))
}
