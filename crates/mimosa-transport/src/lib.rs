//! Framed TCP streams and UDP datagrams that carry `postcard` messages between our processes.
//!
//! * [`frame`] puts one message on a byte stream.
//! * [`datagram`] puts one message into a UDP packet.
//! * [`accept`] runs each accepted TCP connection as a task.
//! * [`link`] keeps one TCP connection to a peer open, with a timeout and capped backoff.

pub mod accept;
pub mod backoff;
pub mod clock;
pub mod datagram;
pub mod frame;
pub mod link;
pub mod socket;
