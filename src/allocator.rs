//! Thresholds of glibc's `malloc`, so that memory is returned after a flood.
//!
//! glibc raises its threshold for separate mappings whenever a large block is freed. Buffers of bodies
//! and connections then lie between small blocks that live longer, and stay with the process. The
//! thresholds can only be fixed by an environment variable that is read when a program starts.

use std::env;
use std::os::unix::process::CommandExt;
use std::process::Command;

const VARIABLE: &str = "GLIBC_TUNABLES";
/// Blocks of 16 KiB and more, which are the buffers of bodies and connections, get mappings of their
/// own. 32 KiB leaves out the read buffers of connections.
const THRESHOLDS: &str = "glibc.malloc.mmap_threshold=16384:glibc.malloc.trim_threshold=131072";

/// Restarts the program with fixed thresholds, in the same process. Does nothing if the variable is
/// set, which the restart does. Must be called before the process has state or other threads.
pub fn fix_thresholds() {
    if env::var_os(VARIABLE).is_some() {
        return;
    }
    let Ok(program) = env::current_exe() else {
        return;
    };
    let mut args = env::args_os();
    let mut command = Command::new(program);
    if let Some(name) = args.next() {
        command.arg0(name);
    }
    let e = command.args(args).env(VARIABLE, THRESHOLDS).exec();
    eprintln!("cannot restart with fixed thresholds of malloc: {e}");
}
