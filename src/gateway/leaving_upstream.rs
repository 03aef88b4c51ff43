use {
    super::Gateway,
    crate::names::UpstreamId,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{io::AsyncReadExt, net::TcpStream},
};

/// Timeout for opening a connection; an upstream that accepts none within it has ended.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Minimum time between two connections, for upstreams that close idle connections.
const CONNECT_PAUSE: Duration = Duration::from_millis(20);

/// Waits until an upstream that announced that it leaves has ended, and lets its successor
/// receive requests again.
///
/// A configuration file names no incarnations: without this, a rolling restart of upstreams
/// that keep their ids would leave no usable upstream.
pub(super) async fn watch_for_exit(gateway: Arc<Gateway>, id: UpstreamId) {
    while let Some(address) = leaving_address(&gateway, &id) {
        match connect(address).await {
            Some(connection) => until_closed(connection).await,
            None => {
                log::info!(target: "upstreams", "leaving upstream has ended. upstream={id}");
                gateway.change_directory(|directory, _| directory.mark_ended(&id));
            }
        }
        tokio::time::sleep(CONNECT_PAUSE).await;
    }
}

fn leaving_address(gateway: &Gateway, id: &UpstreamId) -> Option<SocketAddr> {
    let directory = gateway.directory.read();
    let is_leaving = directory.is_leaving_until_exit(id);
    directory
        .get(id)
        .filter(|_| is_leaving)
        .map(|upstream| upstream.address)
}

async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let connection = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    connection.await.ok()?.ok()
}

/// Waits until the upstream closes a connection on which no request is sent.
async fn until_closed(mut connection: TcpStream) {
    let mut buf = [0; 64];
    while connection.read(&mut buf).await.is_ok_and(|read| read > 0) {}
}
