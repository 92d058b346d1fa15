//! Asks the other control instances for an existing cluster before a new one is bootstrapped.
//!
//! An instance that lost its disk is indistinguishable from a new one. If it is started with the
//! bootstrap setting but reaches an instance that belongs to a cluster, it joins that cluster
//! instead.

use std::net::SocketAddr;
use std::time::Duration;

use mimosa_protocol::Result;
use mimosa_transport::frame;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::peer::PeerMessage;

const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Whether any of the peers belongs to a cluster. Unreachable peers and those that do not answer in
/// time count as no.
pub async fn is_any_peer_bootstrapped(
    hello: &PeerMessage,
    peers: impl IntoIterator<Item = SocketAddr> + Send,
) -> bool {
    let mut queries = JoinSet::new();
    for peer in peers {
        queries.spawn(timeout(QUERY_TIMEOUT, query_peer(hello.clone(), peer)));
    }
    let answers = queries.join_all().await;
    answers
        .into_iter()
        .any(|answer| matches!(answer, Ok(Ok(true))))
}

async fn query_peer(hello: PeerMessage, peer: SocketAddr) -> Result<bool> {
    let Ok(mut stream) = TcpStream::connect(peer).await else {
        return Ok(false);
    };
    frame::write(&mut stream, &hello).await?;
    frame::write(&mut stream, &PeerMessage::QueryBootstrapped).await?;
    let answer = frame::read(&mut stream).await?;
    Ok(matches!(answer, Some(PeerMessage::Bootstrapped(true))))
}
