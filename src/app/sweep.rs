use {
    super::{peer_service::own, *},
    crate::{names::*, peer::*, policy::*, requests::*},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// How long an answer that nobody reads goes on.
const UNREAD_MS: u64 = 30_000;
/// How long the record of a moved request stays.
const MOVED_MS: u64 = 30_000;
/// How often an owner that lives on is asked about each copy.
const ASK_EVERY_MS: u64 = 5_000;
/// The least time between two rounds.
const NEWS_PAUSE: Duration = Duration::from_millis(50);
/// How often the requests are gone over.
const SWEEP_EVERY: Duration = Duration::from_millis(500);

/// Goes over the requests: takes over those whose owner is gone, looks for
/// holders, ends what nobody reads, and forgets what was kept long enough.
pub async fn sweep_requests(world: Arc<World>) {
    let mut watches: BTreeMap<BoxId, OwnerWatch> = BTreeMap::new();
    loop {
        // A box that started anew tells so: its requests aren't left waiting.
        tokio::select! {
            () = tokio::time::sleep(SWEEP_EVERY) => {}
            () = world.news.notified() => tokio::time::sleep(NEWS_PAUSE).await,
        }
        let cells = world.requests.all();
        look_after_copies(&world, &cells, &mut watches).await;
        for cell in &cells {
            sweep_one(&world, cell);
        }
        forget(&world, &cells);
        world.admission.wake_all(&world);
        metrics::gauge!("saddlepulley_requests").set(cells.len() as f64);
    }
}

/// What this box knows of an owner whose copies it holds.
#[derive(Clone, Copy, Debug, Default)]
struct OwnerWatch {
    /// Since when it doesn't answer.
    silent_since_ms: Option<u64>,
    /// The life that answered last.
    incarnation: u64,
    /// When it was asked about each copy.
    asked_ms: u64,
}

/// Looks after the owners of held copies: a copy is taken over if its owner is
/// silent for too long, is gone, or started anew and forgot it.
///
/// An owner whose answers are being copied shows by that that it lives; else it
/// is pinged. It is asked about each copy when it started anew and now and then:
/// that message grows with the copies.
async fn look_after_copies(
    world: &Arc<World>,
    cells: &[Arc<RequestCell>],
    watches: &mut BTreeMap<BoxId, OwnerWatch>,
) {
    let mut by_owner: BTreeMap<BoxId, Vec<Arc<RequestCell>>> = BTreeMap::new();
    for cell in cells {
        if let Some(owner) = live_owner(cell) {
            by_owner.entry(owner).or_default().push(cell.clone());
        }
    }
    watches.retain(|id, _| by_owner.contains_key(id));
    let looks = by_owner.into_iter().map(|(owner, copies)| {
        let watch = watches.get(&owner).copied().unwrap_or_default();
        look_at_owner(world, owner, copies, watch)
    });
    watches.extend(futures_util::future::join_all(looks).await);
}

async fn look_at_owner(
    world: &Arc<World>,
    owner: BoxId,
    copies: Vec<Arc<RequestCell>>,
    mut watch: OwnerWatch,
) -> (BoxId, OwnerWatch) {
    let within = Duration::from_millis(world.settings.peers.silence_ms / 2);
    let now = now_ms();
    let asked = now < watch.asked_ms + ASK_EVERY_MS;
    if asked && is_same_incarnation(world, &owner, watch.incarnation) {
        let ms = world.settings.peers.silence_ms / 2;
        if world.links.heard_within(&owner, ms) {
            watch.silent_since_ms = None;
            return (owner, watch);
        }
    }
    let Ok(PeerReply::Alive(incarnation)) = world.call_box(&owner, &PeerCall::Ping, within).await
    else {
        let since = *watch.silent_since_ms.get_or_insert(now);
        let silent_ms = now_ms().saturating_sub(since);
        if silent_ms >= world.settings.peers.silence_ms || is_gone(world, &owner) {
            copies.iter().for_each(|c| take_over(world, c, &owner));
        }
        return (owner, watch);
    };
    watch.silent_since_ms = None;
    if incarnation == watch.incarnation && asked {
        return (owner, watch);
    }
    let call = PeerCall::AskOwner {
        holder: world.me.id.clone(),
        requests: copies.iter().map(|c| c.id()).collect(),
    };
    if let Ok(PeerReply::Ownership(all)) = world.call_box(&owner, &call, within).await {
        watch.incarnation = incarnation;
        watch.asked_ms = now;
        let told = copies.iter().zip(all);
        told.for_each(|(c, is)| take_note(world, c, &owner, is));
    }
    (owner, watch)
}

fn is_same_incarnation(world: &World, id: &BoxId, incarnation: u64) -> bool {
    let boxes = world.boxes.read();
    boxes.get(id).is_some_and(|b| b.incarnation == incarnation)
}

/// Draws the conclusion from what an owner says of a copy held here.
fn take_note(world: &Arc<World>, cell: &Arc<RequestCell>, owner: &BoxId, is: Ownership) {
    match is {
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
        Role::Owner if !r.is_ended() && r.readers == 0 && unread_ms > UNREAD_MS => {
            drop(r);
            abandon(world, cell);
        }
        _ => {}
    }
}

/// A holder that is leaving takes its copies with it.
fn is_leaving(world: &World, holder: &Holder) -> bool {
    let Holder::At(id) = holder else { return false };
    let boxes = world.boxes.read();
    boxes.get(id).is_some_and(|b| b.state != BoxState::Live)
}

/// The owner is gone: this box goes on with the request, if it may be repeated.
fn take_over(world: &Arc<World>, cell: &Arc<RequestCell>, owner: &BoxId) {
    let repeatable = cell.change_owner(|r| {
        if !is_copy_of(r, owner) {
            return None;
        }
        log::info!(target: "app", "taking a request over. request={} role={:?}", r.spec.id, r.role);
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

fn abandon(world: &Arc<World>, cell: &Arc<RequestCell>) {
    if !cell.spec().repeatable {
        return;
    }
    let failure = Failure::new(Outcome::MayHaveRun, "nobody read the answer", 0);
    let score = RunScore::new(&cell.spec());
    run_model::finish(world, cell, Ending::Failed(failure), &score);
}

/// Forgets ended requests, the oldest first where the kept answers take too much.
fn forget(world: &World, cells: &[Arc<RequestCell>]) {
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
        let over = if moved {
            age > MOVED_MS && r.readers == 0
        } else if r.is_ended() {
            age > s.keep_answers_s * 1_000
        } else {
            // A copy whose owner let it go long after its deadline.
            now > r.spec.deadline_ms + s.keep_answers_s * 1_000
        };
        if over {
            drop(r);
            world.requests.remove(cell.id());
        } else if r.is_ended() {
            kept.push((r.ended_at_ms, r.bytes(), cell.id()));
        }
    }
    kept.sort_unstable();
    let mut bytes: usize = kept.iter().map(|(_, b, _)| b).sum();
    let mut left = kept.len();
    for (_, b, id) in kept {
        if bytes <= s.keep_answers_bytes && left <= 4 * s.max_requests {
            return;
        }
        world.requests.remove(id);
        bytes -= b;
        left -= 1;
    }
}

/// Whether any request in flight is this box's to finish.
pub fn has_unfinished_requests(world: &World) -> bool {
    let is_open = |r: &Record| {
        let unread_end = r.is_ended() && r.readers > 0;
        r.is_owner() && (!r.is_ended() || unread_end)
    };
    world.requests.all().iter().any(|c| is_open(&c.read()))
}
