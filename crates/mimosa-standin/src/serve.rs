//! Serves an axum router until its handle is dropped.

use std::net::SocketAddr;

use axum::Router;
use mimosa_protocol::Error;
use mimosa_protocol::Result;
use tokio::net::TcpListener;
use tokio::task::AbortHandle;

/// A running server. Dropping it closes every connection, as a crash does.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    abort: AbortHandle,
}

impl Server {
    /// Binds the address and serves the router in a task. Port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// [`Error::Network`] if the address cannot be bound.
    pub async fn start(listen: SocketAddr, router: Router) -> Result<Self> {
        let listener = TcpListener::bind(listen)
            .await
            .map_err(|source| listen_error(listen, source))?;
        let address = listener
            .local_addr()
            .map_err(|source| listen_error(listen, source))?;
        let task = tokio::spawn(async move {
            if let Err(e) = axum::serve(listener, router).await {
                log::error!("stand-in server at {address} failed: {e}");
            }
        });
        Ok(Self {
            address,
            abort: task.abort_handle(),
        })
    }

    /// The bound address, with the selected port if port 0 was requested.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.abort.abort();
    }
}

fn listen_error(listen: SocketAddr, source: std::io::Error) -> Error {
    Error::Network {
        action: "listen on",
        peer: listen.to_string(),
        source,
    }
}
