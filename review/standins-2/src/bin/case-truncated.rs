//! A worker crashes within an answer that only the end of its connection marks, and is back before a
//! frozen gateway wakes.
//!
//! With `VARIANT=slow-reader` no machine freezes: another client reads an answer of the same worker
//! slowly instead.

use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use review_standins_2::deployment;
use review_standins_2::deployment::Deployment;
use review_standins_2::http;
use review_standins_2::http::End;
use review_standins_2::http::Response;
use review_standins_2::list::Entry;
use review_standins_2::list::List;
use review_standins_2::record::Record;
use review_standins_2::worker::WorkerProcess;

/// Length of the whole answer of `/desk/open`.
const WHOLE_BYTES: usize = 800;
/// The request whose client reads slowly.
const SLOW_READER: &str = "slow-reader";
/// Workers of the service; one of them crashes.
const WORKERS: usize = 5;
/// Gateways; one of them freezes.
const GATEWAYS: usize = 9;
const PATIENCE: Duration = Duration::from_secs(6);

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
        Deployment::new(record.clone(), 3, GATEWAYS, list.serve().map_err(text)?).map_err(text)?;
    let mut workers = Vec::new();
    let is_slow = std::env::var("VARIANT").as_deref() == Ok("slow-reader");
    // Both requests of the variant have to reach the same worker.
    let count = if is_slow { 1 } else { WORKERS };
    for number in 0..count {
        let id = format!("w-desk-{number}");
        let address = TcpListener::bind("127.0.0.1:0").and_then(|each| each.local_addr());
        let address = address.map_err(text)?;
        let process = start_worker(record, &id, address).map_err(text)?;
        list.put(entry(&id, address, 1_760_000_000_000));
        workers.push((id, address, process));
    }
    deployment.start_all().map_err(text)?;
    if !deployment.adopt(&document(), Duration::from_secs(15)) {
        return Err("no configuration was acknowledged".to_owned());
    }
    if !deployment.wait_ready(Duration::from_secs(15)) {
        return Err("the gateway did not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(3));
    let gateway = deployment.client(0);
    for number in 0..3 {
        let answer = ask(
            record,
            gateway,
            &format!("warm-{number}"),
            "POST",
            "/desk/small",
        );
        if !answer.is_some_and(|answer| answer.head.status() == 200) {
            return Err("the worker is not reached".to_owned());
        }
    }

    let slow = match is_slow {
        true => Some(start_slow_reader(record, gateway).map_err(text)?),
        false => None,
    };
    let order = {
        let record = record.clone();
        thread::spawn(move || ask(&record, gateway, "order", "POST", "/desk/open"))
    };
    thread::sleep(Duration::from_millis(500));
    let runs_order =
        |(id, ..): &(String, _, _)| record.find(&format!("[{id}] runs order")).is_some();
    let at = workers.iter().position(runs_order);
    let (id, address, mut worker) = workers.swap_remove(at.ok_or("no worker runs the order")?);
    let mut restarted = None;
    if has_trouble && is_slow {
        worker.kill();
        record.line(&format!("worker {id} crashes"));
    } else if has_trouble {
        let frozen = deployment.gateways[0].child.as_ref();
        let frozen = frozen.ok_or("the gateway does not run")?;
        deployment::signal(frozen, deployment::SIGSTOP);
        record.line("gateway-0 is frozen");
        thread::sleep(Duration::from_millis(300));
        worker.kill();
        record.line(&format!("worker {id} crashes"));
        thread::sleep(Duration::from_millis(1_500));
        restarted = Some(start_worker(record, "w-desk-new", address).map_err(text)?);
        list.remove(&id);
        list.put(entry("w-desk-new", address, 1_760_000_100_000));
        record.line("the worker is back as w-desk-new");
        thread::sleep(Duration::from_millis(700));
        deployment::signal(frozen, deployment::SIGCONT);
        record.line("gateway-0 wakes");
    }
    let answer = order.join().map_err(|_| "a client failed".to_owned())?;
    drop((slow, restarted, worker));
    for line in deployment.log("gateway-0").lines() {
        if line.contains("request=order") {
            record.line(&format!("log of gateway-0: {line}"));
        }
    }
    let Some(answer) = answer else {
        return Ok(false);
    };
    let is_success = answer.head.status() == 200 && answer.end == End::Complete;
    if !has_trouble && answer.body.len() != WHOLE_BYTES {
        return Err("the answer is not whole without the disruption".to_owned());
    }
    Ok(is_success && answer.body.len() < WHOLE_BYTES)
}

fn start_worker(record: &Record, id: &str, address: SocketAddr) -> std::io::Result<WorkerProcess> {
    WorkerProcess::start(record, "plain-worker", &[id, &address.to_string()])
}

fn entry(id: &str, address: SocketAddr, born: u64) -> Entry {
    Entry {
        id: id.to_owned(),
        service: "desk".to_owned(),
        address,
        zone: "zone-0".to_owned(),
        slots: 6,
        state: "ready",
        stage: None,
        born,
    }
}

/// Starts a client that has the head of a large answer and reads no further for now.
fn start_slow_reader(record: &Record, gateway: SocketAddr) -> std::io::Result<TcpStream> {
    let mut slow = send(record, gateway, SLOW_READER, "GET", "/desk/large")?;
    let mut start = [0; 1_024];
    slow.read_exact(&mut start)?;
    record.line("client slow-reader has read 1024 bytes and pauses");
    thread::sleep(Duration::from_millis(300));
    Ok(slow)
}

fn send(
    record: &Record,
    address: SocketAddr,
    attempt: &str,
    method: &str,
    path: &str,
) -> std::io::Result<TcpStream> {
    let body = if method == "POST" { "0123456789" } else { "" };
    let length = match method {
        "POST" => format!("Content-Length: {}\r\n", body.len()),
        _ => String::new(),
    };
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: cards.example\r\nX-Attempt-Id: {attempt}\r\n\
         X-Deadline-Ms: 5000\r\n{length}\r\n{body}"
    );
    record.line(&format!("client sends {attempt}: {method} {path}"));
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    if attempt == SLOW_READER {
        http::keep_receive_buffer_small(&stream);
    }
    http::send_on(stream, request.as_bytes(), PATIENCE)
}

fn ask(
    record: &Record,
    address: SocketAddr,
    attempt: &str,
    method: &str,
    path: &str,
) -> Option<Response> {
    let answer = send(record, address, attempt, method, path).and_then(http::receive);
    match answer {
        Ok(answer) => {
            record.line(&format!(
                "client gets {} for {attempt}, signature '{}', {} bytes, {:?}",
                answer.head.status(),
                answer.head.field("x-server-signature"),
                answer.body.len(),
                answer.end
            ));
            Some(answer)
        }
        Err(e) => {
            record.line(&format!("client gets no answer to {attempt}: {e}"));
            None
        }
    }
}

fn document() -> String {
    "{\"version\":1,\"routes\":[\
     {\"name\":\"r-order\",\"host\":\"cards.example\",\"path_prefix\":\"/desk/\",\"kind\":\"unsafe\",\
     \"timeout_ms\":5000,\"target_latency_ms\":1000,\"priority\":2,\"service\":\"desk\",\
     \"max_attempts\":1,\"anonymous\":true}],\
     \"services\":[{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_connections\":96,\
     \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
     \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[]}"
        .to_owned()
}
