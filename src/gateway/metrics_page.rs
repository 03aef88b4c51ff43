use {
    super::{full_body, local_response, serve_plain},
    http::{Response, StatusCode},
    metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle},
    std::{future::ready, sync::LazyLock, time::Duration},
    tokio::net::TcpListener,
};

/// Counts answers to clients, by route kind and class of the status.
pub const ANSWERS: &str = "saddlepulley_answers_total";
/// The time to the head of an answer, in seconds, by route kind.
pub const ANSWER_SECONDS: &str = "saddlepulley_answer_seconds";
/// Counts sends to upstreams that failed, by what is known of the run.
pub const FAILED_SENDS: &str = "saddlepulley_failed_sends_total";
/// Counts upstreams that ended while requests ran on them, as far as this daemon saw.
pub const CRASHED_UPSTREAMS: &str = "saddlepulley_ended_upstreams_total";
/// Counts requests that were refused because upstreams end under them.
pub const HELD_REFUSALS: &str = "saddlepulley_held_refusals_total";
/// Requests that are held back because upstreams end under them.
pub const HELD_REQUESTS: &str = "saddlepulley_held_requests";
/// Counts answers in which upstreams name how many requests a second they take.
pub const LIMITED_ANSWERS: &str = "saddlepulley_limited_answers_total";
/// Counts answers in which upstreams say that they leave.
pub const LEAVING_ANSWERS: &str = "saddlepulley_leaving_answers_total";
/// Counts refusals in which upstreams ask this daemon for rest.
pub const COOLDOWN_ANSWERS: &str = "saddlepulley_rest_answers_total";
/// Upstreams that want nothing from this daemon now.
pub const UPSTREAMS_IN_COOLDOWN: &str = "saddlepulley_resting_upstreams";
/// Upstreams that name a limit now.
pub const LIMITED_UPSTREAMS: &str = "saddlepulley_limited_upstreams";
/// Counts questions for permits to send to them, by outcome.
pub const PERMITS: &str = "saddlepulley_permits_total";
/// Counts requests refused for their client account's quota.
pub const QUOTA_REFUSALS: &str = "saddlepulley_quota_refusals_total";
/// Counts streams that were broken off before their end.
pub const BROKEN_STREAMS: &str = "saddlepulley_broken_streams_total";
/// Counts connections of clients that ended while something of a client stood
/// unread or a request had no whole answer, by who ended it.
pub const CUT_CONNECTIONS: &str = "saddlepulley_cut_connections_total";
/// Requests in flight.
pub const OPEN_REQUESTS: &str = "saddlepulley_open_requests";
/// The version of the configuration in force.
pub const CONFIG_VERSION: &str = "saddlepulley_config_version";
/// How long ago the source of configuration answered, in seconds.
pub const SOURCE_AGE: &str = "saddlepulley_source_age_seconds";
/// Other daemons that were heard from lately.
pub const LIVE_PEERS: &str = "saddlepulley_live_peers";
/// Daemons that were heard lately, by the version of the messages that they speak.
pub const PEERS_BY_MESSAGES: &str = "saddlepulley_peers_by_messages";
/// Messages to other daemons beside requests, since the start, by kind.
pub const CONTROL_MESSAGES: &str = "saddlepulley_control_messages";
/// Their bytes.
pub const CONTROL_BYTES: &str = "saddlepulley_control_bytes";
/// Peers that were looked at to answer who is hub and whom to tell, since the start.
pub const PEERS_EXAMINED: &str = "saddlepulley_peers_looked_at";
/// Upstreams that this daemon knows.
pub const KNOWN_UPSTREAMS: &str = "saddlepulley_known_upstreams";
/// Counts calls to the platform, which has a price for each, by what is called.
pub const PLATFORM_CALLS: &str = "saddlepulley_platform_calls_total";
/// Counts entries in the platform's store that name no upstream to use.
pub const UNUSABLE_ENTRIES: &str = "saddlepulley_unusable_entries_total";
/// How old the oldest loads are by which a hub places requests, in seconds.
pub const LOADS_AGE: &str = "saddlepulley_loads_age_seconds";
/// How many daemons there are, as far as this one knows.
pub const DAEMONS: &str = "saddlepulley_daemons";
/// Whether this daemon is a hub of its failure domain.
pub const IS_HUB: &str = "saddlepulley_is_hub";
/// How many daemons let requests in through this one, itself included.
pub const DEPENDENTS: &str = "saddlepulley_leaning_daemons";
/// The share of a service's requests that a new version gets, by service and version.
pub const ROLLOUT_SHARE: &str = "saddlepulley_rollout_share";
/// Answers during a roll-out, by service, version and whether they were bad.
pub const ROLLOUT_ANSWERS: &str = "saddlepulley_rollout_answers_total";
/// Whether this daemon has the duties.
pub const HOLDS_DUTIES: &str = "saddlepulley_holds_duties";

const PAGE_PATH: &str = "/metrics";
const BUCKETS: [f64; 10] = [0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 8.0];

/// The process's recorder; none where another was installed before.
static RECORDER: LazyLock<Option<PrometheusHandle>> = LazyLock::new(|| {
    let matcher = Matcher::Full(ANSWER_SECONDS.to_string());
    let builder = PrometheusBuilder::new().set_buckets_for_metric(matcher, &BUCKETS);
    let recorder = builder.ok()?.build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).ok()?;
    Some(handle)
});

/// Starts recording, and serves the figures as text where an address is given.
pub async fn serve_metrics(listener: TcpListener) {
    serve_plain(listener, |request| {
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

/// Installs the recorder.
pub fn start_recording() {
    LazyLock::force(&RECORDER);
}

/// Folds what was recorded, to keep its memory bounded.
pub fn run_metrics_upkeep() {
    if let Some(handle) = RECORDER.as_ref() {
        handle.run_upkeep();
    }
}

/// Records an answer's head.
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
