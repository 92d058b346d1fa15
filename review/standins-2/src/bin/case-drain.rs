//! A request whose prompt is read for long, while the worker that is to decode it leaves as planned.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use review_standins_2::deployment::Deployment;
use review_standins_2::http;
use review_standins_2::http::End;
use review_standins_2::list::Entry;
use review_standins_2::list::List;
use review_standins_2::record::Record;
use review_standins_2::worker::WorkerProcess;

const DRAIN: Duration = Duration::from_millis(3_000);
/// A worker that leaves serves for `DRAIN` and a little longer.
const LITTLE_LONGER: Duration = Duration::from_millis(2_500);
/// 69,000 tokens at 55.6 in a ms, at a worker that is four times slower than usual: one of nine.
const PREFILL_MS: &str = "4970";
const EVENTS: usize = 20;

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
    let prefill = start_worker(record, "w-prefill", "prefill").map_err(text)?;
    let mut old = start_worker(record, "w-old", "decode").map_err(text)?;
    let new = start_worker(record, "w-new", "decode").map_err(text)?;
    list.put(entry("w-prefill", "prefill", prefill.1, "ready"));
    list.put(entry("w-old", "decode", old.1, "ready"));
    let mut others = Vec::new();
    for number in 1..=6 {
        let other =
            start_worker(record, &format!("w-prefill-{number}"), "prefill").map_err(text)?;
        let mut listed = entry(&format!("w-prefill-{number}"), "prefill", other.1, "ready");
        listed.zone = format!("zone-{}", 1 + number % 2);
        list.put(listed);
        others.push(other);
    }
    let far = start_worker(record, "w-far", "decode").map_err(text)?;
    let mut listed = entry("w-far", "decode", far.1, "ready");
    listed.zone = "zone-1".to_owned();
    list.put(listed);
    deployment.start_all().map_err(text)?;
    if !deployment.adopt(&document(), Duration::from_secs(15)) {
        return Err("no configuration was acknowledged".to_owned());
    }
    if !deployment.wait_ready(Duration::from_secs(15)) {
        return Err("the gateway did not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    let gateway = deployment.client(0);
    let client = {
        let record = record.clone();
        thread::spawn(move || ask(&record, gateway))
    };
    thread::sleep(Duration::from_millis(150));
    let shown_at = Arc::new(Mutex::new(None));
    if has_trouble {
        list.put(entry("w-new", "decode", new.1, "ready"));
        list.put(entry("w-old", "decode", old.1, "draining"));
        *shown_at.lock().unwrap() = Some(record.now());
        record.line("the list shows w-new, and w-old as draining");
        thread::sleep(DRAIN + LITTLE_LONGER);
        old.0.kill();
        list.remove("w-old");
        record.line("w-old has left");
    }
    let is_lost = client.join().map_err(|_| "the client failed".to_owned())?;
    let shown_at = *shown_at.lock().unwrap();
    let late = shown_at.and_then(|shown_at| {
        let ran_at = record.find("[w-old] worker w-old runs request-0")?;
        Some(ran_at.saturating_sub(shown_at))
    });
    for line in deployment.log("gateway-0").lines() {
        if line.contains("request=request-0") || line.contains("endpoint=w-old service") {
            record.line(&format!("log of gateway-0: {line}"));
        }
    }
    if let Some(late) = late {
        let late = late.as_millis();
        record.line(&format!(
            "the request reached w-old {late} ms after the list had shown it as draining"
        ));
    }
    record.line(&format!("the request is lost: {is_lost}"));
    Ok(late.is_some_and(|late| late > DRAIN) && is_lost)
}

fn start_worker(
    record: &Record,
    id: &str,
    stage: &str,
) -> std::io::Result<(WorkerProcess, SocketAddr)> {
    let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    let events = EVENTS.to_string();
    let args = [
        id,
        stage,
        &address.to_string(),
        "16",
        PREFILL_MS,
        &events,
        "100",
    ];
    Ok((
        WorkerProcess::start(record, "model-worker", &args)?,
        address,
    ))
}

fn entry(id: &str, stage: &'static str, address: SocketAddr, state: &'static str) -> Entry {
    Entry {
        id: id.to_owned(),
        service: "verse".to_owned(),
        address,
        zone: "zone-0".to_owned(),
        slots: 16,
        state,
        stage: Some(stage),
        born: 1_760_000_000_000,
    }
}

/// Sends the request. Returns whether its answer ends before it is whole.
fn ask(record: &Record, address: SocketAddr) -> bool {
    let body = "x".repeat(1_000);
    let request = format!(
        "POST /verse/1 HTTP/1.1\r\nHost: cards.example\r\nX-Attempt-Id: request-0\r\nX-Model: m\r\n\
         X-Token-Count: 69000,{EVENTS}\r\nX-Length-Hint: {EVENTS}\r\nX-Prompt-Prefix: a1:69000\r\n\
         X-Deadline-Ms: 14000\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    record.line("client sends request-0");
    let sent = Instant::now();
    let answer = http::send(address, request.as_bytes(), Duration::from_secs(14));
    let answer = answer.and_then(http::receive);
    let took_ms = sent.elapsed().as_millis();
    match answer {
        Ok(answer) => {
            let status = answer.head.status();
            let events = answer
                .body
                .windows(3)
                .filter(|each| *each == b"id:")
                .count();
            record.line(&format!(
                "client gets {status} with {events} events, {:?}, after {took_ms} ms",
                answer.end
            ));
            status == 200 && answer.end != End::Complete
        }
        Err(e) => {
            record.line(&format!("client gets no answer after {took_ms} ms: {e}"));
            true
        }
    }
}

fn document() -> String {
    "{\"version\":1,\"routes\":[{\"name\":\"r-verse\",\"host\":\"cards.example\",\
     \"path_prefix\":\"/verse/\",\"kind\":\"streaming\",\"timeout_ms\":14000,\
     \"target_latency_ms\":9000,\"priority\":1,\"service\":\"verse\",\"max_attempts\":1,\
     \"anonymous\":true,\"sticky\":true,\"resumable\":false,\"gap_target_ms\":300}],\
     \"services\":[{\"name\":\"verse\",\"health_path\":\"/healthz\",\"max_connections\":180,\
     \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0,\
     \"engine\":{\"slots\":16,\"kv_capacity_tokens\":75527,\"kv_bytes\":163840,\
     \"link_mbps\":8000000.0,\"stride\":1,\"handle_ttl_s\":0.5,\"switch_s\":6.0,\
     \"models\":[{\"name\":\"m\"}]}}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
     \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[]}"
        .to_owned()
}
