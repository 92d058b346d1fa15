//! Clients that live, but read nothing for a while, and clients that vanish.

use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use mimosa_protocol::configuration::EndpointRole;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::fixture::Fixture;
use crate::fixture::KEY;
use crate::fixture::Setup;
use crate::raw::RawEndpoint;

const RESPONSE_BYTES: usize = 200 << 10;
const RECEIVE_BUFFER_BYTES: u32 = 4 << 10;
const READ_BEFORE_PAUSE: usize = 1_500;
const PAUSE: Duration = Duration::from_secs(5);

/// Guards against LOST: a time limit for peers that have vanished that also ends responses to clients that read
/// nothing for longer.
#[googletest::test]
#[tokio::test]
async fn a_client_that_pauses_while_it_reads_gets_its_whole_response() {
    let raw = RawEndpoint::unframed("text/plain", &"x".repeat(RESPONSE_BYTES)).await;
    let fixture = Fixture::start(Setup::default()).await;
    raw.replace(&fixture, EndpointRole::Plain).await;
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    let mut stream = socket.connect(fixture.entry.address()).await.unwrap();
    let request = format!(
        "GET /services/orders/watch HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {KEY}\r\n\
         Connection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = vec![0; READ_BEFORE_PAUSE];
    stream.read_exact(&mut response).await.unwrap();
    sleep(PAUSE).await;
    stream.read_to_end(&mut response).await.unwrap();
    let body_bytes = response.iter().filter(|byte| **byte == b'x').count();
    expect_that!(body_bytes, ge(RESPONSE_BYTES));
    expect_that!(
        String::from_utf8_lossy(&response),
        ends_with("\r\n0\r\n\r\n")
    );
}

/// Whether the kernel probes the peer of a connection, by the kind of its timer.
fn is_probed(local: SocketAddr, peer: SocketAddr) -> bool {
    const KEEP_ALIVE_TIMER: &str = "02:";
    let ports = [local, peer].map(|address| format!(":{:04X}", address.port()));
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    table.lines().any(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        fields.len() > 5
            && fields[1].ends_with(&ports[0])
            && fields[2].ends_with(&ports[1])
            && fields[5].starts_with(KEEP_ALIVE_TIMER)
    })
}

/// Guards against connections of clients that vanished, which an entry kept until their requests ended.
#[googletest::test]
#[tokio::test]
async fn connections_of_clients_are_probed() {
    const MAX_POLLS: u32 = 500;
    const POLL_INTERVAL: Duration = Duration::from_millis(10);
    let fixture = Fixture::start(Setup::default()).await;
    let entry = fixture.entry.address();
    let client = TcpStream::connect(entry).await.unwrap();
    let client_address = client.local_addr().unwrap();
    for _ in 0..MAX_POLLS {
        if is_probed(entry, client_address) {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("the connection has no keep-alive timer");
}
