//! Pool of persistent connections to endpoints.

use std::collections::VecDeque;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
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
use tokio::time::sleep;
use tokio::time::timeout;

use crate::endpoint_stream::EndpointStream;
use crate::endpoint_stream::ReadsSlowly;
use crate::memory::GatewayMemory;

/// Connect timeout; covers several round trips within a region. Waiting for the retransmission of a
/// lost packet would take longer than clients of plain services wait.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle time after which a connection is not reused, if the endpoint sends no keep-alive timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Part of the endpoint's keep-alive timeout that is used, in tenths. The rest is a margin for
/// network latency.
const KEEP_ALIVE_TENTHS: u32 = 7;
/// Time in which the ends of all connections of a crashed endpoint are noticed. The end of a response
/// that only the end of its connection marks is delayed by it.
const CRASH_NOTICE_TIME: Duration = Duration::from_millis(60);
const CRASH_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum size of a response head. Bytes of a head without end are not read beyond it.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Read buffer where memory is limited; as large as heads of clients may be. A response that its client
/// does not read occupies it.
const LIMITED_READ_BUFFER_BYTES: usize = 24 << 10;
/// Maximum number of idle connections per endpoint.
const MAX_IDLE_CONNECTIONS: usize = 32;

/// Part of all connections up to which idle ones are kept, in quarters. The rest is for new ones.
const KEPT_QUARTERS: u32 = 3;

/// Limits of the connections to all endpoints together.
pub(crate) struct EndpointSockets {
    open: AtomicU32,
    max: u32,
    /// Receive buffer; `None` keeps that of the system.
    receive_buffer: Option<usize>,
    /// Size of the buffer from which heads and bodies are read.
    read_buffer: usize,
}

impl EndpointSockets {
    pub(crate) fn new(memory: &GatewayMemory) -> Arc<Self> {
        Arc::new(Self {
            open: AtomicU32::new(0),
            max: memory.max_endpoint_connections,
            receive_buffer: memory.receive_buffer(),
            read_buffer: match memory.is_limited() {
                true => LIMITED_READ_BUFFER_BYTES,
                false => MAX_HEAD_BYTES,
            },
        })
    }

    fn has_room(&self) -> bool {
        self.open.load(Ordering::Relaxed) < self.max
    }

    fn may_keep_idle(&self) -> bool {
        self.open.load(Ordering::Relaxed) <= self.max / 4 * KEPT_QUARTERS
    }
}

/// Connection pool of one endpoint.
#[derive(Clone)]
pub(crate) struct Pool(Arc<Inner>);

struct Inner {
    address: SocketAddr,
    sockets: Arc<EndpointSockets>,
    idle: Mutex<VecDeque<Connection>>,
    open_connections: Arc<AtomicU32>,
    /// State of the connections, also of some that ended.
    states: Mutex<Vec<Weak<ConnectionState>>>,
}

/// What the end of a connection, or that it has not ended, says about the process of the endpoint.
#[derive(Default)]
struct ConnectionState {
    has_ended: AtomicBool,
    /// Whether its response waits for a client that reads slowly. Nothing is read from the connection then, and
    /// its end is not noticed.
    is_held_up: AtomicBool,
}

impl ConnectionState {
    fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::Relaxed)
    }
}

/// Whether at least half of the connections have ended.
fn have_most_ended(states: &[Arc<ConnectionState>]) -> bool {
    let ended = states.iter().filter(|state| state.has_ended()).count();
    2 * ended >= states.len()
}

/// A connection to an endpoint. Dropping it closes the socket, which cancels the request there.
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    reads_slowly: ReadsSlowly,
    state: Arc<ConnectionState>,
    task: JoinHandle<()>,
    /// Whether no request was sent on it yet.
    is_new: bool,
    idle_since: Timestamp,
    idle_timeout: Duration,
}

/// Counts a connection as open while its task runs.
struct OpenConnectionGuard {
    of_endpoint: Arc<AtomicU32>,
    sockets: Arc<EndpointSockets>,
    state: Arc<ConnectionState>,
}

impl OpenConnectionGuard {
    fn new(inner: &Inner) -> Self {
        inner.open_connections.fetch_add(1, Ordering::Relaxed);
        inner.sockets.open.fetch_add(1, Ordering::Relaxed);
        let state = Arc::<ConnectionState>::default();
        let mut states = inner.states();
        states.retain(|state| state.strong_count() > 0);
        states.push(Arc::downgrade(&state));
        Self {
            of_endpoint: Arc::clone(&inner.open_connections),
            sockets: Arc::clone(&inner.sockets),
            state,
        }
    }
}

/// Why no connection was available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PoolError {
    /// No process listens at the endpoint's address.
    Refused,
    /// The endpoint did not accept a connection.
    Unreachable,
    /// This gateway has reached its connection limit for the endpoint.
    LimitReached,
}

impl Pool {
    pub(crate) fn new(address: SocketAddr, sockets: Arc<EndpointSockets>) -> Self {
        Self(Arc::new(Inner {
            address,
            sockets,
            idle: Mutex::default(),
            open_connections: Arc::default(),
            states: Mutex::default(),
        }))
    }

    /// Returns an idle connection if possible, otherwise opens one unless `max_connections` are
    /// open.
    pub(crate) async fn take(
        &self,
        now: Timestamp,
        max_connections: u32,
    ) -> Result<Connection, PoolError> {
        if let Some(idle) = self.take_idle(now) {
            return Ok(idle);
        }
        let is_full = self.0.open_connections.load(Ordering::Relaxed) >= max_connections;
        if is_full || !self.0.sockets.has_room() {
            return Err(PoolError::LimitReached);
        }
        Connection::open(&self.0).await
    }

    /// Whether the endpoint's process has ended: most of its connections have, and its address refuses a new one,
    /// or another process answers there, which `is_other` finds out on the new connection. An endpoint at its
    /// connection limit may refuse as well, but keeps the others.
    pub(crate) async fn has_ended<F>(&self, is_other: impl FnOnce(Connection) -> F) -> bool
    where
        F: Future<Output = bool>,
    {
        // A process that is killed closes its sockets one after the other, the listener perhaps last.
        let listener_closed = sleep(CRASH_NOTICE_TIME);
        let others = self.0.open_states();
        // The close of a few connections may be lost on its way, and comes after a retransmission then.
        if !self.have_all_ended().await && !have_most_ended(&others) {
            return false;
        }
        listener_closed.await;
        match Connection::open(&self.0).await {
            Ok(connection) => is_other(connection).await,
            Err(e) => e == PoolError::Refused,
        }
    }

    /// Whether all connections whose end would be noticed end within [`CRASH_NOTICE_TIME`].
    async fn have_all_ended(&self) -> bool {
        let all_ended = async {
            while self.0.open_states().iter().any(|state| !state.has_ended()) {
                sleep(CRASH_POLL_INTERVAL).await;
            }
        };
        timeout(CRASH_NOTICE_TIME, all_ended).await.is_ok()
    }

    /// Returns a connection to the pool after its response was read completely.
    pub(crate) fn put(&self, now: Timestamp, mut connection: Connection) {
        connection.idle_since = now;
        connection.set_held_up(false);
        let mut idle = self.idle();
        if idle.len() < MAX_IDLE_CONNECTIONS && self.0.sockets.may_keep_idle() {
            idle.push_back(connection);
        }
    }

    fn take_idle(&self, now: Timestamp) -> Option<Connection> {
        let mut idle = self.idle();
        // The longest idle connections are at the front.
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

impl Inner {
    /// The connections whose end would be noticed.
    fn open_states(&self) -> Vec<Arc<ConnectionState>> {
        let states = self.states();
        let states = states.iter().filter_map(Weak::upgrade);
        states
            .filter(|state| !state.is_held_up.load(Ordering::Relaxed))
            .collect()
    }

    fn states(&self) -> MutexGuard<'_, Vec<Weak<ConnectionState>>> {
        self.states.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Connection {
    async fn open(pool: &Inner) -> Result<Self, PoolError> {
        let guard = OpenConnectionGuard::new(pool);
        let address = pool.address;
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => {
                debug!("cannot connect to {address}: {e}");
                return Err(match e.kind() {
                    ErrorKind::ConnectionRefused => PoolError::Refused,
                    _ => PoolError::Unreachable,
                });
            }
            Err(_) => return Err(PoolError::Unreachable),
        };
        socket::configure(&stream);
        if let Some(bytes) = pool.sockets.receive_buffer {
            socket::bound_receive_buffer(&stream, bytes);
        }
        let reads_slowly = ReadsSlowly::default();
        let state = Arc::clone(&guard.state);
        let stream = EndpointStream::new(stream, reads_slowly.clone());
        let (sender, connection) = http1::Builder::new()
            .preserve_header_case(false)
            .max_buf_size(pool.sockets.read_buffer)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|_| PoolError::Unreachable)?;
        let task = tokio::spawn(async move {
            let _guard = guard;
            if let Err(e) = connection.await {
                debug!("connection to {address} ended: {e}");
            }
        });
        Ok(Self {
            sender,
            reads_slowly,
            state,
            task,
            is_new: true,
            idle_since: Timestamp::ZERO,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        })
    }

    /// Sends a request and waits for the response head.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> hyper::Result<Response<Incoming>> {
        self.is_new = false;
        let body = request.body().size_hint().exact().unwrap_or_default();
        self.reads_slowly
            .set_body(usize::try_from(body).unwrap_or(usize::MAX));
        let response = self.sender.send_request(request).await?;
        if let Some(time) = keep_alive_timeout(response.headers()) {
            self.idle_timeout = time * KEEP_ALIVE_TENTHS / 10;
        }
        Ok(response)
    }

    /// Records whether the response waits until its client has read what arrived of it.
    pub(crate) fn set_held_up(&self, is_held_up: bool) {
        self.state.is_held_up.store(is_held_up, Ordering::Relaxed);
    }

    pub(crate) const fn is_new(&self) -> bool {
        self.is_new
    }

    fn is_usable(&self, now: Timestamp) -> bool {
        !self.sender.is_closed() && now.since(self.idle_since) < self.idle_timeout
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.state.has_ended.store(true, Ordering::Relaxed);
        self.of_endpoint.fetch_sub(1, Ordering::Relaxed);
        self.sockets.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Keep-alive timeout from a response header such as `Keep-Alive: timeout=5`. Zero if the
/// connection will be closed.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
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
