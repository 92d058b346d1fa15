//! Connections to endpoints, kept open between requests.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header;
use hyper_util::rt::TokioIo;
use log::debug;
use mimosa_protocol::Timestamp;
use mimosa_transport::socket;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Time for a connection to an endpoint to be made: some round trips inside a region and one lost
/// packet would take longer than any caller of a plain service waits.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle time after which a connection is not used again, where the endpoint names none.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Part of the idle time that an endpoint names, in tenths: the rest is for the way.
const IDLE_TENTHS: u32 = 7;
/// Idle connections kept for one endpoint.
const MAX_IDLE: usize = 32;

/// The connections to one endpoint.
#[derive(Clone)]
pub(crate) struct Pool(Arc<Inner>);

struct Inner {
    address: SocketAddr,
    idle: Mutex<VecDeque<Connection>>,
    open: Arc<AtomicU32>,
}

/// One connection. Dropping it closes the socket, by which the endpoint learns that nobody waits.
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    idle_since: Timestamp,
    idle_time: Duration,
    _open: OpenCount,
}

struct OpenCount(Arc<AtomicU32>);

/// Why nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NotSent {
    /// The endpoint did not take a connection.
    Unreachable,
    /// This gateway has as many connections as it may have.
    TooMany,
}

impl Pool {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self(Arc::new(Inner {
            address,
            idle: Mutex::default(),
            open: Arc::default(),
        }))
    }

    /// An open connection, a kept one if possible.
    pub(crate) async fn take(&self, now: Timestamp, most: u32) -> Result<Connection, NotSent> {
        if let Some(kept) = self.take_idle(now) {
            return Ok(kept);
        }
        if self.0.open.load(Ordering::Relaxed) >= most {
            return Err(NotSent::TooMany);
        }
        Connection::open(self.0.address, &self.0.open).await
    }

    /// Keeps a connection whose answer was read to its end.
    pub(crate) fn put(&self, now: Timestamp, mut connection: Connection) {
        connection.idle_since = now;
        let mut idle = self.idle();
        if idle.len() < MAX_IDLE {
            idle.push_back(connection);
        }
    }

    fn take_idle(&self, now: Timestamp) -> Option<Connection> {
        let mut idle = self.idle();
        // The oldest are at the front.
        while idle.front().is_some_and(|each| !each.is_usable(now)) {
            idle.pop_front();
        }
        while let Some(connection) = idle.pop_back() {
            if connection.is_usable(now) && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    fn idle(&self) -> MutexGuard<'_, VecDeque<Connection>> {
        self.0.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Connection {
    async fn open(address: SocketAddr, open: &Arc<AtomicU32>) -> Result<Self, NotSent> {
        open.fetch_add(1, Ordering::Relaxed);
        let count = OpenCount(Arc::clone(open));
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => {
                debug!("cannot connect to {address}: {e}");
                return Err(NotSent::Unreachable);
            }
            Err(_) => return Err(NotSent::Unreachable),
        };
        socket::configure(&stream);
        let (sender, connection) = http1::Builder::new()
            .preserve_header_case(false)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|_| NotSent::Unreachable)?;
        let task = tokio::spawn(async move {
            if let Err(e) = connection.await {
                debug!("a connection to {address} ended: {e}");
            }
        });
        Ok(Self {
            sender,
            task,
            idle_since: Timestamp::ZERO,
            idle_time: DEFAULT_IDLE,
            _open: count,
        })
    }

    /// Sends a request and waits for the head of the answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> hyper::Result<Response<Incoming>> {
        let response = self.sender.send_request(request).await?;
        if let Some(time) = keep_alive(response.headers()) {
            self.idle_time = time * IDLE_TENTHS / 10;
        }
        Ok(response)
    }

    fn is_usable(&self, now: Timestamp) -> bool {
        !self.sender.is_closed() && now.since(self.idle_since) < self.idle_time
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The idle time that an answer names: `Keep-Alive: timeout=5`. Zero if the connection closes.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let closes = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.to_ascii_lowercase().contains("close"));
    if closes {
        return Some(Duration::ZERO);
    }
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}
