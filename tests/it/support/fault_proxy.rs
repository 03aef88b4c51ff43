use {
    parking_lot::Mutex,
    std::{
        collections::HashSet,
        net::{IpAddr, SocketAddr},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
        task::JoinHandle,
    },
    tokio_netem::{
        delayer::DynamicDuration, io::NetEmWriteExt, probability::DynamicProbability,
        slicer::DynamicSize, terminator::Terminator,
    },
    tokio_util::io::InspectReader,
};

/// A TCP proxy in front of one address that injects faults, which can be changed while it runs.
pub struct FaultProxy {
    addr: SocketAddr,
    faults: Arc<FaultState>,
    task: JoinHandle<()>,
}

/// The faults to inject and the count of forwarded bytes, shared with the connection tasks.
struct FaultState {
    target: Mutex<SocketAddr>,
    delay: Arc<DynamicDuration>,
    slice: Arc<DynamicSize>,
    break_probability: Arc<DynamicProbability>,
    cut: Mutex<HashSet<IpAddr>>,
    cut_all: watch::Sender<bool>,
    cuts: watch::Sender<u64>,
    drops: watch::Sender<u64>,
    bytes: AtomicU64,
}

impl FaultProxy {
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let faults = Arc::new(FaultState {
            target: Mutex::new(target),
            delay: DynamicDuration::new(Duration::ZERO),
            slice: DynamicSize::new(usize::MAX / 2),
            break_probability: DynamicProbability::new(0.0).unwrap(),
            cut: Mutex::default(),
            cut_all: watch::Sender::new(false),
            cuts: watch::Sender::new(0),
            drops: watch::Sender::new(0),
            bytes: AtomicU64::new(0),
        });
        let task = tokio::spawn(accept(listener, faults.clone()));
        Self { addr, faults, task }
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the number of forwarded bytes, both directions together.
    pub fn bytes(&self) -> u64 {
        self.faults.bytes.load(Ordering::Relaxed)
    }

    /// Closes every connection, and closes new ones when they are accepted.
    pub fn cut(&self) {
        self.faults.cut_all.send_replace(true);
        self.faults.cuts.send_modify(|n| *n += 1);
    }

    /// Closes the connections from one source address, present and new ones.
    pub fn cut_from(&self, ip: IpAddr) {
        self.faults.cut.lock().insert(ip);
        self.faults.cuts.send_modify(|n| *n += 1);
    }

    /// Closes every present connection; new ones are forwarded.
    pub fn drop_connections(&self) {
        self.faults.drops.send_modify(|n| *n += 1);
    }

    /// Ends `cut` and `cut_from`.
    pub fn heal(&self) {
        self.faults.cut_all.send_replace(false);
        self.faults.cut.lock().clear();
    }

    /// Delays each write by this time.
    pub fn delay(&self, delay: Duration) {
        self.faults.delay.set(delay);
    }

    /// Splits writes into slices of this many bytes.
    pub fn slice(&self, bytes: usize) {
        self.faults.slice.set(bytes);
    }

    /// Makes each read or write break the connection with this probability.
    pub fn break_probability(&self, probability: f64) {
        self.faults.break_probability.set(probability).unwrap();
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl FaultState {
    fn is_cut(&self, from: IpAddr) -> bool {
        *self.cut_all.borrow() || self.cut.lock().contains(&from)
    }
}

async fn accept(listener: TcpListener, faults: Arc<FaultState>) {
    loop {
        let Ok((inbound, from)) = listener.accept().await else {
            continue;
        };
        if !faults.is_cut(from.ip()) {
            tokio::spawn(forward(inbound, from.ip(), faults.clone()));
        }
    }
}

async fn forward(inbound: TcpStream, from: IpAddr, faults: Arc<FaultState>) {
    let mut cuts = faults.cuts.subscribe();
    let mut drops = faults.drops.subscribe();
    let target = *faults.target.lock();
    let Ok(outbound) = TcpStream::connect(target).await else {
        return;
    };
    let _ = inbound.set_nodelay(true);
    let _ = outbound.set_nodelay(true);
    let count_bytes = |b: &[u8]| {
        faults.bytes.fetch_add(b.len() as u64, Ordering::Relaxed);
    };
    let inbound = InspectReader::new(inbound, count_bytes);
    let outbound = InspectReader::new(outbound, count_bytes);
    let inbound = Terminator::new(inbound, faults.break_probability.clone());
    let outbound = Terminator::new(outbound, faults.break_probability.clone());
    let mut inbound = inbound
        .delay_writes_dyn(faults.delay.clone())
        .slice_writes_dyn(faults.slice.clone());
    let mut outbound = outbound
        .delay_writes_dyn(faults.delay.clone())
        .slice_writes_dyn(faults.slice.clone());
    let copy = tokio::io::copy_bidirectional(&mut inbound, &mut outbound);
    let cut = async {
        while cuts.changed().await.is_ok() {
            if faults.is_cut(from) {
                return;
            }
        }
    };
    tokio::select! {
        _ = copy => {}
        () = cut => {}
        _ = drops.changed() => {}
    }
}
