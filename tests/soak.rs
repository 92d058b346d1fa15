//! A short, seeded run of the soak test: the real program as separate processes, with injected
//! faults.

use std::path::Path;
use std::time::Duration;

use googletest::prelude::*;
use mimosa_soak::ClusterSize;
use mimosa_soak::Settings;
use mimosa_soak::run;

/// Seeds whose fault plans have kills, network partitions, gateway restarts and operator orders
/// within the first seconds.
const SEEDS: [u64; 2] = [11, 24];
const RUN_DURATION: Duration = Duration::from_secs(4);

#[googletest::test]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cluster_under_injected_faults_serves_requests_and_violates_no_guarantee() {
    for (seed, subnet) in SEEDS.into_iter().zip(1..) {
        let folder = tempfile::tempdir().unwrap();
        let process = std::process::id().to_le_bytes()[0].max(1);
        let settings = Settings {
            seed,
            fault_duration: RUN_DURATION,
            cluster_size: ClusterSize::default(),
            program: Path::new(env!("CARGO_BIN_EXE_mimosaswitch")).to_owned(),
            folder: folder.path().to_owned(),
            subnet: [process, subnet],
        };
        let outcome = run::run(&settings).await.unwrap();
        let report = format!("seed {seed}: {:#?}", outcome.scheduled_faults);
        expect_that!(outcome.violations, is_empty(), "{report}");
        expect_that!(outcome.counts["served"], gt(0), "{report}");
    }
}
