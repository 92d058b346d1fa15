//! The measurements, one module per component.

mod configuration;
mod consensus;
mod distribution;
mod hold;
mod limits;
mod membership;
mod memory;
mod schedule;
mod state;

use serde::Serialize;

use crate::table::Measure;

/// All groups of measurements, in the order of the table. Memory is first, as later groups free
/// memory that would be reused.
pub const ALL: [fn() -> Vec<Measure>; 9] = [
    memory::measures,
    configuration::measures,
    state::measures,
    schedule::measures,
    limits::measures,
    hold::measures,
    membership::measures,
    distribution::measures,
    consensus::measures,
];

/// Size of an encoded message without its frame, in bytes.
fn encoded_bytes(message: &impl Serialize) -> f64 {
    let bytes = postcard::to_stdvec(message).expect("every message can be encoded");
    bytes.len() as f64
}

/// A runtime on the current thread, so that [`meter::cpu_time`](crate::meter::cpu_time) includes
/// its tasks.
fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime can be created")
}
