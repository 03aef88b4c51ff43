use {
    super::{full_body, local_response, serve_local},
    http::{Response, StatusCode},
    metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle},
    std::{future::ready, sync::LazyLock, time::Duration},
    tokio::net::TcpListener,
};

/// Number of responses to clients, by route kind and status class.
pub const ANSWERS: &str = "saddlepulley_answers_total";
/// Time to the response head, in seconds, by route kind.
pub const ANSWER_SECONDS: &str = "saddlepulley_answer_seconds";
/// Number of failed sends to upstreams, by whether the request may have run.
pub const FAILED_SENDS: &str = "saddlepulley_failed_sends_total";
/// Number of responses that are not the answer to the request on whose connection they came, by upstream and
/// reason.
pub const FOREIGN_ANSWERS: &str = "saddlepulley_foreign_answers_total";
/// Number of upstreams to which this daemon failed to connect since it last opened a connection to
/// any.
pub const UNCONNECTED_UPSTREAMS: &str = "saddlepulley_unconnected_upstreams";
/// Number of upstreams that this daemon reaches only through other daemons.
pub const RELAYED_UPSTREAMS: &str = "saddlepulley_relayed_upstreams";
/// Number of requests that were sent to upstreams through other daemons, by outcome of the send.
pub const RELAYED_REQUESTS: &str = "saddlepulley_relayed_requests_total";
/// Number of requests that this daemon passed on to upstreams for other daemons, by outcome.
pub const RELAYED_FOR_OTHERS: &str = "saddlepulley_relayed_for_others_total";
/// 1 if this daemon can open a connection to no upstream, otherwise 0.
pub const IS_ISOLATED: &str = "saddlepulley_is_isolated";
/// Number of upstream crashes that this daemon observed while requests ran there.
pub const CRASHED_UPSTREAMS: &str = "saddlepulley_ended_upstreams_total";
/// Number of requests that were refused because upstreams crash while they run them.
pub const HELD_REFUSALS: &str = "saddlepulley_held_refusals_total";
/// Number of requests that are held back because upstreams crash while they run them.
pub const HELD_REQUESTS: &str = "saddlepulley_held_requests";
/// Number of parts of prompts that are held back because upstreams crash when they answer a prompt with
/// them.
pub const HELD_PARTS: &str = "saddlepulley_held_parts";
/// Number of requests and parts of prompts that were cut off by crashes and forgotten because there were too
/// many.
pub const DROPPED_SUSPECTS: &str = "saddlepulley_dropped_suspects_total";
/// Number of new client connections that were closed unread because this daemon was overloaded.
pub const SHED_CONNECTIONS: &str = "saddlepulley_shed_connections_total";
/// Number of responses in which an upstream names its limit in requests per second.
pub const LIMITED_ANSWERS: &str = "saddlepulley_limited_answers_total";
/// Number of responses in which an upstream says that it leaves.
pub const LEAVING_ANSWERS: &str = "saddlepulley_leaving_answers_total";
/// Number of refusals in which an upstream names a retry time.
pub const COOLDOWN_ANSWERS: &str = "saddlepulley_rest_answers_total";
/// Number of upstreams that are in cooldown for this daemon.
pub const UPSTREAMS_IN_COOLDOWN: &str = "saddlepulley_resting_upstreams";
/// Number of upstreams that currently name a limit.
pub const LIMITED_UPSTREAMS: &str = "saddlepulley_limited_upstreams";
/// Number of requests placed at an upstream whose memory they exceed.
pub const PLACED_OVER_MEMORY: &str = "saddlepulley_placed_over_memory_total";
/// Number of upstreams that count as faster or slower than their service, by service.
pub const DIFFERING_UPSTREAMS: &str = "saddlepulley_differing_upstreams";
/// Time of a service's slowest upstream as a multiple of its fastest one's, by service.
pub const SPEED_SPREAD: &str = "saddlepulley_upstream_speed_spread";
/// Prompt tokens of requests that were placed in another failure domain than their callers', by
/// reason.
pub const DOMAIN_TOKENS: &str = "saddlepulley_domain_tokens_total";
/// Number of permits requested for upstreams that name a limit, by outcome.
pub const PERMITS: &str = "saddlepulley_permits_total";
/// Number of upstreams that bear few rejections, by their own word.
pub const FRAGILE_UPSTREAMS: &str = "saddlepulley_fragile_upstreams";
/// Number of slots requested of upstreams that bear few rejections, by outcome.
pub const SLOTS: &str = "saddlepulley_slots_total";
/// Number of requests that such upstreams rejected.
pub const REJECTIONS: &str = "saddlepulley_rejections_total";
/// Number of streams that clients took up again, by what is known of the version that began them.
pub const TAKEN_UP_STREAMS: &str = "saddlepulley_taken_up_streams_total";
/// Number of streams whose first version this daemon remembers.
pub const STREAM_ORIGINS: &str = "saddlepulley_stream_origins";
/// Number of streams that this daemon forgot for want of room before they could no longer be taken up.
pub const DROPPED_ORIGINS: &str = "saddlepulley_dropped_stream_origins_total";
/// Number of requests refused because of their client account's quota.
pub const QUOTA_REFUSALS: &str = "saddlepulley_quota_refusals_total";
/// Number of turns of requests that were refused because of a short quota, by outcome.
pub const QUOTA_TURNS: &str = "saddlepulley_quota_turns_total";
/// Number of requests that wait at this daemon for room at upstreams, by priority.
pub const ROOM_WAITING: &str = "saddlepulley_room_waiting";
/// Number of requests that waited for room and were let through.
pub const ROOM_RELEASED: &str = "saddlepulley_room_released_total";
/// Number of requests refused because no upstream has room for them in time.
pub const ROOM_REFUSED: &str = "saddlepulley_room_refused_total";
/// How long the requests that were let through waited for room, in seconds.
pub const ROOM_WAITED: &str = "saddlepulley_room_waited_seconds";
/// Number of streams that broke off before their end.
pub const BROKEN_STREAMS: &str = "saddlepulley_broken_streams_total";
/// Number of answers in which an upstream sent bytes that are no part of the stream, by kind.
pub const STREAM_FAULTS: &str = "saddlepulley_stream_faults_total";
/// Bytes that this daemon holds for clients and upstreams that read slowly.
pub const BUFFERED_BYTES: &str = "saddlepulley_buffered_bytes";
/// Number of answers that were cut off because their clients did not read them and others needed
/// the memory.
pub const SHED_ANSWERS: &str = "saddlepulley_shed_answers_total";
/// Number of requests that were refused because there was no free memory for their bodies.
pub const UNBUFFERED_REQUESTS: &str = "saddlepulley_unbuffered_requests_total";
/// Number of client connections that were closed with unread data of the client or with an
/// incompletely answered request, by who closed them.
pub const CUT_CONNECTIONS: &str = "saddlepulley_cut_connections_total";
/// Number of requests in flight.
pub const OPEN_REQUESTS: &str = "saddlepulley_open_requests";
/// Version of the configuration in force.
pub const CONFIG_VERSION: &str = "saddlepulley_config_version";
/// Age of the newest answer of the source of configuration and upstreams, in seconds.
pub const SOURCE_AGE: &str = "saddlepulley_source_age_seconds";
/// Number of other daemons from which a message was received recently.
pub const LIVE_PEERS: &str = "saddlepulley_live_peers";
/// Number of daemons by the message version that they use.
pub const PEERS_BY_MESSAGES: &str = "saddlepulley_peers_by_messages";
/// Number of control messages sent to other daemons since the start, by kind.
pub const CONTROL_MESSAGES: &str = "saddlepulley_control_messages";
/// Size of the control messages sent to other daemons since the start, in bytes, by kind.
pub const CONTROL_BYTES: &str = "saddlepulley_control_bytes";
/// Number of peers examined since the start to determine the hubs and the recipients of
/// announcements.
pub const PEERS_EXAMINED: &str = "saddlepulley_peers_looked_at";
/// Number of upstreams that this daemon knows.
pub const KNOWN_UPSTREAMS: &str = "saddlepulley_known_upstreams";
/// Number of calls to the platform, each of which has a price, by what is called.
pub const PLATFORM_CALLS: &str = "saddlepulley_platform_calls_total";
/// Number of entries in the platform's store that describe no usable upstream.
pub const UNUSABLE_ENTRIES: &str = "saddlepulley_unusable_entries_total";
/// Age of the oldest loads by which a hub places requests, in seconds.
pub const LOADS_AGE: &str = "saddlepulley_loads_age_seconds";
/// Number of daemons that this one knows or assumes, itself included.
pub const DAEMONS: &str = "saddlepulley_daemons";
/// 1 if this daemon is a hub of its failure domain, otherwise 0.
pub const IS_HUB: &str = "saddlepulley_is_hub";
/// Number of daemons that send their admission queries to this one, itself included.
pub const DEPENDENTS: &str = "saddlepulley_leaning_daemons";
/// Share of a service's requests that a new version gets, by service and version.
pub const ROLLOUT_SHARE: &str = "saddlepulley_rollout_share";
/// Number of answers during a rollout, by service, version and whether they failed.
pub const ROLLOUT_ANSWERS: &str = "saddlepulley_rollout_answers_total";
/// 1 if this daemon holds the duties, otherwise 0.
pub const HOLDS_DUTIES: &str = "saddlepulley_holds_duties";
/// Capacity that a service needs, in usual upstreams, by service and need, at the holder of
/// the duties.
pub const FLEET_NEEDED: &str = "saddlepulley_fleet_needed";
/// Number of upstreams that are planned, by service and kind, at the holder of the duties.
pub const FLEET_PLANNED: &str = "saddlepulley_fleet_planned";
/// Number of upstreams that run, by service and kind, at the holder of the duties.
pub const FLEET_RUNNING: &str = "saddlepulley_fleet_running";

const PAGE_PATH: &str = "/metrics";
/// Bounds of the histogram buckets of response times, in seconds.
const BUCKETS: [f64; 10] = [0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 8.0];

/// The recorder of the process; `None` if it can't be installed, as when there is another one.
static RECORDER: LazyLock<Option<PrometheusHandle>> = LazyLock::new(|| {
    let mut builder = PrometheusBuilder::new();
    for name in [ANSWER_SECONDS, ROOM_WAITED] {
        let matcher = Matcher::Full(name.to_string());
        builder = builder.set_buckets_for_metric(matcher, &BUCKETS).ok()?;
    }
    let recorder = builder.build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).ok()?;
    Some(handle)
});

/// Serves the recorded metrics as text.
pub async fn serve_metrics(listener: TcpListener) {
    serve_local(listener, |request| {
        ready(match request.uri().path() {
            PAGE_PATH => page(),
            _ => local_response(StatusCode::NOT_FOUND, "no such path"),
        })
    })
    .await;
}

fn page() -> Response<super::AnswerBody> {
    match RECORDER.as_ref() {
        Some(handle) => Response::new(full_body(handle.render())),
        None => local_response(StatusCode::SERVICE_UNAVAILABLE, "nothing is recorded"),
    }
}

/// Installs the recorder of the process.
pub fn start_recording() {
    LazyLock::force(&RECORDER);
}

/// Aggregates the recorded samples, which bounds the memory that they take.
pub fn run_metrics_upkeep() {
    if let Some(handle) = RECORDER.as_ref() {
        handle.run_upkeep();
    }
}

/// Records the status and the response time of a response head.
pub fn record_answer(kind: &'static str, status: StatusCode, after: Duration) {
    let class = match status.as_u16() / 100 {
        2 => "2xx",
        3 => "3xx",
        4 => "4xx",
        5 => "5xx",
        _ => "other",
    };
    metrics::counter!(ANSWERS, "kind" => kind, "status" => class).increment(1);
    metrics::histogram!(ANSWER_SECONDS, "kind" => kind).record(after.as_secs_f64());
}
