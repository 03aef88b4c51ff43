use {
    super::*,
    crate::{names::*, peer::*, requests::*},
    parking_lot::Mutex,
    std::{collections::HashMap, sync::Arc, time::Duration},
    tokio::sync::mpsc,
};

/// Requests in one message.
const MAX_BATCH: usize = 512;
/// Tokens of one request in one message.
const MAX_TOKENS: usize = 4_096;
const REPLICATE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Failed sends in a row after which the holder is taken as lost.
const MAX_FAILURES: u32 = 2;

/// One sender for each box that holds copies for this one.
///
/// A sender has one message on its way at a time; what comes meanwhile goes
/// into the next one, so that messages grow with the load and not in number.
#[derive(Debug, Default)]
pub struct Replicators {
    senders: Mutex<HashMap<BoxId, mpsc::UnboundedSender<Arc<RequestCell>>>>,
}

impl Replicators {
    /// Marks a request as having news for its copy.
    pub fn mark(&self, world: &Arc<World>, cell: &Arc<RequestCell>) {
        let holder = match &cell.read().holder {
            Holder::At(holder) => holder.clone(),
            Holder::Searching | Holder::Nowhere => return,
        };
        if !cell.queue() {
            return;
        }
        let mut senders = self.senders.lock();
        let tx = senders.entry(holder.clone()).or_insert_with(|| {
            let (tx, rx) = mpsc::unbounded_channel();
            tokio::spawn(send_to(world.clone(), holder, rx));
            tx
        });
        let _ = tx.send(cell.clone());
    }

    /// Ends the senders to boxes that are gone.
    pub fn retain(&self, keep: impl Fn(&BoxId) -> bool) {
        self.senders.lock().retain(|id, _| keep(id));
    }
}

async fn send_to(
    world: Arc<World>,
    holder: BoxId,
    mut rx: mpsc::UnboundedReceiver<Arc<RequestCell>>,
) {
    let mut cells = Vec::new();
    let mut failures = 0;
    while rx.recv_many(&mut cells, MAX_BATCH).await > 0 {
        let appends = appends_of(&cells, &holder);
        if appends.is_empty() {
            cells.clear();
            continue;
        }
        let call = PeerCall::Replicate {
            owner: world.me.id.clone(),
            appends,
        };
        match world.call_box(&holder, &call, REPLICATE_TIMEOUT).await {
            Ok(PeerReply::Replicated(acks)) => {
                failures = 0;
                apply(&world, &cells, &holder, acks);
            }
            _ => {
                failures += 1;
                retry_or_leave(&world, &cells, &holder, failures).await;
            }
        }
        cells.clear();
    }
}

async fn retry_or_leave(
    world: &Arc<World>,
    cells: &[Arc<RequestCell>],
    holder: &BoxId,
    failures: u32,
) {
    if failures < MAX_FAILURES {
        tokio::time::sleep(Duration::from_millis(50)).await;
        for cell in cells {
            world.replicators.mark(world, cell);
        }
        return;
    }
    log::info!(target: "replicate", "a holder is lost. box={holder} requests={}", cells.len());
    for cell in cells {
        hold_again(world, cell, Some(holder.clone()));
    }
}

fn appends_of(cells: &[Arc<RequestCell>], holder: &BoxId) -> Vec<CopyAppend> {
    let mut appends = Vec::new();
    for cell in cells {
        cell.unqueue();
        let r = cell.read();
        if !r.is_owner() || r.holder != Holder::At(holder.clone()) {
            continue;
        }
        let end = r.tokens.len().min(r.durable + MAX_TOKENS);
        let whole = end == r.tokens.len();
        appends.push(CopyAppend {
            request: cell.id(),
            epoch: r.epoch,
            offset: r.durable,
            tokens: r.tokens[r.durable..end].to_vec(),
            ending: r.ending.clone().filter(|_| whole),
            upstream: r.upstream.clone(),
        });
    }
    appends
}

fn apply(world: &Arc<World>, cells: &[Arc<RequestCell>], holder: &BoxId, acks: Vec<Ack>) {
    let by_id: HashMap<RequestId, &Arc<RequestCell>> = cells.iter().map(|c| (c.id(), c)).collect();
    for ack in acks {
        let Some(cell) = by_id.get(&ack.request) else {
            continue;
        };
        match ack.state {
            AckState::Holds(tokens, ending) => {
                let more = cell.change(|r| {
                    r.copied(tokens, ending);
                    r.durable < r.tokens.len() || r.ending_durable != r.ending.is_some()
                });
                if more {
                    world.replicators.mark(world, cell);
                }
            }
            AckState::Unknown => hold_again(world, cell, None),
            AckState::Superseded(owner) => yield_ownership(cell, holder, owner),
        }
    }
}

/// Another box owns the request: this one stops. `told_by` is who said so.
pub fn yield_ownership(cell: &RequestCell, told_by: &BoxId, owner: BoxId) {
    log::warn!(target: "replicate", "superseded. request={} by={owner} told_by={told_by}", cell.id());
    cell.change_owner(|r| {
        if r.is_owner() {
            r.role = Role::Moved { to: owner };
        }
    });
}
