//! Memory of the large data structures. Each one is kept until the end, so that none reuses memory
//! freed by another.

use std::any::Any;

use crate::measure::configuration::ACCOUNTS;
use crate::measure::configuration::DATA_CENTRES;
use crate::measure::configuration::ENDPOINTS;
use crate::measure::limits;
use crate::measure::schedule;
use crate::measure::schedule::QUEUED_REQUESTS;
use crate::measure::state;
use crate::measure::state::CALLS;
use crate::measure::state::CHANGES;
use crate::meter;
use crate::sample;
use crate::table::Measure;

const ACTIVE_ACCOUNTS: [usize; 3] = [1_000, 5_000, 23_000];

/// Measured values, kept until the end so that their memory is not reused.
type Retained = Vec<Box<dyn Any>>;

pub(crate) fn measures() -> Vec<Measure> {
    let mut retained = Retained::new();
    vec![
        Measure::new(
            "configuration, memory (B)",
            "accounts with a key",
            ACCOUNTS.map(|size| measure_growth(&mut retained, size, configuration_of_accounts)),
        ),
        Measure::new(
            "configuration, memory (B)",
            "endpoints",
            ENDPOINTS.map(|size| measure_growth(&mut retained, size, configuration_of_endpoints)),
        ),
        Measure::new(
            "control state, memory (B)",
            "changes",
            CHANGES.map(|size| {
                measure_growth(&mut retained, size, |size| {
                    Box::new(state::with_changes(size))
                })
            }),
        ),
        Measure::new(
            "ledger, memory (B)",
            "calls",
            CALLS.map(|size| {
                measure_growth(&mut retained, size, |size| {
                    Box::new(state::with_calls(size))
                })
            }),
        ),
        Measure::new(
            "scheduler, memory (B)",
            "requests waiting, one of each account",
            QUEUED_REQUESTS.map(|size| {
                measure_growth(&mut retained, size, |size| {
                    Box::new(schedule::with_queued_requests(size))
                })
            }),
        ),
        Measure::new(
            "rates, memory of 16 gates and 64 keepers (B)",
            "accounts just active",
            ACTIVE_ACCOUNTS
                .map(|size| measure_growth(&mut retained, size, limits::with_active_accounts)),
        ),
    ]
}

fn measure_growth(
    retained: &mut Retained,
    size: usize,
    build: fn(usize) -> Box<dyn Any>,
) -> (usize, f64) {
    let (growth, value) = meter::measure_memory_growth(|| build(size));
    retained.push(value);
    (size, growth)
}

fn configuration_of_accounts(accounts: usize) -> Box<dyn Any> {
    Box::new(sample::configuration(accounts, DATA_CENTRES, 0))
}

fn configuration_of_endpoints(endpoints: usize) -> Box<dyn Any> {
    Box::new(sample::configuration(0, DATA_CENTRES, endpoints))
}
