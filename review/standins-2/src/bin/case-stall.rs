//! Streams whose worker preempts them for a moment, on a machine that is stopped as planned, while the
//! other worker is full.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use review_standins_2::deployment;
use review_standins_2::deployment::Deployment;
use review_standins_2::http;
use review_standins_2::http::End;
use review_standins_2::list::Entry;
use review_standins_2::list::List;
use review_standins_2::record::Record;
use review_standins_2::worker;
use review_standins_2::worker::ModelWorker;

/// Requests that each decode worker runs at once.
const SLOTS: usize = 6;
const EVENTS: usize = 45;
const GAP: Duration = Duration::from_millis(100);
/// Shorter than a client waits between two events: the longest of 2 s, four times the latency target and
/// eight times the pause target, which is 3.6 s.
const PREEMPTED_FOR: Duration = Duration::from_millis(2_000);
const PATIENCE: Duration = Duration::from_millis(3_600);

fn main() -> ExitCode {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&Path::new(&folder).join("record.txt")).expect("the record");
    match run(&record, has_trouble) {
        Ok(true) => {
            record.line("result: the rule was broken");
            ExitCode::from(1)
        }
        Ok(false) => {
            record.line("result: the rule held");
            ExitCode::SUCCESS
        }
        Err(e) => {
            record.line(&format!("result: the case could not run: {e}"));
            ExitCode::from(2)
        }
    }
}

fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let text = |e: std::io::Error| e.to_string();
    let list = List::default();
    let mut deployment =
        Deployment::new(record.clone(), 3, 1, list.serve().map_err(text)?).map_err(text)?;
    for (name, stage) in [
        ("w-prefill-1", "prefill"),
        ("w-prefill-2", "prefill"),
        ("w-decode-1", "decode"),
        ("w-decode-2", "decode"),
    ] {
        start_worker(record, &list, name, stage, has_trouble).map_err(text)?;
    }
    deployment.start_all().map_err(text)?;
    if !deployment.adopt(&document(), Duration::from_secs(15)) {
        return Err("no configuration was acknowledged".to_owned());
    }
    if !deployment.wait_ready(Duration::from_secs(15)) {
        return Err("the gateway did not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    let gateway = deployment.client(0);
    let clients: Vec<JoinHandle<bool>> = (0..2 * SLOTS)
        .map(|number| {
            let record = record.clone();
            thread::sleep(Duration::from_millis(60));
            thread::spawn(move || is_answered(&record, gateway, number))
        })
        .collect();
    thread::sleep(Duration::from_millis(600));
    if let Some(stopped) = deployment.gateways[0].child.as_ref() {
        deployment::signal(stopped, deployment::SIGTERM);
        record.line("gateway-0 gets SIGTERM");
    }
    let answered = clients.into_iter().map(|client| client.join());
    let lost = answered.filter(|answered| matches!(answered, Ok(false)));
    let lost = lost.count();
    for line in deployment.log("gateway-0").lines() {
        if line.contains("step=resume") || line.contains("event=stop") {
            record.line(&format!("log of gateway-0: {line}"));
        }
    }
    record.line(&format!(
        "{lost} of {} requests that had been passed on to a worker ended without a complete answer",
        2 * SLOTS
    ));
    Ok(lost > 0)
}

fn start_worker(
    record: &Record,
    list: &List,
    name: &str,
    stage: &'static str,
    has_trouble: bool,
) -> std::io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    list.put(Entry {
        id: name.to_owned(),
        service: "verse".to_owned(),
        address: listener.local_addr()?,
        zone: "zone-0".to_owned(),
        slots: SLOTS as u32,
        state: "ready",
        stage: Some(stage),
        born: 1_760_000_000_000,
    });
    let mut model = ModelWorker::new(name, stage, SLOTS, record.clone());
    model.events = EVENTS;
    // The streams of the other worker last longer, so that it stays full.
    model.gap = if name == "w-decode-2" {
        3 * GAP / 2
    } else {
        GAP
    };
    if has_trouble && name == "w-decode-1" {
        // The newest requests of one worker are preempted.
        model.preempted = (0..2 * SLOTS)
            .rev()
            .map(|each| format!("long-{each}"))
            .collect();
        model.preempted_for = PREEMPTED_FOR;
    }
    worker::serve(
        listener,
        name,
        Arc::new(move |request, writer| model.handle(request, writer)),
    );
    Ok(())
}

/// Sends a short request and then a long one on the same connection. Returns whether the long one was
/// answered completely, or refused without having been passed on.
fn is_answered(record: &Record, address: SocketAddr, number: usize) -> bool {
    let Ok(stream) = TcpStream::connect(address) else {
        return true;
    };
    stream.set_read_timeout(Some(PATIENCE)).ok();
    let mut reader = BufReader::new(stream);
    for kind in ["short", "long"] {
        let attempt = format!("{kind}-{number}");
        let sent = Instant::now();
        let answer = reader
            .get_mut()
            .write_all(&request(&attempt, number))
            .and_then(|()| http::receive_from(&mut reader));
        let took_ms = sent.elapsed().as_millis();
        let (status, events, end) = match &answer {
            Ok(answer) => {
                let events = answer
                    .body
                    .windows(3)
                    .filter(|each| *each == b"id:")
                    .count();
                (answer.head.status(), events, answer.end.clone())
            }
            Err(e) => (0, 0, End::Cut(e.to_string())),
        };
        record.line(&format!(
            "client gets {status} for {attempt} with {events} events, {end:?}, after {took_ms} ms"
        ));
        if kind == "long" {
            return status != 200 || (end == End::Complete && events == EVENTS);
        }
    }
    true
}

fn request(attempt: &str, number: usize) -> Vec<u8> {
    let body = "x".repeat(1_000);
    format!(
        "POST /verse/1 HTTP/1.1\r\nHost: cards.example\r\nX-Attempt-Id: {attempt}\r\nX-Model: m\r\n\
         X-Token-Count: 1000,{EVENTS}\r\nX-Length-Hint: {EVENTS}\r\nX-Prompt-Prefix: {number:x}a:1000\r\n\
         X-Deadline-Ms: 14000\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

fn document() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-verse\",\"host\":\"cards.example\",\
         \"path_prefix\":\"/verse/\",\"kind\":\"streaming\",\"timeout_ms\":14000,\
         \"target_latency_ms\":900,\"priority\":1,\"service\":\"verse\",\"max_attempts\":2,\
         \"anonymous\":true,\"sticky\":true,\"resumable\":true,\"gap_target_ms\":300}}],\
         \"services\":[{{\"name\":\"verse\",\"health_path\":\"/healthz\",\"max_connections\":180,\
         \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0,\
         \"engine\":{{\"slots\":{SLOTS},\"kv_capacity_tokens\":75527,\"kv_bytes\":163840,\
         \"link_mbps\":8000000.0,\"stride\":1,\"handle_ttl_s\":0.5,\"switch_s\":6.0,\
         \"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[]}}"
    )
}
