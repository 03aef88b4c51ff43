use {
    super::*,
    crate::{names::*, policy::*},
    rand::Rng,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

/// Mean interval between two reads of the box list, in milliseconds, while the list is
/// short.
const LIST_INTERVAL_MS: u64 = 2_000;
/// Approximate size of one box in the list.
const LIST_BYTES_PER_BOX: u64 = 250;
/// The part of a daemon's control traffic that reads of the list may use, in bytes per
/// second.
const LIST_BYTES_PER_S: u64 = 1_500;
/// How long a read of reclaim notices may wait for a new one, in milliseconds.
const NOTICE_WAIT_MS: u64 = 4_000;
/// How long a box is remembered after it is gone: longer than any source lags, so that
/// outdated facts don't bring it back.
const GONE_RETENTION_MS: u64 = 3_600_000;
/// Pause after a failed read of notices.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Folds the platform's box list, which lags behind the state of the boxes.
pub async fn watch_box_list(world: Arc<World>) {
    let mut gone_since: BTreeMap<BoxId, u64> = BTreeMap::new();
    loop {
        match world.backends.box_list.list().await {
            Ok(facts) => {
                let facts: Vec<BoxFact> =
                    facts.into_iter().filter(|f| f.id != world.me.id).collect();
                world.fold_facts(&facts);
                mark_gone_entries(&world, &facts);
            }
            Err(e) => log::debug!(target: "boxes", "box list can't be read. error=\"{e}\""),
        }
        mark_departed(&world);
        prune_gone_boxes(&world, &mut gone_since);
        tokio::time::sleep(list_read_pause(&world)).await;
    }
}

/// Returns the time until the next read of the list, which grows with the list's size.
///
/// A single daemon may read a long list seldom, since all daemons read it at different,
/// random times and announce changes to each other.
fn list_read_pause(world: &World) -> Duration {
    let listed = world.boxes.read().iter().count() as u64;
    let ms = listed * LIST_BYTES_PER_BOX * 1_000 / LIST_BYTES_PER_S;
    let ms = ms.max(LIST_INTERVAL_MS);
    Duration::from_millis(world.fork_rng().random_range(ms / 2..=ms * 3 / 2))
}

/// Follows the cloud's reclaim notices.
pub async fn watch_notices(world: Arc<World>) {
    let mut next = 0;
    loop {
        match world.backends.cloud.notices(next, NOTICE_WAIT_MS).await {
            Ok(notices) => {
                for n in notices {
                    next = next.max(n.seq + 1);
                    apply_notice(&world, &n.id, n.incarnation, n.leaves_at_ms);
                }
            }
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

fn apply_notice(world: &World, id: &BoxId, incarnation: u64, leaves_at_ms: u64) {
    // The platform numbers the incarnations of entry boxes by itself. A notice for this box
    // whose time is still to come applies to the running incarnation.
    let is_for_this_box = *id == world.me.id && leaves_at_ms > now_ms();
    let incarnation = if is_for_this_box {
        world.me.incarnation
    } else {
        incarnation
    };
    let incarnation = known_entry_incarnation(world, id).unwrap_or(incarnation);
    if leaves_at_ms + 60_000 < now_ms() {
        return;
    }
    log::info!(target: "boxes", "reclaim notice. box={id} at_ms={leaves_at_ms}");
    world.advance_box(id, incarnation, BoxState::Leaving, leaves_at_ms);
}

/// Returns the known incarnation of an entry box; `None` for any other box.
///
/// An entry box announces its own incarnation, which differs from the platform's number in
/// a notice. A notice applies to the known incarnation.
fn known_entry_incarnation(world: &World, id: &BoxId) -> Option<u64> {
    let boxes = world.boxes.read();
    let b = boxes.get(id)?;
    (b.kind == BoxKind::Entry).then_some(b.incarnation)
}

/// Marks boxes as gone whose announced leaving time has passed, whatever the list says.
fn mark_departed(world: &World) {
    let now = now_ms();
    let departed: Vec<BoxFact> = {
        let boxes = world.boxes.read();
        boxes
            .iter()
            .filter(|b| b.state == BoxState::Leaving && b.leaves_at_ms > 0)
            .filter(|b| b.leaves_at_ms + 2_000 < now && b.id != world.me.id)
            .cloned()
            .collect()
    };
    for b in departed {
        world.advance_box(&b.id, b.incarnation, BoxState::Gone, b.leaves_at_ms);
    }
}

/// Marks entry boxes as gone that the list reports as gone and that don't answer.
///
/// An entry box numbers its incarnations by its start times and the list by numbers of its
/// own, so that the two can't be compared. The list's state is applied to the known
/// incarnation only if that incarnation doesn't answer either.
fn mark_gone_entries(world: &World, listed: &[BoxFact]) {
    let is_gone = |f: &&BoxFact| f.kind == BoxKind::Entry && f.state == BoxState::Gone;
    for f in listed.iter().filter(is_gone) {
        let known = world.boxes.read().get(&f.id).cloned();
        let Some(known) = known.filter(|b| b.state != BoxState::Gone) else {
            continue;
        };
        if world.links.is_silent(&f.id) {
            world.advance_box(&f.id, known.incarnation, BoxState::Gone, 0);
        }
    }
}

/// Drops the state kept for boxes that are gone, and their facts after
/// [`GONE_RETENTION_MS`].
fn prune_gone_boxes(world: &World, gone_since: &mut BTreeMap<BoxId, u64>) {
    let (kept_ids, addrs) = {
        let boxes = world.boxes.read();
        let present: Vec<&BoxFact> = boxes.iter().filter(|b| b.state != BoxState::Gone).collect();
        let kept_ids: BTreeSet<BoxId> = present.iter().map(|b| b.id.clone()).collect();
        let mut addrs: BTreeSet<_> = present.iter().map(|b| b.address).collect();
        addrs.extend(world.settings.peers.seeds.iter().copied());
        (kept_ids, addrs)
    };
    remove_expired_facts(world, gone_since);
    world.stats.lock().retain(|id| kept_ids.contains(id));
    world.hints.lock().retain(|id| kept_ids.contains(id));
    world.replicators.retain(|id| kept_ids.contains(id));
    world.links.retain(|addr| addrs.contains(addr));
}

fn remove_expired_facts(world: &World, gone_since: &mut BTreeMap<BoxId, u64>) {
    let now = now_ms();
    let mut boxes = world.boxes.write();
    let gone: BTreeSet<BoxId> = boxes
        .iter()
        .filter(|b| b.state == BoxState::Gone)
        .map(|b| b.id.clone())
        .collect();
    gone_since.retain(|id, _| gone.contains(id));
    for id in gone {
        gone_since.entry(id).or_insert(now);
    }
    let recent = |id: &BoxId| {
        let since = gone_since.get(id).copied().unwrap_or(now);
        now.saturating_sub(since) < GONE_RETENTION_MS
    };
    boxes.remove_missing(recent);
    let mut journal = world.journal.lock();
    for id in gone_since.keys().filter(|id| !recent(id)) {
        journal.forget(id);
    }
}
