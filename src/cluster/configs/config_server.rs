use {
    crate::{
        cluster::{
            ConfigAnswer, ConfigQuery, EraConfigAnswer, FeedError, MAX_QUERY_BYTES, decode, encode,
        },
        gateway::{AnswerBody, Gateway, chunked_body, local_response},
        names::SourceEra,
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

/// Maximum number of daemons to which the full configuration is sent at the same time.
/// It is small because the link also carries the responses to clients, and because each
/// recipient serves the configuration in turn. Two instead of one, so that a transfer
/// that hangs does not stop the distribution.
const MAX_CONCURRENT_TRANSFERS: usize = 2;
/// Maximum number of recent recipients that a [`ConfigAnswer::Busy`] lists: those of
/// four rounds of distribution.
const MAX_LISTED_RECIPIENTS: usize = 16;

/// Serves the configuration in force to other daemons, a few at a time.
#[derive(Debug)]
pub struct ConfigServer {
    gateway: Arc<Gateway>,
    permits: Arc<Semaphore>,
    distribution: Mutex<Distribution>,
}

/// The version that is being distributed.
#[derive(Debug, Default)]
struct Distribution {
    version: u64,
    /// The configuration of this version, packed once for all recipients.
    packed: Bytes,
    /// The most recent recipients, oldest first.
    recipients: VecDeque<SocketAddr>,
}

impl ConfigServer {
    /// Creates a server of the configuration that is in force at `gateway`.
    pub fn new(gateway: Arc<Gateway>) -> Self {
        Self {
            gateway,
            permits: Arc::new(Semaphore::new(MAX_CONCURRENT_TRANSFERS)),
            distribution: Mutex::default(),
        }
    }

    /// Answers a [`ConfigQuery`] without waiting for a free transfer slot. The answer names the
    /// era of the source if `names_era` is true, which earlier builds don't understand.
    pub async fn answer(
        &self,
        request: Request<Incoming>,
        names_era: bool,
    ) -> Response<AnswerBody> {
        let Ok(body) = Limited::new(request.into_body(), MAX_QUERY_BYTES)
            .collect()
            .await
        else {
            return local_response(StatusCode::BAD_REQUEST, "expected a short question");
        };
        let answer = match decode::<ConfigQuery>(&body.to_bytes()) {
            Ok(query) => self.answer_query(query, names_era),
            Err(e) => return local_response(StatusCode::BAD_REQUEST, &e.to_string()),
        };
        answer.unwrap_or_else(|e| {
            log::warn!(target: "peers", "configuration not sent. error=\"{e}\"");
            local_response(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string())
        })
    }

    fn answer_query(
        &self,
        query: ConfigQuery,
        names_era: bool,
    ) -> Result<Response<AnswerBody>, FeedError> {
        // Read before the configuration: a position that is too early only causes a
        // version to be read again, but one that is too late would hide a version.
        let position = *self.gateway.config_position.lock();
        let era = position.map_or(SourceEra::UNKNOWN, |position| position.era);
        let era = names_era.then_some(era);
        let Some(table) = self.gateway.table().filter(|t| t.version() > query.version) else {
            return self.reply(era, ConfigAnswer::NoLater, None);
        };
        let Ok(permit) = self.permits.clone().try_acquire_owned() else {
            let version = table.version();
            let recipients = self
                .distribution
                .lock()
                .recipients
                .iter()
                .copied()
                .collect();
            let busy = ConfigAnswer::Busy {
                version,
                recipients,
            };
            return self.reply(era, busy, None);
        };
        let packed = self.packed(table.config(), query.address)?;
        let position = position.map(|position| position.offset);
        let config = ConfigAnswer::Config { packed, position };
        self.reply(era, config, Some(permit))
    }

    /// Packs the configuration, once per version, and records `to` as a recipient.
    fn packed(&self, config: &RoutingConfig, to: SocketAddr) -> Result<Bytes, FeedError> {
        let mut distribution = self.distribution.lock();
        if distribution.version != config.version {
            *distribution = Distribution {
                version: config.version,
                packed: pack_config(config)?,
                recipients: VecDeque::new(),
            };
        }
        distribution.recipients.push_back(to);
        if distribution.recipients.len() > MAX_LISTED_RECIPIENTS {
            distribution.recipients.pop_front();
        }
        Ok(distribution.packed.clone())
    }

    /// Replies with `answer`, and with `era` if the query asked for it. The permit is released
    /// once the body has been sent.
    fn reply(
        &self,
        era: Option<SourceEra>,
        answer: ConfigAnswer,
        permit: Option<OwnedSemaphorePermit>,
    ) -> Result<Response<AnswerBody>, FeedError> {
        let bytes = match era {
            Some(era) => encode(&EraConfigAnswer { era, answer })?,
            None => encode(&answer)?,
        };
        Ok(Response::new(chunked_body(bytes, permit)))
    }
}
