//! Configurations take effect in the order of their versions, from the file or from a peer.

use {
    crate::support::*,
    http::StatusCode,
    saddlepulley_standin::runner::Runner,
    std::{fs, process::Stdio},
    tempfile::TempDir,
};

async fn status_of(daemon: &GatewayDaemon, path: &str) -> StatusCode {
    daemon.client().await.fetch("a1", path, "").await.status
}

#[tokio::test]
async fn a_newer_configuration_takes_effect_and_an_older_one_does_not() {
    let runner = Runner::start("b1", 3).await.unwrap();
    let daemon = GatewayDaemon::start(&routes_file(5, &[&IDEMPOTENT], &[&runner])).await;
    assert_eq!(status_of(&daemon, "/once/x").await, StatusCode::NOT_FOUND);
    fs::write(daemon.routes_path(), routes_file(9, &[&ONCE], &[&runner])).unwrap();
    eventually("the configuration takes effect", async || {
        status_of(&daemon, "/once/x").await == StatusCode::OK
    })
    .await;
    assert_eq!(status_of(&daemon, "/look/x").await, StatusCode::NOT_FOUND);
    // An older version with a new upstream: the upstream is used, the older routes are not.
    let other = Runner::start("b2", 3).await.unwrap();
    fs::write(
        daemon.routes_path(),
        routes_file(7, &[&IDEMPOTENT, &ONCE], &[&other]),
    )
    .unwrap();
    eventually("the new upstream is used", async || {
        status_of(&daemon, "/once/x").await;
        !other.runs().is_empty()
    })
    .await;
    assert_eq!(status_of(&daemon, "/look/x").await, StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn an_invalid_file_keeps_the_configuration_in_force() {
    let runner = Runner::start("b1", 3).await.unwrap();
    let daemon = GatewayDaemon::start(&routes_file(1, &[&IDEMPOTENT], &[&runner])).await;
    fs::write(daemon.routes_path(), "[config]\nversion = \"many\"\n").unwrap();
    tokio::time::sleep(std::time::Duration::from_millis(1_500)).await;
    assert_eq!(status_of(&daemon, "/look/x").await, StatusCode::OK);
}

#[tokio::test]
async fn a_daemon_without_its_source_uses_the_configuration_of_a_peer() {
    let runner = Runner::start("b1", 3).await.unwrap();
    let with_source = GatewayDaemon::start(&routes_file(3, &[&IDEMPOTENT], &[&runner])).await;
    let dir = TempDir::new().unwrap();
    let settings = DaemonSettings {
        name: "n2",
        source: format!(
            "kind = \"file\"\npath = \"{}\"",
            dir.path().join("none.toml").display()
        ),
        extra_settings: String::new(),
        seeds: vec![with_source.peers],
        stdout: Stdio::null(),
    };
    let without_source = GatewayDaemon::spawn(dir, settings);
    without_source.wait_ready().await;
    assert_eq!(status_of(&without_source, "/look/x").await, StatusCode::OK);
    fs::write(
        with_source.routes_path(),
        routes_file(4, &[&ONCE], &[&runner]),
    )
    .unwrap();
    eventually("the configuration takes effect", async || {
        status_of(&without_source, "/once/x").await == StatusCode::OK
    })
    .await;
}

#[tokio::test]
async fn metrics_report_responses_and_the_configuration_version() {
    let runner = Runner::start("b1", 3).await.unwrap();
    let daemon = GatewayDaemon::start(&routes_file(3, &[&IDEMPOTENT], &[&runner])).await;
    status_of(&daemon, "/look/x").await;
    eventually("the configuration version in the metrics", async || {
        daemon
            .metrics_page()
            .await
            .contains("saddlepulley_config_version 3")
    })
    .await;
    let page = daemon.metrics_page().await;
    assert!(
        page.contains("saddlepulley_answers_total{kind=\"idempotent\",status=\"2xx\"} 1"),
        "{page}"
    );
    assert!(
        page.contains("saddlepulley_answer_seconds_bucket"),
        "{page}"
    );
}
