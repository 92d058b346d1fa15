//! Tests of settings files that change while a gateway is running.

use std::fs;
use std::time::Duration;

use googletest::prelude::*;
use tempfile::TempDir;

use crate::process::Process;
use crate::setup::write_settings;
use crate::system::MAX_POLLS;
use crate::system::POLL_INTERVAL;

/// Longer than two polls of the settings file, which is read every 1 s.
const SEVERAL_POLLS: Duration = Duration::from_millis(2_500);

/// Starts the only control instance of a cluster.
fn start_control(folder: &TempDir) -> Process {
    let text = format!(
        r#"
[instance]
id = "127.0.0.1"
data_centre = "north"
cluster = "session"

[control]
data_folder = "{}"
admin_listen = "127.0.0.1:0"
entry_listen = "127.0.0.1:0"
peer_listen = "127.0.0.1:0"

[control.routing]
seeds = ["127.0.0.1:1"]
found = true
endpoint_list = "127.0.0.1:1"
tolerated_losses = 0
"#,
        folder.path().join("data").display()
    );
    Process::start(&["control", &write_settings(folder, "control", &text)])
}

fn gateway_settings(seed: &str, port: &str, drain_time: &str) -> String {
    format!(
        r#"
[instance]
id = "10.0.0.1"
data_centre = "north"
cluster = "session"

[gateway]
listen = "127.0.0.1:0"
readiness = "127.0.0.1:0"
seeds = ["{seed}:1"]
control_port = {port}
drain_time = "{drain_time}"
"#
    )
}

async fn wait_for_log(process: &Process, wanted: &str) {
    for _ in 0..MAX_POLLS {
        if process.log().contains(wanted) {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("'{wanted}' was not logged:\n{}", process.log());
}

#[googletest::test]
#[tokio::test]
async fn a_running_gateway_applies_valid_changes_of_its_settings_file_and_rejects_invalid_ones() {
    let folder = TempDir::new().unwrap();
    let mut control = start_control(&folder);
    control.read_value("admin");
    let entries = control.read_value("entries");
    let port = entries.rsplit_once(':').unwrap().1;
    // No process listens at the first seed.
    let first = gateway_settings("127.0.0.2", port, "7s");
    let path = write_settings(&folder, "gateway", &first);
    let mut gateway = Process::start(&["gateway", &path]);
    gateway.read_value("callers");

    // An invalid file is ignored and its faults are logged.
    fs::write(&path, gateway_settings("127.0.0.1", port, "soon")).unwrap();
    wait_for_log(&gateway, "event=reload outcome=refused").await;
    wait_for_log(&gateway, "event=reload fault=").await;
    expect_that!(gateway.log(), not(contains_substring("state=connected")));

    // New seeds are applied without a signal.
    fs::write(&path, gateway_settings("127.0.0.1", port, "7s")).unwrap();
    wait_for_log(&gateway, "event=reload outcome=taken").await;
    wait_for_log(
        &gateway,
        "dependency=control instance=127.0.0.1 state=connected",
    )
    .await;

    // A change that needs a restart is logged as such.
    let elsewhere = gateway_settings("127.0.0.1", port, "7s").replace("north", "south");
    fs::write(&path, elsewhere).unwrap();
    gateway.signal("HUP");
    wait_for_log(&gateway, "event=reload cause=SIGHUP").await;
    wait_for_log(&gateway, "event=reload outcome=partly").await;
    expect_that!(gateway.terminate(), eq(true));
}

#[googletest::test]
#[tokio::test]
async fn a_missing_settings_file_is_reported_once_and_reloaded_when_it_returns() {
    let folder = TempDir::new().unwrap();
    let text = gateway_settings("127.0.0.2", "1", "7s");
    let path = write_settings(&folder, "gateway", &text);
    let mut gateway = Process::start(&["gateway", &path]);
    gateway.read_value("callers");
    fs::remove_file(&path).unwrap();
    wait_for_log(&gateway, "event=reload outcome=refused").await;
    tokio::time::sleep(SEVERAL_POLLS).await;
    let reports = gateway.log().matches("outcome=refused").count();
    expect_that!(reports, eq(1));
    fs::write(&path, gateway_settings("127.0.0.2", "1", "8s")).unwrap();
    wait_for_log(&gateway, "event=reload outcome=taken").await;
}
