use {
    super::*,
    bytes::{Bytes, BytesMut},
    h2::{RecvStream, client::SendRequest},
    http::{Request, StatusCode},
    std::{
        net::{IpAddr, SocketAddr},
        sync::Arc,
        time::Duration,
    },
    tokio::{net::TcpSocket, sync::Mutex, time::timeout},
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A connection to one other daemon, made when it is needed.
pub struct PeerClient {
    addr: SocketAddr,
    local_ip: IpAddr,
    tls: Option<Arc<PeerTls>>,
    conn: Mutex<Option<SendRequest<Bytes>>>,
}

impl PeerClient {
    /// Makes a client; nothing is connected yet.
    pub fn new(addr: SocketAddr, local_ip: IpAddr, tls: Option<Arc<PeerTls>>) -> Self {
        Self {
            addr,
            local_ip,
            tls,
            conn: Mutex::new(None),
        }
    }

    /// Returns the address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Makes a call.
    ///
    /// # Errors
    ///
    /// Returns how it failed. The other daemon may have acted on it unless the
    /// error is [`PeerError::NotConnected`].
    pub async fn call(&self, call: &PeerCall, within: Duration) -> Result<PeerReply, PeerError> {
        let body = encode(call)?;
        let exchange = async {
            let mut stream = self.open("call", body).await?;
            let bytes = read_all(&mut stream).await?;
            decode(&bytes)
        };
        self.or_forget(timeout(within, exchange).await).await
    }

    /// Asks for the answer of a request.
    ///
    /// # Errors
    ///
    /// Returns how it failed.
    pub async fn attach(&self, ask: &Attach, within: Duration) -> Result<AttachStream, PeerError> {
        let body = encode(ask)?;
        let opened = timeout(within, self.open("attach", body)).await;
        let stream = self.or_forget(opened).await?;
        Ok(AttachStream {
            stream,
            buf: BytesMut::new(),
        })
    }

    async fn open(&self, path: &str, body: Bytes) -> Result<RecvStream, PeerError> {
        let conn = self.connected().await?;
        let mut conn = conn.ready().await?;
        let req = Request::post(format!("http://{}/peer/{PEER_VERSION}/{path}", self.addr))
            .body(())
            .map_err(|e| PeerError::Malformed(e.to_string()))?;
        let (rep, mut tx) = conn.send_request(req, false)?;
        send_all(&mut tx, body, true).await?;
        let rep = rep.await?;
        if rep.status() != StatusCode::OK {
            return Err(PeerError::Refused(rep.status().as_u16()));
        }
        Ok(rep.into_body())
    }

    async fn connected(&self) -> Result<SendRequest<Bytes>, PeerError> {
        let mut conn = self.conn.lock().await;
        if let Some(conn) = conn.as_ref() {
            return Ok(conn.clone());
        }
        let made = timeout(CONNECT_TIMEOUT, self.connect()).await;
        let made = made.map_err(|_| PeerError::NotConnected("timeout".to_string()))??;
        *conn = Some(made.clone());
        Ok(made)
    }

    async fn connect(&self) -> Result<SendRequest<Bytes>, PeerError> {
        let socket = match self.addr {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        // Peers and what stands between can tell by the address who calls.
        socket.bind(SocketAddr::new(self.local_ip, 0))?;
        let stream = socket.connect(self.addr).await?;
        stream.set_nodelay(true)?;
        let stream = match &self.tls {
            Some(tls) => tls.connect(stream).await?,
            None => Box::new(stream),
        };
        let (conn, run) = h2::client::Builder::new()
            .initial_window_size(WINDOW)
            .initial_connection_window_size(CONNECTION_WINDOW)
            .handshake(stream)
            .await?;
        tokio::spawn(run);
        Ok(conn)
    }

    /// A call that failed may have failed with its connection: the next one makes another.
    async fn or_forget<T>(
        &self,
        outcome: Result<Result<T, PeerError>, tokio::time::error::Elapsed>,
    ) -> Result<T, PeerError> {
        let outcome = outcome.unwrap_or(Err(PeerError::Timeout));
        if matches!(outcome, Err(PeerError::Broken(_) | PeerError::Timeout)) {
            *self.conn.lock().await = None;
        }
        outcome
    }
}

/// The answer of a request as its owner sends it.
pub struct AttachStream {
    stream: RecvStream,
    buf: BytesMut,
}

impl AttachStream {
    /// Returns the next event, or none at the end.
    ///
    /// # Errors
    ///
    /// Returns how the stream was cut off.
    pub async fn next(&mut self) -> Result<Option<AttachEvent>, PeerError> {
        loop {
            if let Some(frame) = next_frame(&mut self.buf)? {
                return Ok(Some(decode(&frame)?));
            }
            let Some(data) = self.stream.data().await else {
                return Ok(None);
            };
            let data = data?;
            self.stream.flow_control().release_capacity(data.len())?;
            self.buf.extend_from_slice(&data);
        }
    }
}
