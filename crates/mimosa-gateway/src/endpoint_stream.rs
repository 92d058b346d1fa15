//! Socket of a connection to an endpoint, whose limit for unacknowledged data depends on the request.
//!
//! What fits into the receive buffer of any endpoint is acknowledged at once, unless the endpoint has
//! vanished. A longer request may wait there until the endpoint reads it, up to the deadline of the request.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use mimosa_transport::socket;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Body size up to which an endpoint takes a request without reading it.
const SHORT_BODY_BYTES: usize = 2 << 10;

/// Whether the request on a connection may wait until its endpoint reads it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadsSlowly(Arc<AtomicBool>);

impl ReadsSlowly {
    /// Sets the size of the body that is sent next.
    pub(crate) fn set_body(&self, bytes: usize) {
        self.0.store(bytes > SHORT_BODY_BYTES, Ordering::Relaxed);
    }
}

/// The socket.
pub(crate) struct EndpointStream {
    stream: TcpStream,
    reads_slowly: ReadsSlowly,
    /// The state that the socket has.
    is_unlimited: bool,
}

impl EndpointStream {
    /// Wraps a socket that is configured.
    pub(crate) const fn new(stream: TcpStream, reads_slowly: ReadsSlowly) -> Self {
        Self {
            stream,
            reads_slowly,
            is_unlimited: false,
        }
    }

    fn update_limit(&mut self) {
        let is_unlimited = self.reads_slowly.0.load(Ordering::Relaxed);
        if is_unlimited != self.is_unlimited {
            self.is_unlimited = is_unlimited;
            let limit = (!is_unlimited).then_some(socket::UNACKNOWLEDGED_TIMEOUT);
            socket::limit_unacknowledged(&self.stream, limit);
        }
    }
}

impl AsyncRead for EndpointStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for EndpointStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.update_limit();
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
        self.update_limit();
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
