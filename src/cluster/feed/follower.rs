use {
    super::{FeedForms, messages::*, state_source::StateSource},
    crate::{
        gateway::Gateway,
        http::{HttpClient, HttpError},
        policy::SourceTries,
        rollouts::Rollout,
        routing::RoutingConfig,
        upstreams::{DirectoryChanges, DirectoryCursor, DirectoryUpdate},
    },
    bytes::Bytes,
    http::StatusCode,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// How long an answer may take, beside the time that it is held.
const FEED_TIMEOUT: Duration = Duration::from_millis(500);
/// How often a daemon without others to ask looks for some.
const PAUSE: Duration = Duration::from_millis(300);
/// How often one that has just started does.
const START_PAUSE: Duration = Duration::from_millis(10);
const FAILURE_PAUSE: Duration = Duration::from_millis(50);
/// After how many failures in a row the pause no longer grows.
const MAX_PAUSES: usize = 6;

/// Follows other daemons: those of the domain that read the source, unless this
/// one does; and any that knows more.
pub async fn follow_daemons(gateway: Arc<Gateway>) {
    let mut follower = Follower {
        client: HttpClient::default(),
        known: None,
        forms: FeedForms::default(),
        tries: SourceTries::default(),
        gateway,
    };
    loop {
        follower.turn().await;
    }
}

/// What was told last, and by whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Known {
    daemon: SocketAddr,
    incarnation: u64,
    cursor: DirectoryCursor,
    /// Whether it tells changes without words that only say that an upstream lives.
    sends_updates: bool,
}

/// News of either kind.
#[derive(Debug)]
struct Heard {
    incarnation: u64,
    source_age_ms: Option<u64>,
    config_version: u64,
    config: Option<RoutingConfig>,
    config_position: Option<u64>,
    rollouts: Vec<Rollout>,
    directory: ReceivedDirectory,
}

#[derive(Debug)]
enum ReceivedDirectory {
    Changes(DirectoryChanges),
    Updates(DirectoryUpdate),
}

impl ReceivedDirectory {
    fn cursor(&self) -> DirectoryCursor {
        match self {
            Self::Changes(changes) => changes.cursor,
            Self::Updates(news) => news.cursor,
        }
    }
}

impl From<FeedReply> for Heard {
    fn from(news: FeedReply) -> Self {
        Self {
            incarnation: news.incarnation,
            source_age_ms: news.source_age_ms,
            config_version: news.config_version,
            config: news.config,
            config_position: news.config_position,
            rollouts: news.rollouts,
            directory: ReceivedDirectory::Changes(news.changes),
        }
    }
}

impl TryFrom<FeedUpdate> for Heard {
    type Error = FeedError;

    fn try_from(update: FeedUpdate) -> Result<Self, FeedError> {
        Ok(Self {
            directory: ReceivedDirectory::Updates(update.directory()?),
            incarnation: update.incarnation,
            source_age_ms: update.source_age_ms,
            config_version: update.config_version,
            config: update.config,
            config_position: update.config_position,
            rollouts: update.rollouts,
        })
    }
}

struct Follower {
    gateway: Arc<Gateway>,
    client: HttpClient,
    known: Option<Known>,
    forms: FeedForms,
    tries: SourceTries,
}

impl Follower {
    async fn turn(&mut self) {
        let current = self.known.map(|known| known.daemon);
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
        match self.query(daemon).await {
            Ok(heard) => {
                let stale_ms = self.gateway.read_schedule.stale_ms();
                let is_stale = heard.source_age_ms.is_none_or(|age| age > stale_ms);
                self.take_in(daemon, heard);
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

    async fn query(&mut self, daemon: SocketAddr) -> Result<Heard, FeedError> {
        let level = self.gateway.peers.lock().level_at(daemon);
        if !self.forms.supports_updates(daemon, level) {
            return self.query_by_offsets(daemon).await;
        }
        match self.query_updates(daemon).await {
            Err(e) if lacks_path(&e) => {
                self.forms.record_refused(daemon);
                self.query_by_offsets(daemon).await
            }
            heard => heard,
        }
    }

    async fn query_updates(&self, daemon: SocketAddr) -> Result<Heard, FeedError> {
        let answer = self.post(daemon, UPDATE_PATH, true).await?;
        decode::<FeedUpdate>(&answer)?.try_into()
    }

    async fn query_by_offsets(&self, daemon: SocketAddr) -> Result<Heard, FeedError> {
        let answer = self.post(daemon, NEWS_PATH, false).await?;
        Ok(decode::<FeedReply>(&answer)?.into())
    }

    async fn post(
        &self,
        daemon: SocketAddr,
        path: &str,
        sends_updates: bool,
    ) -> Result<Bytes, FeedError> {
        let is_same = |k: &Known| k.daemon == daemon && k.sends_updates == sends_updates;
        let known = self.known.filter(is_same);
        let (incarnation, cursor) =
            known.map_or_else(Default::default, |k| (k.incarnation, k.cursor));
        let newest_config = *self.gateway.newest_config.borrow();
        let query = FeedQuery {
            incarnation,
            cursor,
            config_version: newest_config.max(self.gateway.config_version()),
            // One that can't be reached is asked again soon, one that is stale, too.
            wait_ms: if self.tries == SourceTries::default() {
                MAX_WAIT_MS
            } else {
                0
            },
        };
        let timeout = FEED_TIMEOUT + Duration::from_millis(query.wait_ms);
        let body = encode(&query)?;
        Ok(self.client.post(daemon, path, body, timeout).await?)
    }

    fn take_in(&mut self, daemon: SocketAddr, heard: Heard) {
        // The next changes count from these: all of them are taken in.
        self.known = Some(Known {
            daemon,
            incarnation: heard.incarnation,
            cursor: heard.directory.cursor(),
            sends_updates: matches!(heard.directory, ReceivedDirectory::Updates(_)),
        });
        if let Some(config) = heard.config {
            log::info!(target: "config", "told by a daemon. version={} peer={daemon}", config.version);
            self.gateway.apply_config(config);
            self.gateway.record_config_position(heard.config_position);
        }
        // What was told just now isn't asked for.
        let version = heard.config_version;
        self.gateway.peers.lock().apply_peer_config(daemon, version);
        self.gateway.record_newest_config(version);
        self.gateway.apply_rollouts(&heard.rollouts);
        self.gateway
            .change_directory(|directory, _| match heard.directory {
                ReceivedDirectory::Changes(changes) => directory.apply(changes),
                ReceivedDirectory::Updates(news) => directory.apply_update(news),
            });
        if let Some(age_ms) = heard.source_age_ms {
            self.gateway.record_relayed(age_ms);
        }
        self.gateway.check_ready();
    }
}

/// Returns whether a daemon said that there is no such path.
fn lacks_path(e: &FeedError) -> bool {
    matches!(e, FeedError::Http(HttpError::Status(status)) if *status == StatusCode::NOT_FOUND)
}
