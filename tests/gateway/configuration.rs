//! Configurations come in force, and never go back.

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
async fn a_newer_version_comes_in_force_and_an_older_one_does_not() {
    let runner = Runner::start("b1", 3).await.unwrap();
    let daemon = GatewayDaemon::start(&routes_file(5, &[&IDEMPOTENT], &[&runner])).await;
    assert_eq!(status_of(&daemon, "/once/x").await, StatusCode::NOT_FOUND);
    fs::write(daemon.routes_path(), routes_file(9, &[&ONCE], &[&runner])).unwrap();
    eventually("in force", async || {
        status_of(&daemon, "/once/x").await == StatusCode::OK
    })
    .await;
    assert_eq!(status_of(&daemon, "/look/x").await, StatusCode::NOT_FOUND);
    // An older version with a new upstream: the upstream is taken, the version not.
    let other = Runner::start("b2", 3).await.unwrap();
    fs::write(
        daemon.routes_path(),
        routes_file(7, &[&IDEMPOTENT, &ONCE], &[&other]),
    )
    .unwrap();
    eventually("the new upstream", async || {
        status_of(&daemon, "/once/x").await;
        !other.runs().is_empty()
    })
    .await;
    assert_eq!(status_of(&daemon, "/look/x").await, StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn a_file_that_is_wrong_changes_nothing() {
    let runner = Runner::start("b1", 3).await.unwrap();
    let daemon = GatewayDaemon::start(&routes_file(1, &[&IDEMPOTENT], &[&runner])).await;
    fs::write(daemon.routes_path(), "[config]\nversion = \"many\"\n").unwrap();
    tokio::time::sleep(std::time::Duration::from_millis(1_500)).await;
    assert_eq!(status_of(&daemon, "/look/x").await, StatusCode::OK);
}

#[tokio::test]
async fn a_daemon_without_its_source_takes_the_configuration_of_a_peer() {
    let runner = Runner::start("b1", 3).await.unwrap();
    let informed = GatewayDaemon::start(&routes_file(3, &[&IDEMPOTENT], &[&runner])).await;
    let dir = TempDir::new().unwrap();
    let settings = DaemonSettings {
        name: "n2",
        source: format!(
            "kind = \"file\"\npath = \"{}\"",
            dir.path().join("none.toml").display()
        ),
        extra_settings: String::new(),
        seeds: vec![informed.peers],
        stdout: Stdio::null(),
    };
    let cut_off = GatewayDaemon::spawn(dir, settings);
    cut_off.wait_ready().await;
    assert_eq!(status_of(&cut_off, "/look/x").await, StatusCode::OK);
    fs::write(informed.routes_path(), routes_file(4, &[&ONCE], &[&runner])).unwrap();
    eventually("in force", async || {
        status_of(&cut_off, "/once/x").await == StatusCode::OK
    })
    .await;
}

#[tokio::test]
async fn metrics_tell_answers_and_the_version() {
    let runner = Runner::start("b1", 3).await.unwrap();
    let daemon = GatewayDaemon::start(&routes_file(3, &[&IDEMPOTENT], &[&runner])).await;
    status_of(&daemon, "/look/x").await;
    eventually("the version", async || {
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
