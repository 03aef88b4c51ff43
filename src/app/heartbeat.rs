use {
    super::*,
    crate::{names::*, peer::*, policy::*},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
};

/// Facts in one message.
const MAX_FACTS: usize = 256;
/// About how many bytes a load takes.
const LOAD_BYTES: u64 = 60;
/// How much of a daemon's control traffic loads may take, in bytes a second.
const LOAD_BYTES_PER_S: u64 = 1_200;
/// Loads in one message at the least.
const MIN_LOADS: usize = 4;
/// Links of a daemon that hasn't counted them.
const USUAL_LINKS: usize = 4;
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// News waits this long for more news before it is sent.
const GATHER: Duration = Duration::from_millis(10);

/// How far one link has been told.
#[derive(Clone, Copy, Debug, Default)]
struct Told {
    facts: u64,
    loads: u64,
}

/// Heartbeats this box's neighbours and seeds, with what is new on each link.
pub async fn heartbeat(world: Arc<World>) {
    let mut told: BTreeMap<SocketAddr, Told> = BTreeMap::new();
    let every = Duration::from_millis(world.settings.peers.heartbeat_ms);
    loop {
        let targets = targets(&world);
        told.retain(|addr, _| targets.iter().any(|(a, _)| a == addr));
        let links = targets.len();
        let beats = targets.into_iter().map(|(addr, id)| {
            let told = told.get(&addr).copied().unwrap_or_default();
            beat(&world, addr, id, told, links)
        });
        for (addr, now_told) in futures_util::future::join_all(beats).await {
            match now_told {
                Some(now_told) => told.insert(addr, now_told),
                None => told.remove(&addr),
            };
        }
        let behind = told.values().any(|t| t.facts < world.journal.lock().end());
        if behind {
            tokio::time::sleep(GATHER).await;
            continue;
        }
        tokio::select! {
            () = tokio::time::sleep(every) => {}
            () = world.news.notified() => tokio::time::sleep(GATHER).await,
        }
    }
}

/// Takes a peer's news and returns this box's in exchange.
///
/// The answer carries only the sign of life and the table's place: facts travel
/// on the links that each box opened itself, so that none is sent twice.
pub fn take_news(world: &Arc<World>, news: HeartbeatPayload) -> HeartbeatPayload {
    world.links.heard(&news.from.id);
    let back_link = !knows(world, &news.from);
    take_facts(world, &news);
    fetch_newer_table(world, &news);
    let mut reply = reply_to(world, &mut Told::default(), None);
    if back_link {
        // The caller is new here: it gets all that is known.
        reply = reply_to(world, &mut Told::default(), Some(USUAL_LINKS));
    }
    reply
}

fn knows(world: &World, from: &BoxFact) -> bool {
    let boxes = world.boxes.read();
    boxes
        .get(&from.id)
        .is_some_and(|b| b.incarnation == from.incarnation)
}

async fn beat(
    world: &Arc<World>,
    addr: SocketAddr,
    id: Option<BoxId>,
    told: Told,
    links: usize,
) -> (SocketAddr, Option<Told>) {
    let mut now_told = told;
    let call = PeerCall::Heartbeat(reply_to(world, &mut now_told, Some(links)));
    let client = world.links.client(addr);
    match client.call(&call, HEARTBEAT_TIMEOUT).await {
        Ok(PeerReply::Heartbeat(news)) => {
            world.links.heard(&news.from.id);
            take_facts(world, &news);
            fetch_newer_table(world, &news);
            (addr, Some(now_told))
        }
        _ => {
            if let Some(id) = id {
                world.links.failed(&id);
            }
            (addr, None)
        }
    }
}

/// Returns the news for one of so many links, and moves its place on; without
/// links only the sign of life and the table's place.
fn reply_to(world: &World, told: &mut Told, links: Option<usize>) -> HeartbeatPayload {
    let mut facts = Vec::new();
    let mut loads = Vec::new();
    let boxes = world.boxes.read();
    if let Some(links) = links {
        let (ids, next) = world.journal.lock().since(told.facts, MAX_FACTS);
        told.facts = next;
        facts = ids.iter().filter_map(|id| boxes.get(id).cloned()).collect();
        let (ids, next) = world
            .load_journal
            .lock()
            .since(told.loads, max_loads(world, links));
        told.loads = next;
        let stats = world.stats.lock();
        loads = ids
            .iter()
            .filter_map(|id| Some((id.clone(), stats.get(id)?.load.clone()?)))
            .collect();
    }
    HeartbeatPayload {
        from: own_fact(world, &boxes),
        table_folded_to: world.active_table().folded_to,
        facts,
        loads,
    }
}

/// Returns how many loads a message may carry, so that all links together stay
/// within the traffic allowed; the journal holds the newest of each upstream.
fn max_loads(world: &World, links: usize) -> usize {
    let bytes = LOAD_BYTES_PER_S * world.settings.peers.heartbeat_ms / 1_000;
    let loads = bytes / LOAD_BYTES / links.max(1) as u64;
    (loads as usize).max(MIN_LOADS)
}

fn own_fact(world: &World, boxes: &crate::boxes::BoxTable) -> BoxFact {
    let known = boxes
        .get(&world.me.id)
        .filter(|b| b.incarnation == world.me.incarnation);
    known.cloned().unwrap_or_else(|| my_fact(world))
}

/// Returns the fact that this box tells of itself.
pub fn my_fact(world: &World) -> BoxFact {
    BoxFact {
        id: world.me.id.clone(),
        incarnation: world.me.incarnation,
        state: BoxState::Live,
        leaves_at_ms: 0,
        kind: BoxKind::Entry,
        failure_domain: world.my_domain().clone(),
        address: world.settings.listen.advertised(),
        service: ServiceName::from(""),
        class: BoxClass::Reclaimable,
        price_micros: 0,
        checks_fence: false,
    }
}

fn take_facts(world: &Arc<World>, news: &HeartbeatPayload) {
    let mut facts = news.facts.clone();
    facts.push(news.from.clone());
    world.fold_facts(&facts);
    let mut stats = world.stats.lock();
    let mut journal = world.load_journal.lock();
    for (id, load) in &news.loads {
        let s = stats.of(id);
        let newer = s.load.as_ref().is_none_or(|l| l.as_of_ms < load.as_of_ms);
        if newer {
            s.report(load.clone());
            journal.push(id);
        }
    }
}

/// Returns whom to heartbeat: the neighbours that answer, and the seeds while
/// they are not known by name.
fn targets(world: &World) -> Vec<(SocketAddr, Option<BoxId>)> {
    let me = HolderCandidate {
        id: world.me.id.clone(),
        failure_domain: world.my_domain().clone(),
    };
    let all = world.holder_candidates();
    let (answering, silent): (Vec<_>, Vec<_>) =
        all.into_iter().partition(|c| !world.links.is_silent(&c.id));
    let mut chosen = neighbours(&me, &answering);
    // A silent one is tried too, so that a cut that heals is noticed.
    chosen.extend(neighbours(&me, &silent).into_iter().take(1));
    let boxes = world.boxes.read();
    let mut targets: Vec<(SocketAddr, Option<BoxId>)> = chosen
        .into_iter()
        .filter_map(|id| Some((boxes.get(&id)?.address, Some(id))))
        .collect();
    let known: Vec<SocketAddr> = boxes
        .iter()
        .filter(|b| b.kind == BoxKind::Entry)
        .map(|b| b.address)
        .collect();
    let own = world.settings.listen.advertised();
    for seed in &world.settings.peers.seeds {
        let needed = !known.contains(seed) && *seed != own;
        if needed && !targets.iter().any(|(a, _)| a == seed) {
            targets.push((*seed, None));
        }
    }
    targets
}
