use {
    super::*,
    crate::{engine::*, names::*, policy::*},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

const EVERY: Duration = Duration::from_millis(500);

/// Reads the load and the cache events of the engines that fall to this box.
///
/// Each engine is read by one box of its failure domain, worked out from the
/// live ones; the others hear of it by the links.
pub async fn watch_loads(world: Arc<World>) {
    loop {
        let engines = my_engines(&world);
        let reads = engines.iter().map(|(id, addr)| read_one(&world, id, *addr));
        futures_util::future::join_all(reads).await;
        tokio::time::sleep(EVERY).await;
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
    if let Ok(load) = world.borders.engine.load(addr).await {
        let mut stats = world.stats.lock();
        let s = stats.of(id);
        let news = s.load.as_ref().is_none_or(|l| worth_telling(l, &load));
        s.report(load);
        drop(stats);
        if news {
            world.load_journal.lock().push(id);
        }
    }
    let from = world.stats.lock().of(id).next_cache_event;
    let Ok(events) = world.borders.engine.cache_events(addr, from).await else {
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

/// Small changes of load stay on the box that read them.
fn worth_telling(old: &EngineLoad, new: &EngineLoad) -> bool {
    let queue = |l: &EngineLoad| i64::from(l.running) + i64::from(l.waiting);
    let step = (i64::from(new.slots) / 8).max(1);
    (queue(old) - queue(new)).abs() >= step || old.slots != new.slots || old.model != new.model
}
