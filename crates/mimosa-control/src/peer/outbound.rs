//! Connections to the other control instances, one each, opened again whenever they break.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::PoisonError;
use std::sync::RwLock;
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

/// Messages that wait for one connection; further ones are lost.
const QUEUED_MESSAGES: usize = 4_096;
/// How long a connection may take to open: some round trips between regions. The kernel repeats a
/// lost first packet after a second only, and peers that start at the same moment lose each other's.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long one message may take to leave.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two signs that are asked of a connection: it may go silent without an end.
const PING_PERIOD: Duration = Duration::from_millis(500);
/// Time without a sign after which a connection is given up: some periods, and less than a lease.
const SILENCE: Duration = Duration::from_secs(2);
/// Time before a connection is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The queues to the other instances.
pub struct Outbound {
    hello: PeerMessage,
    queues: RwLock<BTreeMap<InstanceId, mpsc::Sender<PeerMessage>>>,
}

/// One connection to keep open.
pub struct Link {
    peer: InstanceId,
    address: SocketAddr,
    hello: PeerMessage,
    queue: mpsc::Receiver<PeerMessage>,
}

impl Outbound {
    /// Prepares connections to other instances; each [`Link`] has to be run as a task.
    pub fn new(
        hello: &PeerMessage,
        peers: impl IntoIterator<Item = (InstanceId, SocketAddr)>,
    ) -> (Self, Vec<Link>) {
        let outbound = Self {
            hello: hello.clone(),
            queues: RwLock::default(),
        };
        let links = peers
            .into_iter()
            .filter_map(|(peer, address)| outbound.add(peer, address))
            .collect();
        (outbound, links)
    }

    /// Prepares a connection to one more instance; nothing if it is known already.
    pub fn add(&self, peer: InstanceId, address: SocketAddr) -> Option<Link> {
        let mut queues = self.queues.write().unwrap_or_else(PoisonError::into_inner);
        if queues.contains_key(&peer) {
            return None;
        }
        let (tx, queue) = mpsc::channel(QUEUED_MESSAGES);
        queues.insert(peer.clone(), tx);
        Some(Link {
            peer,
            address,
            hello: self.hello.clone(),
            queue,
        })
    }

    /// Queues a message. Returns whether there is such a peer with room in its queue; the message
    /// may still be lost.
    pub fn send(&self, to: &InstanceId, message: PeerMessage) -> bool {
        let queues = self.queues.read().unwrap_or_else(PoisonError::into_inner);
        queues
            .get(to)
            .is_some_and(|queue| queue.try_send(message).is_ok())
    }

    /// Queues a message for every peer.
    pub fn send_all(&self, message: &PeerMessage) {
        let queues = self.queues.read().unwrap_or_else(PoisonError::into_inner);
        queues.values().for_each(|queue| {
            queue.try_send(message.clone()).ok();
        });
    }
}

impl Link {
    /// Keeps the connection open and writes what is queued, until the queue is closed.
    pub async fn run(mut self) {
        loop {
            match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await {
                Ok(Ok(stream)) => {
                    info!("connected to control instance {}", self.peer);
                    if self.write(stream).await.is_none() {
                        return;
                    }
                    info!("the connection to control instance {} broke", self.peer);
                }
                Ok(Err(e)) => debug!("cannot connect to {}: {e}", self.peer),
                Err(_) => debug!("cannot connect to {} in time", self.peer),
            }
            // What waited meanwhile is outdated: its senders repeat what matters.
            while self.queue.try_recv().is_ok() {}
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Writes until the connection breaks or is silent; `None` once the queue is closed.
    async fn write(&mut self, stream: TcpStream) -> Option<()> {
        mimosa_transport::socket::configure(&stream);
        let (signs, writer) = stream.into_split();
        tokio::select! {
            written = self.write_all(writer) => written,
            () = hear_signs(signs) => Some(()),
        }
    }

    async fn write_all(&mut self, mut writer: OwnedWriteHalf) -> Option<()> {
        let mut pings = interval(PING_PERIOD);
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

/// Returns when the other side gives no sign any more.
async fn hear_signs(mut signs: OwnedReadHalf) {
    while let Ok(Ok(Some(PeerMessage::Pong))) = timeout(SILENCE, frame::read(&mut signs)).await {}
}
