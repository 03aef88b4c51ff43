use {
    super::*,
    crate::http::*,
    bytes::Bytes,
    hyper::{Method, Request, Response, StatusCode},
    parking_lot::Mutex,
    serde::Deserialize,
    serde_json::json as value,
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::Notify,
};

/// Bound of the `wait_ms` that a long poll may ask for.
const MAX_WAIT_MS: u64 = 5_000;
/// Bound of the number of records in a page.
const MAX_PAGE: usize = 1_000;

/// The platform's stand-in.
#[derive(Debug, Default)]
pub struct Platform {
    faults: Faults,
    log: Mutex<LogStreams>,
    cloud_state: Mutex<CloudState>,
    weights: Mutex<WeightStore>,
    changed: Notify,
}

/// The weight store, which limits the number of pulls a minute.
#[derive(Debug)]
struct WeightStore {
    per_minute: u32,
    pulls: Vec<Instant>,
}

impl Default for WeightStore {
    fn default() -> Self {
        Self {
            per_minute: 6,
            pulls: Vec::new(),
        }
    }
}

/// The body of `/control/reclaim`.
#[derive(Debug, Deserialize)]
struct ReclaimOrder {
    boxes: Vec<String>,
    notice_ms: u64,
}

/// The body of `/control/settings`. Fields that are left out keep their present value.
#[derive(Debug, Deserialize, Default)]
#[serde(default, deny_unknown_fields)]
struct SettingsOrder {
    list_lag_ms: Option<u64>,
    refused_classes: Option<Vec<String>>,
    mute_notices: Option<bool>,
    keep_records: Option<usize>,
    pulls_per_minute: Option<u32>,
}

impl Platform {
    /// Starts the stand-in.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn start(addr: SocketAddr) -> io::Result<ServerHandle> {
        serve(addr, Arc::new(Self::default())).await
    }

    async fn dispatch(&self, req: Request<Bytes>) -> Response<Body> {
        let path = req.uri().path().to_string();
        let query = parse_query(&req);
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (req.method(), parts.as_slice()) {
            (&Method::POST, ["log", stream]) => self.append(stream, req.body()),
            (&Method::GET, ["log", stream]) => self.read(stream, &query).await,
            (&Method::GET, ["boxes"]) => self.list(),
            (&Method::GET, ["notices"]) => self.notices(&query).await,
            (&Method::POST, ["orders"]) => self.order(req.body()),
            (&Method::GET, ["orders"]) => self.orders(&query),
            (&Method::POST, ["weights", _]) => self.pull(),
            (&Method::POST, ["control", "boxes"]) => self.put_boxes(req.body()),
            (&Method::POST, ["control", "reclaim"]) => self.reclaim(req.body()),
            (&Method::POST, ["control", "settings"]) => self.settings(req.body()),
            (&Method::GET, ["control", "counts"]) => self.counts(),
            _ => text(StatusCode::NOT_FOUND, "no such path\n"),
        }
    }

    fn append(&self, stream: &str, body: &Bytes) -> Response<Body> {
        let Ok(data) = String::from_utf8(body.to_vec()) else {
            return text(StatusCode::BAD_REQUEST, "expected UTF-8\n");
        };
        let offset = self.log.lock().append(stream, data);
        self.changed.notify_waiters();
        json(StatusCode::OK, &value!({ "offset": offset }))
    }

    async fn read(&self, stream: &str, query: &BTreeMap<String, u64>) -> Response<Body> {
        let from = query.get("from").copied().unwrap_or(0);
        let max = query
            .get("max")
            .map_or(MAX_PAGE, |n| *n as usize)
            .min(MAX_PAGE);
        let ready = || {
            let page = self.log.lock().read(stream, from, max);
            (!page.records.is_empty()).then_some(page)
        };
        let page = self.wait_for(query, ready).await;
        let page = page.unwrap_or_else(|| self.log.lock().read(stream, from, max));
        json(StatusCode::OK, &page)
    }

    async fn notices(&self, query: &BTreeMap<String, u64>) -> Response<Body> {
        let from = query.get("from").copied().unwrap_or(0) as usize;
        let ready = || {
            let cloud_state = self.cloud_state.lock();
            let new_notices: Vec<Notice> = cloud_state.notices.iter().skip(from).cloned().collect();
            (!new_notices.is_empty()).then_some(new_notices)
        };
        let new_notices = self.wait_for(query, ready).await.unwrap_or_default();
        json(StatusCode::OK, &value!({ "notices": new_notices }))
    }

    /// Polls `ready` on each change until it returns a value, for at most `wait_ms` of the
    /// query. Returns `None` after that, or while the platform is down.
    async fn wait_for<T>(
        &self,
        query: &BTreeMap<String, u64>,
        ready: impl Fn() -> Option<T>,
    ) -> Option<T> {
        let wait_ms = query.get("wait_ms").copied().unwrap_or(0).min(MAX_WAIT_MS);
        let end = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let changed = self.changed.notified();
            if let Some(t) = ready() {
                return Some(t);
            }
            if self.faults.is_down() || tokio::time::timeout_at(end, changed).await.is_err() {
                return None;
            }
        }
    }

    fn list(&self) -> Response<Body> {
        json(
            StatusCode::OK,
            &value!({ "boxes": self.cloud_state.lock().list() }),
        )
    }

    fn order(&self, body: &Bytes) -> Response<Body> {
        let Ok(order) = serde_json::from_slice::<BoxOrder>(body) else {
            return text(StatusCode::BAD_REQUEST, "expected an order\n");
        };
        let mut cloud_state = self.cloud_state.lock();
        let known = |o: &BoxOrder| o.client_token == order.client_token;
        if cloud_state.orders.iter().any(known) {
            return json(StatusCode::OK, &value!({ "taken": true }));
        }
        let fence = cloud_state
            .fences
            .entry(order.failure_domain.clone())
            .or_default();
        if order.fence < *fence {
            return text(StatusCode::CONFLICT, "an older fencing token\n");
        }
        *fence = order.fence;
        if cloud_state.refused_classes.contains(&order.class) {
            return text(StatusCode::SERVICE_UNAVAILABLE, "no capacity\n");
        }
        cloud_state.orders.push(order);
        json(StatusCode::OK, &value!({ "taken": true }))
    }

    fn orders(&self, query: &BTreeMap<String, u64>) -> Response<Body> {
        let from = query.get("from").copied().unwrap_or(0) as usize;
        let cloud_state = self.cloud_state.lock();
        let orders: Vec<&BoxOrder> = cloud_state.orders.iter().skip(from).collect();
        json(StatusCode::OK, &value!({ "orders": orders }))
    }

    fn pull(&self) -> Response<Body> {
        let mut weights = self.weights.lock();
        let now = Instant::now();
        weights.pulls.retain(|t| now - *t < Duration::from_secs(60));
        if weights.pulls.len() >= weights.per_minute as usize {
            return text(StatusCode::TOO_MANY_REQUESTS, "pull later\n");
        }
        weights.pulls.push(now);
        text(StatusCode::OK, "ok\n")
    }

    fn put_boxes(&self, body: &Bytes) -> Response<Body> {
        match serde_json::from_slice::<Vec<ListedBox>>(body) {
            Ok(boxes) => {
                let mut cloud_state = self.cloud_state.lock();
                boxes.into_iter().for_each(|b| cloud_state.put(b));
                text(StatusCode::OK, "ok\n")
            }
            Err(e) => text(StatusCode::BAD_REQUEST, &e.to_string()),
        }
    }

    fn reclaim(&self, body: &Bytes) -> Response<Body> {
        match serde_json::from_slice::<ReclaimOrder>(body) {
            Ok(order) => {
                self.cloud_state
                    .lock()
                    .reclaim(&order.boxes, order.notice_ms);
                self.changed.notify_waiters();
                text(StatusCode::OK, "ok\n")
            }
            Err(e) => text(StatusCode::BAD_REQUEST, &e.to_string()),
        }
    }

    fn settings(&self, body: &Bytes) -> Response<Body> {
        let order = match serde_json::from_slice::<SettingsOrder>(body) {
            Ok(order) => order,
            Err(e) => return text(StatusCode::BAD_REQUEST, &e.to_string()),
        };
        let mut cloud_state = self.cloud_state.lock();
        if let Some(ms) = order.list_lag_ms {
            cloud_state.list_lag_ms = ms;
        }
        if let Some(classes) = order.refused_classes {
            cloud_state.refused_classes = classes;
        }
        if let Some(mute) = order.mute_notices {
            cloud_state.mute_notices = mute;
        }
        if let Some(keep) = order.keep_records {
            self.log.lock().keep = keep;
        }
        if let Some(n) = order.pulls_per_minute {
            self.weights.lock().per_minute = n;
        }
        text(StatusCode::OK, "ok\n")
    }

    fn counts(&self) -> Response<Body> {
        let appends = self.log.lock().appends;
        let orders = self.cloud_state.lock().orders.len();
        json(
            StatusCode::OK,
            &value!({ "appends": appends, "orders": orders }),
        )
    }
}

impl Handler for Platform {
    fn handle(self: Arc<Self>, req: Request<Bytes>) -> ResponseFuture {
        Box::pin(async move { self.dispatch(req).await })
    }

    fn faults(&self) -> &Faults {
        &self.faults
    }
}

/// Returns the numeric parameters of a query.
fn parse_query(req: &Request<Bytes>) -> BTreeMap<String, u64> {
    req.uri()
        .query()
        .unwrap_or("")
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .filter_map(|(k, v)| Some((k.to_string(), v.parse().ok()?)))
        .collect()
}
