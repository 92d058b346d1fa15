//! Accounts for the memory that a process holds on behalf of clients, endpoints and peers.
//!
//! The decisions take the current time as an argument and use no clock, socket or task.
//!
//! * [`account`] grants, refuses and releases bytes.
//! * [`eviction`] selects the holders that are evicted when the account is full.
//! * [`progress`] records when a holder last made progress.
//! * [`memory`] shares an account among tasks; dropping a [`Reservation`] releases its bytes.
//! * [`sizes`] divides the memory limit and the descriptors of a process.
//! * [`pressure`] classifies how full an account is, with hysteresis.

pub mod account;
pub mod eviction;
pub mod memory;
pub mod pressure;
pub mod progress;
pub mod sizes;

pub use crate::account::AccountSizes;
pub use crate::account::Usage;
pub use crate::memory::EvictionSignal;
pub use crate::memory::Memory;
pub use crate::memory::Refused;
pub use crate::memory::Reservation;
pub use crate::pressure::Pressure;
pub use crate::pressure::PressureTracker;
pub use crate::progress::Progress;
