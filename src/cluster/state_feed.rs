use {
    super::{CONFIG_PATH, ConfigTeller, StateSource},
    crate::{
        gateway::{AnswerBody, Gateway, own_answer, serve_plain, whole_body},
        http::{HttpClient, HttpError, MAX_WHOLE_BODY},
        policy::SourceTries,
        rollouts::Rollout,
        routing::{PackError, RoutingConfig},
        upstreams::{DirectoryChanges, ToldDirectory},
    },
    bytes::Bytes,
    displaydoc::Display,
    http::{Request, Response, StatusCode},
    http_body_util::{BodyExt, Limited},
    hyper::body::Incoming,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::net::TcpListener,
};

/// Where daemons ask for news; the number rises when the messages change, so that
/// daemons of other builds don't misread them.
const FEED_PATH: &str = "/cluster/feed/3";
/// How long a question for news is held at most, in milliseconds.
const MAX_WAIT_MS: u64 = 700;
/// How long an answer may take, beside the time that it is held.
const FEED_TIMEOUT: Duration = Duration::from_millis(500);
/// Larger configurations are read from the source by each daemon, or asked for
/// apart from the news. Routes and client accounts together.
const MAX_TOLD_CONFIG: usize = 100;
/// How much memory a message may claim when it is decoded, in bytes: as much as the
/// largest body that is read.
const MAX_DECODED_BYTES: usize = MAX_WHOLE_BODY;
/// How long a daemon's question may be.
pub const MAX_ASK_BYTES: usize = 1_024;
/// How often a daemon without others to ask looks for some.
const PAUSE: Duration = Duration::from_millis(300);
/// How often one that has just started does.
const START_PAUSE: Duration = Duration::from_millis(10);
const FAILURE_PAUSE: Duration = Duration::from_millis(50);
/// After how many failures in a row the pause no longer grows.
const MAX_PAUSES: usize = 6;

/// A daemon's question what has changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FeedAsk {
    /// The life of the daemon that told what is known.
    pub life: u64,
    /// What is known of its directory.
    pub told: ToldDirectory,
    /// The version of the configuration that is known of.
    pub config_version: u64,
    /// How long to wait for news, in milliseconds.
    pub wait_ms: u64,
}

/// What a daemon tells another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FeedNews {
    /// Which life of it.
    pub life: u64,
    /// How old the newest answer of its source is, in milliseconds.
    pub source_age_ms: Option<u64>,
    /// The version of the configuration in force there.
    pub config_version: u64,
    /// The configuration, if it is newer than the one that is known of, and
    /// small.
    pub config: Option<RoutingConfig>,
    /// The place in the source from which on later configurations stand, if
    /// known.
    pub config_position: Option<u64>,
    /// What has changed among the upstreams.
    pub changes: DirectoryChanges,
    /// The newest roll-out of each service.
    pub rollouts: Vec<Rollout>,
}

/// How a question for news failed.
#[derive(Debug, Display, thiserror::Error)]
pub enum FeedError {
    /// the call failed: {0}
    Http(#[from] HttpError),
    /// can't be encoded: {0}
    Encode(#[from] bincode::error::EncodeError),
    /// not understood: {0}
    Decode(#[from] bincode::error::DecodeError),
    /// a configuration that {0}
    Pack(#[from] PackError),
}

/// Tells other daemons what this one knows.
pub async fn serve_feed(listener: TcpListener, gateway: Arc<Gateway>) {
    let teller = Arc::new(ConfigTeller::new(gateway.clone()));
    serve_plain(listener, move |request| {
        let (gateway, teller) = (gateway.clone(), teller.clone());
        async move {
            match request.uri().path() {
                FEED_PATH => answer_news(&gateway, request).await,
                CONFIG_PATH => teller.answer(request).await,
                _ => own_answer(StatusCode::NOT_FOUND, "no such path"),
            }
        }
    })
    .await;
}

async fn answer_news(gateway: &Gateway, request: Request<Incoming>) -> Response<AnswerBody> {
    let Ok(body) = Limited::new(request.into_body(), MAX_ASK_BYTES)
        .collect()
        .await
    else {
        return own_answer(StatusCode::BAD_REQUEST, "expected a short question");
    };
    match decode::<FeedAsk>(&body.to_bytes()) {
        Ok(ask) => {
            wait_for_news(gateway, ask).await;
            encoded(&news_for(gateway, ask))
        }
        Err(e) => own_answer(StatusCode::BAD_REQUEST, &e.to_string()),
    }
}

async fn wait_for_news(gateway: &Gateway, ask: FeedAsk) {
    let mut news = gateway.news.subscribe();
    let is_new = |_: &u64| {
        let same_life = ask.life == gateway.incarnation;
        let same = same_life && ask.told.revision == gateway.directory.read().revision();
        let version = gateway.config_version();
        !same || version > ask.config_version
    };
    let wait = Duration::from_millis(ask.wait_ms.min(MAX_WAIT_MS));
    // No news in time is an answer, too.
    let _ = tokio::time::timeout(wait, news.wait_for(is_new)).await;
}

fn news_for(gateway: &Gateway, ask: FeedAsk) -> FeedNews {
    // Read before the configuration: it may be too early, but not too late.
    let config_position = *gateway.config_position.lock();
    let table = gateway.table();
    let config_version = table.as_ref().map_or(0, |t| t.version());
    let newer = table.filter(|t| t.version() > ask.config_version);
    let newer = newer.filter(|t| t.config().size() <= MAX_TOLD_CONFIG);
    let known = (ask.life == gateway.incarnation).then_some(ask.told);
    FeedNews {
        life: gateway.incarnation,
        source_age_ms: gateway.source_age_ms(),
        config_version,
        config: newer.map(|t| t.config().as_ref().clone()),
        config_position,
        changes: gateway.directory.read().changes_since(known),
        rollouts: gateway.told_rollouts(),
    }
}

fn encoded(news: &FeedNews) -> Response<AnswerBody> {
    match encode(news) {
        Ok(bytes) => Response::new(whole_body(bytes)),
        Err(e) => own_answer(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
    }
}

/// Encodes what daemons ask and tell each other.
///
/// # Errors
///
/// Returns what can't be encoded.
pub fn encode(message: &impl Serialize) -> Result<Bytes, FeedError> {
    let bytes = bincode::serde::encode_to_vec(message, bincode::config::standard())?;
    Ok(bytes.into())
}

/// Decodes what daemons ask and tell each other.
///
/// # Errors
///
/// Returns what is wrong with the bytes.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, FeedError> {
    // Bytes that claim to be longer than they are would end the process.
    let bounded = bincode::config::standard().with_limit::<MAX_DECODED_BYTES>();
    let (message, _) = bincode::serde::decode_from_slice(bytes, bounded)?;
    Ok(message)
}

/// Follows other daemons: those of the domain that read the source, unless this
/// one does; and any that knows more.
pub async fn follow_daemons(gateway: Arc<Gateway>) {
    let mut follower = Follower {
        client: HttpClient::default(),
        known: None,
        tries: SourceTries::default(),
        gateway,
    };
    loop {
        follower.turn().await;
    }
}

struct Follower {
    gateway: Arc<Gateway>,
    client: HttpClient,
    /// Whom the last news came from, its life and what it told of its directory.
    known: Option<(SocketAddr, u64, ToldDirectory)>,
    tries: SourceTries,
}

impl Follower {
    async fn turn(&mut self) {
        let current = self.known.map(|(address, ..)| address);
        let source = StateSource::choose(&self.gateway, current, self.tries);
        self.gateway.set_reads_source(source.reads_shared_source());
        let Some(daemon) = source.daemon() else {
            self.tries = SourceTries::default();
            let pause = match source {
                StateSource::Unknown => START_PAUSE,
                _ => PAUSE,
            };
            return tokio::time::sleep(pause).await;
        };
        match self.ask(daemon).await {
            Ok(news) => {
                let stale_ms = self.gateway.pace.stale_ms();
                let is_stale = news.source_age_ms.is_none_or(|age| age > stale_ms);
                self.take_in(daemon, news);
                match is_stale {
                    false => self.tries = SourceTries::default(),
                    true => {
                        self.tries.stale += 1;
                        self.pause_after_failure().await;
                    }
                }
            }
            Err(e) => {
                log::info!(target: "peers", "no news. peer={daemon} error=\"{e}\"");
                self.tries.unreachable += 1;
                self.pause_after_failure().await;
            }
        }
    }

    async fn pause_after_failure(&mut self) {
        let failed = self.tries.unreachable + self.tries.stale;
        tokio::time::sleep(FAILURE_PAUSE * failed.min(MAX_PAUSES) as u32).await;
    }

    async fn ask(&self, daemon: SocketAddr) -> Result<FeedNews, FeedError> {
        let (life, told) = match self.known {
            Some((address, life, told)) if address == daemon => (life, told),
            _ => Default::default(),
        };
        let newest_config = *self.gateway.newest_config.borrow();
        let ask = FeedAsk {
            life,
            told,
            config_version: newest_config.max(self.gateway.config_version()),
            // One that can't be reached is asked again soon, one that is stale, too.
            wait_ms: if self.tries == SourceTries::default() {
                MAX_WAIT_MS
            } else {
                0
            },
        };
        let timeout = FEED_TIMEOUT + Duration::from_millis(ask.wait_ms);
        let body = encode(&ask)?;
        let answer = self.client.post(daemon, FEED_PATH, body, timeout).await?;
        decode(&answer)
    }

    fn take_in(&mut self, daemon: SocketAddr, news: FeedNews) {
        // The next changes count from these: all of them are taken in.
        self.known = Some((daemon, news.life, news.changes.told));
        if let Some(config) = news.config {
            log::info!(target: "config", "told by a daemon. version={} peer={daemon}", config.version);
            self.gateway.apply_config(config);
            self.gateway.note_config_position(news.config_position);
        }
        // What was told just now isn't asked for.
        let version = news.config_version;
        self.gateway.peers.lock().hear_config(daemon, version);
        self.gateway.note_newest_config(version);
        self.gateway.hear_rollouts(&news.rollouts);
        let changes = news.changes;
        self.gateway
            .change_directory(|directory, _| directory.apply(changes));
        if let Some(age_ms) = news.source_age_ms {
            self.gateway.note_relayed(age_ms);
        }
        self.gateway.check_ready();
    }
}
