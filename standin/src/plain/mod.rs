//! Stand-in of a plain service, which counts executions by idempotency key.

use {
    crate::http::*,
    bytes::Bytes,
    hyper::{Request, Response, StatusCode},
    parking_lot::Mutex,
    serde_json::json as value,
    std::{collections::BTreeMap, io, net::SocketAddr, sync::Arc, time::Duration},
};

/// Settings of a plain service's stand-in.
#[derive(Clone, Debug)]
pub struct PlainConfig {
    /// Name of the service instance, included in answers.
    pub name: String,
    /// Duration of a call, in milliseconds.
    pub work_ms: u64,
    /// Refuses a call whose fencing token is older than one seen for the same key.
    pub checks_fence: bool,
}

/// A plain service's stand-in.
#[derive(Debug)]
pub struct Plain {
    cfg: PlainConfig,
    faults: Faults,
    executions: Mutex<BTreeMap<String, u64>>,
    fences: Mutex<BTreeMap<String, u64>>,
}

impl Plain {
    /// Starts the stand-in.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn start(addr: SocketAddr, cfg: PlainConfig) -> io::Result<ServerHandle> {
        let plain = Self {
            cfg,
            faults: Faults::default(),
            executions: Mutex::default(),
            fences: Mutex::default(),
        };
        serve(addr, Arc::new(plain)).await
    }

    async fn call(&self, req: Request<Bytes>) -> Response<Body> {
        if req.uri().path() == "/control/counts" {
            return json(StatusCode::OK, &*self.executions.lock());
        }
        let header = |name: &str| {
            let v = req.headers().get(name)?;
            v.to_str().ok().map(str::to_string)
        };
        let key = header("idempotency-key").unwrap_or_default();
        let fence = header("fencing-token").and_then(|f| f.parse::<u64>().ok());
        if !self.accept_fence(&key, fence) {
            return not_started(StatusCode::CONFLICT);
        }
        *self.executions.lock().entry(key.clone()).or_default() += 1;
        tokio::time::sleep(Duration::from_millis(self.cfg.work_ms)).await;
        let body = String::from_utf8_lossy(req.body()).into_owned();
        let answer = value!({
            "by": self.cfg.name,
            "path": req.uri().path(),
            "key": key,
            "echo": body,
        });
        json(StatusCode::OK, &answer)
    }

    /// Records the fencing token of a key. Returns false if it is outdated and fencing
    /// tokens are checked.
    fn accept_fence(&self, key: &str, fence: Option<u64>) -> bool {
        let Some(fence) = fence.filter(|_| self.cfg.checks_fence) else {
            return true;
        };
        let mut fences = self.fences.lock();
        let seen = fences.entry(key.to_string()).or_default();
        if fence < *seen {
            return false;
        }
        *seen = fence;
        true
    }
}

impl Handler for Plain {
    fn handle(self: Arc<Self>, req: Request<Bytes>) -> ResponseFuture {
        Box::pin(async move {
            // As in a real service, a call completes even if its caller disconnects.
            let task = tokio::spawn(async move { self.call(req).await });
            task.await
                .unwrap_or_else(|_| text(StatusCode::INTERNAL_SERVER_ERROR, "panicked\n"))
        })
    }

    fn faults(&self) -> &Faults {
        &self.faults
    }
}
