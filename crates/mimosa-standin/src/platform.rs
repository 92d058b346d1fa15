//! A fake of the platform API that lists running instances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::routing::get;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Result;
use mimosa_protocol::data;

use crate::serve::Server;

data! {
    /// An element of the JSON array at `GET /instances`.
    pub struct ListedInstance {
        /// Instance id, as in the `[instance]` section of its settings.
        pub instance: InstanceId,
        /// Whether the instance is about to shut down.
        pub leaving: bool,
    }
}

/// A running platform API. Dropping it closes every connection.
#[derive(Debug)]
pub struct Platform {
    server: Server,
    list: Arc<Mutex<Vec<ListedInstance>>>,
}

impl Platform {
    /// Starts the API with an empty list. Port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// [`Error::Network`](mimosa_protocol::Error::Network) if the address cannot be bound.
    pub async fn start(listen: SocketAddr) -> Result<Self> {
        let list: Arc<Mutex<Vec<ListedInstance>>> = Arc::default();
        let router = Router::new()
            .route("/instances", get(list_instances))
            .with_state(Arc::clone(&list));
        let server = Server::start(listen, router).await?;
        Ok(Self { server, list })
    }

    /// The bound address, with the selected port if port 0 was requested.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the list that later requests return.
    pub fn set(&self, list: impl IntoIterator<Item = ListedInstance>) {
        *self.list.lock().expect("the lock is not poisoned") = list.into_iter().collect();
    }
}

async fn list_instances(
    State(list): State<Arc<Mutex<Vec<ListedInstance>>>>,
) -> Json<Vec<ListedInstance>> {
    Json(list.lock().expect("the lock is not poisoned").clone())
}
