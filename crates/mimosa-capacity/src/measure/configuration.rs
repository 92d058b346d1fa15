//! Size and cost of the configuration, which every entry and control instance stores.

use std::hint::black_box;

use mimosa_protocol::Change;
use mimosa_protocol::Configuration;
use mimosa_protocol::change::Delta;

use crate::measure::encoded_bytes;
use crate::meter;
use crate::sample;
use crate::table::Measure;

pub(crate) const ACCOUNTS: [usize; 4] = [1_000, 5_000, 10_000, 23_000];
pub(crate) const ENDPOINTS: [usize; 4] = [250, 500, 1_000, 2_000];
pub(crate) const DATA_CENTRES: usize = 24;

pub(crate) fn measures() -> Vec<Measure> {
    let by_accounts = ACCOUNTS.map(|size| (size, sample::configuration(size, DATA_CENTRES, 0)));
    let by_endpoints = ENDPOINTS.map(|size| (size, sample::configuration(0, DATA_CENTRES, size)));
    let points = |samples: &[(usize, Configuration)], measure: fn(&Configuration) -> f64| {
        let points = samples
            .iter()
            .map(|(size, configuration)| (*size, measure(configuration)));
        points.collect::<Vec<_>>()
    };
    vec![
        Measure::new(
            "configuration, snapshot (B)",
            "accounts with a key",
            points(&by_accounts, encoded_bytes),
        ),
        Measure::new(
            "configuration, snapshot (B)",
            "endpoints",
            points(&by_endpoints, encoded_bytes),
        ),
        Measure::new(
            "configuration, copy and apply one change (CPU µs)",
            "accounts with a key",
            points(&by_accounts, copy_and_apply_micros),
        ),
        Measure::new(
            "configuration, digest (CPU µs)",
            "accounts with a key",
            points(&by_accounts, digest_micros),
        ),
        Measure::new(
            "configuration, delta of one account (B)",
            "accounts with a key",
            points(&by_accounts, |configuration| {
                encoded_bytes(&delta(configuration))
            }),
        ),
    ]
}

fn delta(configuration: &Configuration) -> Delta {
    Delta {
        revision: configuration.revision.next(),
        changes: vec![Change::PutAccount(sample::account(7))],
    }
}

/// CPU time of a change at an entry, which applies it to a copy and then replaces the original.
fn copy_and_apply_micros(configuration: &Configuration) -> f64 {
    let delta = delta(configuration);
    meter::micros_per_iteration(|| {
        let mut copy = configuration.clone();
        copy.apply(&delta);
        black_box(&copy);
        1
    })
}

fn digest_micros(configuration: &Configuration) -> f64 {
    meter::micros_per_iteration(|| {
        let bytes = postcard::to_stdvec(configuration).expect("a configuration can be encoded");
        black_box(crc32fast::hash(&bytes));
        1
    })
}
