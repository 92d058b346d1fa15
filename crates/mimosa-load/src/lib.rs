//! Measures the overhead of an entry: latency, CPU time and memory per stream, compared with direct
//! calls to the same stand-in server in the same run.
//!
//! * [`system`] starts a control instance, an entry and the stand-in servers, each on its own
//!   threads.
//! * [`client`] is one connection of the load generator; [`load`] generates closed-loop and
//!   open-loop load over many of them.
//! * [`streams`] keeps streams open and measures the memory growth.
//! * [`meter`] reads CPU time by thread name, and memory; [`report`] prints the tables.

pub mod client;
pub mod load;
pub mod meter;
pub mod report;
pub mod streams;
pub mod system;
