//! Floods of clients and endpoints outside the operator's control, against separate processes on loopback with
//! lowered limits. Checked is only what does not depend on the speed of the machine: the process stays alive, its
//! memory and its open descriptors stay under a bound, and an ordinary request is answered.

#[allow(
    dead_code,
    reason = "shared with the session tests, which use the rest"
)]
#[path = "../session/caller.rs"]
mod caller;
mod clients;
mod control;
mod data_plane;
mod endpoint;
#[allow(
    dead_code,
    reason = "shared with the session tests, which use the rest"
)]
#[path = "../session/process.rs"]
mod process;
mod process_status;
#[allow(
    dead_code,
    reason = "shared with the session tests, which use the rest"
)]
#[path = "../session/setup.rs"]
mod setup;
#[allow(
    dead_code,
    reason = "shared with the session tests, which use the rest"
)]
#[path = "../session/system.rs"]
mod system;
#[allow(
    dead_code,
    reason = "shared with the session tests, which use the rest"
)]
#[path = "../session/transcript.rs"]
mod transcript;

use googletest::prelude::*;
use tokio::sync::Mutex;

use crate::clients::Client;
use crate::clients::Flood;
use crate::clients::Shape;
use crate::data_plane::DataPlane;
use crate::process_status::ProcessStatus;

/// What a process may hold for its clients, above its memory at rest: the rest of a machine of 40 MB, on which a
/// process takes 11 MB at rest. Memory at rest is measured, as a debug build takes twice as much. The floods of
/// bodies hold 60 MiB, if all of it is kept.
const MAX_GROWTH_KB: u64 = 29_000;
/// What of that may remain after all clients have left: half.
const MAX_GROWTH_AFTER_KB: u64 = MAX_GROWTH_KB / 2;
/// Descriptors of the machine that the tests assume; the flood of connections opens more.
const MAX_DESCRIPTORS: usize = 512;

/// One test at a time: concurrent floods would compete for the machine.
static ONE_TEST: Mutex<()> = Mutex::const_new(());

/// Sends a flood to a process, and checks the process during and after it.
async fn expect_withstands(data_plane: DataPlane, flood: Flood) {
    let at_rest = ProcessStatus::read(data_plane.process());
    let max_memory = at_rest.memory_kb + MAX_GROWTH_KB;
    let max_memory_after = at_rest.memory_kb + MAX_GROWTH_AFTER_KB;
    let mut clients: Vec<Client> = Vec::new();
    for number in 0..flood.clients {
        let shape = flood.shapes[number % flood.shapes.len()];
        clients.push(Client::connect(&data_plane, shape, number).await);
    }
    Client::send_first_parts(&mut clients).await;
    let mut status = ProcessStatus::settled(data_plane.process()).await;
    Client::send_rests(&mut clients).await;
    status = status.max(ProcessStatus::settled(data_plane.process()).await);
    if !flood.occupies_endpoints {
        data_plane
            .expect_answers_ordinary_request("during the flood")
            .await;
    }
    drop(clients);
    data_plane.release_endpoints();
    let after = ProcessStatus::once_below(data_plane.process(), max_memory_after).await;
    status = status.max(after);
    println!(
        "{}: memory_at_rest_kb={} max_memory_kb={} memory_after_kb={} max_descriptors={}",
        data_plane.name(),
        at_rest.memory_kb,
        status.max_memory_kb,
        after.memory_kb,
        status.descriptors
    );
    expect_that!(status.max_memory_kb, lt(max_memory), "VmHWM");
    expect_that!(after.memory_kb, lt(max_memory_after), "VmRSS afterwards");
    expect_that!(status.descriptors, lt(MAX_DESCRIPTORS), "descriptors");
    data_plane
        .expect_answers_ordinary_request("after the flood")
        .await;
}

/// The tests of one data plane, in a module of its name.
macro_rules! tests_of {
    ($module:ident, $start:expr; $($(#[$attribute:meta])* $test:ident: $flood:expr,)*) => {
        mod $module {
            use super::*;

            $(
                $(#[$attribute])*
                #[googletest::test]
                #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
                async fn $test() {
                    let _guard = ONE_TEST.lock().await;
                    expect_withstands($start.await, $flood).await;
                }
            )*
        }
    };
}

/// The same floods against both data planes. All guard against LOST: a process killed for its memory.
macro_rules! tests_of_both {
    ($($test:ident: $flood:expr,)*) => {
        tests_of! { gateway, DataPlane::start_gateway(); $($test: $flood,)* }
        tests_of! { entry, DataPlane::start_entry(); $($test: $flood,)* }
    };
}

tests_of_both! {
    whole_bodies_in_a_queue: Flood::occupying([Shape::Whole]),
    bodies_short_of_their_end: Flood::of([Shape::ShortOfEnd]),
    large_chunks_without_end: Flood::of([Shape::LargeChunks]),
    chunks_of_one_byte_without_end: Flood::of([Shape::SmallChunks]),
    lengths_far_over_the_limit: Flood::of([Shape::DeclaredOverLimit]),
    chunks_far_over_the_limit: Flood::of([Shape::SentOverLimit]),
    all_kinds_of_bodies: Flood::occupying(Shape::BODIES),
    clients_that_never_read_a_long_response: Flood::occupying([Shape::UnreadResponse]),
    endpoints_that_never_read_a_body: Flood::occupying([Shape::UnreadRequest]),
    connections_with_half_a_head: Flood::of_connections(),
}

tests_of! { entry_completions, DataPlane::start_entry();
    clients_that_never_read_a_long_completion: Flood::occupying([Shape::UnreadCompletion]),
}
