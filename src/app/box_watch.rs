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

/// The least time between two looks at the list.
const LIST_EVERY_MS: u64 = 2_000;
/// About how many bytes the list takes for one box.
const LIST_BYTES_PER_BOX: u64 = 250;
/// How much of a daemon's control traffic the list may take, in bytes a second.
const LIST_BYTES_PER_S: u64 = 1_500;
const NOTICE_WAIT_MS: u64 = 4_000;
/// How long a gone box is remembered: longer than any source lags.
const REMEMBER_GONE_MS: u64 = 3_600_000;
const PAUSE: Duration = Duration::from_millis(250);

/// Folds the platform's box list, which lags.
pub async fn watch_box_list(world: Arc<World>) {
    let mut gone_since: BTreeMap<BoxId, u64> = BTreeMap::new();
    loop {
        match world.borders.box_list.list().await {
            Ok(facts) => {
                let facts: Vec<BoxFact> =
                    facts.into_iter().filter(|f| f.id != world.me.id).collect();
                world.fold_facts(&facts);
                mark_gone_entries(&world, &facts);
            }
            Err(e) => log::debug!(target: "boxes", "the box list can't be read. error=\"{e}\""),
        }
        mark_left(&world);
        remove_missing(&world, &mut gone_since);
        tokio::time::sleep(list_pause(&world)).await;
    }
}

/// The larger the list, the more seldom one daemon reads it: all daemons read
/// it at different times, and tell each other what is new in it.
fn list_pause(world: &World) -> Duration {
    let listed = world.boxes.read().iter().count() as u64;
    let ms = listed * LIST_BYTES_PER_BOX * 1_000 / LIST_BYTES_PER_S;
    let ms = ms.max(LIST_EVERY_MS);
    Duration::from_millis(world.fork_rng().random_range(ms / 2..=ms * 3 / 2))
}

/// Follows the cloud's reclaim notices.
pub async fn watch_notices(world: Arc<World>) {
    let mut next = 0;
    loop {
        match world.borders.cloud.notices(next, NOTICE_WAIT_MS).await {
            Ok(notices) => {
                for n in notices {
                    next = next.max(n.seq + 1);
                    take_notice(&world, &n.id, n.incarnation, n.leaves_at_ms);
                }
            }
            Err(_) => tokio::time::sleep(PAUSE).await,
        }
    }
}

fn take_notice(world: &World, id: &BoxId, incarnation: u64, leaves_at_ms: u64) {
    // The platform counts lives of its own for entry boxes; a notice for this
    // box that is still to come is for this life.
    let mine = *id == world.me.id && leaves_at_ms > now_ms();
    let incarnation = if mine {
        world.me.incarnation
    } else {
        incarnation
    };
    let incarnation = entry_incarnation(world, id).unwrap_or(incarnation);
    if leaves_at_ms + 60_000 < now_ms() {
        return;
    }
    log::info!(target: "boxes", "a reclaim notice. box={id} at_ms={leaves_at_ms}");
    world.advance_box(id, incarnation, BoxState::Leaving, leaves_at_ms);
}

/// An entry box tells its own incarnation; a notice that is still to come is
/// for the life that is known.
fn entry_incarnation(world: &World, id: &BoxId) -> Option<u64> {
    let boxes = world.boxes.read();
    let b = boxes.get(id)?;
    (b.kind == BoxKind::Entry).then_some(b.incarnation)
}

/// A box whose time is over is gone, whatever the list says.
fn mark_left(world: &World) {
    let now = now_ms();
    let left: Vec<BoxFact> = {
        let boxes = world.boxes.read();
        boxes
            .iter()
            .filter(|b| b.state == BoxState::Leaving && b.leaves_at_ms > 0)
            .filter(|b| b.leaves_at_ms + 2_000 < now && b.id != world.me.id)
            .cloned()
            .collect()
    };
    for b in left {
        world.advance_box(&b.id, b.incarnation, BoxState::Gone, b.leaves_at_ms);
    }
}

/// An entry box counts its lives itself, by its start times, and the list by
/// its own: what the list says of one that is gone holds for the life that is
/// known if that life doesn't answer either.
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

/// Forgets what was kept of boxes that are gone, and the boxes some time later.
fn remove_missing(world: &World, gone_since: &mut BTreeMap<BoxId, u64>) {
    let (kept, addrs) = {
        let boxes = world.boxes.read();
        let there: Vec<&BoxFact> = boxes.iter().filter(|b| b.state != BoxState::Gone).collect();
        let kept: BTreeSet<BoxId> = there.iter().map(|b| b.id.clone()).collect();
        let mut addrs: BTreeSet<_> = there.iter().map(|b| b.address).collect();
        addrs.extend(world.settings.peers.seeds.iter().copied());
        (kept, addrs)
    };
    forget_facts(world, gone_since);
    world.stats.lock().retain(|id| kept.contains(id));
    world.hints.lock().retain(|id| kept.contains(id));
    world.replicators.retain(|id| kept.contains(id));
    world.links.retain(|addr| addrs.contains(addr));
}

fn forget_facts(world: &World, gone_since: &mut BTreeMap<BoxId, u64>) {
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
        now.saturating_sub(since) < REMEMBER_GONE_MS
    };
    boxes.remove_missing(recent);
    let mut journal = world.journal.lock();
    for id in gone_since.keys().filter(|id| !recent(id)) {
        journal.forget(id);
    }
}
