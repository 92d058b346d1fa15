//! A worker in trouble answers the release of a KV cache without end, and the gateway keeps what it
//! reads until it is over its memory limit.

use std::collections::BTreeSet;
use std::io::BufReader;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::http;
use crate::network::Subnet;
use crate::network::WORKER_PORT;
use crate::platform::Listed;
use crate::platform::Platform;
use crate::record::Record;
use crate::system::Folder;
use crate::system::System;
use crate::worker;

const CONTROLS: u8 = 3;
/// Memory limit of a gateway, in bytes: `memory_mb` 110 of the site.
const MEMORY_LIMIT: u64 = 110 << 20;
const MEMORY_CHECK: Duration = Duration::from_millis(2);
/// Clients with a kept connection to the plain service.
const CLIENTS: usize = 16;
/// Model requests a second.
const MODEL_RATE: u32 = 20;
const WORK: Duration = Duration::from_millis(200);
const CALM: Duration = Duration::from_secs(3);
const TROUBLE: Duration = Duration::from_secs(30);

/// Attempts that the sound worker has begun, and those whose connection closed without an answer.
#[derive(Clone, Default)]
struct Outcomes {
    ran: Arc<Mutex<BTreeSet<String>>>,
    cut: Arc<Mutex<BTreeSet<String>>>,
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let folder = Folder::create()?;
    let (subnet, listener) = Subnet::find()?;
    let platform = Platform::default();
    platform.serve(listener);
    let outcomes = Outcomes::default();
    let is_endless = Arc::new(AtomicBool::new(false));
    start_workers(record, subnet, &platform, &outcomes, &is_endless)?;
    let mut system = System::start(&folder.0, subnet, CONTROLS, false)?;
    system.configure(record, &document())?;
    thread::sleep(Duration::from_secs(2));

    let stop = Arc::new(AtomicBool::new(false));
    for number in 0..CLIENTS {
        let (stop, outcomes) = (Arc::clone(&stop), outcomes.clone());
        let address = system.client_address();
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                keep_calling(address, number, &stop, &outcomes).ok();
                thread::sleep(Duration::from_millis(20));
            }
        });
    }
    let (model_stop, address) = (Arc::clone(&stop), system.client_address());
    thread::spawn(move || {
        for number in 0.. {
            if model_stop.load(Ordering::Relaxed) {
                return;
            }
            thread::spawn(move || call_model(address, number));
            thread::sleep(Duration::from_secs(1) / MODEL_RATE);
        }
    });
    let calm_peak = watch_memory(&mut system, CALM)?.1;
    record.note(&format!(
        "gateway: at most {} KiB while calm",
        calm_peak >> 10
    ));
    is_endless.store(has_trouble, Ordering::Relaxed);
    if has_trouble {
        record.note("worker: i-prefill is in trouble from now on");
    }
    let (was_killed, peak) = watch_memory(&mut system, TROUBLE)?;
    record.note(&format!("gateway: at most {} KiB", peak >> 10));
    if was_killed {
        record.note("platform: the gateway is over its memory limit and killed");
    }
    thread::sleep(Duration::from_millis(500));
    stop.store(true, Ordering::Relaxed);
    let ran = outcomes.ran.lock().unwrap_or_else(PoisonError::into_inner);
    let cut = outcomes.cut.lock().unwrap_or_else(PoisonError::into_inner);
    let lost: Vec<_> = cut.intersection(&ran).collect();
    record.note(&format!(
        "client: {} requests passed on to the sound worker, {} of them lost with their kept \
         connection: {lost:?}",
        ran.len(),
        lost.len()
    ));
    Ok(lost.len() > 3)
}

/// Kills the gateway, as the platform does, if its memory exceeds the limit. Returns whether it did,
/// and the highest memory seen.
fn watch_memory(system: &mut System, time: Duration) -> Result<(bool, u64), String> {
    let started = std::time::Instant::now();
    let mut peak = 0;
    while started.elapsed() < time {
        let gateway = &mut system.gateways[0];
        let memory = gateway.memory().ok_or("the gateway has ended")?;
        peak = peak.max(memory);
        if memory > MEMORY_LIMIT {
            gateway.kill();
            return Ok((true, peak));
        }
        thread::sleep(MEMORY_CHECK);
    }
    Ok((false, peak))
}

fn start_workers(
    record: &Record,
    subnet: Subnet,
    platform: &Platform,
    outcomes: &Outcomes,
    is_endless: &Arc<AtomicBool>,
) -> Result<(), String> {
    let listed = |host, id: &str, service: &str, slots, stage| Listed {
        id: id.to_owned(),
        service: service.to_owned(),
        address: subnet.address(host, WORKER_PORT),
        zone: "zone-a".to_owned(),
        slots,
        state: "ready",
        stage,
    };
    let plain = listed(150, "i-desk", "desk", 64, None);
    let ran = Arc::clone(&outcomes.ran);
    worker::serve_plain(plain.address, &plain.id, WORK, move |attempt| {
        let mut ran = ran.lock().unwrap_or_else(PoisonError::into_inner);
        ran.insert(attempt.to_owned());
    })?;
    let prefill = listed(151, "i-prefill", "writer", 16, Some("prefill"));
    worker::serve_prefill(prefill.address, &prefill.id, record, Arc::clone(is_endless))?;
    let sound = listed(153, "i-sound", "writer", 16, Some("prefill"));
    worker::serve_prefill(sound.address, &sound.id, record, Arc::default())?;
    let decode = listed(152, "i-decode", "writer", 16, Some("decode"));
    worker::serve_full(decode.address, &decode.id, Duration::from_millis(5))?;
    for listed in [plain, prefill, sound, decode] {
        platform.add(listed);
    }
    Ok(())
}

/// Sends plain requests on one connection until it closes.
fn keep_calling(
    address: std::net::SocketAddrV4,
    client: usize,
    stop: &AtomicBool,
    outcomes: &Outcomes,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address.into(), Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        let port = stream.local_addr()?.port();
        let attempt = format!("plain-{client}-{port}-{number}");
        write!(
            stream,
            "POST /order/1 HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {attempt}\r\n\
             X-Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n"
        )?;
        let is_kept = number > 1;
        match http::read_response(&mut reader) {
            Ok(_) => {}
            Err(e) => {
                if is_kept {
                    let mut cut = outcomes.cut.lock().unwrap_or_else(PoisonError::into_inner);
                    cut.insert(attempt);
                }
                return Err(e);
            }
        }
    }
    Ok(())
}

fn call_model(address: std::net::SocketAddrV4, number: u32) {
    let request = format!(
        "POST /verse/1 HTTP/1.1\r\nHost: writer.example\r\nX-Attempt-Id: model-{number}\r\n\
         X-Model: m\r\nX-Token-Count: 200,50\r\nX-Prompt-Prefix: 5c1e07a2:100,{number:x}:100\r\n\
         X-Deadline-Ms: 14000\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx"
    );
    http::call(address, &request, Duration::from_secs(5)).ok();
}

fn document() -> String {
    "{\"version\":1,\"routes\":[{\"name\":\"verse\",\"host\":\"writer.example\",\
     \"path_prefix\":\"/verse/\",\"kind\":\"streaming\",\"timeout_ms\":14000,\
     \"target_latency_ms\":900,\"priority\":1,\"service\":\"writer\",\"max_attempts\":2,\
     \"anonymous\":true,\"sticky\":true,\"resumable\":true,\"gap_target_ms\":300},\
     {\"name\":\"order\",\"host\":\"desk.example\",\"path_prefix\":\"/order/\",\
     \"kind\":\"unsafe\",\"timeout_ms\":1500,\"target_latency_ms\":300,\"priority\":2,\
     \"service\":\"desk\",\"max_attempts\":1,\"anonymous\":true,\"sticky\":false,\"resumable\":false}],\
     \"services\":[{\"name\":\"writer\",\"health_path\":\"/healthz\",\"max_connections\":360,\
     \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0,\"engine\":{\
     \"slots\":16,\"kv_capacity_tokens\":75527,\"kv_bytes\":163840,\"link_mbps\":8000000.0,\
     \"moves\":true,\"backups\":true,\"stride\":1,\"most\":12,\"handle_ttl_s\":0.5,\"switch_s\":6.0,\
     \"pin_ms\":4000.0,\"hold_ms\":2000.0,\"models\":[{\"name\":\"m\"}]}},\
     {\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_connections\":360,\"protocol\":\"h1\",\
     \"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
     \"idle_timeout_ms\":15000},\"tenants\":[]}"
        .to_owned()
}
