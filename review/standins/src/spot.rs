//! A worker that is taken away or crashes ends its streams early, and the client gets them as complete
//! ones.

use std::collections::VecDeque;
use std::ops::AddAssign;
use std::path::Path;
use std::process::Command;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::Verdict;
use crate::http;
use crate::http::Response;
use crate::network::Subnet;
use crate::network::WORKER_PORT;
use crate::platform::Listed;
use crate::platform::Platform;
use crate::record::Record;
use crate::system::Folder;
use crate::system::Process;
use crate::system::System;
use crate::system::wait_until;
use crate::worker::EVENT_INTERVAL;

const CONTROLS: u8 = 3;
/// Events of each stream.
const EVENTS: u32 = 50;
/// Workers of the service, of which one leaves: a share of 0.125.
const WORKERS: u8 = 8;
/// Time in which the gateway learns of the worker that replaces the last one.
const BETWEEN_ROUNDS: Duration = Duration::from_secs(3);
/// Time between the start of the streams and the notice that the worker leaves.
const BEFORE_NOTICE: Duration = Duration::from_secs(1);
/// Time between the notice and the end of the worker.
const NOTICE: Duration = Duration::from_secs(2);

/// How the worker ends, and how many streams run at all workers together.
pub struct Mode {
    /// Whether the list shows the worker as draining before it ends.
    pub has_notice: bool,
    pub streams: usize,
    /// In each round another worker ends, and is replaced for the next one.
    pub rounds: u8,
}

pub fn run(record: &Record, has_trouble: bool, mode: &Mode) -> Verdict {
    let folder = Folder::create()?;
    let (subnet, listener) = Subnet::find()?;
    let platform = Platform::default();
    platform.serve(listener);
    let workers = (0..WORKERS).map(|number| start_worker(&folder.0, subnet, &platform, number));
    let mut workers = workers.collect::<Result<VecDeque<(String, Process)>, String>>()?;
    let system = System::start(&folder.0, subnet, CONTROLS, false)?;
    system.configure(record, &document())?;
    wait_until("a first stream", || {
        let response = call(system.client_address(), "warm-up");
        response.is_ok_and(|response| is_whole(&response))
    })?;
    record.note("client: a first stream was whole");

    let trial = Trial {
        record,
        has_trouble,
        mode,
        system: &system,
        platform: &platform,
    };
    let mut outcome = Outcome::default();
    for round in 0..mode.rounds {
        if round > 0 {
            let number = WORKERS + round - 1;
            workers.push_back(start_worker(&folder.0, subnet, &platform, number)?);
            thread::sleep(BETWEEN_ROUNDS);
        }
        let (id, process) = workers.pop_front().ok_or("no worker is left")?;
        let round = Round { number: round, id };
        outcome += trial.play(&round, process)?;
        platform.remove(&round.id);
    }
    drop(workers);
    for number in 0..WORKERS + mode.rounds {
        let file = folder.0.join(format!("worker-{number}.txt"));
        for line in std::fs::read_to_string(file).unwrap_or_default().lines() {
            record.note(&format!("worker: {line}"));
        }
    }
    record.note(&format!(
        "streams at workers that ended: {}, of them cut short but complete for the client: {}",
        outcome.at_ending, outcome.cut_but_complete
    ));
    if outcome.at_ending == 0 {
        return Err("no stream ran at a worker that ended".to_owned());
    }
    Ok(outcome.cut_but_complete > 0)
}

/// Streams that ran at workers that ended.
#[derive(Default)]
struct Outcome {
    at_ending: u32,
    cut_but_complete: u32,
}

impl AddAssign for Outcome {
    fn add_assign(&mut self, other: Self) {
        self.at_ending += other.at_ending;
        self.cut_but_complete += other.cut_but_complete;
    }
}

/// A round, and the worker that ends in it.
struct Round {
    number: u8,
    id: String,
}

/// What all rounds share.
struct Trial<'a> {
    record: &'a Record,
    has_trouble: bool,
    mode: &'a Mode,
    system: &'a System,
    platform: &'a Platform,
}

impl Trial<'_> {
    /// Starts the streams, ends the worker and counts what the clients get.
    fn play(&self, round: &Round, mut worker: Process) -> Result<Outcome, String> {
        let Self {
            record,
            has_trouble,
            mode,
            system,
            platform,
        } = *self;
        let Round { number: round, id } = round;
        let clients: Vec<JoinHandle<Result<Response, String>>> = (0..mode.streams)
            .map(|number| {
                let address = system.client_address();
                let attempt = format!("stream-{round}-{number}");
                thread::spawn(move || call(address, &attempt))
            })
            .collect();
        record.note(&format!(
            "client: stream-{round}-0 to stream-{round}-{} sent",
            mode.streams - 1
        ));
        thread::sleep(BEFORE_NOTICE);
        if mode.has_notice {
            platform.set_state(id, "draining");
            record.note(&format!("platform: the list shows {id} as draining"));
        }
        if has_trouble {
            thread::sleep(NOTICE);
            worker.kill();
            record.note(&format!("platform: the process of {id} is killed"));
        }
        let mut outcome = Outcome::default();
        for (number, client) in clients.into_iter().enumerate() {
            let response = client.join().map_err(|_| "a client panicked")?;
            match response {
                Ok(response) => {
                    let status = response.head.status();
                    let signature = response.head.get("x-server-signature").unwrap_or("none");
                    let events = count_events(&response);
                    let is_complete = response.is_complete;
                    record.note(&format!(
                    "client: stream-{round}-{number} got {status}, signature {signature}, {events} \
                     of {EVENTS} events, complete by its framing: {is_complete}"
                ));
                    outcome.at_ending += u32::from(signature == format!("{id}.1"));
                    let is_cut_but_complete = status == 200 && is_complete && events < EVENTS;
                    outcome.cut_but_complete += u32::from(is_cut_but_complete);
                }
                Err(e) => record.note(&format!(
                    "client: stream-{round}-{number} got no answer: {e}"
                )),
            }
        }
        Ok(outcome)
    }
}

fn start_worker(
    folder: &Path,
    subnet: Subnet,
    platform: &Platform,
    number: u8,
) -> Result<(String, Process), String> {
    let id = format!("i-{number}");
    let address = subnet.address(150 + number, WORKER_PORT);
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    let mut command = Command::new(program);
    command.args(["worker", &address.to_string(), &id]);
    command
        .arg(EVENTS.to_string())
        .arg(folder.join(format!("worker-{number}.txt")));
    let process = Process::spawn(command, folder.join(format!("worker-{number}.log")))?;
    platform.add(Listed {
        id: id.clone(),
        service: "writer".to_owned(),
        address,
        zone: "zone-a".to_owned(),
        slots: 64,
        state: "ready",
        stage: Some("decode"),
    });
    Ok((id, process))
}

fn call(address: std::net::SocketAddrV4, attempt: &str) -> Result<Response, String> {
    let body = "a letter";
    let request = format!(
        "POST /verse/1 HTTP/1.1\r\nHost: writer.example\r\nX-Attempt-Id: {attempt}\r\nX-Model: m\r\n\
         X-Token-Count: 200,50\r\nX-Prompt-Prefix: 5c1e07a2:100,91bd3f06:100\r\n\
         X-Deadline-Ms: 14000\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let timeout = EVENT_INTERVAL * 30;
    http::call(address, &request, timeout).map_err(|e| e.to_string())
}

fn count_events(response: &Response) -> u32 {
    let text = String::from_utf8_lossy(&response.body);
    text.matches("\n\n").count() as u32
}

fn is_whole(response: &Response) -> bool {
    response.head.status() == 200 && response.is_complete && count_events(response) == EVENTS
}

fn document() -> String {
    "{\"version\":1,\"routes\":[{\"name\":\"verse\",\"host\":\"writer.example\",\
     \"path_prefix\":\"/verse/\",\"kind\":\"streaming\",\"timeout_ms\":14000,\
     \"target_latency_ms\":900,\"priority\":1,\"service\":\"writer\",\"max_attempts\":1,\
     \"anonymous\":true,\"sticky\":true,\"resumable\":false,\"gap_target_ms\":300}],\
     \"services\":[{\"name\":\"writer\",\"health_path\":\"/healthz\",\"max_connections\":360,\
     \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0,\"engine\":{\
     \"slots\":64,\"kv_capacity_tokens\":105738,\"kv_bytes\":163840,\"link_mbps\":8000000.0,\
     \"moves\":true,\"backups\":true,\"stride\":1,\"most\":12,\"handle_ttl_s\":0.5,\"switch_s\":6.0,\
     \"pin_ms\":4000.0,\"hold_ms\":2000.0,\"models\":[{\"name\":\"m\"}]}}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
     \"idle_timeout_ms\":15000},\"tenants\":[]}"
        .to_owned()
}
