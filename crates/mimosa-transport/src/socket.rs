//! Socket options of TCP connections.

use std::time::Duration;

use log::debug;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// Time after which a connection with unacknowledged data is closed. A peer that lost power or is
/// behind a partition never replies, and the kernel's default is many minutes.
const USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle time after which the kernel sends keep-alive probes.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
/// Time between two keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Number of unanswered keep-alive probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Disables Nagle's algorithm, so that small writes are sent at once, and enables the detection of
/// peers that vanished without closing the connection.
///
/// An option that cannot be set is logged and otherwise ignored.
pub fn configure(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let options = [
        ("TCP_NODELAY", socket.set_tcp_nodelay(true)),
        (
            "TCP_USER_TIMEOUT",
            socket.set_tcp_user_timeout(Some(USER_TIMEOUT)),
        ),
        ("SO_KEEPALIVE", socket.set_tcp_keepalive(&keepalive)),
    ];
    for (name, result) in options {
        if let Err(e) = result {
            debug!("cannot set {name}: {e}");
        }
    }
}

/// Bounds the bytes that the kernel keeps for a connection before they are read. Linux doubles the
/// value for its own overhead.
///
/// A failure is logged and otherwise ignored.
pub fn bound_receive_buffer(stream: &TcpStream, bytes: usize) {
    if let Err(e) = SockRef::from(stream).set_recv_buffer_size(bytes) {
        debug!("cannot set SO_RCVBUF: {e}");
    }
}

/// Makes the close of a connection reset it and discard what was not sent, so that the peer reads an
/// error in place of an orderly end.
///
/// A failure is logged and otherwise ignored.
pub fn reset_on_close(stream: &TcpStream) {
    if let Err(e) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        debug!("cannot set SO_LINGER: {e}");
    }
}
