use {
    super::*,
    crate::{names::*, peer::*, requests::*},
    parking_lot::Mutex,
    std::{collections::HashMap, sync::Arc, time::Duration},
    tokio::sync::mpsc,
};

/// Upper bound on the requests in one message.
const MAX_BATCH: usize = 512;
/// Upper bound on the tokens of one request in one message.
const MAX_TOKENS: usize = 4_096;
const REPLICATE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Consecutive failed sends after which the holder counts as lost.
const MAX_FAILURES: u32 = 2;

/// The senders to the boxes that hold copies of this box's requests, one per box.
///
/// A sender has one message in flight at a time. Changes that occur meanwhile
/// are batched into the next message, so that under load the messages grow in
/// size and not in number.
#[derive(Debug, Default)]
pub struct Replicators {
    senders: Mutex<HashMap<BoxId, mpsc::UnboundedSender<Arc<RequestCell>>>>,
}

impl Replicators {
    /// Queues a request whose copy is behind.
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

    /// Stops the senders to the boxes for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(&BoxId) -> bool) {
        self.senders.lock().retain(|id, _| keep(id));
    }
}

/// Sends queued changes to one holder until the sender is stopped.
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
                apply_acks(&world, &cells, &holder, acks);
            }
            _ => {
                failures += 1;
                retry_or_replace_holder(&world, &cells, &holder, failures).await;
            }
        }
        cells.clear();
    }
}

/// Queues the requests again after a failed send, or looks for another holder after
/// `MAX_FAILURES`.
async fn retry_or_replace_holder(
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
    log::info!(target: "replicate", "copy holder lost. box={holder} requests={}", cells.len());
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
        let is_up_to_date = end == r.tokens.len();
        appends.push(CopyAppend {
            request: cell.id(),
            epoch: r.epoch,
            offset: r.durable,
            tokens: r.tokens[r.durable..end].to_vec(),
            ending: r.ending.clone().filter(|_| is_up_to_date),
            upstream: r.upstream.clone(),
        });
    }
    appends
}

/// Applies a holder's acknowledgements to the requests.
fn apply_acks(world: &Arc<World>, cells: &[Arc<RequestCell>], holder: &BoxId, acks: Vec<Ack>) {
    let by_id: HashMap<RequestId, &Arc<RequestCell>> = cells.iter().map(|c| (c.id(), c)).collect();
    for ack in acks {
        let Some(cell) = by_id.get(&ack.request) else {
            continue;
        };
        match ack.state {
            AckState::Holds(tokens, ending) => {
                let more = cell.change(|r| {
                    r.record_copied(tokens, ending);
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

/// Gives up ownership of a request that another box owns. `told_by` is the box that reported
/// the other owner.
pub fn yield_ownership(cell: &RequestCell, told_by: &BoxId, owner: BoxId) {
    log::warn!(target: "replicate", "ownership superseded. request={} by={owner} told_by={told_by}", cell.id());
    cell.change_owner(|r| {
        if r.is_owner() {
            r.role = Role::Moved { to: owner };
        }
    });
}
