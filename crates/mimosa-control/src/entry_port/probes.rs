//! Arrival times of the probes of an entry.

use std::collections::VecDeque;
use std::sync::Mutex;

use tokio::time::Instant;

const MAX_PROBES: usize = 16;

/// The latest probes of an entry with their arrival times.
#[derive(Debug, Default)]
pub(super) struct Probes(Mutex<VecDeque<(u64, Instant)>>);

impl Probes {
    /// Records a probe that arrived now.
    pub(super) fn record(&self, probe: u64) {
        let mut probes = self
            .0
            .lock()
            .expect("no code panics while it holds this lock");
        probes.push_back((probe, Instant::now()));
        if probes.len() > MAX_PROBES {
            probes.pop_front();
        }
    }

    /// The latest probe that arrived before a read barrier started.
    pub(super) fn latest_before(&self, read_started_at: Instant) -> Option<u64> {
        let probes = self
            .0
            .lock()
            .expect("no code panics while it holds this lock");
        let before = probes.iter().rev().find(|(_, at)| *at <= read_started_at);
        before.map(|(probe, _)| *probe)
    }
}
