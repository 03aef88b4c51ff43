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

/// How often counts are told that the holder of the duties has not heard.
const USAGE_EVERY: Duration = Duration::from_millis(500);
/// The same for a daemon that stops: some round trips between failure domains, and
/// time for a small box to answer.
const LAST_USAGE_EVERY: Duration = Duration::from_millis(200);
/// The window before which all is told where nothing is known to be.
const NOTHING_WHOLE: u64 = 0;
/// In how many rounds a daemon that stops waits for all that are told usage.
const ROUNDS_FOR_ALL: u32 = 3;
/// How many windows are told: as many as are kept.
const TOLD_WINDOWS: usize = 8;

/// The usage counts of one incarnation of a daemon that holders of the duties have acknowledged.
#[derive(Debug, Default)]
pub struct UsageAnnouncer {
    last_number: u64,
    holders: HashMap<(SocketAddr, u64), HolderView>,
}

#[derive(Debug, Default)]
struct HolderView {
    received: BTreeMap<u64, BTreeMap<String, u32>>,
    acknowledged_before: u64,
    /// Parts that were sent, by number.
    sent: HashMap<u64, UsagePart>,
}

impl UsageAnnouncer {
    /// Returns what to tell a holder: what it has not heard, in parts.
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
            split.extend(in_parts(counts).into_iter().map(|part| (window, part)));
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

    /// Takes in that a holder has heard a part.
    pub fn apply(&mut self, from: SocketAddr, received: UsageAck) {
        let Some(view) = self.holders.get_mut(&(from, received.holder_incarnation)) else {
            return;
        };
        let Some(part) = view.sent.remove(&received.number) else {
            return;
        };
        view.acknowledged_before = view.acknowledged_before.max(part.complete_before);
        if part.counts.is_empty() {
            // Kept, windows without counts would push out those that have some, which
            // would be told for ever.
            return;
        }
        let known = view.received.entry(part.window).or_default();
        known.extend(part.counts);
        while view.received.len() > TOLD_WINDOWS {
            view.received.pop_first();
        }
    }
}

impl HolderView {
    fn lacking(&self, window: u64, counts: &AccountCounts) -> AnnouncedCounts {
        let received = self.received.get(&window);
        let known = |name: &str| received.and_then(|h| h.get(name)).copied().unwrap_or(0);
        let told = counts.iter().map(|(name, n)| (name.to_string(), *n as u32));
        told.filter(|(name, n)| *n > known(name)).collect()
    }
}

/// Tells those that are told usage what they have not heard, as long as the daemon
/// runs.
pub(in crate::cluster) async fn announce_usage(gateway: Arc<Gateway>) {
    if !gateway.settings.duties.usage {
        return;
    }
    loop {
        tokio::time::sleep(USAGE_EVERY).await;
        for listener in duty_listeners(&gateway) {
            announce_own(&gateway, &listener).await;
            pass_on(&gateway, &listener).await;
        }
    }
}

/// Tells the last counts of a daemon that stops until they are heard. One that is told
/// and says nothing for some rounds may be gone; then it is enough that another has
/// heard all.
pub async fn announce_last_usage(gateway: &Gateway, max_wait: Duration) {
    if !gateway.settings.duties.usage || gateway.daemons() < 2 {
        return;
    }
    let told = async {
        for round in 0.. {
            let listeners = duty_listeners(gateway);
            let mut received = 0;
            for listener in &listeners {
                let own = announce_own(gateway, listener).await;
                let others = pass_on(gateway, listener).await;
                received += usize::from(own && others);
            }
            let is_patient = round < ROUNDS_FOR_ALL;
            if received > 0 && (received == listeners.len() || !is_patient) {
                return;
            }
            tokio::time::sleep(LAST_USAGE_EVERY).await;
        }
    };
    if tokio::time::timeout(max_wait, told).await.is_err() {
        log::warn!(
            target: "duties",
            "the last counts were not heard. patience_ms={}",
            max_wait.as_millis()
        );
    }
}

/// A daemon that holds the duties or watches who does.
struct DutyListener {
    address: SocketAddr,
    incarnation: u64,
    /// Since when it is known to be one, by the steady clock.
    since_ms: u64,
}

/// Returns where other daemons that hold the duties, or watch who does, listen.
pub(in crate::cluster) fn duty_addresses(gateway: &Gateway) -> Vec<SocketAddr> {
    let listeners = duty_listeners(gateway).into_iter();
    listeners.map(|listener| listener.address).collect()
}

/// Returns the other daemons that are told usage. Those that watch the holder hear
/// the same as it: one that takes over must report windows that are all but due.
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

/// Tells the own counts; returns whether all of them were heard.
async fn announce_own(gateway: &Gateway, listener: &DutyListener) -> bool {
    let counts = ReceivedUsage {
        name: gateway.settings.node.name.to_string(),
        incarnation: gateway.incarnation,
        windows: gateway.usage.lock().newest(TOLD_WINDOWS),
    };
    let window = gateway.window_of(now_ms());
    tell(gateway, listener, &counts, window).await
}

/// Passes on what was heard of others and may still be reported, to one that is told
/// usage since after that; returns whether it has heard all. Counts live in daemons
/// only: of those that stopped before, it can't hear them itself.
async fn pass_on(gateway: &Gateway, listener: &DutyListener) -> bool {
    let duties = &gateway.settings.duties;
    let due_windows = (duties.usage_delay_s / duties.usage_window_s.max(1)) + 1;
    let from_window = gateway.window_of(now_ms()).saturating_sub(due_windows);
    let before_ms = listener.since_ms + USAGE_EVERY.as_millis() as u64;
    let received = gateway.usage.lock().received(from_window, before_ms);
    let mut is_heard = true;
    for counts in &received {
        // Whether it is all that they counted, only they can say.
        is_heard &= tell(gateway, listener, counts, NOTHING_WHOLE).await;
    }
    is_heard
}

/// Tells one what it has not heard of some counts; returns whether that is nothing.
async fn tell(
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
    let is_heard = parts.is_empty();
    for part in parts {
        let datagram = Datagram::Usage(part);
        gateway.send_datagram(&datagram, listener.address).await;
    }
    is_heard
}
