//! Idle and head timeouts of client connections.
//!
//! hyper has a single timeout for both. Here, the head timeout starts with the first byte of a
//! head.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Version;
use hyper::body::Frame;
use hyper::body::SizeHint;
use mimosa_route::ClientLimits;
use mimosa_transport::break_off::ResetFlag;
use mimosa_transport::break_off::ResetOnError;
use mimosa_transport::break_off::ResettableStream;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::response::Body;
use crate::response::BodyError;

/// Phase of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waiting for the first byte of a request, since this time.
    Idle(Instant),
    /// Receiving a request head, since this time.
    Head(Instant),
    /// Handling a request.
    Busy,
}

/// Tracks the phase of a client connection, which determines the timeout that applies.
pub(crate) struct ActivityTracker {
    phase: Mutex<Phase>,
    changed: Notify,
    reset: ResetFlag,
}

/// Which timeout of a connection expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExpiredTimeout {
    /// No request arrived within the idle timeout.
    Idle,
    /// A request head was not complete within the head timeout.
    Head,
}

impl ActivityTracker {
    pub(crate) fn new() -> Arc<Self> {
        Arc::new(Self {
            phase: Mutex::new(Phase::Idle(Instant::now())),
            changed: Notify::new(),
            reset: ResetFlag::default(),
        })
    }

    /// Marks the connection as busy; called when a request head is complete.
    pub(crate) fn set_busy(&self) {
        self.set(Phase::Busy);
    }

    /// Wraps the stream of the connection, which reports received bytes here.
    pub(crate) fn track(self: &Arc<Self>, stream: TcpStream) -> TrackedStream {
        TrackedStream {
            stream: ResettableStream::new(stream, self.reset.clone()),
            tracker: Arc::clone(self),
        }
    }

    /// Marks the connection as idle once the response body was sent completely or dropped. `version`
    /// is that of the request.
    pub(crate) fn idle_after(self: &Arc<Self>, version: Version, body: Body) -> Body {
        let body = TrackedBody {
            body: ResetOnError::new(version, body, self.reset.clone()),
            tracker: Arc::clone(self),
        };
        body.boxed_unsync()
    }

    /// Waits until the idle timeout or the head timeout expires.
    pub(crate) async fn expired(&self, limits: ClientLimits) -> ExpiredTimeout {
        loop {
            let changed = self.changed.notified();
            let phase = *self.phase();
            let (deadline, expired) = match phase {
                Phase::Idle(since) => (since + limits.idle_timeout, ExpiredTimeout::Idle),
                Phase::Head(since) => (since + limits.head_timeout, ExpiredTimeout::Head),
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

    fn set(&self, phase: Phase) {
        *self.phase() = phase;
        self.changed.notify_one();
    }

    fn phase(&self) -> MutexGuard<'_, Phase> {
        self.phase.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Response body that marks its connection as idle when dropped.
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
        self.tracker.set(Phase::Idle(Instant::now()));
    }
}

/// Socket that reports received bytes to the connection's activity tracker.
pub(crate) struct TrackedStream {
    stream: ResettableStream,
    tracker: Arc<ActivityTracker>,
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
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
