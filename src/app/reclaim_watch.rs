use {
    super::{attempt::*, *},
    crate::{clock, names::*, policy::*, requests::*},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

const EVERY: Duration = Duration::from_millis(100);
/// Bytes of KV cache a token, for planning.
const KV_BYTES_PER_TOKEN: u64 = 100_000;
/// Bytes of KV cache that a transfer moves in a millisecond, for planning.
const KV_BYTES_PER_MS: f64 = 1_000_000.0;
/// What is left of a notice when the last transfer must have ended.
const NOTICE_RESERVE_MS: u64 = 300;
/// A notice without a time is taken as this long.
const DEFAULT_NOTICE_MS: u64 = 2_000;

/// Moves streams off upstreams that are leaving, and requests off this box when it is.
pub async fn watch_reclaims(world: Arc<World>) {
    let mut handled: BTreeSet<(BoxId, u64)> = BTreeSet::new();
    let mut given_away = BTreeSet::new();
    loop {
        for b in leaving_upstreams(&world) {
            if handled.insert((b.id.clone(), b.incarnation)) {
                let world = world.clone();
                tokio::spawn(async move { empty_upstream(&world, &b).await });
            }
        }
        let leaves_at_ms = world
            .leaves_at_ms()
            .filter(|_| world.settings.trial.hand_over);
        if let Some(at) = leaves_at_ms {
            give_all_away(&world, at, &mut given_away);
        }
        tokio::select! {
            () = tokio::time::sleep(EVERY) => {}
            () = world.news.notified() => {}
        }
    }
}

fn leaving_upstreams(world: &World) -> Vec<BoxFact> {
    let boxes = world.boxes.read();
    boxes
        .iter()
        .filter(|b| b.kind == BoxKind::Engine && b.state == BoxState::Leaving)
        .filter(|b| b.failure_domain == *world.my_domain())
        .cloned()
        .collect()
}

async fn empty_upstream(world: &Arc<World>, leaving: &BoxFact) {
    let cells = streams_on(world, &leaving.id);
    if cells.is_empty() {
        return;
    }
    let until_ms = match leaving.leaves_at_ms {
        0 => DEFAULT_NOTICE_MS,
        at => at.saturating_sub(now_ms()),
    };
    let notice_ms = until_ms.saturating_sub(NOTICE_RESERVE_MS);
    log::info!(
        target: "reclaim",
        "moving streams off an upstream. box={} streams={} notice_ms={notice_ms}",
        leaving.id,
        cells.len()
    );
    let keeps_cache =
        |c: &RequestCell| placement(&c.spec().policy).move_style() == MoveStyle::KeepCache;
    let (keep, recompute): (Vec<_>, Vec<_>) = cells.into_iter().partition(|c| keeps_cache(c));
    for cell in recompute {
        send_off(&cell, &leaving.id, None);
    }
    move_with_cache(world, leaving, keep, notice_ms).await;
}

async fn move_with_cache(
    world: &Arc<World>,
    leaving: &BoxFact,
    cells: Vec<Arc<RequestCell>>,
    notice_ms: u64,
) {
    let streams: Vec<StreamAtRisk> = cells.iter().map(|c| at_risk(c)).collect();
    let (targets, places): (Vec<_>, Vec<_>) =
        views(world, &leaving.service, world.my_domain(), &[])
            .into_iter()
            .unzip();
    let by_id: BTreeMap<RequestId, Arc<RequestCell>> =
        cells.into_iter().map(|c| (c.id(), c)).collect();
    let moves = plan_moves(&streams, &targets, notice_ms, KV_BYTES_PER_MS);
    for (id, way) in moves {
        let Some(cell) = by_id.get(&id) else { continue };
        match way {
            Move::Resume => send_off(cell, &leaving.id, None),
            Move::Export { target } => {
                let place = &places[target];
                let import =
                    world
                        .backends
                        .engine
                        .import_kv(place.address, leaving.address, id.uuid());
                let left = Duration::from_millis(notice_ms);
                let imported = clock::timeout(left, import).await;
                let to = matches!(imported, Ok(Ok(()))).then(|| place.id.clone());
                send_off(cell, &leaving.id, to);
            }
        }
    }
}

fn send_off(cell: &RequestCell, from: &BoxId, to: Option<BoxId>) {
    cell.order(MoveOrder::Leave {
        from: from.clone(),
        to,
    });
}

fn at_risk(cell: &RequestCell) -> StreamAtRisk {
    let r = cell.read();
    let ask = request_needs(&r.spec, r.tokens.len(), BTreeSet::new());
    let tokens = u64::from(ask.prompt_tokens + ask.generated_tokens);
    StreamAtRisk {
        request: r.spec.id,
        needs: ask,
        kv_bytes: tokens * KV_BYTES_PER_TOKEN,
    }
}

fn streams_on(world: &World, id: &BoxId) -> Vec<Arc<RequestCell>> {
    let is_there = |c: &Arc<RequestCell>| {
        let r = c.read();
        r.is_owner() && !r.is_ended() && r.upstream.as_ref() == Some(id) && r.spec.repeatable
    };
    world.requests.all().into_iter().filter(is_there).collect()
}

/// Gives this box's requests away while there is time.
///
/// A call that may run once stays: it can't be cut in two. One that is still
/// running when the box is taken ends as `may-have-run` on its copy's holder.
fn give_all_away(world: &Arc<World>, at_ms: u64, given: &mut BTreeSet<RequestId>) {
    for cell in world.requests.all() {
        let due = {
            let r = cell.read();
            r.is_owner() && !r.is_ended() && r.spec.repeatable
        };
        if !due || now_ms() > at_ms || !given.insert(cell.id()) {
            continue;
        }
        let world = world.clone();
        tokio::spawn(async move {
            while !move_off_this_box(&world, &cell).await && now_ms() < at_ms {
                tokio::time::sleep(EVERY).await;
            }
        });
    }
}
