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

/// A proxy in front of one address, with faults that can be changed while it runs.
pub struct FaultProxy {
    addr: SocketAddr,
    knobs: Arc<Knobs>,
    task: JoinHandle<()>,
}

struct Knobs {
    target: Mutex<SocketAddr>,
    delay: Arc<DynamicDuration>,
    slice: Arc<DynamicSize>,
    break_chance: Arc<DynamicProbability>,
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
        let knobs = Arc::new(Knobs {
            target: Mutex::new(target),
            delay: DynamicDuration::new(Duration::ZERO),
            slice: DynamicSize::new(usize::MAX / 2),
            break_chance: DynamicProbability::new(0.0).unwrap(),
            cut: Mutex::default(),
            cut_all: watch::Sender::new(false),
            cuts: watch::Sender::new(0),
            drops: watch::Sender::new(0),
            bytes: AtomicU64::new(0),
        });
        let task = tokio::spawn(accept(listener, knobs.clone()));
        Self { addr, knobs, task }
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Bytes that passed, both ways together.
    pub fn bytes(&self) -> u64 {
        self.knobs.bytes.load(Ordering::Relaxed)
    }

    /// Cuts every connection and refuses new ones.
    pub fn cut(&self) {
        self.knobs.cut_all.send_replace(true);
        self.knobs.cuts.send_modify(|n| *n += 1);
    }

    /// Cuts the connections from one address.
    pub fn cut_from(&self, ip: IpAddr) {
        self.knobs.cut.lock().insert(ip);
        self.knobs.cuts.send_modify(|n| *n += 1);
    }

    /// Cuts every connection once; new ones pass.
    pub fn drop_connections(&self) {
        self.knobs.drops.send_modify(|n| *n += 1);
    }

    pub fn heal(&self) {
        self.knobs.cut_all.send_replace(false);
        self.knobs.cut.lock().clear();
    }

    pub fn delay(&self, delay: Duration) {
        self.knobs.delay.set(delay);
    }

    /// Sends in slices of this many bytes.
    pub fn slice(&self, bytes: usize) {
        self.knobs.slice.set(bytes);
    }

    /// Each read or write breaks the connection with this chance.
    pub fn break_chance(&self, chance: f64) {
        self.knobs.break_chance.set(chance).unwrap();
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Knobs {
    fn is_cut(&self, from: IpAddr) -> bool {
        *self.cut_all.borrow() || self.cut.lock().contains(&from)
    }
}

async fn accept(listener: TcpListener, knobs: Arc<Knobs>) {
    loop {
        let Ok((inbound, from)) = listener.accept().await else {
            continue;
        };
        if !knobs.is_cut(from.ip()) {
            tokio::spawn(forward(inbound, from.ip(), knobs.clone()));
        }
    }
}

async fn forward(inbound: TcpStream, from: IpAddr, knobs: Arc<Knobs>) {
    let mut cuts = knobs.cuts.subscribe();
    let mut drops = knobs.drops.subscribe();
    let target = *knobs.target.lock();
    let Ok(outbound) = TcpStream::connect(target).await else {
        return;
    };
    let _ = inbound.set_nodelay(true);
    let _ = outbound.set_nodelay(true);
    let count = |b: &[u8]| {
        knobs.bytes.fetch_add(b.len() as u64, Ordering::Relaxed);
    };
    let inbound = InspectReader::new(inbound, count);
    let outbound = InspectReader::new(outbound, count);
    let inbound = Terminator::new(inbound, knobs.break_chance.clone());
    let outbound = Terminator::new(outbound, knobs.break_chance.clone());
    let mut inbound = inbound
        .delay_writes_dyn(knobs.delay.clone())
        .slice_writes_dyn(knobs.slice.clone());
    let mut outbound = outbound
        .delay_writes_dyn(knobs.delay.clone())
        .slice_writes_dyn(knobs.slice.clone());
    let copy = tokio::io::copy_bidirectional(&mut inbound, &mut outbound);
    let cut = async {
        while cuts.changed().await.is_ok() {
            if knobs.is_cut(from) {
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
