//! Each of the three control instances that the settings name as seeds is down for a few seconds, one
//! after the other. Later, all processes are killed at the same moment and start again within a second.

use std::io;
use std::ops::Range;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::http;
use crate::plain;
use crate::plain::Reply;
use crate::record::Record;
use crate::system::Core;
use crate::system::Entry;
use crate::system::System;

const CONTROLS: u8 = 8;
/// The last three control instances.
const SEEDS: Range<u8> = 5..8;
/// Time for which each seed is down.
const DOWN_TIME: Duration = Duration::from_millis(3_500);
/// Time between two of these; longer than a machine counts as lost after it is back.
const UP_TIME: Duration = Duration::from_millis(7_000);
/// Time after which the processes start again that were all killed.
const RESTART_TIME: Duration = Duration::from_millis(700);
const RECOVERY_TIME: Duration = Duration::from_secs(15);
/// Time for which the operator reads the configuration at the end.
const READ_TIME: Duration = Duration::from_secs(5);
const REQUESTS: usize = 40;
const GAP: Duration = Duration::from_millis(100);

pub fn run(record: &Record, folder: PathBuf, has_trouble: bool) -> io::Result<Verdict> {
    let core = Core {
        controls: CONTROLS,
        seeds: SEEDS,
        tolerated_losses: 2,
    };
    let system = System::start_with(record, folder, 1, core)?;
    let worker = system.worker(0);
    let behaviour = |_: &str| Reply {
        delay: Duration::from_millis(10),
        retry_after_s: None,
    };
    plain::start_quiet("w-1", worker, Arc::new(behaviour))?;
    system.list.set(vec![Entry::new("w-1", "desk", worker, 6)]);
    if !system.configure(&config(1)) {
        return Err(io::ErrorKind::TimedOut.into());
    }
    thread::sleep(Duration::from_secs(6));
    if has_trouble {
        for seed in SEEDS {
            let name = format!("control-{seed}");
            system.kill(&name);
            thread::sleep(DOWN_TIME);
            system.start_control(seed, false)?;
            thread::sleep(UP_TIME);
        }
    }
    let mut control = 0;
    let end = Instant::now() + Duration::from_secs(5);
    while system.put_config(control, &config(2)) != 200 {
        control = (control + 1) % CONTROLS;
        if Instant::now() > end {
            record.line("configuration 2 was not acknowledged");
            return Err(io::ErrorKind::TimedOut.into());
        }
        thread::sleep(Duration::from_millis(100));
    }
    record.line("configuration 2 acknowledged");
    thread::sleep(Duration::from_secs(2));
    let before = served(record, &system, "before");
    system.kill_all();
    thread::sleep(RESTART_TIME);
    for number in 0..CONTROLS {
        system.start_control(number, false)?;
    }
    system.start_gateway(0)?;
    thread::sleep(RECOVERY_TIME);
    let after = served(record, &system, "after");
    let config = read_back(record, &system);
    let is_kept = config.is_some_and(|config| config.contains("\"version\":2"));
    record.line(&format!(
        "served {before} of {REQUESTS} before and {after} of {REQUESTS} after; configuration 2 read \
         back: {is_kept}"
    ));
    Ok(match after * 4 < REQUESTS || !is_kept {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// Sends requests and returns how many got 200.
fn served(record: &Record, system: &System, when: &str) -> usize {
    let mut served = 0;
    for number in 0..REQUESTS {
        let attempt = format!("{when}-{number}");
        let headers = [
            ("host", "cards.example"),
            ("x-attempt-id", attempt.as_str()),
            ("x-deadline-ms", "600"),
            ("x-api-key", "key-1"),
        ];
        let start = "GET /desk/1 HTTP/1.1";
        let timeout = Duration::from_secs(2);
        let result = http::call(system.frontend(0), start, &headers, b"", timeout);
        let status = result.map(|(head, _)| head.status());
        served += usize::from(matches!(status, Ok(200)));
        if number == 0 || number + 1 == REQUESTS {
            record.line(&format!("client of {attempt}: {status:?}"));
        }
        thread::sleep(GAP);
    }
    served
}

/// Reads the configuration at one instance after the other until one answers.
fn read_back(record: &Record, system: &System) -> Option<String> {
    let end = Instant::now() + READ_TIME;
    while Instant::now() < end {
        for control in 0..CONTROLS {
            if let Some(config) = system.read_config(control) {
                record.line(&format!("control-{control} answers a read with 200"));
                return Some(config);
            }
        }
    }
    record.line("no control instance answered a read of the configuration with 200");
    None
}

fn config(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"desk\",\"host\":\"cards.example\",\
         \"path_prefix\":\"/desk/\",\"kind\":\"safe\",\"timeout_ms\":600,\
         \"target_latency_ms\":100,\"priority\":2,\"service\":\"desk\",\"max_attempts\":1,\
         \"anonymous\":false}}],\"services\":[{{\"name\":\"desk\",\"health_path\":\"/healthz\",\
         \"max_connections\":96,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\
         \"cold_per_s\":0.0}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"orchid\",\"api_keys\":[\"key-1\"],\"priority\":1}}]}}"
    )
}
