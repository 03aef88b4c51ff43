//! Command line: help texts, exit codes, and errors that name their place in a file.

use {
    crate::support::*,
    std::{
        fs,
        process::{Command, Output},
    },
};

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_saddlepulley"))
        .args(args)
        .env("SADDLEPULLEY_TOKEN", OPERATOR_TOKEN)
        .output()
        .unwrap()
}

fn code(out: &Output) -> i32 {
    out.status.code().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn every_command_has_help_with_an_example() {
    for command in [
        "serve", "check", "table", "status", "report", "drain", "demo", "rollout",
    ] {
        let out = run(&[command, "--help"]);
        assert_eq!(code(&out), 0, "{command}");
        assert!(text(&out.stdout).contains("Example:"), "{command}");
        assert!(text(&run(&["--help"]).stdout).contains(command));
    }
}

#[test]
fn rollout_steps_are_read_from_logs_in_order_of_time() {
    let dir = tempfile::TempDir::new().unwrap();
    let line = |time_ms: u64, message: &str| {
        format!(
            "{{\"time_ms\":{time_ms},\"level\":\"INFO\",\"part\":\"rollout\",\"message\":\"{message}\"}}\n"
        )
    };
    let (first, second) = (dir.path().join("a.log"), dir.path().join("b.log"));
    let last = "step. service=s target=v2 state=rolled_back share=0 bad=17 log_ratio=12.5";
    fs::write(&first, line(2_000, last) + "no log line\n").unwrap();
    let begun = "step. service=s target=v2 state=in_progress share=0.05 bad=0";
    let applied = "update applied. service=s target=v2 state=in_progress share=0.05";
    let other = "step. service=t target=v7 state=completed share=1";
    let second_text = line(1_000, begun) + &line(1_050, applied) + &line(1_500, other);
    fs::write(&second, second_text).unwrap();
    let files = [first.to_str().unwrap(), second.to_str().unwrap()];
    let explain = run(&["rollout", "explain", "s", files[0], files[1]]);
    let explained = text(&explain.stdout);
    assert_eq!(explained.lines().count(), 2, "{explained}");
    let position = |words: &str| explained.find(words).unwrap();
    assert!(
        position("in_progress") < position("rolled_back"),
        "{explained}"
    );
    let status = run(&["rollout", "status", "--json", files[0], files[1]]);
    let status: serde_json::Value = serde_json::from_slice(&status.stdout).unwrap();
    assert_eq!(status[0]["state"], "rolled_back");
    assert_eq!(status[0]["log_ratio"], 12.5);
    assert_eq!(status[1]["service"], "t");
    assert_eq!(code(&run(&["rollout", "explain", "u", files[0]])), 1);
    assert_eq!(code(&run(&["rollout"])), 2);
}

#[test]
fn wrong_usage_exits_2_with_an_error_message() {
    for args in [
        &["fly"][..],
        &["serve"],
        &["check"],
        &["status", "--at", "nowhere"],
        &["demo", "--twice"],
    ] {
        let out = run(args);
        assert_eq!(code(&out), 2, "{args:?}");
        assert!(!out.stderr.is_empty());
    }
}

#[test]
fn check_reports_file_and_line_of_a_wrong_table() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("t.toml");
    fs::write(&path, "[[account]]\nname = \"a b\"\ntoken_sha256 = []\n").unwrap();
    let out = run(&["check", "--table", path.to_str().unwrap()]);
    assert_eq!(code(&out), 2);
    assert!(
        text(&out.stderr).contains("t.toml:2:"),
        "{}",
        text(&out.stderr)
    );
}

#[test]
fn demo_with_once_prints_its_results_and_exits_0() {
    let out = run(&["demo", "--once"]);
    let shown = text(&out.stdout);
    assert_eq!(code(&out), 0, "{shown}{}", text(&out.stderr));
    for part in [
        "table in force",
        "model:",
        "lookup:",
        "release code:",
        "policy=",
    ] {
        assert!(shown.contains(part), "{part} is missing: {shown}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn table_commands_show_diff_publish_and_detect_conflicts() {
    let cluster = Cluster::start(Plan::default()).await;
    let platform = cluster.platform.addr().to_string();
    let at: Vec<String> = cluster
        .daemons
        .iter()
        .map(|d| d.operators.to_string())
        .collect();
    let at = at.join(",");
    let dir = tempfile::tempdir().unwrap();
    let file = |name: &str, text: &str| {
        let path = dir.path().join(name);
        fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_string()
    };
    let shown = text(&run(&["table", "show", "--platform", &platform]).stdout);
    let first_edit = file("mine.toml", &with_weight(&shown, 0, 7));
    let second_edit = file("yours.toml", &with_weight(&shown, 0, 8));
    let diff = run(&["table", "diff", "--platform", &platform, &first_edit]);
    assert!(
        text(&diff.stdout).contains("change acme/"),
        "{}",
        text(&diff.stdout)
    );
    let out = run(&[
        "table",
        "publish",
        "--platform",
        &platform,
        &first_edit,
        "--at",
        &at,
    ]);
    assert_eq!(code(&out), 0, "{}", text(&out.stderr));
    assert_eq!(text(&out.stdout).matches("in force. domain=").count(), 3);
    let out = run(&["table", "publish", "--platform", &platform, &second_edit]);
    assert_eq!(code(&out), 3);
    assert!(
        text(&out.stderr).contains("conflict"),
        "{}",
        text(&out.stderr)
    );
    let out = run(&["table", "log", "--platform", &platform]);
    assert!(
        text(&out.stdout).contains("Conflict"),
        "{}",
        text(&out.stdout)
    );
    let out = run(&["status", "--at", &at]);
    assert_eq!(code(&out), 0);
    assert_eq!(text(&out.stdout).matches("Ready").count(), 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn report_counts_the_requests_that_daemons_published() {
    let mut cluster = Cluster::start(Plan::default()).await;
    let boxes = cluster.caller_addrs();
    for i in 0..3 {
        stream_completion(&boxes, i, "to be reported", 10).await;
    }
    // A daemon publishes its last page of scores when it stops.
    for daemon in &mut cluster.daemons {
        daemon.terminate();
    }
    for daemon in &mut cluster.daemons {
        assert!(daemon.wait_exit(std::time::Duration::from_secs(30)).await);
    }
    let platform = cluster.platform.addr().to_string();
    let out = run(&["report", "--platform", &platform, "--json"]);
    let doc: serde_json::Value = serde_json::from_slice(&out.stdout).unwrap();
    let requests: u64 = doc["rows"]
        .as_array()
        .unwrap()
        .iter()
        .map(|r| r["score"]["requests"].as_u64().unwrap())
        .sum();
    assert_eq!(requests, 3, "{doc}");
    let html = cluster.dir.path().join("report.html");
    let out = run(&[
        "report",
        "--platform",
        &platform,
        "--html",
        html.to_str().unwrap(),
    ]);
    assert_eq!(code(&out), 0);
    let page = fs::read_to_string(html).unwrap();
    assert!(page.contains("cheapest-on-target") && !page.contains("http://"));
}
