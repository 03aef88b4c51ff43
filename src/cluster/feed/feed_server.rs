use {
    super::{PackedUpdates, messages::*},
    crate::{
        cluster::{
            CONFIG_PATH, ConfigServer, ControlKind, ERA_CONFIG_PATH, FURTHER_DAEMONS_PATH,
            REACH_PATH, answer_further_daemons, answer_reach_query, is_relayed, relay,
        },
        gateway::{AnswerBody, Gateway, full_body, local_response, serve_local},
        names::SourceEra,
        routing::RoutingConfig,
        upstreams::DirectoryCursor,
    },
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    http_body_util::{BodyExt, Limited},
    hyper::body::Incoming,
    parking_lot::Mutex,
    serde::Serialize,
    std::{sync::Arc, time::Duration},
    tokio::net::TcpListener,
};

/// Maximum size of a configuration that is sent within the feed, in routes and client
/// accounts together. Larger ones are read from the shared source by each daemon, or
/// queried separately.
const MAX_FEED_CONFIG: usize = 100;

/// Serves the feed and the configuration to other daemons.
pub async fn serve_feed(listener: TcpListener, gateway: Arc<Gateway>) {
    let configs = Arc::new(ConfigServer::new(gateway.clone()));
    let feed = Arc::new(FeedServer {
        gateway,
        packed: Mutex::default(),
    });
    serve_local(listener, move |request| {
        let (configs, feed) = (configs.clone(), feed.clone());
        async move {
            match request.uri().path() {
                _ if is_relayed(&request) => relay(feed.gateway.clone(), request).await,
                FURTHER_DAEMONS_PATH => answer_further_daemons(&feed.gateway),
                REACH_PATH => answer_reach_query(feed.gateway.clone(), request).await,
                ERA_PATH => feed.answer(request, FeedServer::era_update_for).await,
                UPDATE_PATH => feed.answer(request, FeedServer::update_for).await,
                OFFSETS_PATH => feed.answer(request, FeedServer::reply_to).await,
                ERA_CONFIG_PATH => configs.answer(request, true).await,
                CONFIG_PATH => configs.answer(request, false).await,
                _ => local_response(StatusCode::NOT_FOUND, "no such path"),
            }
        }
    })
    .await;
}

/// Serves changes to other daemons. A packed update is cached for followers at the same
/// revision. Without this, packing took more time than all other work while many upstreams
/// came or left at once.
#[derive(Debug)]
struct FeedServer {
    gateway: Arc<Gateway>,
    packed: Mutex<PackedUpdates>,
}

impl FeedServer {
    async fn answer<T: Serialize>(
        &self,
        request: Request<Incoming>,
        make_reply: impl Fn(&Self, FeedQuery) -> Result<T, FeedError>,
    ) -> Response<AnswerBody> {
        let Ok(body) = Limited::new(request.into_body(), MAX_QUERY_BYTES)
            .collect()
            .await
        else {
            return local_response(StatusCode::BAD_REQUEST, "expected a short question");
        };
        let query = match decode::<FeedQuery>(&body.to_bytes()) {
            Ok(query) => query,
            Err(e) => return local_response(StatusCode::BAD_REQUEST, &e.to_string()),
        };
        self.wait_for_changes(query).await;
        match make_reply(self, query).and_then(|reply| encode(&reply)) {
            Ok(bytes) => {
                self.gateway
                    .control
                    .record(ControlKind::Updates, bytes.len());
                Response::new(full_body(bytes))
            }
            Err(e) => {
                log::warn!(target: "peers", "feed reply could not be sent. error=\"{e}\"");
                local_response(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string())
            }
        }
    }

    /// Waits until this daemon has changes for the querying one, or until the wait time of
    /// the query has passed.
    async fn wait_for_changes(&self, query: FeedQuery) {
        let gateway = &self.gateway;
        let mut changes = gateway.changes.subscribe();
        let has_changes = |_: &u64| {
            let same_incarnation = query.incarnation == gateway.incarnation;
            let same_directory =
                same_incarnation && query.cursor.revision == gateway.directory.read().revision();
            let version = gateway.config_version();
            !same_directory || version > query.config_version
        };
        let wait = Duration::from_millis(query.wait_ms.min(MAX_WAIT_MS));
        // An expired wait is no error: the query is then answered without changes.
        let _ = tokio::time::timeout(wait, changes.wait_for(has_changes)).await;
    }

    /// Returns the cursor of the query, if it belongs to this incarnation's directory.
    fn valid_cursor(&self, query: FeedQuery) -> Option<DirectoryCursor> {
        (query.incarnation == self.gateway.incarnation).then_some(query.cursor)
    }

    /// Returns the version of the configuration in force, and the configuration itself if it
    /// is newer than the version in the query, and small.
    fn config_for(&self, query: FeedQuery) -> (u64, Option<RoutingConfig>) {
        let table = self.gateway.table();
        let version = table.as_ref().map_or(0, |t| t.version());
        let newer = table.filter(|t| t.version() > query.config_version);
        let newer = newer.filter(|t| t.config().size() <= MAX_FEED_CONFIG);
        (version, newer.map(|t| t.config().as_ref().clone()))
    }

    fn update_for(&self, query: FeedQuery) -> Result<FeedUpdate, FeedError> {
        Ok(self.era_update_for(query)?.update)
    }

    fn era_update_for(&self, query: FeedQuery) -> Result<EraFeedUpdate, FeedError> {
        let gateway = &self.gateway;
        // Read before the configuration: a position that is too early only causes a version
        // to be read again, but one that is too late would hide a version.
        let config_position = *gateway.config_position.lock();
        let (config_version, config) = self.config_for(query);
        let (era, cursor, is_complete, packed) = self.packed_since(self.valid_cursor(query))?;
        let update = FeedUpdate {
            incarnation: gateway.incarnation,
            source_age_ms: gateway.source_age_ms(),
            config_version,
            config,
            config_position: config_position.map(|position| position.offset),
            rollouts: gateway.announced_rollouts(),
            cursor,
            is_complete,
            packed,
        };
        Ok(EraFeedUpdate {
            era,
            unconfirmed_ids: gateway
                .directory
                .read()
                .unconfirmed_ids()
                .into_iter()
                .collect(),
            config_era: config_position.map_or(SourceEra::UNKNOWN, |position| position.era),
            update,
        })
    }

    /// Returns the era and the cursor of the directory, whether the update holds all of it, and
    /// the packed upstreams. `known` is the position that the follower has.
    fn packed_since(
        &self,
        known: Option<DirectoryCursor>,
    ) -> Result<(SourceEra, DirectoryCursor, bool, Bytes), FeedError> {
        let (era, cursor, is_complete) = {
            let directory = self.gateway.directory.read();
            let is_complete = directory.sends_full(known);
            (directory.era(), directory.cursor(), is_complete)
        };
        let since = known.filter(|_| !is_complete).map(|k| k.revision);
        if let Some(packed) = self.packed.lock().get(cursor.revision, since) {
            return Ok((era, cursor, is_complete, packed));
        }
        let update = self.gateway.directory.read().update_since(known);
        let packed = pack_upstreams(&update.upstreams, &update.removed_ids)?;
        let since = known.filter(|_| !update.is_complete).map(|k| k.revision);
        let mut cache = self.packed.lock();
        cache.insert(update.cursor.revision, since, packed.clone());
        Ok((update.era, update.cursor, update.is_complete, packed))
    }

    fn reply_to(&self, query: FeedQuery) -> Result<FeedReply, FeedError> {
        let gateway = &self.gateway;
        let config_position = *gateway.config_position.lock();
        let (config_version, config) = self.config_for(query);
        Ok(FeedReply {
            incarnation: gateway.incarnation,
            source_age_ms: gateway.source_age_ms(),
            config_version,
            config,
            config_position: config_position.map(|position| position.offset),
            changes: gateway
                .directory
                .read()
                .changes_since(self.valid_cursor(query)),
            rollouts: gateway.announced_rollouts(),
        })
    }
}
