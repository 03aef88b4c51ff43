//! Repeatable requests are retried, others run at most once, and a refusal is given only for
//! requests that have not run.

use {
    crate::support::*,
    http::StatusCode,
    saddlepulley_standin::runner::{Behaviour, Runner},
};

async fn two_runners(first: Behaviour, second: Behaviour) -> [Runner; 2] {
    let runners = [
        Runner::start("b1", 5).await.unwrap(),
        Runner::start("b2", 5).await.unwrap(),
    ];
    runners[0].set_behaviour(first);
    runners[1].set_behaviour(second);
    runners
}

fn total_runs(runners: &[Runner], attempt: &str) -> usize {
    let runs = runners.iter().flat_map(Runner::runs);
    runs.filter(|run| run.attempt == attempt).count()
}

#[tokio::test]
async fn a_non_repeatable_request_runs_once_when_its_response_is_lost() {
    for behaviour in [Behaviour::LoseAnswer, Behaviour::CutStream(1)] {
        let runners = two_runners(behaviour, behaviour).await;
        let routes = [&ONCE, &STREAM_ONCE];
        let [a, b] = &runners;
        let daemon = GatewayDaemon::start(&routes_file(1, &routes, &[a, b])).await;
        let path = match behaviour {
            Behaviour::LoseAnswer => "/once/x",
            _ => "/stream/once/x",
        };
        for n in 0..10 {
            let attempt = format!("a{n}");
            let answer = daemon.client().await.fetch(&attempt, path, "").await;
            assert_eq!(
                answer.status,
                StatusCode::BAD_GATEWAY,
                "no claim that it has not run"
            );
            assert_eq!(total_runs(&runners, &attempt), 1);
        }
    }
}

#[tokio::test]
async fn a_repeatable_request_is_retried_at_another_upstream() {
    for bad in [
        Behaviour::LoseAnswer,
        Behaviour::Fail,
        Behaviour::Hang,
        Behaviour::Refuse,
    ] {
        let runners = two_runners(bad, Behaviour::Serve).await;
        let [a, b] = &runners;
        let daemon = GatewayDaemon::start(&routes_file(1, &[&IDEMPOTENT], &[a, b])).await;
        for n in 0..4 {
            let answer = daemon
                .client()
                .await
                .fetch(&format!("a{n}"), "/look/x", "")
                .await;
            assert_eq!(answer.status, StatusCode::OK, "{bad:?}");
            assert!(answer.body.starts_with("b2 "), "{bad:?}");
        }
    }
}

#[tokio::test]
async fn a_request_refused_by_all_upstreams_gets_retry_after_and_has_not_run() {
    let runners = two_runners(Behaviour::Refuse, Behaviour::Refuse).await;
    let [a, b] = &runners;
    let routes = [&IDEMPOTENT, &ONCE, &STREAM, &STREAM_ONCE];
    let daemon = GatewayDaemon::start(&routes_file(1, &routes, &[a, b])).await;
    let mut client = daemon.client().await;
    for path in ["/look/x", "/once/x", "/stream/resume/x", "/stream/once/x"] {
        let answer = client.fetch("a1", path, "").await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{path}");
        assert!(
            answer.header("retry-after").parse::<f64>().unwrap() > 0.0,
            "{path}"
        );
    }
    assert_eq!(total_runs(&runners, "a1"), 0);
}

#[tokio::test]
async fn a_non_repeatable_request_is_retried_after_a_refusal() {
    let runners = two_runners(Behaviour::Refuse, Behaviour::Serve).await;
    let [a, b] = &runners;
    let daemon = GatewayDaemon::start(&routes_file(1, &[&ONCE], &[a, b])).await;
    for n in 0..4 {
        let attempt = format!("a{n}");
        let answer = daemon.client().await.fetch(&attempt, "/once/x", "").await;
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(total_runs(&runners, &attempt), 1);
    }
}

#[tokio::test]
async fn a_request_is_sent_to_no_more_upstreams_than_its_route_allows() {
    let runners = two_runners(Behaviour::Fail, Behaviour::Fail).await;
    let single = TestRoute {
        max_attempts: 1,
        ..IDEMPOTENT
    };
    let [a, b] = &runners;
    let daemon = GatewayDaemon::start(&routes_file(1, &[&single], &[a, b])).await;
    let answer = daemon.client().await.fetch("a1", "/look/x", "").await;
    assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(total_runs(&runners, "a1"), 1);
}

#[tokio::test]
async fn a_request_gets_504_at_its_deadline() {
    let runners = two_runners(Behaviour::Hang, Behaviour::Hang).await;
    let short = TestRoute {
        timeout_ms: 300,
        ..ONCE
    };
    let [a, b] = &runners;
    let daemon = GatewayDaemon::start(&routes_file(1, &[&short], &[a, b])).await;
    let answer = daemon.client().await.fetch("a1", "/once/x", "").await;
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
}
