//! Calls that have arrived by the time that a stopping daemon exits are answered: they are
//! served, or refused as not run.

use {
    crate::support::*,
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

const CALLS: usize = 12;

/// Reads the status of the answer.
async fn status(stream: &mut TcpStream) -> Result<u16, String> {
    let mut read = Vec::new();
    while read.len() < 12 {
        let got = stream
            .read_buf(&mut read)
            .await
            .map_err(|e| e.to_string())?;
        if got == 0 {
            return Err(format!("closed after {} bytes", read.len()));
        }
    }
    let text = String::from_utf8_lossy(&read);
    text[9..12].parse().map_err(|_| text.to_string())
}

/// The daemon gets no processor time (it is frozen) until after the time at which its stop would
/// have ended, and calls arrive meanwhile on open and on new connections.
#[tokio::test(flavor = "multi_thread")]
async fn calls_that_arrive_before_a_stopping_daemon_exits_are_answered() {
    let cluster = Cluster::start(Plan::default()).await;
    let daemon = &cluster.daemons[0];
    let at = cluster.caller_addrs()[0];
    let mut connections = Vec::new();
    for _ in 0..CALLS {
        connections.push(TcpStream::connect(at).await.unwrap());
    }
    daemon.terminate();
    let client = test_client::Client::default();
    for _ in 0..200 {
        let ready = client.send("GET", at, "/readyz", &[], "").await;
        if ready.is_ok_and(|r| r.status == 503) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    daemon.freeze();
    let mut calls = connections;
    for _ in 0..CALLS {
        calls.push(TcpStream::connect(at).await.unwrap());
    }
    for stream in &mut calls {
        let call =
            b"POST /v1/chat/completions HTTP/1.1\r\nhost: box\r\nauthorization: Bearer nobody\r\n\
                     content-type: application/json\r\ncontent-length: 2\r\n\r\n{}";
        stream.write_all(call).await.unwrap();
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    daemon.thaw();
    let mut faults = Vec::new();
    for stream in &mut calls {
        if let Err(e) = status(stream).await {
            faults.push(e);
        }
    }
    assert!(
        faults.is_empty(),
        "{} of {}: {faults:#?}",
        faults.len(),
        calls.len()
    );
}
