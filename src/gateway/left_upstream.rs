use {
    super::Gateway,
    crate::names::UpstreamId,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{io::AsyncReadExt, net::TcpStream},
};

/// How long a connection may take to come up: an upstream that takes none has ended.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The least time between two connections, where the upstream closes them by itself.
const CONNECT_PAUSE: Duration = Duration::from_millis(20);

/// Waits until an upstream has ended that said that it leaves, and lets what comes in its
/// place have work again. A file names no lives: without this, each rolling restart of
/// upstreams under their ids would leave none to use.
pub(super) async fn watch_for_end(gateway: Arc<Gateway>, id: UpstreamId) {
    while let Some(address) = address_of_left(&gateway, &id) {
        match connect(address).await {
            Some(connection) => until_closed(connection).await,
            None => {
                log::info!(target: "upstreams", "one that left has ended. upstream={id}");
                gateway.change_directory(|directory, _| directory.mark_ended(&id));
            }
        }
        tokio::time::sleep(CONNECT_PAUSE).await;
    }
}

fn address_of_left(gateway: &Gateway, id: &UpstreamId) -> Option<SocketAddr> {
    let directory = gateway.directory.read();
    let is_left = directory.is_leaving_until_exit(id);
    directory
        .get(id)
        .filter(|_| is_left)
        .map(|upstream| upstream.address)
}

async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let connection = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    connection.await.ok()?.ok()
}

/// Waits until the other side closes a connection on which nothing is asked.
async fn until_closed(mut connection: TcpStream) {
    let mut buf = [0; 64];
    while connection.read(&mut buf).await.is_ok_and(|read| read > 0) {}
}
