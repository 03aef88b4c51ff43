use {
    super::*,
    async_trait::async_trait,
    bytes::{Bytes, BytesMut},
    h2::{
        RecvStream, SendStream,
        server::{Builder, SendResponse},
    },
    http::{Request, Response, StatusCode},
    std::{sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::mpsc,
        time::timeout,
    },
};

/// HTTP/2 flow-control window of a stream, in bytes.
pub const WINDOW: u32 = 1024 * 1024;
/// HTTP/2 flow-control window of a connection, in bytes.
pub const CONNECTION_WINDOW: u32 = 4 * 1024 * 1024;
/// Maximum number of streams that a peer may have open at once.
const MAX_STREAMS: u32 = 4_096;
/// Limits the time that a peer takes to send the body of a call.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Limits the TLS and HTTP/2 handshakes of an accepted connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// Handles the calls of peers.
#[async_trait]
pub trait PeerHandler: Send + Sync + 'static {
    /// Carries out a call and returns its reply.
    async fn call(&self, call: PeerCall) -> PeerReply;

    /// Sends the events of a request's answer until it ends or the channel closes.
    async fn attach(&self, attach: Attach, tx: mpsc::Sender<AttachEvent>);
}

/// Accepts connections of peers and serves their calls, without end. After a failed accept
/// it waits 50 ms and tries again.
pub async fn serve_peers(
    listener: TcpListener,
    tls: Option<Arc<PeerTls>>,
    handler: Arc<dyn PeerHandler>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let tls = tls.clone();
        let handler = handler.clone();
        tokio::spawn(async move {
            if let Err(e) = serve_conn(stream, tls, handler).await {
                log::debug!(target: "peer", "connection failed. error=\"{e}\"");
            }
        });
    }
}

async fn serve_conn(
    stream: TcpStream,
    tls: Option<Arc<PeerTls>>,
    handler: Arc<dyn PeerHandler>,
) -> Result<(), PeerError> {
    stream.set_nodelay(true)?;
    let handshake = async {
        let stream = match &tls {
            Some(tls) => tls.accept(stream).await?,
            None => Box::new(stream),
        };
        let conn = Builder::new()
            .initial_window_size(WINDOW)
            .initial_connection_window_size(CONNECTION_WINDOW)
            .max_concurrent_streams(MAX_STREAMS)
            .handshake(stream)
            .await?;
        Ok::<_, PeerError>(conn)
    };
    let mut conn = timeout(HANDSHAKE_TIMEOUT, handshake)
        .await
        .map_err(|_| PeerError::Timeout)??;
    while let Some(accepted) = conn.accept().await {
        let (req, rep) = accepted?;
        let handler = handler.clone();
        tokio::spawn(async move {
            if let Err(e) = serve_stream(req, rep, handler).await {
                log::debug!(target: "peer", "stream failed. error=\"{e}\"");
            }
        });
    }
    Ok(())
}

async fn serve_stream(
    req: Request<RecvStream>,
    mut rep: SendResponse<Bytes>,
    handler: Arc<dyn PeerHandler>,
) -> Result<(), PeerError> {
    let call_path = format!("/peer/{PEER_VERSION}/call");
    let attach_path = format!("/peer/{PEER_VERSION}/attach");
    let path = req.uri().path().to_string();
    if path != call_path && path != attach_path {
        return refuse(&mut rep, StatusCode::NOT_FOUND);
    }
    let mut body = req.into_body();
    let bytes = match timeout(READ_TIMEOUT, read_all(&mut body)).await {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(PeerError::TooLarge(_))) => return refuse(&mut rep, StatusCode::PAYLOAD_TOO_LARGE),
        Ok(Err(e)) => return Err(e),
        Err(_) => return refuse(&mut rep, StatusCode::REQUEST_TIMEOUT),
    };
    if path == call_path {
        let Ok(call) = decode::<PeerCall>(&bytes) else {
            return refuse(&mut rep, StatusCode::BAD_REQUEST);
        };
        let reply = encode(&handler.call(call).await)?;
        let mut tx = rep.send_response(Response::new(()), false)?;
        return send_all(&mut tx, reply, true).await;
    }
    let Ok(attach) = decode::<Attach>(&bytes) else {
        return refuse(&mut rep, StatusCode::BAD_REQUEST);
    };
    send_events(rep, attach, handler).await
}

async fn send_events(
    mut rep: SendResponse<Bytes>,
    attach: Attach,
    handler: Arc<dyn PeerHandler>,
) -> Result<(), PeerError> {
    let mut out = rep.send_response(Response::new(()), false)?;
    let (tx, mut rx) = mpsc::channel(64);
    let source = tokio::spawn(async move { handler.attach(attach, tx).await });
    let pump = async {
        while let Some(event) = rx.recv().await {
            send_all(&mut out, encode_framed(&event)?, false).await?;
        }
        out.send_data(Bytes::new(), true)?;
        Ok(())
    };
    let outcome = pump.await;
    source.abort();
    outcome
}

fn refuse(rep: &mut SendResponse<Bytes>, status: StatusCode) -> Result<(), PeerError> {
    let mut head = Response::new(());
    *head.status_mut() = status;
    rep.send_response(head, true)?;
    Ok(())
}

/// Reads a stream to its end.
///
/// # Errors
///
/// Returns [`PeerError::TooLarge`] as soon as more than [`MAX_MESSAGE_BYTES`] have arrived, and
/// [`PeerError::Broken`] if the stream was cut off.
pub async fn read_all(stream: &mut RecvStream) -> Result<Bytes, PeerError> {
    let mut buf = BytesMut::new();
    while let Some(data) = stream.data().await {
        let data = data?;
        stream.flow_control().release_capacity(data.len())?;
        if buf.len() + data.len() > MAX_MESSAGE_BYTES {
            return Err(PeerError::TooLarge(buf.len() + data.len()));
        }
        buf.extend_from_slice(&data);
    }
    Ok(buf.freeze())
}

/// Sends bytes as far as the peer's flow-control window allows, and closes the stream after
/// them if `last` is set.
///
/// # Errors
///
/// Returns [`PeerError::Broken`] if the stream was closed before all bytes were sent.
pub async fn send_all(
    tx: &mut SendStream<Bytes>,
    mut bytes: Bytes,
    last: bool,
) -> Result<(), PeerError> {
    while !bytes.is_empty() {
        tx.reserve_capacity(bytes.len());
        let ready = std::future::poll_fn(|cx| tx.poll_capacity(cx)).await;
        let n = match ready {
            Some(n) => n?,
            None => return Err(PeerError::Broken("closed".to_string())),
        };
        let part = bytes.split_to(n.min(bytes.len()));
        let end = last && bytes.is_empty();
        tx.send_data(part, end)?;
        if end {
            return Ok(());
        }
    }
    if last {
        tx.send_data(Bytes::new(), true)?;
    }
    Ok(())
}
