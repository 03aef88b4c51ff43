use {
    crate::{
        cluster::{ConfigAnswer, ConfigQuery, FeedError, MAX_ASK_BYTES, decode, encode},
        gateway::{AnswerBody, Gateway, chunked_body, local_response},
        routing::{RoutingConfig, pack_config},
    },
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    http_body_util::{BodyExt, Limited},
    hyper::body::Incoming,
    parking_lot::Mutex,
    std::{collections::VecDeque, net::SocketAddr, sync::Arc},
    tokio::sync::{OwnedSemaphorePermit, Semaphore},
};

/// How many daemons one tells the whole configuration at a time. Its link also
/// carries its clients' answers, and those that have been told tell others; two,
/// so that one that hangs doesn't stop the telling.
const MAX_TOLD_AT_ONCE: usize = 2;
/// How many of those told last are named to one that has to wait: four rounds
/// of telling.
const MAX_NAMED: usize = 16;

/// Serves the configuration to other daemons, a few at a time.
#[derive(Debug)]
pub struct ConfigServer {
    gateway: Arc<Gateway>,
    permits: Arc<Semaphore>,
    state: Mutex<Told>,
}

/// What a teller has told.
#[derive(Debug, Default)]
struct Told {
    version: u64,
    packed: Bytes,
    to: VecDeque<SocketAddr>,
}

impl ConfigServer {
    /// Makes a teller of what is in force.
    pub fn new(gateway: Arc<Gateway>) -> Self {
        Self {
            gateway,
            permits: Arc::new(Semaphore::new(MAX_TOLD_AT_ONCE)),
            state: Mutex::default(),
        }
    }

    /// Answers a question for the configuration, at once.
    pub async fn answer(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let Ok(body) = Limited::new(request.into_body(), MAX_ASK_BYTES)
            .collect()
            .await
        else {
            return local_response(StatusCode::BAD_REQUEST, "expected a short question");
        };
        let answer = match decode::<ConfigQuery>(&body.to_bytes()) {
            Ok(query) => self.answer_query(query),
            Err(e) => return local_response(StatusCode::BAD_REQUEST, &e.to_string()),
        };
        answer.unwrap_or_else(|e| {
            log::warn!(target: "peers", "configuration not told. error=\"{e}\"");
            local_response(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string())
        })
    }

    fn answer_query(&self, query: ConfigQuery) -> Result<Response<AnswerBody>, FeedError> {
        // Read before the configuration: a place that is too early only has a
        // version read once more, one that is too late would hide a version.
        let position = *self.gateway.config_position.lock();
        let Some(table) = self.gateway.table().filter(|t| t.version() > query.version) else {
            return self.short(&ConfigAnswer::NoLater);
        };
        let Ok(permit) = self.permits.clone().try_acquire_owned() else {
            let version = table.version();
            let told = self.state.lock().to.iter().copied().collect();
            return self.short(&ConfigAnswer::Busy { version, told });
        };
        let packed = self.packed(table.config(), query.address)?;
        self.reply(&ConfigAnswer::Config { packed, position }, Some(permit))
    }

    /// Packs the configuration, once a version, and notes who is told.
    fn packed(&self, config: &RoutingConfig, to: SocketAddr) -> Result<Bytes, FeedError> {
        let mut state = self.state.lock();
        if state.version != config.version {
            *state = Told {
                version: config.version,
                packed: pack_config(config)?,
                to: VecDeque::new(),
            };
        }
        state.to.push_back(to);
        if state.to.len() > MAX_NAMED {
            state.to.pop_front();
        }
        Ok(state.packed.clone())
    }

    fn short(&self, answer: &ConfigAnswer) -> Result<Response<AnswerBody>, FeedError> {
        self.reply(answer, None)
    }

    fn reply(
        &self,
        answer: &ConfigAnswer,
        permit: Option<OwnedSemaphorePermit>,
    ) -> Result<Response<AnswerBody>, FeedError> {
        Ok(Response::new(chunked_body(encode(answer)?, permit)))
    }
}
