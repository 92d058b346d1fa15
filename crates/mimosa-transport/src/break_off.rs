//! Makes HTTP responses that break off recognisable to clients before HTTP/1.1, which know neither
//! chunks nor another mark of the end than that of the connection.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use hyper::Version;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::socket;

/// Whether a connection must be reset because its response broke off.
#[derive(Clone, Debug, Default)]
pub struct ResetFlag(Arc<AtomicBool>);

impl ResetFlag {
    fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Stream of a client that is reset when it is dropped, if its [`ResetFlag`] is set. An orderly
/// close would make the response look complete.
#[derive(Debug)]
pub struct ResettableStream {
    stream: TcpStream,
    reset: ResetFlag,
    is_for_stream: bool,
}

impl ResettableStream {
    /// Wraps a connection.
    pub const fn new(stream: TcpStream, reset: ResetFlag) -> Self {
        Self {
            stream,
            reset,
            is_for_stream: false,
        }
    }

    /// Configures the socket once for responses that arrive as streams of small parts; see
    /// [`socket::configure_for_stream`].
    pub fn configure_for_stream(&mut self) {
        if !std::mem::replace(&mut self.is_for_stream, true) {
            socket::configure_for_stream(&self.stream);
        }
    }

    /// The connection.
    pub const fn get_ref(&self) -> &TcpStream {
        &self.stream
    }
}

impl Drop for ResettableStream {
    fn drop(&mut self) {
        if self.reset.is_set() {
            socket::reset_on_close(&self.stream);
        }
    }
}

impl AsyncRead for ResettableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for ResettableStream {
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

/// Response body that sets a [`ResetFlag`] if it fails and only the end of the connection would mark
/// its end. It reports a failure one poll later: hyper discards the bytes that it has not written
/// when a body fails.
#[derive(Debug)]
pub struct ResetOnError<B: Body> {
    body: B,
    failed: Option<B::Error>,
    reset: Option<ResetFlag>,
}

impl<B: Body> ResetOnError<B> {
    /// Wraps the body of a response; `version` is that of its request.
    pub fn new(version: Version, body: B, reset: ResetFlag) -> Self {
        let ends_with_connection = version < Version::HTTP_11 && body.size_hint().exact().is_none();
        Self {
            body,
            failed: None,
            reset: ends_with_connection.then_some(reset),
        }
    }
}

impl<B: Body + Unpin> Body for ResetOnError<B>
where
    B::Error: Unpin,
{
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        if let Some(e) = self.failed.take() {
            return Poll::Ready(Some(Err(e)));
        }
        match Pin::new(&mut self.body).poll_frame(cx) {
            Poll::Ready(Some(Err(e))) => {
                if let Some(reset) = &self.reset {
                    reset.set();
                }
                self.failed = Some(e);
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            polled => polled,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.failed.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
