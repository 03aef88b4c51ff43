//! Logging: limited in volume, never blocks requests, and suffices to explain a request.

use {
    crate::support::*,
    http::StatusCode,
    nix::sys::signal::Signal,
    saddlepulley::logs::{LineBudget, LogLine, request_history},
    saddlepulley_standin::runner::{Behaviour, Runner},
    std::{fs::File, io::BufReader, process::Stdio},
    tempfile::TempDir,
};

async fn logging_daemon(stdout: Stdio, routes: &str) -> GatewayDaemon {
    let dir = TempDir::new().unwrap();
    let path = dir.path().join("routes.toml");
    std::fs::write(&path, routes).unwrap();
    let settings = DaemonSettings {
        name: "n1",
        source: format!("kind = \"file\"\npath = \"{}\"", path.display()),
        extra_settings: String::new(),
        seeds: Vec::new(),
        stdout,
    };
    let daemon = GatewayDaemon::spawn(dir, settings);
    daemon.wait_ready().await;
    daemon
}

#[tokio::test]
async fn an_unread_log_output_blocks_no_request() {
    let runner = Runner::start("b1", 3).await.unwrap();
    let routes = routes_file(1, &[&IDEMPOTENT], &[&runner]);
    // The pipe's buffer is full after a few hundred lines.
    let daemon = logging_daemon(Stdio::piped(), &routes).await;
    let mut client = daemon.client().await;
    for n in 0..3_000 {
        let answer = client.fetch(&format!("a{n}"), "/nowhere/x", "").await;
        assert_eq!(answer.status, StatusCode::NOT_FOUND);
    }
    assert_eq!(
        client.fetch("last", "/look/x", "").await.status,
        StatusCode::OK
    );
}

#[tokio::test]
async fn the_history_of_a_lost_answer_names_its_cause() {
    let runner = Runner::start("b1", 3).await.unwrap();
    runner.set_behaviour(Behaviour::LoseAnswer);
    let out = TempDir::new().unwrap();
    let path = out.path().join("log");
    let routes = routes_file(1, &[&ONCE], &[&runner]);
    let daemon = logging_daemon(File::create(&path).unwrap().into(), &routes).await;
    let answer = daemon.client().await.fetch("a77", "/once/x", "").await;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    let history = || {
        let file: Box<dyn std::io::BufRead> = Box::new(BufReader::new(File::open(&path).unwrap()));
        request_history("a77", vec![("log".into(), file)]).unwrap()
    };
    eventually("the history is written", async || {
        history().contains("answered.")
    })
    .await;
    let history = history();
    let order = ["placed.", "failed.", "given up.", "answered."]
        .map(|word| history.find(word).expect(word));
    assert!(order.is_sorted(), "{history}");
    assert!(
        history.contains("upstream=b1") && history.contains("may_have_run=true"),
        "{history}"
    );
}

#[test]
fn log_lines_per_second_are_limited_and_dropped_lines_are_counted() {
    let mut budget = LineBudget::default();
    let written = (0..10_000)
        .filter(|_| budget.take("place", false, 1_000).write)
        .count();
    assert!(written < 1_000, "{written}");
    assert!(
        budget.take("answer", true, 1_500).write,
        "important lines are still written"
    );
    let next = budget.take("place", false, 2_000);
    assert!(next.write);
    assert_eq!(next.dropped["place"], 10_000 - written as u64);
    assert!(
        budget.take("place", false, 3_000).dropped.is_empty(),
        "dropped lines are reported once"
    );
}

#[test]
fn a_request_history_is_in_order_of_time_across_daemons() {
    let line = |time_ms, message: &str| {
        let line = LogLine {
            time_ms,
            level: "INFO".into(),
            part: "p".into(),
            message: message.into(),
        };
        serde_json::to_string(&line).unwrap()
    };
    let first = format!(
        "{}\nnot a line\n{}\n",
        line(20, "b. request=r1"),
        line(5, "x. request=r11")
    );
    let second = format!("collector: {}\n", line(10, "a. request=r1 cause=\"k\""));
    let source =
        |text: String| -> Box<dyn std::io::BufRead> { Box::new(std::io::Cursor::new(text)) };
    let sources = vec![
        ("one".to_string(), source(first)),
        ("two".to_string(), source(second)),
    ];
    let history = request_history("r1", sources).unwrap();
    assert_eq!(
        history,
        "+0 ms collector: p: a. request=r1 cause=\"k\"\n+10 ms one p: b. request=r1\n"
    );
}

#[tokio::test]
async fn the_log_records_early_disconnects_and_the_end_of_a_stop() {
    let runner = Runner::start("b1", 100).await.unwrap();
    let out = TempDir::new().unwrap();
    let path = out.path().join("log");
    let routes = routes_file(1, &[&STREAM], &[&runner]);
    let mut daemon = logging_daemon(File::create(&path).unwrap().into(), &routes).await;
    let client = daemon.client().await;
    client
        .fetch_head_and_disconnect("a1", "/stream/resume/x")
        .await;
    let text = || std::fs::read_to_string(&path).unwrap();
    eventually("the disconnect is logged", async || {
        text().contains("connection closed before the response was complete. request=a1")
    })
    .await;
    daemon.signal(Signal::SIGTERM);
    assert!(daemon.wait_end().await);
    let text = text();
    let last = text.lines().last().expect("the log has lines");
    assert!(last.contains("stopped. requests=0"), "{last}");
}
