//! A worker of a plain service, as a process of its own that can be killed.
//!
//! `/desk/small`: a short answer. `/desk/large`: an answer of 16 MB with its length. `/desk/open`: an
//! answer without a length that ends with its connection, in two halves with a pause between them.

use std::io::Result;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use review_standins_2::worker;
use review_standins_2::worker::Request;

const LARGE_BYTES: usize = 16 << 20;
/// Half of the answer of `/desk/open`.
const HALF_BYTES: usize = 400;
const PAUSE: Duration = Duration::from_millis(2_500);

fn main() {
    let mut args = std::env::args().skip(1);
    let id = args.next().expect("the id");
    let address = args.next().expect("the address");
    let listener = TcpListener::bind(address).expect("the address is free");
    worker::serve(
        listener,
        &id.clone(),
        Arc::new(move |request, writer| handle(&id, request, writer)),
    );
    loop {
        thread::park();
    }
}

fn handle(id: &str, request: &Request, writer: &mut TcpStream) -> Result<bool> {
    let (_, path) = request.head.request_line();
    let attempt = request.head.field("x-attempt-id");
    let signature = format!("X-Server-Signature: s.{attempt}\r\n");
    match path {
        "/healthz" => {
            let fields = format!("X-Instance-Id: {id}\r\n");
            worker::respond(request, writer, "200 OK", &fields, "")
        }
        "/desk/large" => {
            println!("runs {attempt}");
            let body = "y".repeat(LARGE_BYTES);
            worker::respond(request, writer, "200 OK", &signature, &body)
        }
        "/desk/open" => {
            println!("runs {attempt}");
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n{signature}Connection: close\r\n\r\n"
            );
            writer.write_all(head.as_bytes())?;
            writer.write_all("a".repeat(HALF_BYTES).as_bytes())?;
            println!("sent the first half of the answer to {attempt}");
            thread::sleep(PAUSE);
            writer.write_all("b".repeat(HALF_BYTES).as_bytes())?;
            println!("sent the whole answer to {attempt}");
            Ok(false)
        }
        _ => worker::respond(request, writer, "200 OK", &signature, "small"),
    }
}
