//! Streams that reach their upstreams through another daemon, of upstreams with two software versions.

use {
    crate::{
        cut_proxy::{CutProxy, LinkState},
        support::*,
    },
    http::StatusCode,
    saddlepulley_standin::runner::Runner,
};

const RUNNERS: usize = 6;
const EVENTS: u64 = 30;
const STREAMS: usize = 16;
const PATH: &str = "/stream/resume/x";

fn version_of(index: usize) -> &'static str {
    ["v1", "v2"][index % 2]
}

/// Formats the daemons' configuration, with the version of each upstream.
fn routes(runners: &[Runner]) -> String {
    let mut text = routes_file(1, &[&STREAM], &runners.iter().collect::<Vec<_>>());
    for (index, runner) in runners.iter().enumerate() {
        let id = format!("id = \"{}\"\n", runner.id());
        let with_version = format!("{id}version = \"{}\"\n", version_of(index));
        text = text.replace(&id, &with_version);
    }
    text
}

/// Returns the version of the upstream that ran an attempt.
fn ran_at(runners: &[Runner], attempt: &str) -> Option<&'static str> {
    let ran = |runner: &Runner| runner.runs().iter().any(|run| run.attempt == attempt);
    runners.iter().position(ran).map(version_of)
}

#[tokio::test]
async fn a_stream_that_another_daemon_relays_goes_on_at_its_version() {
    let mut runners = Vec::new();
    for n in 0..RUNNERS {
        runners.push(Runner::start(&format!("u{n}"), EVENTS).await.unwrap());
    }
    let direct = routes(&runners);
    let (mut through_links, mut links) = (direct.clone(), Vec::new());
    for runner in &runners {
        let link = CutProxy::start(runner.address()).await;
        let (from, to) = (runner.address(), link.address());
        through_links = through_links.replace(&format!("\"{from}\""), &format!("\"{to}\""));
        links.push(link);
    }
    let cut = GatewayDaemon::spawn_on_file("n0", &through_links, Vec::new());
    let seeds = vec![cut.peers];
    let others = ["n1", "n2"].map(|n| GatewayDaemon::spawn_on_file(n, &direct, seeds.clone()));
    for daemon in others.iter().chain([&cut]) {
        daemon.wait_ready().await;
        eventually("the daemons know each other", async || {
            let page = daemon.metrics_page().await;
            page.contains("saddlepulley_daemons 3")
        })
        .await;
    }
    for link in &links {
        link.set(LinkState::Reset);
    }
    eventually("requests are relayed", async || {
        let answer = cut.client().await.fetch("warm-up", PATH, "").await;
        answer.status == StatusCode::OK && answer.complete
    })
    .await;
    let mut versions = Vec::new();
    for n in 0..STREAMS {
        let (first, second) = (format!("a{n}"), format!("b{n}"));
        let client = cut.client().await;
        client.fetch_head_and_disconnect(&first, PATH).await;
        let taking_up = request(&second, PATH)
            .header("last-event-id", "1")
            .header("saddlepulley-resumes", &first);
        let mut client = others[n % 2].client().await;
        let answer = client.send(taking_up, "").await.unwrap();
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.body);
        let began_at = ran_at(&runners, &first);
        assert!(began_at.is_some());
        assert_eq!(ran_at(&runners, &second), began_at, "stream {n}");
        versions.push(began_at);
    }
    versions.dedup();
    assert!(versions.len() > 1, "both versions began streams");
}
