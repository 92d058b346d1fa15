//! Timeouts of client connections: idle, while a head arrives, and while a response is not read.
//!
//! hyper has a single timeout for the first two. Here, the head timeout starts with the first byte of a
//! head, and the idle timeout once a response is written.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Version;
use hyper::body::Frame;
use hyper::body::SizeHint;
use mimosa_memory::EvictionSignal;
use mimosa_route::ClientLimits;
use mimosa_transport::break_off::ResetFlag;
use mimosa_transport::break_off::ResetOnError;
use mimosa_transport::break_off::ResettableStream;
use mimosa_transport::socket;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::answer_window::AnswerWindow;
use crate::response::Body;
use crate::response::BodyError;
use crate::shared::Shared;

/// Time without a byte written after which the connection of a complete response is closed. Longer than the
/// memory account waits for a slow reader, so that it only ends connections that the account does not know.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(40);

/// Phase of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waiting for the first byte of a request, since this time.
    Idle(Instant),
    /// Receiving a request head, since this time.
    Head(Instant),
    /// Handling a request.
    Busy,
    /// The response is complete, but not all of it is written. Its client last took bytes at this time.
    Sending(Instant),
}

/// Tracks the phase of a client connection, which determines the timeout that applies.
pub(crate) struct ActivityTracker {
    phase: Mutex<Phase>,
    /// Whether the phase is [`Phase::Sending`], so that the lock is taken for writes only then.
    is_sending: AtomicBool,
    changed: Notify,
    reset: ResetFlag,
    /// Closes the connection to free its memory or its descriptor.
    closing: EvictionSignal,
    window: AnswerWindow,
    /// Receive buffer that the socket is to get; 0 if none.
    receive_buffer: AtomicUsize,
    large_receive_buffer: Option<usize>,
    /// Whether the socket is to be configured for a stream.
    sends_stream: AtomicBool,
}

/// What a connection without a complete request waits for. Connections that wait for the first are
/// closed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum WaitingFor {
    /// The first byte of a request.
    Request,
    /// The rest of a request head.
    RestOfHead,
}

/// Which timeout of a connection expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExpiredTimeout {
    /// No request arrived within the idle timeout.
    Idle,
    /// A request head was not complete within the head timeout.
    Head,
    /// The client took nothing of a complete response within [`UNREAD_TIMEOUT`].
    Unread,
}

impl ActivityTracker {
    pub(crate) fn new(shared: &Arc<Shared>) -> Arc<Self> {
        let closing = EvictionSignal::default();
        Arc::new(Self {
            window: AnswerWindow::new(Arc::clone(shared), closing.clone()),
            closing,
            receive_buffer: AtomicUsize::new(0),
            sends_stream: AtomicBool::new(false),
            large_receive_buffer: shared.memory.large_receive_buffer(),
            phase: Mutex::new(Phase::Idle(Instant::now())),
            is_sending: AtomicBool::new(false),
            changed: Notify::new(),
            reset: ResetFlag::default(),
        })
    }

    /// Marks the connection as busy; called when a request head is complete.
    pub(crate) fn set_busy(&self) {
        self.is_sending.store(false, Ordering::Relaxed);
        self.set(Phase::Busy);
    }

    /// Makes the connection close, whatever its phase.
    pub(crate) fn close(&self) {
        self.closing.set();
    }

    /// Whether [`Self::close`] was called, or the response on the connection was evicted.
    pub(crate) fn is_closing(&self) -> bool {
        self.closing.is_set()
    }

    /// Resolves when the connection must close.
    pub(crate) async fn closed(&self) {
        self.closing.wait().await;
    }

    /// Whether the connection is idle or receives a head, and since when; ordered by which is closed
    /// first. `None` while it handles a request or sends its response.
    pub(crate) fn waiting_since(&self) -> Option<(WaitingFor, Instant)> {
        match *self.phase() {
            Phase::Idle(since) => Some((WaitingFor::Request, since)),
            Phase::Head(since) => Some((WaitingFor::RestOfHead, since)),
            Phase::Busy | Phase::Sending(_) => None,
        }
    }

    /// Gives the socket a receive buffer for a large body, if the buffers are bounded.
    pub(crate) fn enlarge_receive_buffer(&self) {
        if let Some(bytes) = self.large_receive_buffer {
            self.receive_buffer.store(bytes, Ordering::Relaxed);
        }
    }

    /// Configures the socket for a response that arrives as a stream of small parts.
    pub(crate) fn expect_stream(&self) {
        self.sends_stream.store(true, Ordering::Relaxed);
    }

    /// Wraps the stream of the connection, which reports received bytes here.
    pub(crate) fn track(self: &Arc<Self>, stream: TcpStream) -> TrackedStream {
        TrackedStream {
            stream: ResettableStream::new(stream, self.reset.clone()),
            tracker: Arc::clone(self),
        }
    }

    /// Marks the connection as idle once the response body is written completely. `version` is that of the
    /// request.
    pub(crate) fn idle_after(self: &Arc<Self>, version: Version, body: Body) -> Body {
        let body = TrackedBody {
            body: ResetOnError::new(version, body, self.reset.clone()),
            tracker: Arc::clone(self),
        };
        body.boxed_unsync()
    }

    /// Waits until the timeout of the phase expires.
    pub(crate) async fn expired(&self, limits: ClientLimits) -> ExpiredTimeout {
        loop {
            let changed = self.changed.notified();
            let phase = *self.phase();
            let (deadline, expired) = match phase {
                Phase::Idle(since) => (since + limits.idle_timeout, ExpiredTimeout::Idle),
                Phase::Head(since) => (since + limits.head_timeout, ExpiredTimeout::Head),
                Phase::Sending(since) => (since + UNREAD_TIMEOUT, ExpiredTimeout::Unread),
                Phase::Busy => {
                    changed.await;
                    continue;
                }
            };
            sleep_until(deadline).await;
            if *self.phase() == phase {
                return expired;
            }
        }
    }

    fn on_read(&self) {
        let mut phase = self.phase();
        if matches!(*phase, Phase::Idle(_)) {
            *phase = Phase::Head(Instant::now());
        }
    }

    /// Records that the response body is complete. Its rest is written afterwards, or the write blocks.
    fn on_response_end(&self) {
        *self.phase() = Phase::Sending(Instant::now());
        self.is_sending.store(true, Ordering::Relaxed);
    }

    fn on_write(&self, polled: &Poll<io::Result<usize>>) {
        match polled {
            Poll::Ready(Ok(bytes)) => {
                self.window.record_written(*bytes);
                if self.is_sending.load(Ordering::Relaxed) {
                    *self.phase() = Phase::Sending(Instant::now());
                }
            }
            Poll::Ready(Err(_)) => {}
            Poll::Pending => {
                self.window.record_blocked();
                if self.is_sending.load(Ordering::Relaxed) {
                    // Starts the timeout.
                    self.changed.notify_one();
                }
            }
        }
    }

    fn on_flushed(&self) {
        self.window.record_flushed();
        if self.is_sending.swap(false, Ordering::Relaxed) {
            self.set(Phase::Idle(Instant::now()));
        }
    }

    fn set(&self, phase: Phase) {
        *self.phase() = phase;
        self.changed.notify_one();
    }

    fn phase(&self) -> MutexGuard<'_, Phase> {
        self.phase.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Response body that tells its connection when it is complete or dropped.
struct TrackedBody {
    body: ResetOnError<Body>,
    tracker: Arc<ActivityTracker>,
}

impl hyper::body::Body for TrackedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !self.tracker.window.may_take(cx) {
            return Poll::Pending;
        }
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if let Poll::Ready(Some(Ok(frame))) = &polled
            && let Some(data) = frame.data_ref()
        {
            self.tracker.window.add(data.len());
        }
        polled
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
        self.tracker.on_response_end();
    }
}

/// Socket that reports to the connection's activity tracker what it receives and sends.
pub(crate) struct TrackedStream {
    stream: ResettableStream,
    tracker: Arc<ActivityTracker>,
}

impl TrackedStream {
    fn configure(&mut self) {
        if self.tracker.sends_stream.load(Ordering::Relaxed) {
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
        if self.tracker.receive_buffer.load(Ordering::Relaxed) > 0 {
            let bytes = self.tracker.receive_buffer.swap(0, Ordering::Relaxed);
            socket::bound_receive_buffer(self.stream.get_ref(), bytes);
        }
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.tracker.on_read();
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
        self.tracker.on_write(&polled);
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(cx);
        if polled.is_ready() {
            self.tracker.on_flushed();
        }
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.configure();
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.tracker.on_write(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
