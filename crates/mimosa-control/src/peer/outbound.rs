//! Outgoing connections to the other control instances: one to each, reopened when it breaks.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::RwLockReadGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::debug;
use log::info;
use mimosa_protocol::InstanceId;
use mimosa_transport::frame;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::peer::PeerMessage;

/// Capacity of the queue of one connection; further messages are dropped.
const MAX_QUEUED_MESSAGES: usize = 4_096;
/// Long enough for several round trips between regions. Shorter than the kernel's first SYN
/// retransmission after 1 s: peers that start at the same time lose each other's SYN packets and
/// must retry sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time limit of writing one message.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval of the pings that detect a dead connection, which can go silent without being closed.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a pong after which a connection is closed: several ping intervals, and less than a
/// lease.
const PONG_TIMEOUT: Duration = Duration::from_secs(2);
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// The message queues to the other instances. Messages of a full queue or a broken connection are
/// dropped.
pub struct Outbound {
    hello: PeerMessage,
    peers: RwLock<BTreeMap<InstanceId, Peer>>,
}

struct Peer {
    queue: mpsc::Sender<PeerMessage>,
    /// Whether the peer answers on its connection.
    is_connected: Arc<AtomicBool>,
}

/// A connection that is kept open to one peer.
pub struct PeerLink {
    peer: InstanceId,
    address: SocketAddr,
    hello: PeerMessage,
    queue: mpsc::Receiver<PeerMessage>,
    is_connected: Arc<AtomicBool>,
}

impl Outbound {
    /// Creates the queues of `peers`. The caller must run each [`PeerLink`] as a task.
    pub fn new(
        hello: &PeerMessage,
        peers: impl IntoIterator<Item = (InstanceId, SocketAddr)>,
    ) -> (Self, Vec<PeerLink>) {
        let outbound = Self {
            hello: hello.clone(),
            peers: RwLock::default(),
        };
        let links = peers
            .into_iter()
            .filter_map(|(peer, address)| outbound.add(peer, address))
            .collect();
        (outbound, links)
    }

    /// Adds a peer; `None` if it was added before. The caller must run the [`PeerLink`] as a task.
    pub fn add(&self, peer: InstanceId, address: SocketAddr) -> Option<PeerLink> {
        let mut peers = self.peers.write().unwrap_or_else(PoisonError::into_inner);
        if peers.contains_key(&peer) {
            return None;
        }
        let (tx, queue) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let is_connected = Arc::new(AtomicBool::new(false));
        let added = Peer {
            queue: tx,
            is_connected: Arc::clone(&is_connected),
        };
        peers.insert(peer.clone(), added);
        Some(PeerLink {
            peer,
            address,
            hello: self.hello.clone(),
            queue,
            is_connected,
        })
    }

    /// Queues a message. Returns false if the peer is unknown or its queue is full. A queued
    /// message can still be lost.
    pub fn send(&self, to: &InstanceId, message: PeerMessage) -> bool {
        self.peers()
            .get(to)
            .is_some_and(|peer| peer.queue.try_send(message).is_ok())
    }

    /// Queues a message for every peer; full queues drop it.
    pub fn send_all(&self, message: &PeerMessage) {
        self.peers().values().for_each(|peer| {
            peer.queue.try_send(message.clone()).ok();
        });
    }

    /// The peers that answer on their connections.
    pub fn connected(&self) -> Vec<InstanceId> {
        self.peers()
            .iter()
            .filter(|(_, peer)| peer.is_connected.load(Ordering::Relaxed))
            .map(|(instance, _)| instance.clone())
            .collect()
    }

    fn peers(&self) -> RwLockReadGuard<'_, BTreeMap<InstanceId, Peer>> {
        self.peers.read().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PeerLink {
    /// Keeps the connection open and writes the queued messages, until the queue is closed.
    pub async fn run(mut self) {
        loop {
            match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await {
                Ok(Ok(stream)) => {
                    info!("connected to control instance {}", self.peer);
                    if self.write(stream).await.is_none() {
                        return;
                    }
                    info!("lost the connection to control instance {}", self.peer);
                }
                Ok(Err(e)) => debug!("cannot connect to {}: {e}", self.peer),
                Err(_) => debug!(
                    "cannot connect to {}: no answer within {CONNECT_TIMEOUT:?}",
                    self.peer
                ),
            }
            // Messages queued meanwhile are outdated; their senders repeat the important ones.
            while self.queue.try_recv().is_ok() {}
            sleep(RECONNECT_DELAY).await;
        }
    }

    /// Writes until the connection breaks or pongs stop; `None` once the queue is closed.
    async fn write(&mut self, stream: TcpStream) -> Option<()> {
        mimosa_transport::socket::configure(&stream);
        let (pongs, writer) = stream.into_split();
        let is_connected = Arc::clone(&self.is_connected);
        let written = tokio::select! {
            written = self.write_all(writer) => written,
            () = read_pongs(pongs, &is_connected) => Some(()),
        };
        is_connected.store(false, Ordering::Relaxed);
        written
    }

    async fn write_all(&mut self, mut writer: OwnedWriteHalf) -> Option<()> {
        let mut pings = interval(PING_INTERVAL);
        pings.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut next = Some(self.hello.clone());
        loop {
            let message = match next.take() {
                Some(message) => message,
                None => tokio::select! {
                    message = self.queue.recv() => message?,
                    _ = pings.tick() => PeerMessage::Ping,
                },
            };
            let Ok(buf) = frame::encode(&message) else {
                continue;
            };
            match timeout(WRITE_TIMEOUT, writer.write_all(&buf)).await {
                Ok(Ok(())) => {}
                _ => return Some(()),
            }
        }
    }
}

/// Returns when the connection closes or no pong arrives within [`PONG_TIMEOUT`].
async fn read_pongs(mut pongs: OwnedReadHalf, is_connected: &AtomicBool) {
    while let Ok(Ok(Some(PeerMessage::Pong))) = timeout(PONG_TIMEOUT, frame::read(&mut pongs)).await
    {
        is_connected.store(true, Ordering::Relaxed);
    }
}
