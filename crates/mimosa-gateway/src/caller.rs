//! A caller's connection: how long it may stay idle, and how long a head may take.
//!
//! The HTTP library has one time for both. Here the time of a head starts with its first byte.

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
use hyper::body::Frame;
use hyper::body::SizeHint;
use mimosa_route::ClientLimits;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::answer::Body;
use crate::answer::BodyError;

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It waits for the first byte of a request.
    Idle(Instant),
    /// A head is on its way.
    Head(Instant),
    /// A request is answered.
    Busy,
}

/// Follows what a caller's connection does.
pub(crate) struct Watch {
    phase: Mutex<Phase>,
    changed: Notify,
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Overdue {
    /// No request came.
    Idle,
    /// A head was not complete in time.
    Head,
}

impl Watch {
    pub(crate) fn new() -> Arc<Self> {
        Arc::new(Self {
            phase: Mutex::new(Phase::Idle(Instant::now())),
            changed: Notify::new(),
        })
    }

    /// A request's head is complete.
    pub(crate) fn busy(&self) {
        self.set(Phase::Busy);
    }

    /// Marks the connection as idle once the whole answer was passed on, or dropped.
    pub(crate) fn idle_after(self: &Arc<Self>, answer: Body) -> Body {
        let answer = Answer {
            body: answer,
            watch: Arc::clone(self),
        };
        answer.boxed_unsync()
    }

    /// Waits until the connection has been idle, or a head on its way, for longer than allowed.
    pub(crate) async fn overdue(&self, limits: ClientLimits) -> Overdue {
        loop {
            let changed = self.changed.notified();
            let phase = *self.phase();
            let (due, why) = match phase {
                Phase::Idle(since) => (since + limits.idle_timeout, Overdue::Idle),
                Phase::Head(since) => (since + limits.head_timeout, Overdue::Head),
                Phase::Busy => {
                    changed.await;
                    continue;
                }
            };
            sleep_until(due).await;
            if *self.phase() == phase {
                return why;
            }
        }
    }

    fn read(&self) {
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

/// An answer on its way to a watched connection.
struct Answer {
    body: Body,
    watch: Arc<Watch>,
}

impl hyper::body::Body for Answer {
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

impl Drop for Answer {
    fn drop(&mut self) {
        self.watch.set(Phase::Idle(Instant::now()));
    }
}

/// A socket whose reads are watched.
pub(crate) struct WatchedStream {
    pub(crate) stream: TcpStream,
    pub(crate) watch: Arc<Watch>,
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.watch.read();
        }
        polled
    }
}

impl AsyncWrite for WatchedStream {
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
