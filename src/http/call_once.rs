use {
    super::{HttpError, full_body, http_client::check_head},
    crate::clock,
    bytes::Bytes,
    http::{Request, StatusCode, header},
    http_body_util::Full,
    hyper::client::conn::http1,
    hyper_util::rt::TokioIo,
    socket2::SockRef,
    std::{net::SocketAddr, time::Duration},
    tokio::{net::TcpStream, task::AbortHandle},
};

/// Aborts the task of a connection when dropped, which closes the connection.
struct Connection(AbortHandle);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Makes a call over a new connection, and closes it after the call.
///
/// After a timeout the connection is reset, so that no part of the call arrives later.
///
/// # Errors
///
/// Returns how the call failed.
pub async fn call_once(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    timeout: Duration,
) -> Result<(StatusCode, Bytes), HttpError> {
    let answer = clock::timeout(timeout, exchange(address, request)).await;
    answer.map_err(|_| HttpError::Timeout(timeout))?
}

async fn exchange(
    address: SocketAddr,
    mut request: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes), HttpError> {
    let not_connected = |e: std::io::Error| HttpError::NotConnected(e.to_string());
    let stream = TcpStream::connect(address).await.map_err(not_connected)?;
    reset_on_close(&stream).map_err(not_connected)?;
    let broken = |e: hyper::Error| HttpError::Broken(e.to_string());
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(broken)?;
    let task = tokio::spawn(async move {
        // The call returns the error of the connection.
        let _ = connection.await;
    });
    let _connection = Connection(task.abort_handle());
    if let Ok(host) = address.to_string().parse() {
        request.headers_mut().entry(header::HOST).or_insert(host);
    }
    let answer = sender.send_request(request).await.map_err(broken)?;
    let answer = check_head(answer)?;
    let status = answer.status();
    Ok((status, full_body(answer.into_body()).await?))
}

/// Makes a connection be reset when it is closed (`SO_LINGER` of 0): the kernel discards bytes
/// that are not yet delivered, instead of sending them after the caller has given up the call.
///
/// # Errors
///
/// Returns the error of the socket.
pub fn reset_on_close(stream: &TcpStream) -> std::io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}
