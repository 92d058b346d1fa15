//! Communication between entries: heartbeats over UDP, everything else over TCP.

pub(crate) mod beat;
pub(crate) mod message;
pub(crate) mod network;
pub(crate) mod serve;
