use {
    super::*,
    crate::{http::*, policy::BoxFact},
    async_trait::async_trait,
    serde::Deserialize,
    std::{net::SocketAddr, time::Duration},
};

/// Limits a call to the platform, in addition to the wait that the call requests.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Calls the platform over HTTP.
#[derive(Clone, Debug)]
pub struct PlatformHttp {
    addr: SocketAddr,
    client: HttpClient,
}

#[derive(Deserialize)]
struct Appended {
    offset: u64,
}

#[derive(Deserialize)]
struct Boxes {
    boxes: Vec<BoxFact>,
}

#[derive(Deserialize)]
struct Notices {
    notices: Vec<ReclaimNotice>,
}

#[derive(Deserialize)]
struct Orders {
    orders: Vec<BoxOrder>,
}

impl PlatformHttp {
    /// Creates a client of the platform at an address.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            client: HttpClient::default(),
        }
    }

    async fn get<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        wait_ms: u64,
    ) -> Result<T, PlatformError> {
        let timeout = CALL_TIMEOUT + Duration::from_millis(wait_ms);
        Ok(self.client.get_json(self.addr, path, timeout).await?)
    }
}

#[async_trait]
impl PlatformLog for PlatformHttp {
    async fn append(&self, stream: &str, data: String) -> Result<u64, PlatformError> {
        let path = format!("/log/{stream}");
        let body = self
            .client
            .post(self.addr, &path, data, CALL_TIMEOUT)
            .await?;
        let appended: Appended = from_json(&body)?;
        Ok(appended.offset)
    }

    async fn read(&self, stream: &str, from: u64, wait_ms: u64) -> Result<LogPage, PlatformError> {
        let path = format!("/log/{stream}?from={from}&wait_ms={wait_ms}");
        self.get(&path, wait_ms).await
    }
}

#[async_trait]
impl BoxList for PlatformHttp {
    async fn list(&self) -> Result<Vec<BoxFact>, PlatformError> {
        let boxes: Boxes = self.get("/boxes", 0).await?;
        Ok(boxes.boxes)
    }
}

#[async_trait]
impl CloudApi for PlatformHttp {
    async fn notices(&self, from: u64, wait_ms: u64) -> Result<Vec<ReclaimNotice>, PlatformError> {
        let path = format!("/notices?from={from}&wait_ms={wait_ms}");
        let notices: Notices = self.get(&path, wait_ms).await?;
        Ok(notices.notices)
    }

    async fn order(&self, order: &BoxOrder) -> Result<(), PlatformError> {
        let body = serde_json::to_vec(order).unwrap_or_default();
        self.client
            .post(self.addr, "/orders", body, CALL_TIMEOUT)
            .await?;
        Ok(())
    }

    async fn orders(&self) -> Result<Vec<BoxOrder>, PlatformError> {
        let orders: Orders = self.get("/orders", 0).await?;
        Ok(orders.orders)
    }
}

#[async_trait]
impl WeightStore for PlatformHttp {
    async fn pull(&self, model: &str) -> Result<(), PlatformError> {
        let path = format!("/weights/{model}");
        self.client.post(self.addr, &path, "", CALL_TIMEOUT).await?;
        Ok(())
    }
}
