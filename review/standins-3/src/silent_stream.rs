//! A worker preempts a stream in the middle, as its memory runs out, while the gateway is being
//! stopped in order. The worker would go on with the stream before the client loses patience.

use std::collections::HashMap;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::Verdict;
use crate::engine::Engine;
use crate::engine::STRIDE;
use crate::http::Connection;
use crate::record::Record;
use crate::system::Entry;
use crate::system::System;

const SLOTS: usize = 2;
/// Memory of a decode worker, in tokens.
const MEMORY: u64 = 20_000;
const TARGET_MS: u64 = 900;
const GAP_TARGET_MS: u64 = 300;
const TIMEOUT_MS: u64 = 14_000;
/// Clients abandon a stream after a gap of two seconds, four times the objective or eight times the
/// pause, whichever is longest.
const PATIENCE: Duration = Duration::from_millis(3_600);
const GRACE: Duration = Duration::from_secs(8);

/// A stream as its client saw it.
struct Outcome {
    attempt: &'static str,
    /// When its connection ended.
    ended: Duration,
    events: u64,
    is_complete: bool,
    gave_up: bool,
}

/// A request: its attempt id, its prompt, the client's estimate of its output, its output, and when it
/// is sent.
struct Request {
    attempt: &'static str,
    prompt: u64,
    hint: u64,
    output: u64,
    after: Duration,
}

pub fn run(record: &Record, folder: PathBuf, has_trouble: bool) -> io::Result<Verdict> {
    let system = System::start(record, folder, 2)?;
    // Without trouble, the memory of the workers suffices; the planned stop is the same.
    let memory = if has_trouble { MEMORY } else { 2 * MEMORY };
    let requests = [
        Request {
            attempt: "older",
            prompt: 8_600,
            hint: 200,
            output: 2_040,
            after: Duration::ZERO,
        },
        Request {
            attempt: "small-1",
            prompt: 1_000,
            hint: 200,
            output: 2_600,
            after: Duration::from_millis(200),
        },
        Request {
            attempt: "small-2",
            prompt: 1_000,
            hint: 200,
            output: 2_600,
            after: Duration::from_millis(200),
        },
        Request {
            attempt: "newer",
            prompt: 8_600,
            hint: 200,
            output: 2_040,
            after: Duration::from_millis(200),
        },
    ];
    let outputs: HashMap<String, u64> = requests
        .iter()
        .map(|request| (request.attempt.to_owned(), request.output))
        .collect();
    let outputs = Arc::new(Mutex::new(outputs));
    let mut entries = Vec::new();
    for (number, (id, stage)) in [("p-1", "prefill"), ("d-1", "decode"), ("d-2", "decode")]
        .into_iter()
        .enumerate()
    {
        let address = system.worker(number as u8);
        let size = (SLOTS, memory);
        Engine::start(record, id, stage, address, size, &outputs)?;
        let mut entry = Entry::new(id, "verses", address, SLOTS as u32);
        entry.stage = Some(stage);
        entries.push(entry);
    }
    system.list.set(entries);
    if !system.configure(&config()) {
        return Err(io::ErrorKind::TimedOut.into());
    }
    thread::sleep(Duration::from_secs(4));
    let frontend = system.frontend(0);
    let mut clients: Vec<JoinHandle<Outcome>> = Vec::new();
    for request in requests {
        thread::sleep(request.after);
        let record = record.clone();
        clients.push(thread::spawn(move || {
            let mut outcome = Outcome {
                attempt: request.attempt,
                ended: Duration::ZERO,
                events: 0,
                is_complete: false,
                gave_up: false,
            };
            let result = Connection::connect(frontend, PATIENCE)
                .and_then(|connection| read_stream(&record, connection, &request, &mut outcome));
            outcome.ended = record.now();
            outcome.gave_up = result.as_ref().is_err_and(|e| {
                matches!(
                    e.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                )
            });
            record.line(&format!(
                "client of {}: events={} complete={} gave_up={} result={result:?}",
                outcome.attempt, outcome.events, outcome.is_complete, outcome.gave_up
            ));
            outcome
        }));
    }
    thread::sleep(Duration::from_millis(4_000));
    let stopped_at = record.now();
    system.signal("gateway-0", "TERM")?;
    let outcomes: Vec<Outcome> = clients
        .into_iter()
        .map(|client| client.join().expect("clients do not panic"))
        .collect();
    // A worker that is still at work in the last sixth of the grace is an excuse; a worker whose
    // connection was closed before is not.
    let excused_from = stopped_at + GRACE * 5 / 6;
    let cut = outcomes
        .iter()
        .filter(|outcome| !outcome.is_complete && !outcome.gave_up);
    let broken: Vec<_> = cut.filter(|outcome| outcome.ended < excused_from).collect();
    for outcome in &broken {
        record.line(&format!(
            "LOST: {} was cut {:.1} s after SIGTERM, after {} events; its worker had not broken off",
            outcome.attempt,
            outcome.ended.saturating_sub(stopped_at).as_secs_f64(),
            outcome.events
        ));
    }
    Ok(match broken.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    })
}

fn read_stream(
    record: &Record,
    mut connection: Connection,
    request: &Request,
    outcome: &mut Outcome,
) -> io::Result<()> {
    let tokens = format!("{},4000", request.prompt);
    let (prompt, hint) = (request.prompt - 200, request.hint.to_string());
    let prefix = format!("a1:200,{}:{prompt}", hex(request.attempt));
    let deadline = TIMEOUT_MS.to_string();
    let headers = [
        ("host", "cards.example"),
        ("x-attempt-id", request.attempt),
        ("x-model", "m"),
        ("x-token-count", &tokens),
        ("x-prompt-prefix", &prefix),
        ("x-length-hint", &hint),
        ("x-deadline-ms", &deadline),
        ("x-api-key", "key-1"),
    ];
    connection.send("POST /verses/1 HTTP/1.1", &headers, b"a letter")?;
    record.line(&format!("client sent {}", request.attempt));
    let head = connection.read_head()?;
    let head = head.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
    record.line(&format!(
        "client of {} got {}",
        request.attempt,
        head.status()
    ));
    if head.status() != 200 {
        connection.read_body(&head)?;
        outcome.is_complete = true;
        return Ok(());
    }
    while let Some(chunk) = connection.read_chunk()? {
        let text = String::from_utf8_lossy(&chunk).into_owned();
        outcome.events += text.matches("id: ").count() as u64;
    }
    outcome.is_complete = outcome.events == request.output.div_ceil(STRIDE);
    Ok(())
}

fn hex(text: &str) -> String {
    text.bytes().map(|byte| format!("{byte:02x}")).collect()
}

fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"verses\",\"host\":\"cards.example\",\
         \"path_prefix\":\"/verses/\",\"kind\":\"streaming\",\"timeout_ms\":{TIMEOUT_MS},\
         \"target_latency_ms\":{TARGET_MS},\"priority\":1,\"service\":\"verses\",\
         \"max_attempts\":2,\"anonymous\":false,\"sticky\":true,\"resumable\":true,\
         \"gap_target_ms\":{GAP_TARGET_MS}}}],\"services\":[{{\"name\":\"verses\",\
         \"health_path\":\"/healthz\",\"max_connections\":360,\"protocol\":\"h1\",\"tls\":false,\
         \"cold_start_s\":0.0,\"cold_per_s\":0.0,\"engine\":{{\"slots\":{SLOTS},\
         \"kv_capacity_tokens\":{MEMORY},\"kv_bytes\":163840,\"link_mbps\":8000000.0,\
         \"moves\":true,\"backups\":true,\"stride\":{STRIDE},\"most\":12,\"handle_ttl_s\":0.5,\
         \"switch_s\":6.0,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"orchid\",\
         \"api_keys\":[\"key-1\"],\"priority\":1}}]}}"
    )
}
