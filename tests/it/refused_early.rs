//! A caller that is refused before its body is read gets the refusal, and its connection stays
//! usable. If the daemon closed the connection with the body unread, TCP would reset it, and the
//! reset would discard the refusal before the caller has read it.

use {
    crate::support::*,
    std::net::SocketAddr,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

const CONNECTIONS_PER_SIZE: usize = 12;
const BODY_BYTES: [usize; 3] = [40, 3_000, 400_000];

/// Sends a call with an unknown token and a body of `bytes` bytes, and reads the status of its
/// answer.
async fn refused(stream: &mut TcpStream, bytes: usize) -> Result<u16, String> {
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: box\r\nauthorization: Bearer nobody\r\n\
         content-type: application/json\r\ncontent-length: {bytes}\r\n\r\n"
    );
    // Write errors are ignored: the answer may have arrived although the body could not be sent
    // in full.
    let _ = stream.write_all(head.as_bytes()).await;
    tokio::task::yield_now().await;
    let _ = stream.write_all(&vec![b'x'; bytes]).await;
    let mut read = Vec::new();
    loop {
        let got = stream
            .read_buf(&mut read)
            .await
            .map_err(|e| e.to_string())?;
        let text = String::from_utf8_lossy(&read);
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        let lines = head.lines().filter_map(|l| l.split_once(": "));
        let mut length = lines.filter(|(n, _)| n.eq_ignore_ascii_case("content-length"));
        if let Some((_, length)) = length.next()
            && body.len() >= length.parse().unwrap()
        {
            return Ok(head[9..12].parse().unwrap());
        }
        if got == 0 {
            return Err(format!("closed after {} bytes", read.len()));
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_sent_before_the_body_is_read_arrives_and_the_connection_stays_usable() {
    let cluster = Cluster::start(Plan::default()).await;
    let at: SocketAddr = cluster.caller_addrs()[0];
    let mut faults = Vec::new();
    for bytes in BODY_BYTES {
        for _ in 0..CONNECTIONS_PER_SIZE {
            let mut stream = TcpStream::connect(at).await.unwrap();
            for attempt in ["first", "second"] {
                let status = refused(&mut stream, bytes).await;
                if status != Ok(401) {
                    faults.push(format!("{attempt} of {bytes} B: {status:?}"));
                    break;
                }
            }
        }
    }
    assert!(faults.is_empty(), "{}: {faults:#?}", faults.len());
}
