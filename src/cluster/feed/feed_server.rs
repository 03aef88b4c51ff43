use {
    super::{PackedUpdates, messages::*},
    crate::{
        cluster::{CONFIG_PATH, ConfigServer, ControlKind},
        gateway::{AnswerBody, Gateway, full_body, local_response, serve_plain},
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

/// Larger configurations are read from the source by each daemon, or asked for
/// apart from the news. Routes and client accounts together.
const MAX_TOLD_CONFIG: usize = 100;

/// Tells other daemons what this one knows.
pub async fn serve_feed(listener: TcpListener, gateway: Arc<Gateway>) {
    let configs = Arc::new(ConfigServer::new(gateway.clone()));
    let news = Arc::new(FeedServer {
        gateway,
        packed: Mutex::default(),
    });
    serve_plain(listener, move |request| {
        let (configs, news) = (configs.clone(), news.clone());
        async move {
            match request.uri().path() {
                UPDATE_PATH => news.answer(request, FeedServer::update_for).await,
                NEWS_PATH => news.answer(request, FeedServer::reply_to).await,
                CONFIG_PATH => configs.answer(request).await,
                _ => local_response(StatusCode::NOT_FOUND, "no such path"),
            }
        }
    })
    .await;
}

/// Tells other daemons news. What is packed for one of them is kept for those that know
/// the same: in a wave of upstreams that come or leave, packing would else take more time
/// than all other work.
#[derive(Debug)]
struct FeedServer {
    gateway: Arc<Gateway>,
    packed: Mutex<PackedUpdates>,
}

impl FeedServer {
    async fn answer<T: Serialize>(
        &self,
        request: Request<Incoming>,
        told: impl Fn(&Self, FeedQuery) -> Result<T, FeedError>,
    ) -> Response<AnswerBody> {
        let Ok(body) = Limited::new(request.into_body(), MAX_ASK_BYTES)
            .collect()
            .await
        else {
            return local_response(StatusCode::BAD_REQUEST, "expected a short question");
        };
        let query = match decode::<FeedQuery>(&body.to_bytes()) {
            Ok(query) => query,
            Err(e) => return local_response(StatusCode::BAD_REQUEST, &e.to_string()),
        };
        self.wait_for_news(query).await;
        match told(self, query).and_then(|told| encode(&told)) {
            Ok(bytes) => {
                self.gateway
                    .control
                    .record(ControlKind::Updates, bytes.len());
                Response::new(full_body(bytes))
            }
            Err(e) => {
                log::warn!(target: "peers", "news not told. error=\"{e}\"");
                local_response(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string())
            }
        }
    }

    async fn wait_for_news(&self, query: FeedQuery) {
        let gateway = &self.gateway;
        let mut news = gateway.news.subscribe();
        let is_new = |_: &u64| {
            let same_incarnation = query.incarnation == gateway.incarnation;
            let same =
                same_incarnation && query.cursor.revision == gateway.directory.read().revision();
            let version = gateway.config_version();
            !same || version > query.config_version
        };
        let wait = Duration::from_millis(query.wait_ms.min(MAX_WAIT_MS));
        // No news in time is an answer, too.
        let _ = tokio::time::timeout(wait, news.wait_for(is_new)).await;
    }

    /// Returns what the asker knows of this life's directory.
    fn known(&self, query: FeedQuery) -> Option<DirectoryCursor> {
        (query.incarnation == self.gateway.incarnation).then_some(query.cursor)
    }

    /// Returns the version of the configuration in force, and the configuration if it is
    /// news and small.
    fn config_for(&self, query: FeedQuery) -> (u64, Option<RoutingConfig>) {
        let table = self.gateway.table();
        let version = table.as_ref().map_or(0, |t| t.version());
        let newer = table.filter(|t| t.version() > query.config_version);
        let newer = newer.filter(|t| t.config().size() <= MAX_TOLD_CONFIG);
        (version, newer.map(|t| t.config().as_ref().clone()))
    }

    fn update_for(&self, query: FeedQuery) -> Result<FeedUpdate, FeedError> {
        let gateway = &self.gateway;
        // Read before the configuration: it may be too early, but not too late.
        let config_position = *gateway.config_position.lock();
        let (config_version, config) = self.config_for(query);
        let (cursor, is_complete, packed) = self.packed_since(self.known(query))?;
        Ok(FeedUpdate {
            incarnation: gateway.incarnation,
            source_age_ms: gateway.source_age_ms(),
            config_version,
            config,
            config_position,
            rollouts: gateway.announced_rollouts(),
            cursor,
            is_complete,
            packed,
        })
    }

    /// Returns the cursor of the directory, whether the update holds all of it, and the packed upstreams.
    fn packed_since(
        &self,
        known: Option<DirectoryCursor>,
    ) -> Result<(DirectoryCursor, bool, Bytes), FeedError> {
        let (cursor, is_complete) = {
            let directory = self.gateway.directory.read();
            (directory.cursor(), directory.sends_full(known))
        };
        let since = known.filter(|_| !is_complete).map(|k| k.revision);
        if let Some(packed) = self.packed.lock().get(cursor.revision, since) {
            return Ok((cursor, is_complete, packed));
        }
        let news = self.gateway.directory.read().update_since(known);
        let packed = pack_upstreams(&news.upstreams, &news.removed_ids)?;
        let since = known.filter(|_| !news.is_complete).map(|k| k.revision);
        let mut kept = self.packed.lock();
        kept.keep(news.cursor.revision, since, packed.clone());
        Ok((news.cursor, news.is_complete, packed))
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
            config_position,
            changes: gateway.directory.read().changes_since(self.known(query)),
            rollouts: gateway.announced_rollouts(),
        })
    }
}
