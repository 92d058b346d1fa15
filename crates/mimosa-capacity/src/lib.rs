//! Measures how the cost of the components of mimosaswitch grows with their load, as slopes over
//! three or more sizes.
//!
//! * [`table`] prints the results; [`fit`] fits a line to the points of each.
//! * [`meter`] reads the memory of this process and the CPU time of this thread.
//! * [`sample`] builds configurations of a given size.
//! * [`measure`] runs the real components, over loopback sockets where traffic is measured.

pub mod fit;
pub mod measure;
pub mod meter;
pub mod sample;
pub mod table;
