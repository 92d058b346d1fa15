//! A worker turns cold while a request waits in its queue. It turns the request away when its time has
//! passed and asks for a rest. More requests reach it before the rest is over.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::http;
use crate::plain;
use crate::plain::Reply;
use crate::record::Record;
use crate::system::Entry;
use crate::system::System;

const TIMEOUT_MS: u64 = 4_000;
/// Time for which a request waits in the worker's queue before it is turned away.
const QUEUE_TIME: Duration = Duration::from_millis(2_500);
const REST_S: u32 = 3;
/// Requests in the rest, after its first half second, that the rule allows.
const ALLOWED: usize = 2;
const COLD_TIME: Duration = Duration::from_secs(8);

pub fn run(record: &Record, folder: PathBuf, has_trouble: bool) -> io::Result<Verdict> {
    let system = System::start(record, folder, 1)?;
    let worker = system.worker(0);
    // When each request reached the worker, and when the worker first asked for a rest.
    let arrivals: Arc<Mutex<Vec<Duration>>> = Arc::default();
    let asked: Arc<Mutex<Option<Duration>>> = Arc::default();
    let behaviour = {
        let (record, arrivals, asked) = (record.clone(), Arc::clone(&arrivals), Arc::clone(&asked));
        move |attempt: &str| {
            arrivals
                .lock()
                .expect("no holder panics")
                .push(record.now());
            if attempt.starts_with("warm") {
                return Reply {
                    delay: Duration::from_millis(15),
                    retry_after_s: None,
                };
            }
            if attempt == "first" {
                *asked.lock().expect("no holder panics") = Some(record.now() + QUEUE_TIME);
            }
            Reply {
                delay: QUEUE_TIME,
                retry_after_s: Some(REST_S),
            }
        }
    };
    plain::start(record, "w-1", worker, Arc::new(behaviour))?;
    system.list.set(vec![Entry::new("w-1", "desk", worker, 6)]);
    if !system.configure(&config()) {
        return Err(io::ErrorKind::TimedOut.into());
    }
    thread::sleep(Duration::from_secs(4));
    let mut clients = Vec::new();
    let frontend = system.frontend(0);
    let mut send = |attempt: String| {
        let record = record.clone();
        clients.push(thread::spawn(move || {
            let deadline = TIMEOUT_MS.to_string();
            let headers = [
                ("host", "cards.example"),
                ("x-attempt-id", attempt.as_str()),
                ("x-deadline-ms", &deadline),
                ("x-api-key", "key-1"),
            ];
            let start = "GET /desk/1 HTTP/1.1";
            let timeout = Duration::from_secs(6);
            let result = http::call(frontend, start, &headers, b"", timeout);
            let status = result.map(|(head, _)| head.status());
            record.line(&format!("client of {attempt}: {status:?}"));
        }));
    };
    for number in 0..3 {
        send(format!("warm-{number}"));
        thread::sleep(Duration::from_millis(300));
    }
    send("first".to_owned());
    thread::sleep(Duration::from_millis(100));
    if has_trouble {
        record.line("w-1 turns cold");
        let until = Instant::now() + COLD_TIME;
        system
            .list
            .update("w-1", |entry| entry.cold_until = Some(until));
    }
    thread::sleep(QUEUE_TIME + Duration::from_millis(900));
    for number in 0..6 {
        send(format!("later-{number}"));
        thread::sleep(Duration::from_millis(200));
    }
    for client in clients {
        client.join().expect("clients do not panic");
    }
    let asked = asked.lock().expect("no holder panics");
    let asked = asked.ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))?;
    let rest = asked + Duration::from_millis(500)..asked + Duration::from_secs(REST_S.into());
    let arrivals = arrivals.lock().expect("no holder panics");
    let count = arrivals.iter().filter(|at| rest.contains(*at)).count();
    record.line(&format!(
        "w-1 asked for a rest at {:.3}; {count} requests reached it between half a second later and \
         its end",
        asked.as_secs_f64()
    ));
    Ok(match count > ALLOWED {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"desk\",\"host\":\"cards.example\",\
         \"path_prefix\":\"/desk/\",\"kind\":\"safe\",\"timeout_ms\":{TIMEOUT_MS},\
         \"target_latency_ms\":1500,\"priority\":2,\"service\":\"desk\",\"max_attempts\":1,\
         \"anonymous\":false}}],\"services\":[{{\"name\":\"desk\",\"health_path\":\"/healthz\",\
         \"max_connections\":96,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":8.0,\
         \"cold_per_s\":10.0}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"orchid\",\"api_keys\":[\"key-1\"],\"priority\":1}}]}}"
    )
}
