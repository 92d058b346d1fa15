//! Socket options of TCP connections.

use std::io;
use std::time::Duration;

use log::debug;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// Time after which a connection to a peer that reads all the time is closed if data for it stays
/// unacknowledged. A peer that lost power or is behind a partition never replies, and the kernel's default
/// is many minutes.
pub const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle time after which the kernel sends keep-alive probes.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
/// Time between two keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Number of unanswered keep-alive probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Disables Nagle's algorithm, so that small writes are sent at once, and enables the detection of
/// peers that vanished without closing the connection. For peers that read what they are sent at once.
///
/// An option that cannot be set is logged and otherwise ignored.
pub fn configure(stream: &TcpStream) {
    configure_for_slow_reader(stream);
    limit_unacknowledged(stream, Some(UNACKNOWLEDGED_TIMEOUT));
}

/// The same for peers that may stop reading, such as clients: they are noticed as vanished only while nothing
/// is on its way to them. The caller limits the time for which they may leave data unread.
pub fn configure_for_slow_reader(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    log_failure("TCP_NODELAY", socket.set_tcp_nodelay(true));
    log_failure("SO_KEEPALIVE", socket.set_tcp_keepalive(&keepalive));
}

/// Makes the kernel send what a slow reader did not take again at a constant interval, while little is on its
/// way. By default the interval doubles with each attempt, so that a reader that was out of memory gets the
/// rest of its stream only about as long after its pause as that lasted.
///
/// The kernel does so only under congestion control with a threshold of slow start, which BBR lacks.
pub fn configure_for_stream(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let thin = socket.set_tcp_thin_linear_timeouts(true);
    log_failure("TCP_THIN_LINEAR_TIMEOUTS", thin);
    log_failure("TCP_CONGESTION", socket.set_tcp_congestion(b"reno"));
}

/// Closes the connection if data stays unacknowledged for so long; `None` removes the limit. Linux also counts
/// the time for which a live peer acknowledges each probe without taking data, as it reads nothing.
pub fn limit_unacknowledged(stream: &TcpStream, limit: Option<Duration>) {
    let result = SockRef::from(stream).set_tcp_user_timeout(limit);
    log_failure("TCP_USER_TIMEOUT", result);
}

fn log_failure(option: &str, result: io::Result<()>) {
    if let Err(e) = result {
        debug!("cannot set {option}: {e}");
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
