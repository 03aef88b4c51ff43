//! A TCP forwarder between one daemon and one upstream, which can cut this path.

use {
    crate::ports::free_address,
    socket2::{Domain, Socket, Type},
    std::{
        io,
        net::{SocketAddr, TcpStream as StdStream},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::watch,
        task::JoinHandle,
    },
};

/// How a path between a daemon and an upstream is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    Up,
    /// Open connections are reset, and new ones are refused.
    Reset,
    /// Open connections go on, and new ones are refused.
    NewRefused,
    /// Open connections pass no byte, and new ones are not accepted.
    Silent,
}

/// A forwarder to one upstream. It stops when dropped.
pub struct CutProxy {
    address: SocketAddr,
    state: watch::Sender<LinkState>,
    task: JoinHandle<()>,
}

impl Drop for CutProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl CutProxy {
    pub async fn start(upstream: SocketAddr) -> Self {
        // While the path is cut, no other process of the tests may listen there.
        let address = free_address();
        let listener = TcpListener::bind(address).await.unwrap();
        let state = watch::Sender::new(LinkState::Up);
        let task = tokio::spawn(run(listener, address, upstream, state.subscribe()));
        Self {
            address,
            state,
            task,
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }
}

async fn run(
    mut listener: TcpListener,
    address: SocketAddr,
    upstream: SocketAddr,
    mut state: watch::Receiver<LinkState>,
) {
    loop {
        accept_until_cut(&listener, upstream, &mut state).await;
        drop(listener);
        // A changed state replaces this one: a path may be cut in another way.
        listener = loop {
            let cut = *state.borrow_and_update();
            if cut == LinkState::Up
                && let Ok(listener) = listen(address, 1_024)
            {
                break TcpListener::from_std(listener.into()).unwrap();
            }
            let _full = (cut == LinkState::Silent).then(|| FullListener::bind(address));
            // The address may still be bound by a listener that is being closed.
            let _ = tokio::time::timeout(Duration::from_millis(50), state.changed()).await;
            while cut != LinkState::Up && *state.borrow() == cut {
                state.changed().await.expect("the proxy is not dropped yet");
            }
        };
    }
}

async fn accept_until_cut(
    listener: &TcpListener,
    upstream: SocketAddr,
    state: &mut watch::Receiver<LinkState>,
) {
    loop {
        tokio::select! {
            _ = async { state.wait_for(|state| *state != LinkState::Up).await.is_ok() } => return,
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    tokio::spawn(forward(stream, upstream, state.clone()));
                }
            }
        }
    }
}

async fn forward(near: TcpStream, upstream: SocketAddr, mut state: watch::Receiver<LinkState>) {
    let Ok(far) = TcpStream::connect(upstream).await else {
        let _ = near.set_zero_linger();
        return;
    };
    for stream in [&near, &far] {
        stream.set_nodelay(true).unwrap();
    }
    // A connection that is dropped is reset, except after a regular shutdown of both sides.
    let _ = (near.set_zero_linger(), far.set_zero_linger());
    let pumped = state.clone();
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    let pumps = async {
        tokio::join!(
            pump(near_in, far_out, pumped.clone()),
            pump(far_in, near_out, pumped.clone())
        )
    };
    tokio::select! {
        _ = pumps => {}
        _ = async { state.wait_for(|state| *state == LinkState::Reset).await.is_ok() } => {}
    }
}

/// Forwards bytes in one direction. While the path is silent, bytes that were read are kept.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<LinkState>,
) {
    let mut buf = vec![0; 16 * 1024];
    while let Ok(length @ 1..) = from.read(&mut buf).await {
        let passes = state.wait_for(|state| *state != LinkState::Silent);
        let is_dropped = passes.await.is_err();
        if is_dropped || to.write_all(&buf[..length]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}

fn listen(address: SocketAddr, backlog: i32) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(backlog)?;
    socket.set_nonblocking(true)?;
    Ok(socket)
}

/// A listener that accepts nothing and whose queue is full, so that the kernel ignores further
/// connections.
struct FullListener {
    _listener: Option<Socket>,
    _queued: Vec<StdStream>,
}

impl FullListener {
    fn bind(address: SocketAddr) -> Self {
        let listener = listen(address, 0).ok();
        let connect = || StdStream::connect_timeout(&address, Duration::from_millis(20)).ok();
        let queued = (0..4).map_while(|_| connect()).collect();
        Self {
            _listener: listener,
            _queued: queued,
        }
    }
}
