//! TCP streams and UDP datagrams that carry `postcard` messages between processes of a cluster.
//!
//! * [`frame`] reads and writes messages on a byte stream.
//! * [`datagram`] sends and receives messages as UDP packets.
//! * [`accept`] accepts TCP connections and runs each as a task.
//! * [`link`] maintains a TCP connection to a peer and reconnects with [`backoff`].
//! * [`break_off`] lets clients recognise HTTP responses that break off.
//! * [`socket`] sets the options of TCP connections.
//! * [`status`] tells which statuses a response may have.
//! * [`clock`] provides the current time.

pub mod accept;
pub mod backoff;
pub mod bounded_connections;
pub mod break_off;
pub mod clock;
pub mod datagram;
pub mod frame;
pub mod link;
pub mod pressure_log;
pub mod reserved_buffer;
pub mod socket;
pub mod status;
