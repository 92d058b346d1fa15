//! A TCP client that maintains a connection to one peer and reconnects after a failure.
//!
//! Each connection has its own [`Outbox`], delivered with [`Event::Connected`]. A message queued for
//! a lost connection is never sent on the next one, so that each connection starts with the
//! handshake of its protocol.
//!
//! Both directions are bounded. If the peer reads too slowly, the outbox fills up and
//! [`Outbox::send`] returns [`SendOutcome::Full`]. If a write does not complete within the write
//! timeout, the connection is closed.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use mimosa_protocol::Error;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error as ThisError;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::backoff::Backoff;
use crate::frame;
use crate::socket;

/// Time-outs and queue sizes of a link.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Maximum time to establish a connection.
    pub connect_timeout: Duration,
    /// Maximum time to write one message to the socket.
    pub write_timeout: Duration,
    /// Delay after the first failure, see [`Backoff`].
    pub first_backoff: Duration,
    /// Maximum delay between attempts.
    pub max_backoff: Duration,
    /// Capacity of the outbox, in messages.
    pub outbox_messages: usize,
    /// Capacity of the event queue. While it is full, the link does not read from the socket, so
    /// that TCP flow control slows the peer down.
    pub inbox_events: usize,
    /// Seed of the backoff jitter; should differ between instances.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(2),
            write_timeout: Duration::from_secs(5),
            first_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(2),
            outbox_messages: 1_024,
            inbox_events: 64,
            seed: 0,
        }
    }
}

/// What a link reports: connections, their ends, and the messages received between them.
#[derive(Debug)]
pub enum Event<In, Out> {
    /// A connection was established. Messages are sent through its outbox.
    Connected(Outbox<Out>),
    /// A message was received.
    Message(In),
    /// The connection was lost or could not be established. The link reconnects automatically.
    Disconnected(Disconnect),
}

/// Why a connection was lost or could not be established.
#[derive(Debug, ThisError)]
pub enum Disconnect {
    /// The connection was not established within the connect timeout.
    #[error("connecting timed out")]
    ConnectTimeout,
    /// The operating system reported an error while connecting.
    #[error("connecting failed: {0}")]
    ConnectFailed(io::Error),
    /// The peer closed the connection after a complete message.
    #[error("the peer closed the connection")]
    Closed,
    /// All clones of the outbox were dropped.
    #[error("the outbox was dropped")]
    OutboxDropped,
    /// A write did not complete within the write timeout.
    #[error("the peer reads too slowly")]
    SlowPeer,
    /// Reading or writing failed, or the peer sent an invalid message.
    #[error("the connection failed: {0}")]
    Failed(Error),
}

/// Whether a message was queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum SendOutcome {
    /// The message is queued for writing. Delivery is not guaranteed.
    Queued,
    /// The message was discarded, as the outbox is full because the peer is slow.
    Full,
    /// The message was discarded, as the connection is closed.
    Gone,
}

/// The send queue of one connection.
#[derive(Clone, Debug)]
pub struct Outbox<Out>(mpsc::Sender<Out>);

impl<Out> Outbox<Out> {
    /// Queues a message without blocking.
    pub fn send(&self, message: Out) -> SendOutcome {
        match self.0.try_send(message) {
            Ok(()) => SendOutcome::Queued,
            Err(TrySendError::Full(_)) => SendOutcome::Full,
            Err(TrySendError::Closed(_)) => SendOutcome::Gone,
        }
    }
}

/// A link to one peer. Dropping it closes the connection.
#[derive(Debug)]
pub struct Link<In, Out> {
    events: mpsc::Receiver<Event<In, Out>>,
    task: JoinHandle<()>,
}

impl<In, Out> Link<In, Out>
where
    In: DeserializeOwned + Send + 'static,
    Out: Serialize + Send + Sync + 'static,
{
    /// Spawns the link on the current `tokio` runtime and starts to connect.
    pub fn open(peer: SocketAddr, settings: Settings) -> Self {
        let (tx, events) = mpsc::channel(settings.inbox_events.max(1));
        let task = tokio::spawn(run(peer, settings, tx));
        Self { events, task }
    }

    /// Waits for the next event, as long as the runtime runs. Cancel safe.
    pub async fn next(&mut self) -> Event<In, Out> {
        match self.events.recv().await {
            Some(event) => event,
            // The task of the link ends early only when the runtime shuts down.
            None => std::future::pending().await,
        }
    }
}

impl<In, Out> Drop for Link<In, Out> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

type Events<In, Out> = mpsc::Sender<Event<In, Out>>;

async fn run<In, Out>(peer: SocketAddr, settings: Settings, events: Events<In, Out>)
where
    In: DeserializeOwned,
    Out: Serialize,
{
    let mut backoff = Backoff::new(settings.first_backoff, settings.max_backoff, settings.seed);
    while !events.is_closed() {
        let mut received = false;
        let reason = match connect(peer, settings.connect_timeout).await {
            Ok(stream) => run_connection(stream, &settings, &events, &mut received).await,
            Err(reason) => reason,
        };
        // A peer that accepts connections without ever answering does not reset the backoff.
        if received {
            backoff.reset();
        }
        let _ = events.send(Event::Disconnected(reason)).await;
        sleep(backoff.next_delay()).await;
    }
}

async fn connect(peer: SocketAddr, connect_timeout: Duration) -> Result<TcpStream, Disconnect> {
    let stream = timeout(connect_timeout, TcpStream::connect(peer))
        .await
        .map_err(|_| Disconnect::ConnectTimeout)?
        .map_err(Disconnect::ConnectFailed)?;
    socket::configure(&stream);
    Ok(stream)
}

async fn run_connection<In, Out>(
    stream: TcpStream,
    settings: &Settings,
    events: &Events<In, Out>,
    received: &mut bool,
) -> Disconnect
where
    In: DeserializeOwned,
    Out: Serialize,
{
    let (tx, rx) = mpsc::channel(settings.outbox_messages.max(1));
    let _ = events.send(Event::Connected(Outbox(tx))).await;
    let (reader, writer) = stream.into_split();
    tokio::select! {
        reason = read_messages(reader, events, received) => reason,
        reason = write_messages(writer, rx, settings.write_timeout) => reason,
    }
}

async fn read_messages<In, Out>(
    mut reader: impl AsyncRead + Unpin,
    events: &Events<In, Out>,
    received: &mut bool,
) -> Disconnect
where
    In: DeserializeOwned,
{
    loop {
        match frame::read(&mut reader).await {
            Ok(Some(message)) => {
                *received = true;
                let _ = events.send(Event::Message(message)).await;
            }
            Ok(None) => return Disconnect::Closed,
            Err(e) => return Disconnect::Failed(e),
        }
    }
}

async fn write_messages<Out: Serialize>(
    mut writer: impl AsyncWrite + Unpin,
    mut outbox: mpsc::Receiver<Out>,
    write_timeout: Duration,
) -> Disconnect {
    while let Some(message) = outbox.recv().await {
        match timeout(write_timeout, frame::write(&mut writer, &message)).await {
            Ok(Ok(())) => {}
            Ok(Err(e)) => return Disconnect::Failed(e),
            Err(_) => return Disconnect::SlowPeer,
        }
    }
    Disconnect::OutboxDropped
}
