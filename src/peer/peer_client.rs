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

/// Limits connecting to a peer, including the TLS and HTTP/2 handshakes.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A client of one other daemon, which connects at the first call and after a failure.
pub struct PeerClient {
    addr: SocketAddr,
    local_ip: IpAddr,
    tls: Option<Arc<PeerTls>>,
    conn: Mutex<Option<SendRequest<Bytes>>>,
}

impl PeerClient {
    /// Creates a client without connecting; connections leave from `local_ip`.
    pub fn new(addr: SocketAddr, local_ip: IpAddr, tls: Option<Arc<PeerTls>>) -> Self {
        Self {
            addr,
            local_ip,
            tls,
            conn: Mutex::new(None),
        }
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Makes a call and waits up to `within` for its reply.
    ///
    /// # Errors
    ///
    /// Returns how the call failed. The other daemon may have carried it out unless the
    /// error is [`PeerError::NotConnected`].
    pub async fn call(&self, call: &PeerCall, within: Duration) -> Result<PeerReply, PeerError> {
        let body = encode(call)?;
        let exchange = async {
            let mut stream = self.open("call", body).await?;
            let bytes = read_all(&mut stream).await?;
            decode(&bytes)
        };
        self.drop_connection_on_failure(timeout(within, exchange).await)
            .await
    }

    /// Subscribes to the answer of a request; `within` limits the wait for the stream to open.
    ///
    /// # Errors
    ///
    /// Returns how the call failed.
    pub async fn attach(
        &self,
        attach: &Attach,
        within: Duration,
    ) -> Result<AttachStream, PeerError> {
        let body = encode(attach)?;
        let opened = timeout(within, self.open("attach", body)).await;
        let stream = self.drop_connection_on_failure(opened).await?;
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
        let created = timeout(CONNECT_TIMEOUT, self.connect()).await;
        let created = created.map_err(|_| PeerError::NotConnected("timeout".to_string()))??;
        *conn = Some(created.clone());
        Ok(created)
    }

    async fn connect(&self) -> Result<SendRequest<Bytes>, PeerError> {
        let socket = match self.addr {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        // Peers and network devices in between identify the caller by its address.
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

    /// Drops the connection after a call that timed out or broke off, as the connection itself
    /// may have failed; the next call connects again.
    async fn drop_connection_on_failure<T>(
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

/// The stream of events of a request's answer, as its owner sends them.
pub struct AttachStream {
    stream: RecvStream,
    buf: BytesMut,
}

impl AttachStream {
    /// Returns the next event, or none at the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::Broken`] if the stream was cut off, and an error of decoding for an
    /// invalid event.
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
