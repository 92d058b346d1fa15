//! Clients that pause while they read their answers, on a machine that is stopped as planned.

use std::io::BufReader;
use std::io::Read;
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

const CLIENTS: usize = 6;
/// An answer has 70 events of 310 bytes or so.
const EVENTS: usize = 70;
const PADDING: usize = 270;
const GAP: Duration = Duration::from_millis(20);
/// Bytes of the answer after which a client pauses once.
const PAUSE_AFTER: usize = 1_500;
const PAUSE: Duration = Duration::from_millis(4_500);
const PATIENCE: Duration = Duration::from_millis(3_200);

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
    deployment.contracts = deployment::HOLMGAARD;
    deployment.gateway_memory = "88MB";
    for (name, stage) in [("w-prefill", "prefill"), ("w-decode", "decode")] {
        start_worker(record, &list, name, stage).map_err(text)?;
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
    let clients: Vec<JoinHandle<bool>> = (0..CLIENTS)
        .map(|number| {
            let record = record.clone();
            thread::sleep(Duration::from_millis(80));
            thread::spawn(move || is_answered(&record, gateway, number, has_trouble))
        })
        .collect();
    thread::sleep(Duration::from_millis(800));
    if std::env::var("SIGTERM").as_deref() != Ok("0")
        && let Some(stopped) = deployment.gateways[0].child.as_ref()
    {
        deployment::signal(stopped, deployment::SIGTERM);
        record.line("gateway-0 gets SIGTERM");
    }
    let answered = clients.into_iter().map(|client| client.join());
    let lost = answered.filter(|answered| matches!(answered, Ok(false)));
    let lost = lost.count();
    record.line(&format!(
        "{lost} of {CLIENTS} requests that had been passed on to a worker ended without a complete \
         answer"
    ));
    // "More than three times", for the rule on kept connections.
    Ok(lost > 3)
}

fn start_worker(
    record: &Record,
    list: &List,
    name: &str,
    stage: &'static str,
) -> std::io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    list.put(Entry {
        id: name.to_owned(),
        service: "caption".to_owned(),
        address: listener.local_addr()?,
        zone: "zone-0".to_owned(),
        slots: 12,
        state: "ready",
        stage: Some(stage),
        born: 1_760_000_000_000,
    });
    let mut model = ModelWorker::new(name, stage, 12, record.clone());
    model.events = EVENTS;
    model.gap = GAP;
    model.padding = PADDING;
    worker::serve(
        listener,
        name,
        Arc::new(move |request, writer| model.handle(request, writer)),
    );
    Ok(())
}

/// A connection that is not read for a while once so many bytes of the long answer were read.
struct PausingStream {
    stream: TcpStream,
    bytes_to_pause: Option<usize>,
}

impl Read for PausingStream {
    fn read(&mut self, buf: &mut [u8]) -> std::io::Result<usize> {
        if self.bytes_to_pause == Some(0) {
            self.bytes_to_pause = None;
            thread::sleep(PAUSE);
        }
        let read = self.stream.read(buf)?;
        if let Some(left) = &mut self.bytes_to_pause {
            *left = left.saturating_sub(read);
        }
        Ok(read)
    }
}

/// Sends a short request and then a long one on the same connection, and reads the answer of the long one
/// with a pause. Returns whether it was complete.
fn is_answered(record: &Record, address: SocketAddr, number: usize, pauses: bool) -> bool {
    let Ok(stream) = TcpStream::connect(address) else {
        return true;
    };
    http::keep_receive_buffer_small(&stream);
    stream.set_read_timeout(Some(PATIENCE)).ok();
    let stream = PausingStream {
        stream,
        bytes_to_pause: None,
    };
    let mut reader = BufReader::with_capacity(512, stream);
    for kind in ["short", "long"] {
        let attempt = format!("{kind}-{number}");
        if kind == "long" && pauses {
            reader.get_mut().bytes_to_pause = Some(PAUSE_AFTER);
        }
        let sent = Instant::now();
        let answer = reader
            .get_mut()
            .stream
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
        "POST /caption/1 HTTP/1.1\r\nHost: archive.example\r\nX-Attempt-Id: {attempt}\r\nX-Model: m\r\n\
         X-Token-Count: 1000,{EVENTS}\r\nX-Length-Hint: {EVENTS}\r\nX-Prompt-Prefix: {number:x}a:1000\r\n\
         X-Deadline-Ms: 14000\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

fn document() -> String {
    "{\"version\":1,\"routes\":[{\"name\":\"r-caption\",\"host\":\"archive.example\",\
     \"path_prefix\":\"/caption/\",\"kind\":\"streaming\",\"timeout_ms\":14000,\
     \"target_latency_ms\":800,\"priority\":1,\"service\":\"caption\",\"max_attempts\":1,\
     \"anonymous\":true,\"sticky\":true,\"resumable\":false,\"gap_target_ms\":300}],\
     \"services\":[{\"name\":\"caption\",\"health_path\":\"/healthz\",\"max_connections\":566,\
     \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0,\
     \"engine\":{\"slots\":12,\"kv_capacity_tokens\":74290,\"kv_bytes\":35136,\
     \"link_mbps\":4400000.0,\"stride\":1,\"handle_ttl_s\":0.5,\"switch_s\":6.0,\
     \"models\":[{\"name\":\"m\"}]}}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
     \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[]}"
        .to_owned()
}
