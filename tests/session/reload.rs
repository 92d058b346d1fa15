//! Settings files that change while a gateway and its control instance run.

use std::fs;
use std::time::Duration;

use googletest::prelude::*;
use tempfile::TempDir;

use crate::process::Process;
use crate::setup::write_settings;
use crate::system::LOOK_PAUSE;
use crate::system::LOOKS;

/// Longer than the time between two looks at the file.
const SOME_LOOKS: Duration = Duration::from_millis(2_500);

fn control(folder: &TempDir) -> Process {
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
    for _ in 0..LOOKS {
        if process.log().contains(wanted) {
            return;
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
    panic!("'{wanted}' was not logged:\n{}", process.log());
}

#[googletest::test]
#[tokio::test]
async fn a_gateway_takes_a_changed_file_while_it_runs() {
    let folder = TempDir::new().unwrap();
    let mut control = control(&folder);
    control.announced("admin");
    let entries = control.announced("entries");
    let port = entries.rsplit_once(':').unwrap().1;
    // Nobody listens at the first seed.
    let first = gateway_settings("127.0.0.2", port, "7s");
    let path = write_settings(&folder, "gateway", &first);
    let mut gateway = Process::start(&["gateway", &path]);
    gateway.announced("callers");

    // A file with faults changes nothing and is reported with its faults.
    fs::write(&path, gateway_settings("127.0.0.1", port, "soon")).unwrap();
    wait_for_log(&gateway, "event=reload outcome=refused").await;
    wait_for_log(&gateway, "event=reload fault=").await;
    expect_that!(gateway.log(), not(contains_substring("state=connected")));

    // New seeds are followed without a signal.
    fs::write(&path, gateway_settings("127.0.0.1", port, "7s")).unwrap();
    wait_for_log(&gateway, "event=reload outcome=taken").await;
    wait_for_log(
        &gateway,
        "dependency=control instance=127.0.0.1 state=connected",
    )
    .await;

    // What needs a restart is said so.
    let elsewhere = gateway_settings("127.0.0.1", port, "7s").replace("north", "south");
    fs::write(&path, elsewhere).unwrap();
    gateway.signal("HUP");
    wait_for_log(&gateway, "event=reload cause=SIGHUP").await;
    wait_for_log(&gateway, "event=reload outcome=partly").await;
    expect_that!(gateway.terminate(), eq(true));
}

#[googletest::test]
#[tokio::test]
async fn a_file_that_is_gone_for_a_while_is_reported_once() {
    let folder = TempDir::new().unwrap();
    let text = gateway_settings("127.0.0.2", "1", "7s");
    let path = write_settings(&folder, "gateway", &text);
    let mut gateway = Process::start(&["gateway", &path]);
    gateway.announced("callers");
    fs::remove_file(&path).unwrap();
    wait_for_log(&gateway, "event=reload outcome=refused").await;
    tokio::time::sleep(SOME_LOOKS).await;
    let reports = gateway.log().matches("outcome=refused").count();
    expect_that!(reports, eq(1));
    fs::write(&path, gateway_settings("127.0.0.2", "1", "8s")).unwrap();
    wait_for_log(&gateway, "event=reload outcome=taken").await;
}
