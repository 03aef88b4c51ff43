use {
    super::*,
    crate::{engine::*, names::*, policy::*},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Interval between two reads of an engine.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// Reads the load and the cache events of the engines that are assigned to this box.
///
/// Each engine is read by one box of its failure domain, which every box computes from the
/// live boxes. The other boxes receive the load by heartbeats.
pub async fn watch_loads(world: Arc<World>) {
    loop {
        let engines = my_engines(&world);
        let reads = engines.iter().map(|(id, addr)| read_one(&world, id, *addr));
        futures_util::future::join_all(reads).await;
        tokio::time::sleep(READ_INTERVAL).await;
    }
}

fn my_engines(world: &World) -> Vec<(BoxId, SocketAddr)> {
    let boxes = world.boxes.read();
    let daemons: Vec<HolderCandidate> = boxes
        .live_entries()
        .filter(|b| b.failure_domain == *world.my_domain())
        .filter(|b| b.id == world.me.id || !world.links.is_silent(&b.id))
        .map(|b| HolderCandidate {
            id: b.id.clone(),
            failure_domain: b.failure_domain.clone(),
        })
        .collect();
    boxes
        .iter()
        .filter(|b| b.kind == BoxKind::Engine && b.state == BoxState::Live)
        .filter(|b| b.failure_domain == *world.my_domain())
        .filter(|b| load_reader(&b.id, &daemons).is_none_or(|id| id == world.me.id))
        .map(|b| (b.id.clone(), b.address))
        .collect()
}

async fn read_one(world: &Arc<World>, id: &BoxId, addr: SocketAddr) {
    if let Ok(load) = world.backends.engine.load(addr).await {
        let mut stats = world.stats.lock();
        let s = stats.of(id);
        let changed = s
            .load
            .as_ref()
            .is_none_or(|l| is_significant_change(l, &load));
        s.report(load);
        drop(stats);
        if changed {
            world.load_journal.lock().push(id);
        }
    }
    let from = world.stats.lock().of(id).next_cache_event;
    let Ok(events) = world.backends.engine.cache_events(addr, from).await else {
        return;
    };
    let mut hints = world.hints.lock();
    for event in &events {
        match event.kind {
            CacheEventKind::Stored => hints.stored(id, &[event.hash]),
            CacheEventKind::Removed => hints.removed(id, event.hash),
        }
    }
    drop(hints);
    if let Some(last) = events.last() {
        world.stats.lock().of(id).next_cache_event = last.seq + 1;
    }
}

/// Returns true if a change of load is large enough to be announced. Small changes stay on
/// the box that read them.
fn is_significant_change(old: &EngineLoad, new: &EngineLoad) -> bool {
    let queue = |l: &EngineLoad| i64::from(l.running) + i64::from(l.waiting);
    let step = (i64::from(new.slots) / 8).max(1);
    (queue(old) - queue(new)).abs() >= step || old.slots != new.slots || old.model != new.model
}
