//! Accepts TCP connections and runs each as a task.

use std::net::SocketAddr;
use std::time::Duration;

use log::warn;
use mimosa_protocol::Error;
use mimosa_protocol::Result;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Pause after a failed accept, as when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Listens at an address; a port of 0 becomes a free one.
///
/// # Errors
///
/// [`Error::Network`] if the address cannot be bound.
pub async fn bind(address: SocketAddr) -> Result<(TcpListener, SocketAddr)> {
    let cannot_listen = |source| Error::Network {
        action: "listen on",
        peer: address.to_string(),
        source,
    };
    let listener = TcpListener::bind(address).await.map_err(cannot_listen)?;
    let address = listener.local_addr().map_err(cannot_listen)?;
    Ok((listener, address))
}

/// Accepts connections of `peers` until the future is dropped; its connections end with it.
pub async fn run<F>(listener: TcpListener, peers: &str, connection: impl Fn(TcpStream) -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(connection(stream));
                }
                Err(e) => {
                    warn!("cannot accept a connection of {peers}: {e}");
                    sleep(ACCEPT_PAUSE).await;
                }
            },
            Some(_) = connections.join_next() => {}
        }
    }
}
