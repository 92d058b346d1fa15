//! Bounded model checking of three replicas with growing bounds. Prints a table of the results.
//!
//! ```text
//! cargo run --release -p mimosa-consensus --example model_check -- 1000000
//! ```
//!
//! The argument is the maximum number of states per search.

#[path = "../tests/support/model.rs"]
mod model;

use std::env;
use std::time::Instant;

use mimosa_consensus::InjectedBug;
use mimosa_consensus::Settings;

use crate::model::Bounds;
use crate::model::search;

const MAX_STATES: usize = 200_000;

const fn bounds(timeouts: u8, proposals: u8, crashes: u8, cuts: u8, slow_syncs: bool) -> Bounds {
    Bounds {
        timeouts,
        proposals,
        crashes,
        cuts,
        slow_syncs,
    }
}

const BOUNDS: [Bounds; 8] = [
    bounds(1, 1, 0, 0, false),
    bounds(1, 1, 0, 1, false),
    bounds(2, 0, 0, 0, false),
    bounds(2, 1, 0, 0, false),
    bounds(2, 1, 0, 1, false),
    bounds(1, 1, 1, 0, true),
    bounds(2, 0, 1, 0, true),
    bounds(2, 1, 1, 1, true),
];

fn main() {
    let max_states = env::args()
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(MAX_STATES);
    // Pre-votes only add messages before an election; without them the search reaches deeper states.
    let settings = Settings {
        injected_bugs: vec![InjectedBug::NoPreVote],
        ..Settings::default()
    };
    println!(
        "timeouts proposals crashes cuts slow-syncs     states all? commit term seconds violation"
    );
    for bounds in BOUNDS {
        let start = Instant::now();
        let outcome = search(&settings, bounds, max_states);
        println!(
            "{:8} {:9} {:7} {:4} {:10} {:10} {:4} {:6} {:4} {:7.1} {}",
            bounds.timeouts,
            bounds.proposals,
            bounds.crashes,
            bounds.cuts,
            bounds.slow_syncs,
            outcome.states,
            if outcome.is_exhausted { "yes" } else { "no" },
            outcome.highest_commit,
            outcome.highest_term,
            start.elapsed().as_secs_f64(),
            outcome
                .violation
                .map_or_else(|| "none".to_owned(), |(text, _)| text),
        );
    }
}
