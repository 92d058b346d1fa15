//! Options of every TCP connection.

use std::time::Duration;

use log::debug;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// Time that sent bytes may stay unacknowledged before the connection counts as broken. A peer
/// without power or behind a partition never answers; the kernel's own limit is many minutes.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(3);
/// Silence after which the kernel probes an idle connection.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
/// Time between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Probes without an answer after which the connection is broken.
const KEEPALIVE_PROBES: u32 = 2;

/// Sends small writes at once and notices peers that went away without a word.
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
            socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT)),
        ),
        ("SO_KEEPALIVE", socket.set_tcp_keepalive(&keepalive)),
    ];
    for (name, result) in options {
        if let Err(e) = result {
            debug!("cannot set {name}: {e}");
        }
    }
}
