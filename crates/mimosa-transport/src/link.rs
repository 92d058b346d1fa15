//! A TCP client that keeps one connection to a peer open.
//!
//! Each connection has its own [`Outbox`], handed over with [`Event::Connected`]: a message for a
//! lost connection is never sent on the next one, so a protocol starts again with its greeting.
//! Both directions are bounded. A peer that reads too slowly fills its outbox and the sender is told;
//! a peer whose socket takes nothing within the write timeout is disconnected.

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

/// How a link behaves.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time for the connection to be made.
    pub connect_timeout: Duration,
    /// Time for one message to be taken by the socket.
    pub write_timeout: Duration,
    /// First wait after a failure.
    pub first_backoff: Duration,
    /// Longest wait between attempts.
    pub max_backoff: Duration,
    /// Messages waiting to be sent, at most.
    pub outbox_messages: usize,
    /// Events waiting to be read by the owner, at most; the peer is slowed down beyond.
    pub inbox_events: usize,
    /// Seed of the jitter: different for each instance.
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

/// What happened on a link.
#[derive(Debug)]
pub enum Event<In, Out> {
    /// A connection stands; messages go into its outbox.
    Connected(Outbox<Out>),
    /// A message arrived.
    Message(In),
    /// The connection is gone, or could not be made; the next attempt follows by itself.
    Disconnected(Disconnect),
}

/// Why there is no connection.
#[derive(Debug, ThisError)]
pub enum Disconnect {
    /// Connecting took too long.
    #[error("connecting timed out")]
    ConnectTimeout,
    /// Connecting failed.
    #[error("connecting failed: {0}")]
    ConnectFailed(io::Error),
    /// The peer closed the connection between two messages.
    #[error("the peer closed the connection")]
    Closed,
    /// The owner dropped the outbox.
    #[error("the outbox was dropped")]
    OutboxDropped,
    /// The socket took nothing within the write timeout.
    #[error("the peer reads too slowly")]
    SlowPeer,
    /// The stream failed or carried a damaged message.
    #[error("the connection failed: {0}")]
    Failed(Error),
}

/// What became of a message handed to an outbox.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum SendOutcome {
    /// It waits to be written; that it arrives is not promised.
    Queued,
    /// The peer is slow and the outbox is full: nothing was queued.
    Full,
    /// The connection is gone: nothing was queued.
    Gone,
}

/// Takes the messages for one connection.
#[derive(Clone, Debug)]
pub struct Outbox<Out>(mpsc::Sender<Out>);

impl<Out> Outbox<Out> {
    /// Queues a message without waiting.
    pub fn send(&self, message: Out) -> SendOutcome {
        match self.0.try_send(message) {
            Ok(()) => SendOutcome::Queued,
            Err(TrySendError::Full(_)) => SendOutcome::Full,
            Err(TrySendError::Closed(_)) => SendOutcome::Gone,
        }
    }
}

/// The owner's end of a link. Dropping it closes the connection.
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
    /// Starts to connect to a peer, on the current `tokio` runtime.
    pub fn open(peer: SocketAddr, settings: Settings) -> Self {
        let (tx, events) = mpsc::channel(settings.inbox_events.max(1));
        let task = tokio::spawn(run(peer, settings, tx));
        Self { events, task }
    }

    /// Waits for the next event. Safe to cancel.
    pub async fn next(&mut self) -> Event<In, Out> {
        match self.events.recv().await {
            Some(event) => event,
            // The runtime stops, and with it whoever waits here.
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
        let mut heard = false;
        let end = match connect(peer, settings.connect_timeout).await {
            Ok(stream) => converse(stream, &settings, &events, &mut heard).await,
            Err(end) => end,
        };
        if heard {
            backoff.reset();
        }
        let _ = events.send(Event::Disconnected(end)).await;
        sleep(backoff.next_wait()).await;
    }
}

async fn connect(peer: SocketAddr, limit: Duration) -> Result<TcpStream, Disconnect> {
    let stream = timeout(limit, TcpStream::connect(peer))
        .await
        .map_err(|_| Disconnect::ConnectTimeout)?
        .map_err(Disconnect::ConnectFailed)?;
    socket::configure(&stream);
    Ok(stream)
}

async fn converse<In, Out>(
    stream: TcpStream,
    settings: &Settings,
    events: &Events<In, Out>,
    heard: &mut bool,
) -> Disconnect
where
    In: DeserializeOwned,
    Out: Serialize,
{
    let (tx, rx) = mpsc::channel(settings.outbox_messages.max(1));
    let _ = events.send(Event::Connected(Outbox(tx))).await;
    let (reader, writer) = stream.into_split();
    tokio::select! {
        end = read_all(reader, events, heard) => end,
        end = write_all(writer, rx, settings.write_timeout) => end,
    }
}

async fn read_all<In, Out>(
    mut reader: impl AsyncRead + Unpin,
    events: &Events<In, Out>,
    heard: &mut bool,
) -> Disconnect
where
    In: DeserializeOwned,
{
    loop {
        match frame::read(&mut reader).await {
            Ok(Some(message)) => {
                *heard = true;
                let _ = events.send(Event::Message(message)).await;
            }
            Ok(None) => return Disconnect::Closed,
            Err(e) => return Disconnect::Failed(e),
        }
    }
}

async fn write_all<Out: Serialize>(
    mut writer: impl AsyncWrite + Unpin,
    mut outbox: mpsc::Receiver<Out>,
    limit: Duration,
) -> Disconnect {
    while let Some(message) = outbox.recv().await {
        match timeout(limit, frame::write(&mut writer, &message)).await {
            Ok(Ok(())) => {}
            Ok(Err(e)) => return Disconnect::Failed(e),
            Err(_) => return Disconnect::SlowPeer,
        }
    }
    Disconnect::OutboxDropped
}
