use {
    super::{Digest, MAX_DIGEST_PEERS},
    crate::{gateway::Gateway, names::now_ms},
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::net::UdpSocket,
};

/// The least time between two digests.
const DIGEST_PAUSE: Duration = Duration::from_millis(50);
/// How many windows of usage are told: what is lost once comes again.
const USAGE_WINDOWS: usize = 3;
/// Daemons that have told about as many digests have run for as long.
const SAME_AGE_DIGESTS: u64 = 2;
/// Each how many digests seeds are written to that were not heard from.
const SEEDS_EVERY: u64 = 4;
const MAX_DATAGRAM: usize = 2_048;

/// Tells other daemons about this one, and hears them.
pub async fn exchange_digests(socket: UdpSocket, gateway: Arc<Gateway>) {
    let socket = Arc::new(socket);
    tokio::join!(
        send_digests(socket.clone(), gateway.clone()),
        hear_digests(socket, gateway)
    );
}

async fn hear_digests(socket: Arc<UdpSocket>, gateway: Arc<Gateway>) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        match Digest::decode(&buffer[..length]) {
            Ok(digest) => take_in(&gateway, digest),
            Err(e) => log::warn!(target: "peers", "datagram refused. error=\"{e}\""),
        }
    }
}

fn take_in(gateway: &Gateway, digest: Digest) {
    if digest.address == gateway.settings.listen.peers {
        return;
    }
    let usage = digest.usage_counts();
    let quotas = digest.quota_notices();
    let (node, incarnation) = (digest.node.clone(), digest.incarnation);
    let own_sequence = gateway.digests_told.load(Ordering::Relaxed);
    let is_younger = digest.sequence <= own_sequence + SAME_AGE_DIGESTS;
    let now_ms = gateway.steady_ms();
    let news = gateway.peers.lock().hear(digest, now_ms);
    if news {
        gateway.usage.lock().merge(&node, incarnation, &usage);
        gateway
            .quotas
            .lock()
            .hear(&node, incarnation, &quotas, is_younger, now_ms);
    }
}

async fn send_digests(socket: Arc<UdpSocket>, gateway: Arc<Gateway>) {
    let mut sequence = 0;
    loop {
        sequence += 1;
        gateway.digests_told.store(sequence, Ordering::Relaxed);
        gateway.peers.lock().tick(gateway.steady_ms());
        let digest = make_digest(&gateway, sequence);
        match digest.encode() {
            Ok(bytes) => send_to_all(&socket, &gateway, &bytes, sequence).await,
            Err(e) => log::warn!(target: "peers", "no digest. error=\"{e}\""),
        }
        // Sooner, if a tenant at its limit was let in more than others know.
        let early = gateway.tell_early.notified();
        let every_ms = gateway.peers.lock().digest_every_ms();
        let every = Duration::from_millis(every_ms);
        let _ = tokio::time::timeout(every - DIGEST_PAUSE, early).await;
        tokio::time::sleep(DIGEST_PAUSE).await;
    }
}

async fn send_to_all(socket: &UdpSocket, gateway: &Gateway, bytes: &[u8], sequence: u64) {
    let mut addresses = gateway.peers.lock().addresses();
    if sequence % SEEDS_EVERY == 1 {
        addresses.extend(gateway.settings.peers.seeds.iter().copied());
    }
    addresses.remove(&gateway.settings.listen.peers);
    for address in addresses {
        // A datagram may be lost anyway; the next one tells it all again.
        let _ = socket.send_to(bytes, address).await;
    }
}

fn make_digest(gateway: &Gateway, sequence: u64) -> Digest {
    let settings = &gateway.settings;
    let address: SocketAddr = settings.listen.peers;
    let mut digest = Digest::new(&settings.node.name, gateway.incarnation, sequence, address);
    digest.config_version = gateway.config_version();
    digest.source_age_ms = gateway.source_age_ms().unwrap_or(u64::MAX);
    digest.cut_from_source = gateway.is_cut_from_source();
    digest.holds_duties = gateway.holds_duties.load(Ordering::Relaxed);
    digest.quotas = quotas(gateway);
    digest.usage = usage(gateway);
    digest.loads = loads(gateway);
    digest.demand = gateway.own_demand();
    digest.reading = reading_speeds(gateway);
    digest.zone = settings.node.zone.to_string();
    digest.peers = gateway.some_peers(MAX_DIGEST_PEERS);
    digest
}

/// Brings the quotas up to date and returns what to tell of them.
fn quotas(gateway: &Gateway) -> Vec<(String, f32, f64, f32)> {
    let (tenants, daemons) = (gateway.tenants(), gateway.daemons());
    let others = gateway.peers.lock().quota_daemons();
    let mut quotas = gateway.quotas.lock();
    let notices = quotas.tick(&tenants, &others, daemons, gateway.steady_ms());
    let notices = notices.into_iter();
    notices
        .map(|n| {
            let (weight, level) = (n.weight as f32, n.level as f32);
            (n.tenant.to_string(), weight, n.admitted, level)
        })
        .collect()
}

fn usage(gateway: &Gateway) -> Vec<(u64, Vec<(String, u32)>)> {
    let newest = gateway.usage.lock().newest(USAGE_WINDOWS);
    let oldest = gateway
        .window_of(now_ms())
        .saturating_sub(USAGE_WINDOWS as u64);
    let recent = newest.into_iter().filter(|(window, _)| *window >= oldest);
    let named = recent.map(|(window, counts)| {
        let counts = counts.into_iter();
        (
            window,
            counts.map(|(t, n)| (t.to_string(), n as u32)).collect(),
        )
    });
    named.collect()
}

fn reading_speeds(gateway: &Gateway) -> Vec<(String, f32, u32)> {
    let speeds = gateway.own_reading_speeds().into_iter();
    speeds
        .map(|(service, s)| (service.to_string(), s.ms_per_token as f32, s.comparisons))
        .collect()
}

fn loads(gateway: &Gateway) -> Vec<(String, u32, u32)> {
    let loads = gateway.loads.lock();
    let busy = loads.iter().filter(|(_, load)| load.active > 0);
    let figures = busy.map(|(id, l)| (id.to_string(), l.active, l.waiting_tokens as u32));
    figures.collect()
}
