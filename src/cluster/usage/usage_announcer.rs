use {
    crate::{
        cluster::*,
        gateway::Gateway,
        names::now_ms,
        policy::{AccountCounts, ReceivedUsage},
    },
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
};

/// The interval at which counts are announced that a receiver has not acknowledged.
const USAGE_INTERVAL: Duration = Duration::from_millis(500);
/// The same interval for a daemon that stops: several round trips between failure domains, and time
/// for a small box to answer.
const LAST_USAGE_INTERVAL: Duration = Duration::from_millis(200);
/// The window to pass for forwarded counts: no window is known to be complete.
const NOTHING_COMPLETE: u64 = 0;
/// The number of rounds in which a daemon that stops waits for the acknowledgements of all
/// receivers of usage.
const ROUNDS_FOR_ALL: u32 = 3;
/// The number of the newest windows that are announced: as many as are kept.
const ANNOUNCED_WINDOWS: usize = 8;

/// Announces the usage counts of one incarnation of a daemon, and tracks what each receiver has
/// acknowledged.
#[derive(Debug, Default)]
pub struct UsageAnnouncer {
    last_number: u64,
    /// The receivers by address and incarnation.
    holders: HashMap<(SocketAddr, u64), HolderView>,
}

#[derive(Debug, Default)]
struct HolderView {
    /// The acknowledged counts by window.
    acknowledged: BTreeMap<u64, BTreeMap<String, u32>>,
    /// The newest `complete_before` that was acknowledged.
    acknowledged_before: u64,
    /// The parts of the newest announcement that are not acknowledged yet, by number.
    sent: HashMap<u64, UsagePart>,
}

impl UsageAnnouncer {
    /// Returns the counts that a holder has not acknowledged, in parts to announce to it. `window`
    /// is the current window: those before it are over.
    pub fn parts(
        &mut self,
        daemon: (&str, u64),
        holder: (SocketAddr, u64),
        own: &[(u64, AccountCounts)],
        window: u64,
    ) -> Vec<UsagePart> {
        self.holders
            .retain(|(address, incarnation), _| *address != holder.0 || *incarnation == holder.1);
        let view = self.holders.entry(holder).or_default();
        view.sent.clear();
        let lacking: Vec<(u64, AnnouncedCounts)> = own
            .iter()
            .map(|(window, counts)| (*window, view.lacking(*window, counts)))
            .filter(|(_, counts)| !counts.is_empty())
            .collect();
        let complete_before = lacking.iter().map(|(w, _)| *w).min().unwrap_or(window);
        let complete_before = complete_before.min(window);
        let mut split: Vec<(u64, AnnouncedCounts)> = Vec::new();
        for (window, counts) in lacking {
            split.extend(
                split_into_parts(counts)
                    .into_iter()
                    .map(|part| (window, part)),
            );
        }
        if split.is_empty() && complete_before > view.acknowledged_before {
            split.push((window, Vec::new()));
        }
        let mut parts = Vec::new();
        for (window, counts) in split {
            self.last_number += 1;
            let part = UsagePart {
                name: daemon.0.to_string(),
                incarnation: daemon.1,
                number: self.last_number,
                complete_before,
                window,
                counts,
            };
            view.sent.insert(part.number, part.clone());
            parts.push(part);
        }
        parts
    }

    /// Applies a holder's acknowledgement of a part.
    pub fn apply(&mut self, from: SocketAddr, ack: UsageAck) {
        let Some(view) = self.holders.get_mut(&(from, ack.holder_incarnation)) else {
            return;
        };
        let Some(part) = view.sent.remove(&ack.number) else {
            return;
        };
        view.acknowledged_before = view.acknowledged_before.max(part.complete_before);
        if part.counts.is_empty() {
            // Windows without counts are not kept: they would push out windows with counts, which
            // would then be announced forever.
            return;
        }
        let known = view.acknowledged.entry(part.window).or_default();
        known.extend(part.counts);
        while view.acknowledged.len() > ANNOUNCED_WINDOWS {
            view.acknowledged.pop_first();
        }
    }
}

impl HolderView {
    fn lacking(&self, window: u64, counts: &AccountCounts) -> AnnouncedCounts {
        let acknowledged = self.acknowledged.get(&window);
        let known = |name: &str| acknowledged.and_then(|a| a.get(name)).copied().unwrap_or(0);
        let announced = counts.iter().map(|(name, n)| (name.to_string(), *n as u32));
        announced.filter(|(name, n)| *n > known(name)).collect()
    }
}

/// Announces the counts that receivers have not acknowledged, as long as the daemon runs.
pub(in crate::cluster) async fn announce_usage(gateway: Arc<Gateway>) {
    if !gateway.settings.duties.usage {
        return;
    }
    loop {
        tokio::time::sleep(USAGE_INTERVAL).await;
        for listener in duty_listeners(&gateway) {
            announce_own(&gateway, &listener).await;
            forward_counts(&gateway, &listener).await;
        }
    }
}

/// Announces the last counts of a daemon that stops until they are acknowledged. A receiver that
/// does not answer for some rounds may have stopped; after these it is enough that one other
/// receiver has acknowledged all counts.
pub async fn announce_last_usage(gateway: &Gateway, max_wait: Duration) {
    if !gateway.settings.duties.usage || gateway.daemons() < 2 {
        return;
    }
    let acknowledged_by_receivers = async {
        for round in 0.. {
            let listeners = duty_listeners(gateway);
            let mut acknowledged = 0;
            for listener in &listeners {
                let own = announce_own(gateway, listener).await;
                let others = forward_counts(gateway, listener).await;
                acknowledged += usize::from(own && others);
            }
            let waits_for_all = round < ROUNDS_FOR_ALL;
            if acknowledged > 0 && (acknowledged == listeners.len() || !waits_for_all) {
                return;
            }
            tokio::time::sleep(LAST_USAGE_INTERVAL).await;
        }
    };
    if tokio::time::timeout(max_wait, acknowledged_by_receivers)
        .await
        .is_err()
    {
        log::warn!(
            target: "duties",
            "last usage counts were not acknowledged in time. patience_ms={}",
            max_wait.as_millis()
        );
    }
}

/// A daemon that receives usage counts, since it holds the duties or watches their holder.
struct DutyListener {
    address: SocketAddr,
    incarnation: u64,
    /// When it became known as one, in milliseconds of the steady clock.
    since_ms: u64,
}

/// Returns the addresses of the other daemons that hold the duties or watch their holder.
pub(in crate::cluster) fn duty_addresses(gateway: &Gateway) -> Vec<SocketAddr> {
    let listeners = duty_listeners(gateway).into_iter();
    listeners.map(|listener| listener.address).collect()
}

/// Returns the other daemons that receive usage counts. Daemons that watch the holder receive the
/// same counts as the holder, since one that takes over must report windows that are almost due.
fn duty_listeners(gateway: &Gateway) -> Vec<DutyListener> {
    let now_ms = gateway.steady_ms();
    let own_address = gateway.settings.listen.peers;
    let known = gateway.peers.lock().duty_daemons();
    let mut since = gateway.duty_daemons_since.lock();
    since.retain(|daemon, _| known.contains_key(daemon));
    let others = known.into_keys().filter(|(at, _)| *at != own_address);
    others
        .map(|(address, incarnation)| DutyListener {
            address,
            incarnation,
            since_ms: *since.entry((address, incarnation)).or_insert(now_ms),
        })
        .collect()
}

/// Announces this daemon's own counts. Returns true if all of them are acknowledged.
async fn announce_own(gateway: &Gateway, listener: &DutyListener) -> bool {
    let counts = ReceivedUsage {
        name: gateway.settings.node.name.to_string(),
        incarnation: gateway.incarnation,
        windows: gateway.usage.lock().newest(ANNOUNCED_WINDOWS),
    };
    let window = gateway.window_of(now_ms());
    announce_counts(gateway, listener, &counts, window).await
}

/// Forwards the counts of other daemons that may still have to be reported, and that this daemon
/// received before the listener became known. Returns true if all of them are acknowledged. Counts
/// are kept in daemons only, so the listener can't get those of a daemon that stopped before from
/// that daemon itself.
async fn forward_counts(gateway: &Gateway, listener: &DutyListener) -> bool {
    let duties = &gateway.settings.duties;
    let due_windows = (duties.usage_delay_s / duties.usage_window_s.max(1)) + 1;
    let from_window = gateway.window_of(now_ms()).saturating_sub(due_windows);
    let before_ms = listener.since_ms + USAGE_INTERVAL.as_millis() as u64;
    let others_counts = gateway.usage.lock().received(from_window, before_ms);
    let mut is_acknowledged = true;
    for counts in &others_counts {
        // Only the daemon that counted can say that its counts are complete.
        is_acknowledged &= announce_counts(gateway, listener, counts, NOTHING_COMPLETE).await;
    }
    is_acknowledged
}

/// Announces the counts that a listener has not acknowledged. Returns true if there are none.
async fn announce_counts(
    gateway: &Gateway,
    listener: &DutyListener,
    counts: &ReceivedUsage,
    window: u64,
) -> bool {
    let parts = {
        let mut announcers = gateway.usage_announcers.lock();
        let announcer = announcers.entry(counts.incarnation).or_default();
        let daemon = (counts.name.as_str(), counts.incarnation);
        let to = (listener.address, listener.incarnation);
        announcer.parts(daemon, to, &counts.windows, window)
    };
    let is_acknowledged = parts.is_empty();
    for part in parts {
        let datagram = Datagram::Usage(part);
        gateway.send_datagram(&datagram, listener.address).await;
    }
    is_acknowledged
}
