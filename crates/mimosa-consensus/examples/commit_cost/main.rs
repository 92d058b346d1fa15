//! Measures the cost of commits: latency compared with a bare sync on the same disk, batched commits
//! per second, recovery time and disk usage by number of commands, messages and bytes.
//!
//! ```text
//! cargo run --release -p mimosa-consensus --example commit_cost -- [FOLDER]
//! ```
//!
//! Writes to a temporary folder inside the given one (default: the system's temporary folder) and
//! removes it at the end. Takes about a minute.

#[path = "../../tests/support/cluster.rs"]
mod cluster;
mod driver;
mod latency;
mod recovery;
mod traffic;

use std::env;
use std::path::PathBuf;

fn main() -> mimosa_protocol::Result<()> {
    let parent = env::args().nth(1).map_or_else(env::temp_dir, PathBuf::from);
    let folder = tempfile::tempdir_in(&parent).expect("the folder is writable");
    println!("folder {}", folder.path().display());
    latency::report(folder.path())?;
    recovery::report(folder.path())?;
    traffic::report();
    traffic::report_reads();
    Ok(())
}
