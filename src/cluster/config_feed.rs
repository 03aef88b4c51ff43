use {
    super::{FeedError, MAX_ASK_BYTES, decode, encode},
    crate::{
        gateway::{AnswerBody, Gateway, own_answer, pieces_body},
        http::HttpClient,
        policy::ConfigLack,
        routing::{RoutingConfig, pack_config, unpack_config},
    },
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    http_body_util::{BodyExt, Limited},
    hyper::body::Incoming,
    parking_lot::Mutex,
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration},
    tokio::sync::{OwnedSemaphorePermit, Semaphore},
};

/// Where daemons ask each other for the whole configuration; the number rises
/// when the messages change.
pub const CONFIG_PATH: &str = "/cluster/config/1";
/// How many daemons one tells the whole configuration at a time. Its link also
/// carries its clients' answers, and those that have been told tell others; two,
/// so that one that hangs doesn't stop the telling.
const MAX_TOLD_AT_ONCE: usize = 2;
/// How many of those told last are named to one that has to wait.
const MAX_NAMED: usize = 16;
/// How long the head of an answer may take, and how long it may be silent.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// The least time between two questions, in milliseconds; up to twice that is
/// drawn, so that daemons don't ask in step.
const ASK_AGAIN_MS: u64 = 40;

/// A daemon's question for a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigAsk {
    /// The version that it has; only a later one is wanted.
    pub version: u64,
    /// Where it listens for other daemons.
    pub address: SocketAddr,
}

/// What a daemon answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ConfigAnswer {
    /// It has no later one.
    NoLater,
    /// It tells others first: those named have the version, or will soon.
    Busy {
        /// The version that it has.
        version: u64,
        /// Whom it told last.
        told: Vec<SocketAddr>,
    },
    /// The configuration in force there.
    Config {
        /// The configuration, packed.
        packed: Bytes,
        /// The place in the source from which on later ones stand, if known.
        position: Option<u64>,
    },
}

/// Tells other daemons the configuration, a few at a time.
#[derive(Debug)]
pub struct ConfigTeller {
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

impl ConfigTeller {
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
            return own_answer(StatusCode::BAD_REQUEST, "expected a short question");
        };
        let answer = match decode::<ConfigAsk>(&body.to_bytes()) {
            Ok(ask) => self.answer_ask(ask),
            Err(e) => return own_answer(StatusCode::BAD_REQUEST, &e.to_string()),
        };
        answer.unwrap_or_else(|e| {
            log::warn!(target: "peers", "configuration not told. error=\"{e}\"");
            own_answer(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string())
        })
    }

    fn answer_ask(&self, ask: ConfigAsk) -> Result<Response<AnswerBody>, FeedError> {
        // Read before the configuration: a place that is too early only has a
        // version read once more, one that is too late would hide a version.
        let position = *self.gateway.config_position.lock();
        let Some(table) = self.gateway.table().filter(|t| t.version() > ask.version) else {
            return self.short(&ConfigAnswer::NoLater);
        };
        let Ok(permit) = self.permits.clone().try_acquire_owned() else {
            let version = table.version();
            let told = self.state.lock().to.iter().copied().collect();
            return self.short(&ConfigAnswer::Busy { version, told });
        };
        let packed = self.packed(table.config(), ask.address)?;
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
        Ok(Response::new(pieces_body(encode(answer)?, permit)))
    }
}

/// Gets newer configurations from daemons that have them, and decides when the
/// source is to be read instead. It is a task of its own: news of upstreams
/// don't wait behind a large configuration.
pub async fn follow_config_of_daemons(gateway: Arc<Gateway>) {
    let client = HttpClient::default();
    loop {
        gateway.until_lacking_config().await;
        let mut lack = ConfigLack::new(gateway.steady_ms());
        while gateway.lacks_config() {
            let reads_source = *gateway.reads_source.borrow();
            if lack.asks_daemons(reads_source, gateway.steady_ms()) {
                ask_one(&gateway, &client, &mut lack).await;
            }
            gateway.set_reads_config(lack.needs_source(gateway.steady_ms()));
            if gateway.lacks_config() {
                let drawn_ms = gateway.draw() % ASK_AGAIN_MS;
                tokio::time::sleep(Duration::from_millis(ASK_AGAIN_MS + drawn_ms)).await;
            }
        }
        gateway.set_reads_config(false);
    }
}

async fn ask_one(gateway: &Gateway, client: &HttpClient, lack: &mut ConfigLack) {
    let Some(peer) = drawn_holder(gateway) else {
        return;
    };
    match ask(gateway, client, peer).await {
        Ok(ConfigAnswer::NoLater) => {}
        Ok(ConfigAnswer::Busy { version, told }) => {
            lack.note_deferred(gateway.steady_ms());
            let mut peers = gateway.peers.lock();
            for holder in told {
                peers.hear_config(holder, version);
            }
        }
        Ok(ConfigAnswer::Config { packed, position }) => {
            take_in_packed(gateway, peer, &packed, position);
        }
        Err(e) => log::info!(target: "peers", "no configuration. peer={peer} error=\"{e}\""),
    }
}

/// Draws one of the daemons that have the newest configuration: if all asked
/// the same one, its link would be the measure for all of them.
fn drawn_holder(gateway: &Gateway) -> Option<SocketAddr> {
    let draw = gateway.draw() as usize;
    let holders = gateway
        .peers
        .lock()
        .config_holders(gateway.zone().as_str(), gateway.config_version());
    let index = draw.checked_rem(holders.len())?;
    holders.get(index).copied()
}

async fn ask(
    gateway: &Gateway,
    client: &HttpClient,
    peer: SocketAddr,
) -> Result<ConfigAnswer, FeedError> {
    let body = encode(&ConfigAsk {
        version: gateway.config_version(),
        address: gateway.settings.listen.peers,
    })?;
    let answer = client.post(peer, CONFIG_PATH, body, ANSWER_TIMEOUT).await?;
    decode(&answer)
}

fn take_in_packed(gateway: &Gateway, peer: SocketAddr, packed: &[u8], position: Option<u64>) {
    match unpack_config(packed) {
        Ok(config) => {
            log::info!(
                target: "config",
                "told by a daemon. version={} bytes={} peer={peer}",
                config.version,
                packed.len()
            );
            gateway.apply_config(config);
            gateway.note_config_position(position);
            gateway.check_ready();
        }
        Err(e) => {
            log::warn!(target: "peers", "configuration not understood. peer={peer} error=\"{e}\"")
        }
    }
}
