//! Floods of operators and peers against a control instance.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use googletest::prelude::*;
use hyper::Method;
use mimosa_control::peer::PeerMessage;
use mimosa_soak::list::EndpointList;
use mimosa_transport::frame;
use mimosa_transport::frame::MAX_FRAME_BYTES;
use tempfile::TempDir;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::ONE_TEST;
use crate::caller::Call;
use crate::data_plane::document;
use crate::data_plane::put_document;
use crate::data_plane::start_control;
use crate::process::Process;
use crate::process_status::ProcessStatus;
use crate::setup::ReservedAddress;

/// What a control instance may hold for its callers, above its memory at rest: the rest of a machine of 256 MB,
/// on which a process takes 11 MB at rest. The floods hold 384 MiB, if all of it is kept.
const MAX_GROWTH_KB: u64 = 245_000;
/// What of that may remain after all callers have left: half.
const MAX_GROWTH_AFTER_KB: u64 = MAX_GROWTH_KB / 2;
const MAX_DESCRIPTORS: usize = 512;
/// Callers, and the bytes that each sends: the largest document.
const CALLERS: usize = 12;
const SENT_BYTES: usize = 32 << 20;
const PIECE_BYTES: usize = 64 << 10;
/// Connections of the flood of connections.
const CONNECTIONS: usize = 800;
/// A caller whose bytes are not taken for this long counts as blocked and stays connected.
const MAX_WRITE_TIME: Duration = Duration::from_secs(2);
/// A hang of an operator's request.
const MAX_RESPONSE_TIME: Duration = Duration::from_secs(60);

/// A control instance under test.
struct Control {
    process: Process,
    operators: SocketAddr,
    peers: ReservedAddress,
    _for_gateways: ReservedAddress,
    _folder: TempDir,
}

impl Control {
    async fn start() -> Self {
        let list = EndpointList::default().serve().await.unwrap();
        let folder = TempDir::new().unwrap();
        let (for_gateways, peers) = (ReservedAddress::new(), ReservedAddress::new());
        let mut process = start_control(&folder, &for_gateways.address, &peers.address, list);
        let admin = process.read_value("admin");
        put_document(&admin).await;
        Self {
            process,
            operators: admin.parse().unwrap(),
            peers,
            _for_gateways: for_gateways,
            _folder: folder,
        }
    }

    /// Sends the start and then more bytes on several connections at once, which stay open.
    async fn flood(
        &self,
        to: SocketAddr,
        callers: usize,
        start: &[u8],
        more: usize,
    ) -> Vec<TcpStream> {
        let piece = vec![b'a'; PIECE_BYTES];
        let callers = (0..callers).map(|_| async {
            let mut stream = TcpStream::connect(to).await.unwrap();
            let mut left = more;
            let mut bytes = start;
            while let Ok(Ok(())) = timeout(MAX_WRITE_TIME, stream.write_all(bytes)).await
                && left > 0
            {
                bytes = &piece[..left.min(PIECE_BYTES)];
                left -= bytes.len();
            }
            stream
        });
        join_all(callers).await
    }

    /// Checks the process while the callers are connected and after they have left.
    async fn expect_withstands(&self, at_rest: ProcessStatus, callers: Vec<TcpStream>) {
        let during = ProcessStatus::settled(&self.process).await;
        self.expect_takes_document(2).await;
        drop(callers);
        let max_after = at_rest.memory_kb + MAX_GROWTH_AFTER_KB;
        let after = ProcessStatus::once_below(&self.process, max_after).await;
        let status = during.max(after);
        println!(
            "control: memory_at_rest_kb={} max_memory_kb={} memory_after_kb={} max_descriptors={}",
            at_rest.memory_kb, status.max_memory_kb, after.memory_kb, status.descriptors
        );
        let max = at_rest.memory_kb + MAX_GROWTH_KB;
        expect_that!(status.max_memory_kb, lt(max), "VmHWM");
        expect_that!(after.memory_kb, lt(max_after), "VmRSS afterwards");
        expect_that!(status.descriptors, lt(MAX_DESCRIPTORS), "descriptors");
        self.expect_takes_document(3).await;
    }

    /// Puts a proper document, which must be taken.
    async fn expect_takes_document(&self, version: u64) {
        let call = Call::new(Method::PUT, "/api/config", &document(version).to_string());
        let operators = self.operators.to_string();
        let answer = timeout(MAX_RESPONSE_TIME, call.send(&operators, "")).await;
        let status = answer.map(|answer| answer.status);
        assert_eq!(status, Ok(200), "log:\n{}", self.process.log());
    }
}

fn document_head(length: usize) -> String {
    format!("PUT /api/config HTTP/1.1\r\nHost: control\r\nContent-Length: {length}\r\n\r\n")
}

// Guards against LOST: a control instance killed for its memory, by documents that never end.
#[googletest::test]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn documents_short_of_their_end() {
    let _guard = ONE_TEST.lock().await;
    let control = Control::start().await;
    let at_rest = ProcessStatus::read(&control.process);
    let head = document_head(SENT_BYTES);
    let callers = control
        .flood(control.operators, CALLERS, head.as_bytes(), SENT_BYTES - 1)
        .await;
    control.expect_withstands(at_rest, callers).await;
}

// The same, by whole documents at once.
#[googletest::test]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_documents_at_once() {
    let _guard = ONE_TEST.lock().await;
    let control = Control::start().await;
    let at_rest = ProcessStatus::read(&control.process);
    let head = document_head(SENT_BYTES);
    let callers = control
        .flood(control.operators, CALLERS, head.as_bytes(), SENT_BYTES)
        .await;
    control.expect_withstands(at_rest, callers).await;
}

// The same, by frames of peers that never end.
#[googletest::test]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frames_of_peers_short_of_their_end() {
    let _guard = ONE_TEST.lock().await;
    let control = Control::start().await;
    let at_rest = ProcessStatus::read(&control.process);
    let hello = PeerMessage::Hello {
        cluster: "flood".to_owned(),
        instance: "127.0.0.1".parse().unwrap(),
    };
    let mut start = frame::encode(&hello).unwrap();
    let header = (MAX_FRAME_BYTES as u32).to_le_bytes();
    start.extend([header, [0; 4]].concat());
    let peers = control.peers.address.parse().unwrap();
    let callers = control.flood(peers, CALLERS, &start, SENT_BYTES).await;
    control.expect_withstands(at_rest, callers).await;
}

// Guards against LOST: no descriptor is left for peers and files.
#[googletest::test]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_with_half_a_head() {
    let _guard = ONE_TEST.lock().await;
    let control = Control::start().await;
    let at_rest = ProcessStatus::read(&control.process);
    let head = document_head(SENT_BYTES);
    let callers = control
        .flood(control.operators, CONNECTIONS, &head.as_bytes()[..20], 0)
        .await;
    control.expect_withstands(at_rest, callers).await;
}
