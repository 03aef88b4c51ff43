use {
    super::World,
    crate::{names::*, peer::*, policy::*, provider::PlatformError},
    parking_lot::Mutex,
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    tokio::sync::{Notify, oneshot, watch},
    uuid::Uuid,
};

/// Name of the log stream of claims.
pub const CLAIMS_STREAM: &str = "claims";

/// Least time between two appends of one failure domain, in milliseconds, multiplied by the
/// number of failure domains. 15 domains together make at most 66 appends per second.
const APPEND_SPACING_MS: u64 = 15;
/// How long a claim is attempted before the request is answered `not-run`.
const CLAIM_MAX_WAIT: Duration = Duration::from_millis(3_000);
/// How long to wait for a claim to appear in the log when the outcome of its append is
/// unknown, before it is appended again.
const UNKNOWN_APPEND_WAIT: Duration = Duration::from_millis(300);
/// Timeout of a call to the box that appends for this failure domain.
const BATCHER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Largest number of given-up claims that are remembered.
const MAX_GIVEN_UP: usize = 10_000;
/// Largest number of calls of [`ClaimClient::append`] that wait for an append.
const MAX_PENDING: usize = 10_000;
/// How long a read of the log may wait for new records, in milliseconds.
const READ_WAIT_MS: u64 = 2_000;
/// Pause after a failed read or append.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// The outcome of appending a claim record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimAppendOutcome {
    /// The record is in the log at this offset.
    At(u64),
    /// The record may or may not be in the log.
    Unknown,
    /// The record is not in the log.
    NotAccepted,
}

/// The outcome of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// This box holds the right to run the request.
    Holds(Claimant),
    /// The claim of this other box holds the right.
    Lost(BoxIncarnation),
    /// This box gave up the claim; the request did not run here.
    GivenUp,
}

/// This box's claims, and the claims of all boxes as folded from the log.
#[derive(Default)]
pub struct ClaimClient {
    fold: Mutex<ClaimFold>,
    /// Offset up to which the log is folded.
    folded_to: watch::Sender<u64>,
    outbox: Mutex<Vec<Pending>>,
    wake: Notify,
    given_up: Mutex<BTreeMap<Uuid, ClaimKey>>,
    /// Nonces of the handed-over rights that this box has accepted.
    taken: Mutex<Vec<Uuid>>,
}

struct Pending {
    records: Vec<ClaimRecord>,
    tx: oneshot::Sender<ClaimAppendOutcome>,
}

impl ClaimClient {
    /// Queues records for the next append. The receiver gets the outcome, which is
    /// [`ClaimAppendOutcome::NotAccepted`] at once if too many calls wait.
    pub fn append(&self, records: Vec<ClaimRecord>) -> oneshot::Receiver<ClaimAppendOutcome> {
        let (tx, rx) = oneshot::channel();
        let mut outbox = self.outbox.lock();
        if outbox.len() >= MAX_PENDING {
            let _ = tx.send(ClaimAppendOutcome::NotAccepted);
        } else {
            outbox.push(Pending { records, tx });
        }
        drop(outbox);
        self.wake.notify_one();
        rx
    }

    /// Accepts a right that was handed over to this incarnation of this box.
    pub fn take(&self, hand_over: &HandOver, me: &BoxIncarnation) -> Option<Claimant> {
        Claimant::take(hand_over, me, &mut self.taken.lock())
    }

    /// Gives up a claim and appends its release to the log. Returns false if the claim can't
    /// be given up any more.
    pub fn give_up(&self, claimant: &mut Claimant) -> bool {
        let ClaimCommand::Append(release) = claimant.give_up() else {
            return false;
        };
        let mut given_up = self.given_up.lock();
        if given_up.len() >= MAX_GIVEN_UP {
            given_up.pop_first();
        }
        given_up.insert(claimant.nonce(), release.key().clone());
        drop(given_up);
        drop(self.append(vec![release]));
        true
    }

    /// Appends the release of a key again if this box gave up a claim to it. Returns true if
    /// it did.
    pub fn release_again(&self, key: &ClaimKey) -> bool {
        let given_up = self.given_up.lock();
        let nonces: Vec<Uuid> = given_up
            .iter()
            .filter(|(_, k)| *k == key)
            .map(|(n, _)| *n)
            .collect();
        drop(given_up);
        for nonce in &nonces {
            let key = key.clone();
            drop(self.append(vec![ClaimRecord::Release { key, nonce: *nonce }]));
        }
        !nonces.is_empty()
    }

    /// Returns the claims to a key, as folded from the log.
    pub fn key(&self, key: &ClaimKey) -> Option<KeyClaims> {
        self.fold.lock().key(key).cloned()
    }

    /// Returns the number of keys in the folded log.
    pub fn len(&self) -> usize {
        self.fold.lock().len()
    }

    /// Returns true if the folded log has no keys.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn fold_records(&self, offset: u64, records: &[ClaimRecord]) {
        self.fold.lock().fold(offset, records);
        for record in records {
            let ClaimRecord::Claim { key, nonce, .. } = record else {
                continue;
            };
            // A claim that was given up but appears in the log afterwards holds its key:
            // release it again.
            let late = self.given_up.lock().contains_key(nonce);
            let wins = |k: KeyClaims| k.winner.is_some_and(|w| w.nonce == *nonce);
            if late && self.key(key).is_some_and(wins) {
                self.release_again(key);
            }
        }
    }
}

/// Claims the right to run a request for this box.
pub async fn claim(world: &World, key: &ClaimKey) -> ClaimOutcome {
    let me = world.me.clone();
    let (mut claimant, record) = Claimant::start(key.clone(), Uuid::new_v4(), me);
    let max_wait = tokio::time::sleep(CLAIM_MAX_WAIT);
    let settled = tokio::select! {
        settled = settle(world, &mut claimant, key, &record) => settled,
        () = max_wait => false,
    };
    if settled {
        match claimant.state() {
            ClaimantState::Holds(_) if is_in_window(world, key.request) => {
                return ClaimOutcome::Holds(claimant);
            }
            ClaimantState::Lost(by) => return ClaimOutcome::Lost(by.clone()),
            _ => {}
        }
    }
    world.claims.give_up(&mut claimant);
    ClaimOutcome::GivenUp
}

/// Returns true if the time in a request's identifier lies within the window of keys that
/// can be claimed, allowing for clock skew.
pub fn is_in_window(world: &World, request: RequestId) -> bool {
    let s = &world.settings.requests;
    let now = now_ms();
    let oldest = now.saturating_sub((s.key_window_s + s.clock_skew_s) * 1_000);
    let newest = now + s.clock_skew_s * 1_000;
    (oldest..=newest).contains(&request.unix_ms())
}

/// Appends a claim, repeatedly if necessary, until the log shows its outcome. Returns true
/// then; the caller bounds the time.
async fn settle(
    world: &World,
    claimant: &mut Claimant,
    key: &ClaimKey,
    record: &ClaimRecord,
) -> bool {
    loop {
        let appended = world.claims.append(vec![record.clone()]).await;
        match appended {
            Ok(ClaimAppendOutcome::At(offset)) => wait_until_folded(world, offset + 1).await,
            Ok(ClaimAppendOutcome::NotAccepted) | Err(_) => {
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
            Ok(ClaimAppendOutcome::Unknown) => tokio::time::sleep(UNKNOWN_APPEND_WAIT).await,
        }
        if let Some(claims) = world.claims.key(key) {
            claimant.observe(&claims);
        }
        if *claimant.state() != ClaimantState::Claiming {
            return true;
        }
    }
}

async fn wait_until_folded(world: &World, to: u64) {
    let mut folded_to = world.claims.folded_to.subscribe();
    let _ = folded_to.wait_for(|n| *n >= to).await;
}

/// Follows the log stream of claims and folds its records.
pub async fn watch_claims(world: Arc<World>) {
    loop {
        let from = world.claims.fold.lock().next();
        let page = world
            .backends
            .log
            .read(CLAIMS_STREAM, from, READ_WAIT_MS)
            .await;
        let Ok(page) = page else {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        for entry in page.records {
            match serde_json::from_str::<Vec<ClaimRecord>>(&entry.data) {
                Ok(records) => world.claims.fold_records(entry.offset, &records),
                Err(e) => {
                    log::warn!(target: "claims", "claim record can't be parsed. offset={} error=\"{e}\"", entry.offset)
                }
            }
        }
        let mut fold = world.claims.fold.lock();
        let s = &world.settings.requests;
        let oldest = now_ms().saturating_sub((s.key_window_s + 2 * s.clock_skew_s) * 1_000);
        fold.forget_before(oldest);
        let next = fold.next();
        drop(fold);
        world.claims.folded_to.send_replace(next);
    }
}

/// Appends the queued records in batches, through the failure domain's batcher.
pub async fn append_claims(world: Arc<World>) {
    loop {
        world.claims.wake.notified().await;
        loop {
            let batch: Vec<Pending> = std::mem::take(&mut *world.claims.outbox.lock());
            if batch.is_empty() {
                break;
            }
            let records: Vec<ClaimRecord> = batch.iter().flat_map(|p| p.records.clone()).collect();
            let outcome = append_batch(&world, records).await;
            for pending in batch {
                let _ = pending.tx.send(outcome);
            }
        }
    }
}

async fn append_batch(world: &World, records: Vec<ClaimRecord>) -> ClaimAppendOutcome {
    if let Some(batcher) = batcher(world) {
        let call = PeerCall::AppendClaims(records.clone());
        match world.call_box(&batcher, &call, BATCHER_TIMEOUT).await {
            Ok(PeerReply::Appended(Some(offset))) => return ClaimAppendOutcome::At(offset),
            Ok(PeerReply::Appended(None)) => return ClaimAppendOutcome::Unknown,
            // The batcher was not reached, or refused: appending the records here too is
            // harmless.
            _ => {}
        }
    }
    let outcome = append_directly(world, &records).await;
    let domains = {
        let boxes = world.boxes.read();
        let mut domains: Vec<_> = boxes.live_entries().map(|b| &b.failure_domain).collect();
        domains.sort();
        domains.dedup();
        domains.len().max(1) as u64
    };
    tokio::time::sleep(Duration::from_millis(APPEND_SPACING_MS * domains)).await;
    outcome
}

async fn append_directly(world: &World, records: &[ClaimRecord]) -> ClaimAppendOutcome {
    let data = serde_json::to_string(records).unwrap_or_default();
    match world.backends.log.append(CLAIMS_STREAM, data).await {
        Ok(offset) => ClaimAppendOutcome::At(offset),
        Err(PlatformError::NotAccepted(_)) => ClaimAppendOutcome::NotAccepted,
        Err(_) => ClaimAppendOutcome::Unknown,
    }
}

/// Returns the box that appends for this failure domain, which is the first by name of
/// those that answer; `None` if that is this box.
fn batcher(world: &World) -> Option<BoxId> {
    let boxes = world.boxes.read();
    let first = boxes
        .live_entries()
        .filter(|b| b.failure_domain == *world.my_domain())
        .filter(|b| b.id == world.me.id || !world.links.is_failing(&b.id))
        .map(|b| b.id.clone())
        .min()?;
    (first != world.me.id).then_some(first)
}
