//! Promise 7: an accepted table becomes active in every failure domain and is never reverted.

use {
    crate::support::*,
    saddlepulley::{cli::CliError, contracts::*, provider::PlatformHttp},
    serde_json::json,
    std::time::Duration,
};

async fn wait_version(cluster: &Cluster, version: u64, daemons: &[usize]) {
    for n in daemons {
        let daemon = &cluster.daemons[*n];
        cluster
            .wait_status(daemon, &format!("at version {version}"), |s| {
                s.table_version >= version
            })
            .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_edits_of_one_row_have_one_winner() {
    let cluster = Cluster::start(Plan::default()).await;
    let watch = VersionMonitor::start(&cluster);
    for round in 0..5 {
        let text = published_table(&cluster).await;
        let same_row = [
            with_weight(&text, 0, 10 + round),
            with_weight(&text, 0, 50 + round),
        ];
        let (a, b) = tokio::join!(cluster.publish(&same_row[0]), cluster.publish(&same_row[1]));
        let won = [&a, &b].iter().filter(|r| r.is_ok()).count();
        assert_eq!(won, 1, "{a:?} {b:?}");
        let lost = if a.is_ok() { b } else { a };
        assert!(matches!(lost, Err(CliError::Conflict(_))), "{lost:?}");
        let text = published_table(&cluster).await;
        let different_rows = [
            with_weight(&text, 1, 10 + round),
            with_weight(&text, 2, 50 + round),
        ];
        let (a, b) = tokio::join!(
            cluster.publish(&different_rows[0]),
            cluster.publish(&different_rows[1])
        );
        let last = a.unwrap().max(b.unwrap());
        wait_version(&cluster, last, &[0, 1, 2]).await;
    }
    watch.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_domain_cut_off_from_the_platform_gets_the_table_from_its_peers() {
    let cluster = Cluster::start(Plan::default()).await;
    let watch = VersionMonitor::start(&cluster);
    cluster.platform_proxies[0].cut();
    let version = cluster
        .publish(&with_weight(&published_table(&cluster).await, 0, 77))
        .await
        .unwrap();
    wait_version(&cluster, version, &[0, 1, 2]).await;
    watch.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn without_relay_a_cut_off_domain_stays_behind() {
    let plan = Plan {
        trial: "relay = false".to_string(),
        ..Plan::default()
    };
    let cluster = Cluster::start(plan).await;
    cluster.platform_proxies[0].cut();
    let version = cluster
        .publish(&with_weight(&published_table(&cluster).await, 0, 77))
        .await
        .unwrap();
    wait_version(&cluster, version, &[1, 2]).await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let behind = cluster.status(&cluster.daemons[0]).await.unwrap();
    assert!(behind.table_version < version);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_domain_keeps_serving_and_catches_up() {
    let cluster = Cluster::start(Plan::default()).await;
    let watch = VersionMonitor::start(&cluster);
    cluster.platform_proxies[0].cut();
    cluster.peer_proxies[0].cut();
    for p in &cluster.peer_proxies[1..] {
        p.cut_from(domain_ip(0));
    }
    let version = cluster
        .publish(&with_weight(&published_table(&cluster).await, 0, 78))
        .await
        .unwrap();
    wait_version(&cluster, version, &[1, 2]).await;
    let t = stream_completion(&cluster.caller_addrs()[..1], 0, "serves what it can", 10).await;
    assert_eq!(
        (t.end, t.durability.as_str()),
        (CallerOutcome::Complete, "none")
    );
    cluster.platform_proxies[0].heal();
    cluster.peer_proxies.iter().for_each(FaultProxy::heal);
    wait_version(&cluster, version, &[0]).await;
    watch.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn restarts_outages_and_lost_answers_never_revert_the_table() {
    let mut cluster = Cluster::start(Plan::default()).await;
    let watch = VersionMonitor::start(&cluster);
    let platform = cluster.platform.addr();
    let mut last = 0;
    for round in 0..6 {
        let text = with_weight(&published_table(&cluster).await, round % 3, 100 + round);
        let n = round % 3;
        cluster
            .control_at(platform, "faults", &json!({ "lose_answers": 2 }))
            .await;
        // The table is published while one daemon is down and answers of the platform are lost.
        cluster.daemons[n].kill();
        let version = loop {
            match cluster.publish(&text).await {
                Ok(version) => break version,
                Err(CliError::Platform(_) | CliError::Failed(_)) => {}
                Err(e) => panic!("{e}"),
            }
        };
        assert!(version > last);
        last = version;
        cluster
            .control_at(
                platform,
                "faults",
                &json!({ "down": true, "lose_answers": 0 }),
            )
            .await;
        cluster.daemons[n].start();
        tokio::time::sleep(Duration::from_millis(300)).await;
        cluster
            .control_at(platform, "faults", &json!({ "down": false }))
            .await;
        wait_version(&cluster, version, &[0, 1, 2]).await;
        cluster.wait_ready().await;
    }
    watch.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn log_retention_past_the_first_edit_loses_no_edit() {
    let mut cluster = Cluster::start(Plan::default()).await;
    let watch = VersionMonitor::start(&cluster);
    let mut version = 0;
    // More edits than there are between two snapshots of the log.
    for n in 0..60 {
        version = cluster
            .publish(&with_weight(
                &published_table(&cluster).await,
                n % 6,
                200 + n,
            ))
            .await
            .unwrap();
    }
    wait_version(&cluster, version, &[0, 1, 2]).await;
    for _ in 0..100 {
        let log = PlatformHttp::new(cluster.platform.addr());
        let (_, folded) = saddlepulley::cli::read_table(&log).await.unwrap();
        if folded
            .iter()
            .any(|f| matches!(f.record, TableRecord::Snapshot(_)))
        {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let before = published_table(&cluster).await;
    // From here on the log keeps only the last 15 records.
    cluster
        .control("settings", &json!({ "keep_records": 15 }))
        .await;
    version = cluster
        .publish(&with_weight(&before, 0, 999))
        .await
        .unwrap();
    for n in 0..3 {
        cluster.daemons[n].kill();
    }
    for n in 0..3 {
        cluster.daemons[n].start();
    }
    wait_version(&cluster, version, &[0, 1, 2]).await;
    assert!(published_table(&cluster).await.contains("weight = 999"));
    watch.stop().await;
}
