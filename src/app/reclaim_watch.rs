use {
    super::{attempt::*, *},
    crate::{clock, names::*, policy::*, requests::*},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

/// Interval of the checks for leaving boxes, and between attempts to hand a request over.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Size of the KV cache per token that is assumed for planning, in bytes.
const KV_BYTES_PER_TOKEN: u64 = 100_000;
/// Transfer rate of KV cache that is assumed for planning, in bytes per millisecond.
const KV_BYTES_PER_MS: f64 = 1_000_000.0;
/// Time before the end of a reclaim notice by which the last transfer must have ended, in
/// milliseconds.
const NOTICE_RESERVE_MS: u64 = 300;
/// Assumed length of a reclaim notice that names no time, in milliseconds.
const DEFAULT_NOTICE_MS: u64 = 2_000;

/// Moves streams away from leaving upstreams, and moves this box's requests to other boxes when
/// this box itself is leaving.
pub async fn watch_reclaims(world: Arc<World>) {
    let mut handled: BTreeSet<(BoxId, u64)> = BTreeSet::new();
    let mut handed_over = BTreeSet::new();
    loop {
        for b in leaving_upstreams(&world) {
            if handled.insert((b.id.clone(), b.incarnation)) {
                let world = world.clone();
                tokio::spawn(async move { drain_upstream(&world, &b).await });
            }
        }
        let leaves_at_ms = world
            .leaves_at_ms()
            .filter(|_| world.settings.trial.hand_over);
        if let Some(at) = leaves_at_ms {
            hand_over_all(&world, at, &mut handed_over);
        }
        tokio::select! {
            () = tokio::time::sleep(POLL_INTERVAL) => {}
            () = world.state_changed.notified() => {}
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

/// Moves all streams of this box away from a leaving upstream.
async fn drain_upstream(world: &Arc<World>, leaving: &BoxFact) {
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
        order_move(&cell, &leaving.id, None);
    }
    move_with_cache(world, leaving, keep, notice_ms).await;
}

/// Moves streams together with their KV cache where the notice leaves time for the transfer; the
/// others resume elsewhere and recompute it.
async fn move_with_cache(
    world: &Arc<World>,
    leaving: &BoxFact,
    cells: Vec<Arc<RequestCell>>,
    notice_ms: u64,
) {
    let streams: Vec<StreamAtRisk> = cells.iter().map(|c| at_risk(c)).collect();
    let (targets, upstreams): (Vec<_>, Vec<_>) =
        views(world, &leaving.service, world.my_domain(), &[])
            .into_iter()
            .unzip();
    let by_id: BTreeMap<RequestId, Arc<RequestCell>> =
        cells.into_iter().map(|c| (c.id(), c)).collect();
    let moves = plan_moves(&streams, &targets, notice_ms, KV_BYTES_PER_MS);
    for (id, planned) in moves {
        let Some(cell) = by_id.get(&id) else { continue };
        match planned {
            Move::Resume => order_move(cell, &leaving.id, None),
            Move::Export { target } => {
                let upstream = &upstreams[target];
                let import =
                    world
                        .backends
                        .engine
                        .import_kv(upstream.address, leaving.address, id.uuid());
                let max_duration = Duration::from_millis(notice_ms);
                let imported = clock::timeout(max_duration, import).await;
                let to = matches!(imported, Ok(Ok(()))).then(|| upstream.id.clone());
                order_move(cell, &leaving.id, to);
            }
        }
    }
}

fn order_move(cell: &RequestCell, from: &BoxId, to: Option<BoxId>) {
    cell.order(MoveOrder::Leave {
        from: from.clone(),
        to,
    });
}

fn at_risk(cell: &RequestCell) -> StreamAtRisk {
    let r = cell.read();
    let needs = request_needs(&r.spec, r.tokens.len(), BTreeSet::new());
    let tokens = u64::from(needs.prompt_tokens + needs.generated_tokens);
    StreamAtRisk {
        request: r.spec.id,
        needs,
        kv_bytes: tokens * KV_BYTES_PER_TOKEN,
    }
}

fn streams_on(world: &World, id: &BoxId) -> Vec<Arc<RequestCell>> {
    let runs_there = |c: &Arc<RequestCell>| {
        let r = c.read();
        r.is_owner() && !r.is_ended() && r.upstream.as_ref() == Some(id) && r.spec.repeatable
    };
    world
        .requests
        .all()
        .into_iter()
        .filter(runs_there)
        .collect()
}

/// Hands the requests that this box owns over to other boxes until the box is reclaimed.
///
/// A call that may run only once stays here, because it can't be split between
/// two boxes. If it still runs when the box is reclaimed, the holder of its copy
/// ends it as `may-have-run`.
fn hand_over_all(world: &Arc<World>, at_ms: u64, handed_over: &mut BTreeSet<RequestId>) {
    for cell in world.requests.all() {
        let due = {
            let r = cell.read();
            r.is_owner() && !r.is_ended() && r.spec.repeatable
        };
        if !due || now_ms() > at_ms || !handed_over.insert(cell.id()) {
            continue;
        }
        let world = world.clone();
        tokio::spawn(async move {
            while !move_off_this_box(&world, &cell).await && now_ms() < at_ms {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        });
    }
}
