//! Sound upstreams that fall silent for a moment and then go on.

use {
    crate::support::*,
    http::StatusCode,
    saddlepulley::upstreams::set_upstream_options,
    saddlepulley_standin::runner::Runner,
    socket2::{Domain, SockRef, Socket, Type},
    std::{
        net::{Ipv4Addr, SocketAddr},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

/// How long a sound upstream may be silent.
const SILENCE: Duration = Duration::from_secs(2);
/// Size of a body that an upstream with a small receive buffer does not acknowledge before it
/// reads, in bytes.
const LARGE: usize = 1_024 * 1_024;
const SMALL_BUFFER: usize = 4 * 1_024;

/// Starts an upstream that begins to read each request only after `SILENCE`.
fn pausing_upstream() -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(SMALL_BUFFER).unwrap();
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    socket.bind(&any.into()).unwrap();
    socket.listen(16).unwrap();
    socket.set_nonblocking(true).unwrap();
    let listener = TcpListener::from_std(socket.into()).unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
    address
}

async fn serve(mut stream: TcpStream) {
    tokio::time::sleep(SILENCE).await;
    let (mut received, mut buf) = (Vec::new(), vec![0; 64 * 1_024]);
    while received.len() < LARGE {
        match stream.read(&mut buf).await {
            Ok(length @ 1..) => received.extend_from_slice(&buf[..length]),
            _ => return,
        }
    }
    let answer = "HTTP/1.1 200 OK\r\nsaddlepulley-attempt: a\r\nsaddlepulley-signature: s\r\n\
                  content-length: 2\r\n\r\nok";
    let _ = stream.write_all(answer.as_bytes()).await;
}

#[tokio::test]
async fn a_request_outlasts_a_pause_in_which_its_upstream_reads_nothing() {
    let runner = Runner::start("u0", 1).await.unwrap();
    let address = pausing_upstream();
    let routes = routes_file(1, &[&ONCE], &[&runner]);
    let routes = routes.replace(&runner.address().to_string(), &address.to_string());
    let daemon = GatewayDaemon::start(&routes).await;
    let body = "x".repeat(LARGE);
    let answer = daemon.client().await.fetch("a", "/once/x", &body).await;
    assert_eq!(answer.status, StatusCode::OK);
}

/// If a user time-out is set, it also decides when unanswered keep-alive probes end a connection.
#[tokio::test]
async fn keep_alive_probes_do_not_end_a_connection_to_an_upstream_that_is_silent_for_a_moment() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    set_upstream_options(&stream).unwrap();
    let socket = SockRef::from(&stream);
    let user_timeout = socket.tcp_user_timeout().unwrap().expect("a user time-out");
    let probes = socket.tcp_keepalive_interval().unwrap() * socket.tcp_keepalive_retries().unwrap();
    let by_probes = socket.tcp_keepalive_time().unwrap() + probes;
    assert!(user_timeout > SILENCE, "{user_timeout:?}");
    assert!(by_probes > SILENCE, "{by_probes:?}");
}
