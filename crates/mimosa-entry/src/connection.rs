//! A client connection: what it waits for, and the memory of a response that its client reads slowly.
//!
//! While a client reads as fast as its response arrives, nothing is reserved. Once a write to its socket
//! blocks, the buffers of the response are reserved in the memory account until all bytes are written. If the
//! account is full, no more is taken from the endpoint before that.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;

use axum::body::Body;
use axum::http::Extensions;
use axum::http::HeaderMap;
use axum::http::header::CONTENT_TYPE;
use bytes::Bytes;
use hyper::Version;
use hyper::body::Frame;
use hyper::body::SizeHint;
use mimosa_memory::EvictionSignal;
use mimosa_memory::Progress;
use mimosa_memory::Reservation;
use mimosa_memory::account::Decision;
use mimosa_protocol::AccountId;
use mimosa_protocol::Timestamp;
use mimosa_transport::bounded_connections::Closable;
use mimosa_transport::bounded_connections::WaitingFor;
use mimosa_transport::break_off::ResetFlag;
use mimosa_transport::break_off::ResetOnError;
use mimosa_transport::break_off::ResettableStream;
use mimosa_transport::reserved_buffer::ReservedBuffer;
use mimosa_transport::reserved_buffer::WhenFull;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::shared::Shared;

/// Memory of a response that is read slowly: the buffer of the connection to the endpoint and a frame taken
/// from it, and the same for the connection to the client.
const WINDOW_BYTES: u64 = 4 * (32 << 10);
/// Time for which a slow but steady reader may seem to stall. The kernel reports free space once a third of its
/// send buffer is read, which takes a reader of 1 KB/s this long.
const READER_GRACE: Duration = Duration::from_secs(27);

/// Phase of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waiting for the first byte of a request, since this time.
    Idle(Timestamp),
    /// Receiving a request head, since this time.
    Head(Timestamp),
    /// Handling a request.
    Busy,
    /// The response is complete, but not all of it is written.
    Sending,
}

/// State of a client connection, shared by its stream, its requests and the accepting task.
pub(crate) struct Connection {
    shared: Arc<Shared>,
    state: Mutex<State>,
    /// Closes the connection to free its memory or its descriptor.
    closing: EvictionSignal,
    /// Whether written bytes are to be recorded, so that the lock is taken for them only then.
    has_reader: AtomicBool,
    /// Whether the account had no room for the window.
    is_refused: AtomicBool,
    /// Whether the socket is to be configured for a stream.
    sends_stream: AtomicBool,
    reset: ResetFlag,
}

struct State {
    phase: Phase,
    /// Progress of the client as it reads a collected response, whose memory is reserved by its buffer.
    reader: Option<Arc<Progress>>,
    /// The window of a response whose client reads slowly; without bytes, but to be evicted for others, if the
    /// account had no room for it.
    window: Option<Reservation>,
    waker: Option<Waker>,
}

impl Connection {
    pub(crate) fn new(shared: &Arc<Shared>) -> Arc<Self> {
        Arc::new(Self {
            shared: Arc::clone(shared),
            state: Mutex::new(State {
                phase: Phase::Idle(shared.now()),
                reader: None,
                window: None,
                waker: None,
            }),
            closing: EvictionSignal::default(),
            has_reader: AtomicBool::new(false),
            is_refused: AtomicBool::new(false),
            sends_stream: AtomicBool::new(false),
            reset: ResetFlag::default(),
        })
    }

    /// The connection of a request, which the server adds to its extensions.
    pub(crate) fn of_request(extensions: &Extensions) -> Arc<Self> {
        let connection = extensions.get::<Arc<Self>>();
        Arc::clone(connection.expect("the server adds the connection to each request"))
    }

    /// Marks the connection as busy; called when a request head is complete.
    pub(crate) fn set_busy(&self) {
        let mut state = self.state();
        state.phase = Phase::Busy;
        state.reader = None;
    }

    /// A holder for a response that is collected on this connection. It is not evicted until
    /// [`Self::start_reading`].
    pub(crate) fn response_holder(&self, owner: Option<AccountId>) -> Reservation {
        let progress = Progress::with_grace(self.shared.now(), READER_GRACE);
        progress.stop_waiting();
        let account = &self.shared.memory.process.account;
        account.holder(progress, owner, 0, self.closing.clone())
    }

    /// Like [`Self::response_holder`], with a buffer for the response.
    pub(crate) fn response_buffer(
        &self,
        owner: Option<AccountId>,
        max_bytes: usize,
    ) -> ReservedBuffer {
        let holder = self.response_holder(owner);
        let clock = self.shared.clock;
        ReservedBuffer::new(holder, clock, max_bytes, WhenFull::Refuse)
    }

    /// From now on the holder of a response waits for the client to read it.
    pub(crate) fn start_reading(&self, response: &Reservation) {
        response.progress().restart(self.shared.now());
        self.state().reader = Some(Arc::clone(response.progress()));
        self.has_reader.store(true, Ordering::Relaxed);
    }

    /// Configures the socket for a response that arrives as a stream of events, if it does.
    pub(crate) fn expect(&self, headers: &HeaderMap) {
        let content_type = headers.get(CONTENT_TYPE);
        if content_type.is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream")) {
            self.sends_stream.store(true, Ordering::Relaxed);
        }
    }

    /// Wraps the stream of the connection.
    pub(crate) fn track(self: &Arc<Self>, stream: TcpStream) -> TrackedStream {
        TrackedStream {
            stream: ResettableStream::new(stream, self.reset.clone()),
            connection: Arc::clone(self),
        }
    }

    /// Wraps the body of a response. `version` is that of the request.
    pub(crate) fn track_body(self: &Arc<Self>, version: Version, body: Body) -> TrackedBody {
        TrackedBody {
            body: ResetOnError::new(version, body, self.reset.clone()),
            connection: Arc::clone(self),
        }
    }

    fn on_read(&self) {
        let mut state = self.state();
        if matches!(state.phase, Phase::Idle(_)) {
            state.phase = Phase::Head(self.shared.now());
        }
    }

    /// Whether the next frame of the response may be taken. If not, the task is woken when it may.
    fn may_take(&self, cx: &Context<'_>) -> bool {
        let may_take = !self.is_refused.load(Ordering::Relaxed);
        if !may_take {
            self.state().waker = Some(cx.waker().clone());
        }
        may_take
    }

    fn on_write(&self, polled: &Poll<io::Result<usize>>) {
        match polled {
            Poll::Ready(Ok(bytes)) if self.has_reader.load(Ordering::Relaxed) => {
                let state = self.state();
                let window = state.window.as_ref().map(Reservation::progress);
                for progress in window.into_iter().chain(&state.reader) {
                    progress.record(self.shared.now(), *bytes as u64);
                }
            }
            Poll::Pending => self.reserve_window(),
            Poll::Ready(_) => {}
        }
    }

    /// Reserves the window, as the socket takes no more bytes. A collected response has its own reservation.
    fn reserve_window(&self) {
        let mut state = self.state();
        if state.reader.is_some() {
            return;
        }
        let now = self.shared.now();
        let window = state.window.get_or_insert_with(|| {
            let progress = Progress::with_grace(now, READER_GRACE);
            let account = &self.shared.memory.process.account;
            account.holder(progress, None, WINDOW_BYTES, self.closing.clone())
        });
        let is_granted = window.try_grow_to(now, WINDOW_BYTES) == Decision::Granted;
        self.is_refused.store(!is_granted, Ordering::Relaxed);
        self.has_reader.store(true, Ordering::Relaxed);
        if is_granted && let Some(waker) = state.waker.take() {
            waker.wake();
        }
    }

    /// Releases the window, as all bytes are written.
    fn on_flushed(&self) {
        {
            let mut state = self.state();
            state.window = None;
            if state.phase == Phase::Sending {
                state.phase = Phase::Idle(self.shared.now());
                state.reader = None;
            }
            self.has_reader
                .store(state.reader.is_some(), Ordering::Relaxed);
        }
        if self.is_refused.swap(false, Ordering::Relaxed)
            && let Some(waker) = self.state().waker.take()
        {
            waker.wake();
        }
    }

    fn on_response_end(&self) {
        self.state().phase = Phase::Sending;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Closable for Connection {
    fn waiting_since(&self) -> Option<(WaitingFor, Timestamp)> {
        match self.state().phase {
            Phase::Idle(since) => Some((WaitingFor::Request, since)),
            Phase::Head(since) => Some((WaitingFor::RestOfHead, since)),
            Phase::Busy | Phase::Sending => None,
        }
    }

    fn closing(&self) -> &EvictionSignal {
        &self.closing
    }
}

/// Response body that marks its connection as idle when dropped.
pub(crate) struct TrackedBody {
    body: ResetOnError<Body>,
    connection: Arc<Connection>,
}

impl hyper::body::Body for TrackedBody {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        if !self.connection.may_take(cx) {
            return Poll::Pending;
        }
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.connection.on_response_end();
    }
}

/// Socket that reports to its connection what it receives and sends.
pub(crate) struct TrackedStream {
    stream: ResettableStream,
    connection: Arc<Connection>,
}

impl TrackedStream {
    fn configure(&mut self) {
        if self.connection.sends_stream.load(Ordering::Relaxed) {
            self.stream.configure_for_stream();
        }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.connection.on_read();
        }
        polled
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.configure();
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.connection.on_write(&polled);
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(cx);
        if polled.is_ready() {
            self.connection.on_flushed();
        }
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.configure();
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.connection.on_write(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
