use {
    super::{FeedProtocol, FeedProtocols, messages::*, state_source::StateSource},
    crate::{
        gateway::Gateway,
        http::{HttpClient, HttpError},
        names::SourcePosition,
        policy::SourceTries,
        rollouts::Rollout,
        routing::RoutingConfig,
        upstreams::{DirectoryChanges, DirectoryCursor, DirectoryUpdate},
    },
    bytes::Bytes,
    http::StatusCode,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Timeout of an answer, in addition to the time for which the query may be held.
const FEED_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which a daemon that has no other daemon to query looks for one.
const IDLE_PAUSE: Duration = Duration::from_millis(300);
/// The same interval while a daemon that has just started waits for its seeds.
const START_PAUSE: Duration = Duration::from_millis(10);
/// Pause after the first failure. It grows by as much with each further one in a row.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);
/// Number of failures in a row after which the pause no longer grows.
const MAX_PAUSE_FACTOR: usize = 6;

/// Follows other daemons: those of the failure domain that read the shared source, unless
/// this daemon reads it itself, and any daemon that has newer state.
pub async fn follow_daemons(gateway: Arc<Gateway>) {
    let mut follower = Follower {
        client: HttpClient::default(),
        followed: None,
        protocols: FeedProtocols::default(),
        tries: SourceTries::default(),
        gateway,
    };
    loop {
        follower.run_once().await;
    }
}

/// The state that was received last, and the daemon that sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Followed {
    daemon: SocketAddr,
    incarnation: u64,
    cursor: DirectoryCursor,
    /// The protocol in which the daemon answered.
    protocol: FeedProtocol,
}

/// An answer in any protocol.
#[derive(Debug)]
struct FeedAnswer {
    incarnation: u64,
    source_age_ms: Option<u64>,
    config_version: u64,
    config: Option<RoutingConfig>,
    /// `None` if the daemon does not name the era in which its position counts.
    config_position: Option<SourcePosition>,
    rollouts: Vec<Rollout>,
    protocol: FeedProtocol,
    directory: ReceivedDirectory,
}

#[derive(Debug)]
enum ReceivedDirectory {
    Changes(DirectoryChanges),
    Update(DirectoryUpdate),
}

impl ReceivedDirectory {
    fn cursor(&self) -> DirectoryCursor {
        match self {
            Self::Changes(changes) => changes.cursor,
            Self::Update(update) => update.cursor,
        }
    }
}

impl From<FeedReply> for FeedAnswer {
    fn from(reply: FeedReply) -> Self {
        Self {
            incarnation: reply.incarnation,
            source_age_ms: reply.source_age_ms,
            config_version: reply.config_version,
            config: reply.config,
            config_position: None,
            rollouts: reply.rollouts,
            protocol: FeedProtocol::Offsets,
            directory: ReceivedDirectory::Changes(reply.changes),
        }
    }
}

impl TryFrom<FeedUpdate> for FeedAnswer {
    type Error = FeedError;

    fn try_from(update: FeedUpdate) -> Result<Self, FeedError> {
        Ok(Self {
            directory: ReceivedDirectory::Update(update.directory()?),
            incarnation: update.incarnation,
            source_age_ms: update.source_age_ms,
            config_version: update.config_version,
            config: update.config,
            config_position: None,
            rollouts: update.rollouts,
            protocol: FeedProtocol::Updates,
        })
    }
}

impl TryFrom<EraFeedUpdate> for FeedAnswer {
    type Error = FeedError;

    fn try_from(update: EraFeedUpdate) -> Result<Self, FeedError> {
        let era = update.config_era;
        let position = update.update.config_position;
        Ok(Self {
            directory: ReceivedDirectory::Update(update.directory()?),
            config_position: position.map(|offset| SourcePosition { era, offset }),
            protocol: FeedProtocol::Eras,
            ..update.update.try_into()?
        })
    }
}

struct Follower {
    gateway: Arc<Gateway>,
    client: HttpClient,
    followed: Option<Followed>,
    protocols: FeedProtocols,
    tries: SourceTries,
}

impl Follower {
    async fn run_once(&mut self) {
        let current = self.followed.map(|followed| followed.daemon);
        let source = StateSource::choose(&self.gateway, current, self.tries);
        self.gateway.set_reads_source(source.reads_shared_source());
        let Some(daemon) = source.daemon() else {
            self.tries = SourceTries::default();
            let pause = match source {
                StateSource::Unknown => START_PAUSE,
                _ => IDLE_PAUSE,
            };
            return tokio::time::sleep(pause).await;
        };
        match self.query(daemon).await {
            Ok(answer) => {
                let stale_ms = self.gateway.read_schedule.stale_ms();
                let is_stale = answer.source_age_ms.is_none_or(|age| age > stale_ms);
                let is_of_former_era = !self.apply_answer(daemon, answer);
                match is_stale || is_of_former_era {
                    false => self.tries = SourceTries::default(),
                    true => {
                        self.tries.stale += 1;
                        self.pause_after_failure().await;
                    }
                }
            }
            Err(e) => {
                log::info!(target: "peers", "feed query failed. peer={daemon} error=\"{e}\"");
                self.tries.unreachable += 1;
                self.pause_after_failure().await;
            }
        }
    }

    async fn pause_after_failure(&mut self) {
        let failed = self.tries.unreachable + self.tries.stale;
        tokio::time::sleep(FAILURE_PAUSE * failed.min(MAX_PAUSE_FACTOR) as u32).await;
    }

    async fn query(&mut self, daemon: SocketAddr) -> Result<FeedAnswer, FeedError> {
        let level = self.gateway.peers.lock().level_at(daemon);
        let mut protocol = self.protocols.latest_for(daemon, level);
        loop {
            let answer = self.query_in(protocol, daemon).await;
            let (Err(e), Some(earlier)) = (&answer, protocol.earlier()) else {
                return answer;
            };
            if !lacks_path(e) {
                return answer;
            }
            self.protocols.record_refused(daemon, protocol);
            protocol = earlier;
        }
    }

    async fn query_in(
        &self,
        protocol: FeedProtocol,
        daemon: SocketAddr,
    ) -> Result<FeedAnswer, FeedError> {
        match protocol {
            FeedProtocol::Eras => {
                let body = self.post(daemon, ERA_PATH, protocol).await?;
                decode::<EraFeedUpdate>(&body)?.try_into()
            }
            FeedProtocol::Updates => {
                let body = self.post(daemon, UPDATE_PATH, protocol).await?;
                decode::<FeedUpdate>(&body)?.try_into()
            }
            FeedProtocol::Offsets => {
                let body = self.post(daemon, OFFSETS_PATH, protocol).await?;
                Ok(decode::<FeedReply>(&body)?.into())
            }
        }
    }

    async fn post(
        &self,
        daemon: SocketAddr,
        path: &str,
        protocol: FeedProtocol,
    ) -> Result<Bytes, FeedError> {
        let is_same = |f: &Followed| f.daemon == daemon && f.protocol == protocol;
        let followed = self.followed.filter(is_same);
        let (incarnation, cursor) =
            followed.map_or_else(Default::default, |f| (f.incarnation, f.cursor));
        let newest_config = *self.gateway.newest_config.borrow();
        let query = FeedQuery {
            incarnation,
            cursor,
            config_version: newest_config.max(self.gateway.config_version()),
            // After a failure the query is not held, so that a daemon that was unreachable or
            // stale is queried again soon.
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

    /// Applies an answer. Returns false if the answering daemon does not know of the era of the
    /// source that is known here, so that its directory can't be followed.
    fn apply_answer(&mut self, daemon: SocketAddr, answer: FeedAnswer) -> bool {
        // The next query continues from this cursor, so all changes of this answer have to be
        // applied.
        self.followed = Some(Followed {
            daemon,
            incarnation: answer.incarnation,
            cursor: answer.directory.cursor(),
            protocol: answer.protocol,
        });
        if let Some(config) = answer.config {
            log::info!(target: "config", "configuration received from a daemon. version={} peer={daemon}", config.version);
            self.gateway.apply_config(config);
            self.gateway.record_config_position(answer.config_position);
        }
        // After the configuration was applied, so that the version just received is not
        // queried again.
        let version = answer.config_version;
        self.gateway.peers.lock().apply_peer_config(daemon, version);
        self.gateway.record_newest_config(version);
        self.gateway.apply_rollouts(&answer.rollouts);
        let mut is_applied = false;
        if let ReceivedDirectory::Update(update) = &answer.directory {
            self.gateway.record_source_era(update.era);
        }
        self.gateway.change_directory(|directory, lapsed_until_ms| {
            let until_ms = lapsed_until_ms.unwrap_or_default();
            is_applied = match answer.directory {
                ReceivedDirectory::Changes(changes) => directory.apply(changes),
                ReceivedDirectory::Update(update) => directory.apply_update(update, until_ms),
            };
        });
        if !is_applied {
            // The next query asks for the full directory.
            self.followed = None;
            log::info!(target: "peers", "the directory of a daemon is of another era of the source. peer={daemon}");
        } else if let Some(age_ms) = answer.source_age_ms {
            self.gateway.record_relayed(age_ms);
        }
        self.gateway.check_ready();
        is_applied
    }
}

/// Returns whether a daemon answered that it does not serve the path.
fn lacks_path(e: &FeedError) -> bool {
    matches!(e, FeedError::Http(HttpError::Status(status)) if *status == StatusCode::NOT_FOUND)
}
