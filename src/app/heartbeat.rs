use {
    super::*,
    crate::{names::*, peer::*, policy::*},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
};

/// Largest number of box facts in one message.
const MAX_FACTS: usize = 256;
/// Approximate size of one load in a message.
const BYTES_PER_LOAD: u64 = 60;
/// The part of a daemon's control traffic that loads may use, in bytes per second.
const LOAD_BYTES_PER_S: u64 = 1_200;
/// Lower limit of the number of loads that a message may carry.
const MIN_LOADS: usize = 4;
/// Number of links assumed where they have not been counted.
const DEFAULT_LINKS: usize = 4;
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a change waits for further changes, which are then sent in one message.
const BATCH_DELAY: Duration = Duration::from_millis(10);

/// The positions in the journals up to which a link's peer has been sent the changes.
#[derive(Clone, Copy, Debug, Default)]
struct LinkCursor {
    /// Position in the journal of box facts.
    facts: u64,
    /// Position in the journal of loads.
    loads: u64,
}

/// Sends heartbeats to this box's neighbours and seeds, with the changes that are new to
/// each of them.
pub async fn heartbeat(world: Arc<World>) {
    let mut cursors: BTreeMap<SocketAddr, LinkCursor> = BTreeMap::new();
    let interval = Duration::from_millis(world.settings.peers.heartbeat_ms);
    loop {
        let targets = targets(&world);
        cursors.retain(|addr, _| targets.iter().any(|(a, _)| a == addr));
        let links = targets.len();
        let heartbeats = targets.into_iter().map(|(addr, id)| {
            let cursor = cursors.get(&addr).copied().unwrap_or_default();
            send_heartbeat(&world, addr, id, cursor, links)
        });
        for (addr, new_cursor) in futures_util::future::join_all(heartbeats).await {
            match new_cursor {
                Some(new_cursor) => cursors.insert(addr, new_cursor),
                None => cursors.remove(&addr),
            };
        }
        let behind = cursors
            .values()
            .any(|c| c.facts < world.journal.lock().end());
        if behind {
            tokio::time::sleep(BATCH_DELAY).await;
            continue;
        }
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = world.state_changed.notified() => tokio::time::sleep(BATCH_DELAY).await,
        }
    }
}

/// Applies a peer's heartbeat and returns the payload of the reply.
///
/// The reply carries only this box's own fact and the offset of its table. Facts are sent
/// on the links that each box opens itself, so that none is sent twice. A peer that is new
/// to this box is also sent the known facts and loads, within the limits of one message.
pub fn apply_heartbeat(world: &Arc<World>, payload: HeartbeatPayload) -> HeartbeatPayload {
    world.links.record_contact(&payload.from.id);
    let is_new = !is_known(world, &payload.from);
    apply_facts(world, &payload);
    fetch_newer_table(world, &payload);
    let mut reply = reply_to(world, &mut LinkCursor::default(), None);
    if is_new {
        reply = reply_to(world, &mut LinkCursor::default(), Some(DEFAULT_LINKS));
    }
    reply
}

fn is_known(world: &World, from: &BoxFact) -> bool {
    let boxes = world.boxes.read();
    boxes
        .get(&from.id)
        .is_some_and(|b| b.incarnation == from.incarnation)
}

async fn send_heartbeat(
    world: &Arc<World>,
    addr: SocketAddr,
    id: Option<BoxId>,
    cursor: LinkCursor,
    links: usize,
) -> (SocketAddr, Option<LinkCursor>) {
    let mut new_cursor = cursor;
    let call = PeerCall::Heartbeat(reply_to(world, &mut new_cursor, Some(links)));
    let client = world.links.client(addr);
    match client.call(&call, HEARTBEAT_TIMEOUT).await {
        Ok(PeerReply::Heartbeat(payload)) => {
            world.links.record_contact(&payload.from.id);
            apply_facts(world, &payload);
            fetch_newer_table(world, &payload);
            (addr, Some(new_cursor))
        }
        _ => {
            if let Some(id) = id {
                world.links.record_failure(&id);
            }
            (addr, None)
        }
    }
}

/// Returns the payload for one of `links` links, with the changes after the cursor, and
/// advances the cursor. Without `links` the payload carries no changes, only this box's own
/// fact and the offset of its table.
fn reply_to(world: &World, cursor: &mut LinkCursor, links: Option<usize>) -> HeartbeatPayload {
    let mut facts = Vec::new();
    let mut loads = Vec::new();
    let boxes = world.boxes.read();
    if let Some(links) = links {
        let (ids, next) = world.journal.lock().since(cursor.facts, MAX_FACTS);
        cursor.facts = next;
        facts = ids.iter().filter_map(|id| boxes.get(id).cloned()).collect();
        let (ids, next) = world
            .load_journal
            .lock()
            .since(cursor.loads, max_loads(world, links));
        cursor.loads = next;
        let stats = world.stats.lock();
        loads = ids
            .iter()
            .filter_map(|id| Some((id.clone(), stats.get(id)?.load.clone()?)))
            .collect();
    }
    HeartbeatPayload {
        from: current_own_fact(world, &boxes),
        table_folded_to: world.active_table().folded_to,
        facts,
        loads,
    }
}

/// Returns how many loads a message may carry so that all links together stay within the
/// allowed traffic. The journal holds only the newest load of each upstream, so loads that
/// don't fit are sent later at their newest value.
fn max_loads(world: &World, links: usize) -> usize {
    let bytes = LOAD_BYTES_PER_S * world.settings.peers.heartbeat_ms / 1_000;
    let loads = bytes / BYTES_PER_LOAD / links.max(1) as u64;
    (loads as usize).max(MIN_LOADS)
}

fn current_own_fact(world: &World, boxes: &crate::boxes::BoxTable) -> BoxFact {
    let known = boxes
        .get(&world.me.id)
        .filter(|b| b.incarnation == world.me.incarnation);
    known.cloned().unwrap_or_else(|| my_fact(world))
}

/// Returns the fact that this box announces about itself.
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

fn apply_facts(world: &Arc<World>, payload: &HeartbeatPayload) {
    let mut facts = payload.facts.clone();
    facts.push(payload.from.clone());
    world.fold_facts(&facts);
    let mut stats = world.stats.lock();
    let mut journal = world.load_journal.lock();
    for (id, load) in &payload.loads {
        let s = stats.of(id);
        let newer = s.load.as_ref().is_none_or(|l| l.as_of_ms < load.as_of_ms);
        if newer {
            s.report(load.clone());
            journal.push(id);
        }
    }
}

/// Returns where to send heartbeats: to the neighbours that answer, to one that doesn't,
/// and to the seeds whose box is not known yet.
fn targets(world: &World) -> Vec<(SocketAddr, Option<BoxId>)> {
    let me = HolderCandidate {
        id: world.me.id.clone(),
        failure_domain: world.my_domain().clone(),
    };
    let all = world.holder_candidates();
    let (answering, silent): (Vec<_>, Vec<_>) =
        all.into_iter().partition(|c| !world.links.is_silent(&c.id));
    let mut chosen = neighbours(&me, &answering);
    // One silent box is tried as well, so that the end of a network partition is noticed.
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
