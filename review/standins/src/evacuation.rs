//! An evacuation is undone by an older order that was held up in a partition of the core.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::http;
use crate::network::GATEWAY_PORT;
use crate::network::PEER_PORT;
use crate::network::Subnet;
use crate::network::WORKER_PORT;
use crate::platform::Listed;
use crate::platform::Platform;
use crate::proxy::Partition;
use crate::record::Record;
use crate::system::Folder;
use crate::system::System;
use crate::worker;

const CONTROLS: u8 = 3;
/// How long the partition lasts.
const CUT: Duration = Duration::from_millis(1_400);
/// Time between the acknowledgement that the zone is taken back and the next evacuation.
const PAUSE: Duration = Duration::from_millis(200);
/// An operator moves on to another instance after this time without a response.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(1);
/// Evacuation bound, stretched by the bound for an unstable core.
const EVACUATION: Duration = Duration::from_millis(5_000 + 5_000);
/// How long requests are checked after that.
const CHECKED: Duration = Duration::from_secs(3);
/// Time after an evacuation within which no request of a calm system reaches the zone.
const SETTLED: Duration = Duration::from_secs(4);

/// Clients that send at the same time, so that both zones have work.
const CLIENTS: u32 = 6;
/// Work of a request at a worker.
const WORK: Duration = Duration::from_millis(15);

/// When a request was sent, and the worker that ran it.
type Runs = Arc<Mutex<BTreeMap<String, (Duration, String)>>>;

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let folder = Folder::create()?;
    let (subnet, listener) = Subnet::find()?;
    let platform = Platform::default();
    platform.serve(listener);
    let runs = Runs::default();
    for (number, zone) in ["zone-a", "zone-b"].into_iter().enumerate() {
        let id = format!("i-{zone}");
        let address = subnet.address(150 + number as u8, WORKER_PORT);
        let (worker_runs, log, name) = (Arc::clone(&runs), record.clone(), id.clone());
        worker::serve_plain(address, &id, WORK, move |attempt| {
            let run = (log.now(), name.clone());
            let mut runs = worker_runs.lock().unwrap_or_else(PoisonError::into_inner);
            runs.insert(attempt.to_owned(), run);
        })?;
        platform.add(Listed {
            id,
            service: "desk".to_owned(),
            address,
            zone: zone.to_owned(),
            slots: 8,
            state: "ready",
            stage: None,
        });
    }
    let partition = Partition::default();
    let system = System::start(&folder.0, subnet, CONTROLS, true)?;
    let advertised: Vec<String> = (0..CONTROLS)
        .map(|number| system.advertised(number, PEER_PORT).ip().to_string())
        .collect();
    for number in 0..CONTROLS {
        for port in [PEER_PORT, GATEWAY_PORT] {
            let target = std::net::SocketAddrV4::new(system.control_ip(number), port);
            let listen = system.advertised(number, port);
            partition.serve(listen, target, number, advertised.clone())?;
        }
    }
    system.configure(record, &document())?;
    // All three instances vote and are connected by now.
    thread::sleep(Duration::from_secs(4));
    let client = Clients::start(record, &system);
    let verdict = check(record, has_trouble, &system, &partition, &client, &runs);
    client.stop.store(true, Ordering::Relaxed);
    partition.heal();
    verdict
}

fn check(
    record: &Record,
    has_trouble: bool,
    system: &System,
    partition: &Partition,
    client: &Clients,
    runs: &Runs,
) -> Verdict {
    let leader = system.leader().ok_or("no control instance leads")?;
    let follower = (leader + 1) % CONTROLS;
    let other = (leader + 2) % CONTROLS;
    record.note(&format!(
        "control {leader} leads; the operator will use {follower} and {other}"
    ));

    thread::sleep(Duration::from_secs(1));
    if count(runs, "i-zone-a") == 0 || count(runs, "i-zone-b") == 0 {
        return Err("a zone gets no requests".to_owned());
    }
    order(record, system, "POST", &[other])?;
    thread::sleep(SETTLED);
    let before = count(runs, "i-zone-b");
    thread::sleep(Duration::from_secs(1));
    if count(runs, "i-zone-b") != before {
        return Err("the first evacuation did not settle".to_owned());
    }

    if has_trouble {
        partition.cut(follower);
        record.note(&format!(
            "partition: control {follower} is cut off from the other two"
        ));
        let (partition, record) = (partition.clone(), record.clone());
        thread::spawn(move || {
            thread::sleep(CUT);
            partition.heal();
            record.note("partition: healed, what it held up is delivered");
        });
    }
    order(record, system, "DELETE", &[follower, other, leader])?;
    thread::sleep(PAUSE);
    order(record, system, "POST", &[other])?;
    let bound = record.now() + EVACUATION;
    thread::sleep(EVACUATION + CHECKED);
    let sent = client.sent.lock().unwrap_or_else(PoisonError::into_inner);
    let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
    let late: Vec<_> = runs
        .iter()
        .filter(|(attempt, (_, worker))| {
            let sent = sent.get(*attempt).copied().unwrap_or_default();
            worker == "i-zone-b" && sent > bound
        })
        .collect();
    record.note(&format!(
        "requests that were sent after {:.3} and run by the evacuated zone: {}",
        bound.as_secs_f64(),
        late.len()
    ));
    for (attempt, (at, worker)) in late.iter().take(5) {
        let sent = sent
            .get(*attempt)
            .copied()
            .unwrap_or_default()
            .as_secs_f64();
        let at = at.as_secs_f64();
        record.note(&format!(
            "  {attempt} sent {sent:.3}, run {at:.3} by {worker}"
        ));
    }
    Ok(!late.is_empty())
}

/// Sends an evacuation order to one instance after the other until it is acknowledged.
fn order(record: &Record, system: &System, method: &str, instances: &[u8]) -> Result<(), String> {
    let request = format!(
        "{method} /api/evacuations/zone-b HTTP/1.1\r\nHost: control\r\nContent-Length: 0\r\n\
         Connection: close\r\n\r\n"
    );
    for instance in instances {
        record.note(&format!(
            "operator: {method} zone-b sent to control {instance}"
        ));
        let address = system.operator_address(*instance);
        match http::call(address, &request, OPERATOR_TIMEOUT) {
            Ok(response) => {
                let status = response.head.status();
                record.note(&format!("operator: {method} zone-b answered {status}"));
                if (200..300).contains(&status) {
                    return Ok(());
                }
            }
            Err(e) => record.note(&format!("operator: {method} zone-b got no response: {e}")),
        }
    }
    Err(format!("{method} was not acknowledged"))
}

fn count(runs: &Runs, worker: &str) -> usize {
    let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
    runs.values().filter(|(_, name)| name == worker).count()
}

/// Clients that send a request every 50 ms, each on a new connection.
struct Clients {
    sent: Arc<Mutex<BTreeMap<String, Duration>>>,
    stop: Arc<AtomicBool>,
}

impl Clients {
    fn start(record: &Record, system: &System) -> Self {
        let client = Self {
            sent: Arc::default(),
            stop: Arc::default(),
        };
        for number in 0..CLIENTS {
            let (sent, stop) = (Arc::clone(&client.sent), Arc::clone(&client.stop));
            let (record, address) = (record.clone(), system.client_address());
            thread::spawn(move || send_requests(number, address, &record, &sent, &stop));
        }
        client
    }
}

fn send_requests(
    client: u32,
    address: std::net::SocketAddrV4,
    record: &Record,
    sent: &Mutex<BTreeMap<String, Duration>>,
    stop: &AtomicBool,
) {
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let attempt = format!("{client:04x}{number:012x}");
        let now = record.now();
        let mut sent = sent.lock().unwrap_or_else(PoisonError::into_inner);
        sent.insert(attempt.clone(), now);
        drop(sent);
        let request = format!(
            "GET /stock/item HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {attempt}\r\n\
             X-Deadline-Ms: 600\r\nConnection: close\r\n\r\n"
        );
        if let Err(e) = http::call(address, &request, Duration::from_secs(1)) {
            record.note(&format!("client: {attempt} failed: {e}"));
        }
        thread::sleep(Duration::from_millis(50));
    }
}

fn document() -> String {
    "{\"version\":1,\"routes\":[{\"name\":\"stock\",\"host\":\"desk.example\",\"path_prefix\":\"/stock/\",\
     \"kind\":\"safe\",\"timeout_ms\":600,\"target_latency_ms\":100,\"priority\":2,\"service\":\"desk\",\
     \"max_attempts\":2,\"anonymous\":true,\"sticky\":false,\"resumable\":false}],\
     \"services\":[{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_connections\":96,\
     \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
     \"idle_timeout_ms\":15000},\"tenants\":[]}"
        .to_owned()
}
