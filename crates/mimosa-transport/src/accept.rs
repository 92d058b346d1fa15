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

/// Delay after a failed accept. Without it, the loop would spin while the process has no free file
/// descriptors.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Listens on an address and returns the bound address; port 0 selects a free port.
///
/// # Errors
///
/// [`Error::Network`] if the address cannot be bound.
pub async fn bind(address: SocketAddr) -> Result<(TcpListener, SocketAddr)> {
    let network = |source| Error::Network {
        action: "listen on",
        peer: address.to_string(),
        source,
    };
    let listener = TcpListener::bind(address).await.map_err(network)?;
    let address = listener.local_addr().map_err(network)?;
    Ok((listener, address))
}

/// Accepts connections and runs `connection` for each as a task. Dropping the future ends all
/// connections. `peers` names the clients in log lines.
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
                    sleep(RETRY_DELAY).await;
                }
            },
            Some(_) = connections.join_next() => {}
        }
    }
}
