//! A worker crashes in the middle of an answer that has no length. On the way to the gateway, the packet
//! that closes one of its other connections may be lost and sent again.

use std::env;
use std::fs::File;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::Verdict;
use crate::http;
use crate::http::Connection;
use crate::http::Head;
use crate::record::Record;
use crate::system::Entry;
use crate::system::System;

/// One of them crashes: a share of 0.17.
const WORKERS: u8 = 6;
/// Lookups of clients at once; each worker keeps about twelve resting connections of them.
const LOOKUPS: usize = 72;
/// Share of the packets between the zones that are lost; the site has 0.025.
const LOSS: f64 = 0.025;
const ROUNDS: u32 = 14;
/// Time after which a worker that has crashed is back.
const DOWN_TIME: Duration = Duration::from_millis(1500);
/// Shortest time after which TCP sends a lost packet again.
const RETRANSMISSION_TIME: Duration = Duration::from_millis(200);
const HALF: usize = 400;
/// Time between the halves of an answer.
const WORK_TIME: Duration = Duration::from_millis(500);

/// Serves as the worker: a process of its own, so that it can crash.
pub fn work(address: SocketAddr, own_id: String) -> io::Result<()> {
    let handler = move |head: &Head, _: &[u8], connection: &mut Connection| {
        let attempt = head.get("x-attempt-id").unwrap_or_default();
        let signature = format!("{own_id}.{attempt}");
        let expected = head.get("x-expected-instance");
        if expected.is_some_and(|id| id != own_id) {
            let headers = [
                ("x-attempt-id", attempt),
                ("x-instance-id", own_id.as_str()),
            ];
            connection.send("HTTP/1.1 421 Misdirected Request", &headers, b"")?;
            return Ok(true);
        }
        if head.start.starts_with("GET") {
            thread::sleep(Duration::from_millis(100));
            let headers = [
                ("x-attempt-id", attempt),
                ("x-server-signature", &signature),
                ("x-instance-id", own_id.as_str()),
            ];
            connection.send("HTTP/1.1 200 OK", &headers, b"in stock")?;
            return Ok(true);
        }
        let start = format!(
            "HTTP/1.1 200 OK\r\nx-attempt-id: {attempt}\r\nx-server-signature: {signature}\r\n\
             connection: close\r\n\r\n"
        );
        connection.write(start.as_bytes())?;
        connection.write(&[b'a'; HALF])?;
        thread::sleep(WORK_TIME);
        connection.write(&[b'b'; HALF])?;
        Ok(false)
    };
    http::serve(address, Arc::new(handler))?;
    loop {
        thread::park();
    }
}

pub fn run(record: &Record, folder: PathBuf, has_trouble: bool) -> io::Result<Verdict> {
    let has_loss = has_trouble && env::var("TROUBLE").as_deref() != Ok("crash");
    let system = System::start(record, folder.clone(), 1)?;
    let mut workers = Vec::new();
    let mut entries = Vec::new();
    for number in 0..WORKERS {
        let id = format!("w-{number}");
        let (listed, own) = (system.worker(number), system.worker(WORKERS + number));
        let process = Worker::start(record, own, &id, &folder)?;
        let link = Link::start(record, listed, own, &id, has_loss)?;
        workers.push((process, link));
        let mut entry = Entry::new(&id, "desk", listed, 24);
        entry.zone = "sem-b";
        entries.push(entry);
    }
    system.list.set(entries);
    if !system.configure(&config()) {
        return Err(io::ErrorKind::TimedOut.into());
    }
    thread::sleep(Duration::from_secs(4));
    let frontend = system.frontend(0);
    let mut random = seed();
    for round in 0..ROUNDS {
        record.line(&format!("round {round}"));
        let is_broken = play(
            record,
            &mut workers,
            frontend,
            round,
            has_trouble,
            &mut random,
        )?;
        if is_broken {
            return Ok(Verdict::Broken);
        }
        if has_trouble {
            thread::sleep(DOWN_TIME);
            for (number, (process, link)) in (0..).zip(&mut workers) {
                if link.is_refusing.load(Ordering::Relaxed) {
                    let (listed, own) = (system.worker(number), system.worker(WORKERS + number));
                    *process = Worker::start(record, own, &link.id, &folder)?;
                    *link = Link::start(record, listed, own, &link.id, has_loss)?;
                    let now = SystemTime::now().duration_since(UNIX_EPOCH);
                    let born = now.map_or(1, |now| now.as_millis() as u64);
                    system.list.update(&link.id, |entry| entry.born = born);
                }
            }
            thread::sleep(Duration::from_secs(2));
        }
    }
    Ok(Verdict::Held)
}

/// Plays a crash. Returns whether half an answer came as a complete one.
fn play(
    record: &Record,
    workers: &mut [(Worker, Arc<Link>)],
    frontend: SocketAddr,
    round: u32,
    has_trouble: bool,
    random: &mut u64,
) -> io::Result<bool> {
    let lookups: Vec<JoinHandle<()>> = (0..LOOKUPS)
        .map(|number| {
            thread::spawn(move || {
                send(frontend, "GET", &format!("lookup-{round}-{number}")).ok();
            })
        })
        .collect();
    for each in lookups {
        each.join().expect("clients do not panic");
    }
    thread::sleep(Duration::from_millis(300));
    let order = {
        let record = record.clone();
        thread::spawn(move || {
            let result = send(frontend, "POST", &format!("order-{round}"));
            record.line(&format!(
                "client of order-{round}: {:?}",
                result
                    .as_ref()
                    .map(|(status, body)| format!("{status}, {} bytes, whole", body.len()))
            ));
            result
        })
    };
    thread::sleep(WORK_TIME / 2);
    let runs_order = |(_, link): &&mut (Worker, Arc<Link>)| link.has_order.load(Ordering::Relaxed);
    if let Some((process, link)) = workers.iter_mut().find(runs_order) {
        link.has_order.store(false, Ordering::Relaxed);
        let open = link.open.load(Ordering::Relaxed);
        record.line(&format!(
            "{} runs the order; {open} connections are open",
            link.id
        ));
        if has_trouble {
            record.line(&format!("the process of {} is killed", link.id));
            link.random.store(next(random), Ordering::Relaxed);
            link.is_refusing.store(true, Ordering::Relaxed);
            process.0.kill()?;
            process.0.wait()?;
        }
    }
    let answer = order.join().expect("clients do not panic");
    Ok(answer.is_ok_and(|(status, body)| status == 200 && body.len() < 2 * HALF))
}

fn seed() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(1, |now| now.as_nanos() as u64) | 1
}

fn next(state: &mut u64) -> u64 {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    *state
}

fn send(frontend: SocketAddr, method: &str, attempt: &str) -> io::Result<(u16, Vec<u8>)> {
    let headers = [
        ("host", "cards.example"),
        ("x-attempt-id", attempt),
        ("x-deadline-ms", "3000"),
        ("x-api-key", "key-1"),
    ];
    let path = if method == "GET" { "stock" } else { "orders" };
    let start = format!("{method} /{path}/1 HTTP/1.1");
    let timeout = Duration::from_secs(5);
    let (head, body) = http::call(frontend, &start, &headers, b"", timeout)?;
    Ok((head.status(), body))
}

/// The worker's process; ended when dropped.
struct Worker(Child);

impl Worker {
    fn start(
        record: &Record,
        address: SocketAddr,
        own_id: &str,
        folder: &Path,
    ) -> io::Result<Self> {
        let child = Command::new(env::current_exe()?)
            .arg("worker")
            .arg(address.to_string())
            .arg(own_id)
            .stdin(Stdio::null())
            .spawn()?;
        record.line(&format!("started {own_id} pid={}", child.id()));
        let mut pids = File::options()
            .create(true)
            .append(true)
            .open(folder.join("pids"))?;
        writeln!(pids, "{}", child.id())?;
        let worker = Self(child);
        for _ in 0..100 {
            if TcpStream::connect(address).is_ok() {
                return Ok(worker);
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(io::ErrorKind::TimedOut.into())
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.0.kill().ok();
        self.0.wait().ok();
    }
}

/// The link between the gateway and a worker in another zone.
struct Link {
    id: String,
    is_lossy: bool,
    /// Whether the worker's process is gone, so that its address refuses connections.
    is_refusing: AtomicBool,
    /// Connections that are open.
    open: AtomicUsize,
    has_order: AtomicBool,
    /// Decides which closing packets are lost.
    random: AtomicU64,
}

impl Link {
    fn start(
        record: &Record,
        listed: SocketAddr,
        own: SocketAddr,
        id: &str,
        is_lossy: bool,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(listed)?;
        listener.set_nonblocking(true)?;
        let link = Arc::new(Self {
            id: id.to_owned(),
            is_lossy,
            is_refusing: AtomicBool::default(),
            open: AtomicUsize::default(),
            has_order: AtomicBool::default(),
            random: AtomicU64::default(),
        });
        let (record, accepting) = (record.clone(), Arc::clone(&link));
        thread::spawn(move || {
            while !accepting.is_refusing.load(Ordering::Relaxed) {
                let Ok((gateway, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let (record, link) = (record.clone(), Arc::clone(&accepting));
                thread::spawn(move || {
                    link.open.fetch_add(1, Ordering::Relaxed);
                    link.relay(&record, gateway, own).ok();
                    link.open.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        Ok(link)
    }

    /// Passes bytes on in both directions. The close of the worker's end arrives late if its packet is lost.
    fn relay(
        self: &Arc<Self>,
        record: &Record,
        gateway: TcpStream,
        own: SocketAddr,
    ) -> io::Result<()> {
        gateway.set_nonblocking(false)?;
        gateway.set_nodelay(true)?;
        let worker = TcpStream::connect(own)?;
        worker.set_nodelay(true)?;
        let (requests, to_worker) = (gateway.try_clone()?, worker.try_clone()?);
        let port = u64::from(gateway.peer_addr()?.port());
        let link = Arc::clone(self);
        thread::spawn(move || {
            let note = |bytes: &[u8]| {
                if bytes.starts_with(b"POST") {
                    link.has_order.store(true, Ordering::Relaxed);
                }
            };
            copy(requests, &to_worker, note).ok();
            to_worker.shutdown(Shutdown::Both).ok();
        });
        copy(worker, &gateway, |_| {}).ok();
        let has_crashed = self.is_refusing.load(Ordering::Relaxed);
        if self.is_lossy && has_crashed && self.loses_close(port) {
            record.line("the close of a connection is lost, and sent again after 200 ms");
            thread::sleep(RETRANSMISSION_TIME);
        }
        gateway.shutdown(Shutdown::Both)
    }

    /// Draws for each connection whether its closing packet is lost.
    fn loses_close(&self, port: u64) -> bool {
        let mut state = self.random.load(Ordering::Relaxed) ^ (port << 32 | port) | 1;
        for _ in 0..8 {
            next(&mut state);
        }
        (next(&mut state) >> 11) as f64 / (1_u64 << 53) as f64 <= LOSS
    }
}

fn copy(mut from: TcpStream, mut to: &TcpStream, note: impl Fn(&[u8])) -> io::Result<()> {
    let mut buf = [0; 16 << 10];
    loop {
        let count = from.read(&mut buf)?;
        if count == 0 {
            return Ok(());
        }
        note(&buf[..count]);
        to.write_all(&buf[..count])?;
    }
}

fn config() -> String {
    let route = |name: &str, kind: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"cards.example\",\"path_prefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeout_ms\":3000,\"target_latency_ms\":1000,\"priority\":2,\
             \"service\":\"desk\",\"max_attempts\":1,\"anonymous\":false}}"
        )
    };
    format!(
        "{{\"version\":1,\"routes\":[{},{}],\"services\":[{{\"name\":\"desk\",\
         \"health_path\":\"/healthz\",\"max_connections\":96,\"protocol\":\"h1\",\"tls\":false,\
         \"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"orchid\",\"api_keys\":[\"key-1\"],\"priority\":1}}]}}",
        route("stock", "safe"),
        route("orders", "unsafe")
    )
}
