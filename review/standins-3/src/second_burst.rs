//! The leader is killed while a tenant sends far more than its quota and the configuration changes. The
//! next leader grants the tenant its burst once more.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::http::Connection;
use crate::plain;
use crate::plain::Reply;
use crate::record::Record;
use crate::system::Entry;
use crate::system::System;

/// Tokens a second.
const RATE: u64 = 50_000;
const BURST: u64 = 400_000;
/// Tokens of a request without a token count.
const COST: u64 = 1_000;
const WINDOW: Duration = Duration::from_secs(8);
/// Most tokens of the tenant in a window: (rate x window + burst) x 1.1 + 120,000.
const BOUND: u64 = (RATE * 8 + BURST) * 11 / 10 + 120_000;
const CLIENTS: u64 = 20;
/// Together the clients send 7.5 times the usual of a tenant whose rate is 1.8 times its usual.
const CLIENT_GAP: Duration = Duration::from_millis(96);
const ROUNDS: u32 = 5;
const HOT_TIME: Duration = Duration::from_secs(8);
const REST_TIME: Duration = Duration::from_secs(12);
/// Two operators change the configuration for four seconds, each with a pause of 330 ms.
const CHANGE_GAP: Duration = Duration::from_millis(165);
const CHANGES: u64 = 24;

/// When a request was sent, and when it reached the worker that ran it.
type Runs = Arc<Mutex<Vec<(Duration, Duration)>>>;

pub fn run(record: &Record, folder: PathBuf, has_trouble: bool) -> io::Result<Verdict> {
    let system = Arc::new(System::start(record, folder, 1)?);
    let runs: Runs = Arc::default();
    let worker = system.worker(0);
    let behaviour = {
        let (record, runs) = (record.clone(), Arc::clone(&runs));
        move |attempt: &str| {
            let sent = attempt.split('-').nth(1).and_then(|text| text.parse().ok());
            let sent = Duration::from_micros(sent.unwrap_or_default());
            let arrived = record.now();
            runs.lock().expect("no holder panics").push((sent, arrived));
            Reply {
                delay: Duration::from_millis(2),
                retry_after_s: None,
            }
        }
    };
    plain::start_quiet("w-1", worker, Arc::new(behaviour))?;
    system.list.set(vec![Entry::new("w-1", "desk", worker, 64)]);
    if !system.configure(&config(1)) {
        return Err(io::ErrorKind::TimedOut.into());
    }
    thread::sleep(Duration::from_secs(4));
    let version = AtomicU64::new(1);
    let mut worst = 0;
    for round in 0..ROUNDS {
        let from = record.now();
        play(record, &system, &version, has_trouble)?;
        let most = most_in_window(&runs.lock().expect("no holder panics"), from);
        record.line(&format!(
            "round {round}: at most {} tokens ran in {} s, allowed are {BOUND}",
            most * COST,
            WINDOW.as_secs()
        ));
        worst = worst.max(most * COST);
        if worst > BOUND {
            break;
        }
        if round + 1 < ROUNDS {
            thread::sleep(REST_TIME);
        }
    }
    Ok(match worst > BOUND {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// The tenant is hot for a while; meanwhile the configuration changes and, with trouble, the leader is
/// killed and starts again.
fn play(
    record: &Record,
    system: &Arc<System>,
    version: &AtomicU64,
    has_trouble: bool,
) -> io::Result<()> {
    let is_over = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<[u64; 3]>> = Arc::default();
    record.line("the tenant becomes hot");
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, is_over) = (record.clone(), Arc::clone(&is_over));
            let (frontend, answers) = (system.frontend(0), Arc::clone(&answers));
            thread::spawn(move || send_until(&record, client, frontend, &is_over, &answers))
        })
        .collect();
    let end = Instant::now() + HOT_TIME;
    thread::sleep(Duration::from_millis(3_500));
    let leader = system.leader();
    let leader = leader.ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))?;
    let changes: Vec<_> = (0..CHANGES)
        .map(|change| {
            let (record, system) = (record.clone(), Arc::clone(system));
            let number = version.fetch_add(1, Ordering::Relaxed) + 1;
            thread::spawn(move || {
                thread::sleep(CHANGE_GAP * change as u32);
                // The operator sends it to another instance after a failure or a second.
                for attempt in 0..6 {
                    let control = ((number + attempt) % 3) as u8;
                    if system.put_config(control, &config(number)) == 200 {
                        record.line(&format!("configuration {number} acknowledged"));
                        return;
                    }
                    thread::sleep(Duration::from_millis(50));
                }
            })
        })
        .collect();
    if has_trouble {
        thread::sleep(Duration::from_millis(100));
        let name = format!("control-{leader}");
        system.kill(&name);
        thread::sleep(Duration::from_secs(3));
        system.start_control(leader, false)?;
    }
    thread::sleep(end.saturating_duration_since(Instant::now()));
    is_over.store(true, Ordering::Relaxed);
    for each in clients.into_iter().chain(changes) {
        each.join().expect("no stand-in panics");
    }
    let answers = answers.lock().expect("no holder panics");
    record.line(&format!(
        "the tenant rests; answers: {} with 200, {} with 429, {} others",
        answers[0], answers[1], answers[2]
    ));
    Ok(())
}

fn send_until(
    record: &Record,
    client: u64,
    frontend: SocketAddr,
    is_over: &AtomicBool,
    answers: &Mutex<[u64; 3]>,
) {
    let timeout = Duration::from_secs(2);
    let mut connection = None;
    while !is_over.load(Ordering::Relaxed) {
        let started = Instant::now();
        let attempt = format!("c{client}-{}", record.now().as_micros());
        let headers = [
            ("host", "cards.example"),
            ("x-attempt-id", attempt.as_str()),
            ("x-deadline-ms", "1500"),
            ("x-api-key", "key-1"),
        ];
        let result = match connection.take() {
            Some(open) => Ok(open),
            None => Connection::connect(frontend, timeout),
        }
        .and_then(|mut open: Connection| {
            open.send("GET /desk/1 HTTP/1.1", &headers, b"")?;
            let head = open.read_head()?;
            let head = head.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
            open.read_body(&head)?;
            Ok((open, head.status()))
        });
        let status = match result {
            Ok((open, status)) => {
                connection = Some(open);
                status
            }
            Err(_) => 0,
        };
        let kind = match status {
            200 => 0,
            429 => 1,
            _ => 2,
        };
        answers.lock().expect("no holder panics")[kind] += 1;
        thread::sleep(CLIENT_GAP.saturating_sub(started.elapsed()));
    }
}

/// The largest number of requests since a time that were both sent and arrived in one window.
fn most_in_window(runs: &[(Duration, Duration)], from: Duration) -> u64 {
    let recent: Vec<_> = runs.iter().filter(|(sent, _)| *sent >= from).collect();
    let starts = recent.iter().map(|(sent, _)| *sent);
    let counts = starts.map(|start| {
        let in_window = |run: &&&(Duration, Duration)| run.0 >= start && run.1 <= start + WINDOW;
        recent.iter().filter(in_window).count() as u64
    });
    counts.max().unwrap_or(0)
}

fn config(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"desk\",\"host\":\"cards.example\",\
         \"path_prefix\":\"/desk/\",\"kind\":\"safe\",\"timeout_ms\":1500,\
         \"target_latency_ms\":100,\"priority\":2,\"service\":\"desk\",\"max_attempts\":1,\
         \"anonymous\":false}}],\"services\":[{{\"name\":\"desk\",\"health_path\":\"/healthz\",\
         \"max_connections\":600,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\
         \"cold_per_s\":0.0}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"orchid\",\"api_keys\":[\"key-1\"],\"priority\":1,\
         \"unit\":\"token\",\"uncached_tokens\":{COST},\"rate_per_s\":{RATE},\
         \"burst\":{BURST}}}]}}"
    )
}
