use {
    super::HttpError,
    crate::clock,
    bytes::{Bytes, BytesMut},
    http::{HeaderMap, Request, Response, StatusCode},
    http_body_util::{BodyExt, Full, Limited},
    hyper::body::Incoming,
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde::de::DeserializeOwned,
    std::{net::SocketAddr, time::Duration},
};

/// The header by which an upstream says that it did not start a call.
pub const NOT_STARTED: &str = "x-not-started";

/// How long a connection attempt may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// The largest body that is read whole.
pub const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Calls over HTTP by IP number, with pooled connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        // A call is only repeated by a decision of ours, never by the pool.
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }
}

impl HttpClient {
    /// Sends a request and returns the answer's head; its body is still to be read.
    ///
    /// # Errors
    ///
    /// Returns how the call failed; an answer other than 2xx is a failure.
    pub async fn open(
        &self,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, HttpError> {
        let rep = self.exchange(req, timeout).await?;
        check_status(rep)
    }

    /// Sends a request and returns the answer, whatever its status.
    ///
    /// # Errors
    ///
    /// Returns how the call failed; a typed refusal is a failure too.
    pub async fn exchange(
        &self,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, HttpError> {
        let answer = clock::timeout(timeout, self.client.request(req)).await;
        let rep = answer
            .map_err(|_| HttpError::Timeout(timeout))?
            .map_err(from_client)?;
        if rep.headers().contains_key(NOT_STARTED) {
            return Err(HttpError::NotStarted(rep.status().as_u16()));
        }
        Ok(rep)
    }

    /// Sends a request and reads the whole answer. Its head, and then each
    /// further part of it, may take up to `timeout`.
    ///
    /// # Errors
    ///
    /// Returns how the call failed.
    pub async fn call(
        &self,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Bytes, HttpError> {
        let rep = self.open(req, timeout).await?;
        full_body_with_idle_timeout(rep.into_body(), timeout).await
    }

    /// Gets a JSON value.
    ///
    /// # Errors
    ///
    /// Returns how the call failed.
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<T, HttpError> {
        let req = request("GET", addr, path, &HeaderMap::new(), Bytes::new())?;
        from_json(&self.call(req, timeout).await?)
    }

    /// Posts a body and returns the answer's.
    ///
    /// # Errors
    ///
    /// Returns how the call failed.
    pub async fn post(
        &self,
        addr: SocketAddr,
        path: &str,
        body: impl Into<Bytes>,
        timeout: Duration,
    ) -> Result<Bytes, HttpError> {
        let req = request("POST", addr, path, &HeaderMap::new(), body.into())?;
        self.call(req, timeout).await
    }
}

/// Builds a request.
///
/// # Errors
///
/// Returns [`HttpError::Malformed`] for a method or path that can't be sent.
pub fn request(
    method: &str,
    addr: SocketAddr,
    path: &str,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, HttpError> {
    let mut req = Request::builder()
        .method(method)
        .uri(format!("http://{addr}{path}"))
        .body(Full::new(body))
        .map_err(|e| HttpError::Malformed(e.to_string()))?;
    req.headers_mut().extend(headers.clone());
    Ok(req)
}

/// Reads a whole body of limited size.
///
/// # Errors
///
/// Returns [`HttpError::Broken`] if it is cut or too large.
pub async fn full_body(body: Incoming) -> Result<Bytes, HttpError> {
    let whole = Limited::new(body, MAX_BODY_BYTES).collect().await;
    Ok(whole
        .map_err(|e| HttpError::Broken(e.to_string()))?
        .to_bytes())
}

/// Reads a whole body of limited size for as long as it keeps arriving.
///
/// Silence is bounded, not the whole: a fixed time for all of it is too short
/// for some size on some link, and a call that is cut off and repeated then
/// never ends.
///
/// # Errors
///
/// Returns [`HttpError::Timeout`] if nothing came for `silence`, and
/// [`HttpError::Broken`] if the body is cut or too large.
pub async fn full_body_with_idle_timeout(
    body: Incoming,
    silence: Duration,
) -> Result<Bytes, HttpError> {
    let mut body = Limited::new(body, MAX_BODY_BYTES);
    let mut whole = BytesMut::new();
    loop {
        let next = clock::timeout(silence, body.frame()).await;
        let Some(frame) = next.map_err(|_| HttpError::Timeout(silence))? else {
            return Ok(whole.freeze());
        };
        let frame = frame.map_err(|e| HttpError::Broken(e.to_string()))?;
        if let Some(data) = frame.data_ref() {
            whole.extend_from_slice(data);
        }
    }
}

/// Reads a JSON value.
///
/// # Errors
///
/// Returns [`HttpError::Malformed`].
pub fn from_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, HttpError> {
    serde_json::from_slice(bytes).map_err(|e| HttpError::Malformed(e.to_string()))
}

fn check_status(rep: Response<Incoming>) -> Result<Response<Incoming>, HttpError> {
    match rep.status() {
        StatusCode::OK => Ok(rep),
        status => Err(HttpError::Status(status.as_u16())),
    }
}

fn from_client(e: hyper_util::client::legacy::Error) -> HttpError {
    if e.is_connect() {
        HttpError::NotConnected(e.to_string())
    } else {
        HttpError::Broken(e.to_string())
    }
}
