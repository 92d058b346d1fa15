//! Workers: plain ones, a model worker that streams without a length, a prefill worker in trouble and
//! a decode worker that is full.

use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::TcpStream;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Head;
use crate::record::Record;

/// Time between two events of a stream.
pub const EVENT_INTERVAL: Duration = Duration::from_millis(100);

/// Starts a plain worker in this process, which works for `work` on a request. `on_run` gets the attempt id of each request that it runs.
pub fn serve_plain(
    address: SocketAddrV4,
    id: &str,
    work: Duration,
    on_run: impl Fn(&str) + Send + Sync + 'static,
) -> Result<(), String> {
    let listener = TcpListener::bind(address).map_err(|e| format!("{address}: {e}"))?;
    let id = id.to_owned();
    let on_run = Arc::new(on_run);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, on_run) = (id.clone(), Arc::clone(&on_run));
            thread::spawn(move || answer_plain(stream, &id, work, on_run.as_ref()));
        }
    });
    Ok(())
}

fn answer_plain(
    stream: TcpStream,
    id: &str,
    work: Duration,
    on_run: &impl Fn(&str),
) -> io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(head) = http::read_head(&mut reader)? {
        http::read_request_body(&mut reader, &head)?;
        let attempt = head.get("x-attempt-id").unwrap_or_default();
        if refuse(&mut writer, &head, id)? {
            continue;
        }
        on_run(attempt);
        thread::sleep(work);
        let body = format!("{id} answers {attempt}");
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Signature: {id}.1\r\n\
             X-Instance-Load: 1,0,8\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )?;
    }
    Ok(())
}

/// Refuses a request that is meant for another worker, or that has no id. Returns whether it did.
fn refuse(writer: &mut impl Write, head: &Head, id: &str) -> io::Result<bool> {
    let attempt = head.get("x-attempt-id").unwrap_or_default();
    let status = match head.get("x-expected-instance") {
        Some(expected) if expected != id => "421 Misdirected Request",
        _ if attempt.is_empty() => "400 Bad Request",
        _ => return Ok(false),
    };
    write!(
        writer,
        "HTTP/1.1 {status}\r\nX-Attempt-Id: {attempt}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    )?;
    Ok(true)
}

/// Runs a model worker as a process of its own: `worker IP:PORT ID EVENTS FOLDER`. Each request gets a
/// stream of `EVENTS` events that has no length and ends with its connection.
pub fn run_process(args: &[&str]) -> ExitCode {
    let &[address, id, events, record] = args else {
        return ExitCode::from(2);
    };
    let (Ok(listener), Ok(events), Ok(record)) = (
        TcpListener::bind(address),
        events.parse::<u32>(),
        Record::create(std::path::Path::new(record)),
    ) else {
        return ExitCode::from(2);
    };
    for stream in listener.incoming().flatten() {
        let (id, record) = (id.to_owned(), record.clone());
        thread::spawn(move || answer_stream(stream, &id, events, &record));
    }
    ExitCode::SUCCESS
}

fn answer_stream(stream: TcpStream, id: &str, events: u32, record: &Record) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(head) = http::read_head(&mut reader)? {
        http::read_request_body(&mut reader, &head)?;
        if head.path() == "/api/report" {
            let body = "{\"stage\":\"decode\",\"models\":[],\"busy\":false,\"sequence\":0}";
            write!(
                writer,
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )?;
            continue;
        }
        if refuse(&mut writer, &head, id)? {
            continue;
        }
        let attempt = head.get("x-attempt-id").unwrap_or_default();
        record.note(&format!("{id} runs {attempt}: {}", head.first_line));
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Signature: {id}.1\r\n\
             X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
        )?;
        for number in 1..=events {
            writer.write_all(format!("id: {number}\ndata: piece {number}\n\n").as_bytes())?;
            thread::sleep(EVENT_INTERVAL);
        }
        record.note(&format!("{id} ends {attempt} after {events} events"));
        return Ok(());
    }
    Ok(())
}

/// Speed of an instance's network link, in bytes per second.
const LINK_BYTES_PER_S: u64 = 1_000_000_000 / 8;
/// Time for which data may wait at the link before its sender has to.
const LINK_QUEUE: Duration = Duration::from_millis(1);
/// Bytes that a worker in trouble writes at a time: those of one event of the site's streams.
const BLOCK: usize = 310;

/// Starts a prefill worker in this process. It answers the release of a KV cache with bytes without
/// end if `is_endless` is set, at the speed of the link.
pub fn serve_prefill(
    address: SocketAddrV4,
    id: &str,
    record: &Record,
    is_endless: Arc<AtomicBool>,
) -> Result<(), String> {
    let listener = TcpListener::bind(address).map_err(|e| format!("{address}: {e}"))?;
    let (id, record) = (id.to_owned(), record.clone());
    let link = Arc::new(Link::default());
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let (id, record) = (id.clone(), record.clone());
            let (is_endless, link) = (Arc::clone(&is_endless), Arc::clone(&link));
            thread::spawn(move || answer_prefill(stream, number, &id, &record, &is_endless, &link));
        }
    });
    Ok(())
}

/// Divides the bandwidth of a link among the connections that write.
#[derive(Default)]
struct Link(Mutex<Option<Instant>>);

impl Link {
    /// Waits until the link has sent `bytes` more bytes.
    fn send(&self, bytes: usize) {
        let time = Duration::from_nanos(bytes as u64 * 1_000_000_000 / LINK_BYTES_PER_S);
        let now = Instant::now();
        let mut free_at = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let sent_at = free_at.unwrap_or(now).max(now) + time;
        *free_at = Some(sent_at);
        drop(free_at);
        let ahead = sent_at.saturating_duration_since(now);
        if ahead >= LINK_QUEUE {
            thread::sleep(ahead);
        }
    }
}

fn answer_prefill(
    stream: TcpStream,
    number: usize,
    id: &str,
    record: &Record,
    is_endless: &AtomicBool,
    link: &Link,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    let mut handles = 0;
    while let Some(head) = http::read_head(&mut reader)? {
        http::read_request_body(&mut reader, &head)?;
        if head.method() == "DELETE" && is_endless.load(Ordering::Relaxed) {
            record.note(&format!("{id} answers DELETE {} without end", head.path()));
            writer.write_all(b"HTTP/1.1 200 OK\r\n\r\n")?;
            loop {
                writer.write_all(&[b'x'; BLOCK])?;
                link.send(BLOCK);
            }
        }
        if head.method() == "DELETE" {
            writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        if refuse(&mut writer, &head, id)? {
            continue;
        }
        handles += 1;
        let attempt = head.get("x-attempt-id").unwrap_or_default();
        let body =
            format!("{{\"kv_handle\":\"{number:x}a{handles:x}\",\"tokens\":200,\"version\":1}}");
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        )?;
    }
    Ok(())
}

/// Starts a decode worker in this process that is full: it refuses each request after `delay`.
pub fn serve_full(address: SocketAddrV4, id: &str, delay: Duration) -> Result<(), String> {
    let listener = TcpListener::bind(address).map_err(|e| format!("{address}: {e}"))?;
    let id = id.to_owned();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let id = id.clone();
            thread::spawn(move || answer_full(stream, &id, delay));
        }
    });
    Ok(())
}

fn answer_full(stream: TcpStream, id: &str, delay: Duration) -> io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(head) = http::read_head(&mut reader)? {
        http::read_request_body(&mut reader, &head)?;
        if refuse(&mut writer, &head, id)? {
            continue;
        }
        thread::sleep(delay);
        let attempt = head.get("x-attempt-id").unwrap_or_default();
        write!(
            writer,
            "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: {attempt}\r\nX-Not-Executed: 1\r\n\
             Content-Length: 0\r\n\r\n"
        )?;
    }
    Ok(())
}
