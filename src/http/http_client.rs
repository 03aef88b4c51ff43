use {
    super::{HeadFault, HttpError},
    crate::clock,
    bytes::{Bytes, BytesMut},
    http::{HeaderMap, Request, Response, StatusCode},
    http_body_util::{BodyExt, Full, Limited},
    hyper::body::{Body, Incoming},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde::de::DeserializeOwned,
    std::{net::SocketAddr, time::Duration},
};

/// The response header with which an upstream reports that it did not start a call.
pub const NOT_STARTED: &str = "x-not-started";

/// Limits the time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Upper limit of a response body that is read into memory, in bytes.
pub const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Makes HTTP calls to IP addresses over pooled connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        // Only the daemon decides on retries, never the connection pool.
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }
}

impl HttpClient {
    /// Sends a request and returns the response as soon as its head has arrived.
    ///
    /// # Errors
    ///
    /// Returns how the call failed; a response with a status other than 200 is a failure.
    pub async fn open(
        &self,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, HttpError> {
        let rep = self.exchange(req, timeout).await?;
        check_status(rep)
    }

    /// Sends a request and returns the response with any status, as soon as its head has
    /// arrived.
    ///
    /// # Errors
    ///
    /// Returns how the call failed; a response with the header [`NOT_STARTED`] is a failure, and so is one whose head
    /// can't be right.
    pub async fn exchange(
        &self,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, HttpError> {
        let answer = clock::timeout(timeout, self.client.request(req)).await;
        let rep = answer
            .map_err(|_| HttpError::Timeout(timeout))?
            .map_err(from_client)?;
        let rep = check_head(rep)?;
        if rep.headers().contains_key(NOT_STARTED) {
            return Err(HttpError::NotStarted(rep.status().as_u16()));
        }
        Ok(rep)
    }

    /// Sends a request and returns the body of the response. The head, and then each further
    /// part of the body, may take up to `timeout`.
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

    /// Posts a body and returns the body of the response.
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
/// Returns [`HttpError::Malformed`] if the method or path is invalid.
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

/// Reads a body to its end, up to [`MAX_BODY_BYTES`].
///
/// # Errors
///
/// Returns [`HttpError::Broken`] if the body is cut off or too large.
pub async fn full_body(body: Incoming) -> Result<Bytes, HttpError> {
    let collected = Limited::new(body, MAX_BODY_BYTES).collect().await;
    Ok(collected
        .map_err(|e| HttpError::Broken(e.to_string()))?
        .to_bytes())
}

/// Reads a body to its end, up to [`MAX_BODY_BYTES`], for as long as it keeps arriving.
///
/// Limits the gap between two parts, not the total time: any fixed total is too short for some
/// body on some slow link, and a call that times out and is retried there never succeeds.
///
/// # Errors
///
/// Returns [`HttpError::Timeout`] if nothing arrives for `idle_timeout`, and
/// [`HttpError::Broken`] if the body is cut off or too large.
pub async fn full_body_with_idle_timeout(
    body: Incoming,
    idle_timeout: Duration,
) -> Result<Bytes, HttpError> {
    let mut body = Limited::new(body, MAX_BODY_BYTES);
    let mut bytes = BytesMut::new();
    loop {
        let next = clock::timeout(idle_timeout, body.frame()).await;
        let Some(frame) = next.map_err(|_| HttpError::Timeout(idle_timeout))? else {
            return Ok(bytes.freeze());
        };
        let frame = frame.map_err(|e| HttpError::Broken(e.to_string()))?;
        if let Some(data) = frame.data_ref() {
            bytes.extend_from_slice(data);
        }
    }
}

/// Parses a JSON value.
///
/// # Errors
///
/// Returns [`HttpError::Malformed`] if the bytes are not JSON of this type.
pub fn from_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, HttpError> {
    serde_json::from_slice(bytes).map_err(|e| HttpError::Malformed(e.to_string()))
}

/// Returns an answer if its head may be believed.
///
/// # Errors
///
/// Returns [`HttpError::Malformed`] if its head can't be right. The call may have had its effect.
pub(super) fn check_head(rep: Response<Incoming>) -> Result<Response<Incoming>, HttpError> {
    let has_body = !rep.body().is_end_stream();
    let (head, body) = rep.into_parts();
    match HeadFault::find(&head, has_body) {
        None => Ok(Response::from_parts(head, body)),
        Some(fault) => Err(HttpError::Malformed(fault.to_string())),
    }
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
