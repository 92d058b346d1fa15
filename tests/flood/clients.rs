//! Clients that send bodies of permitted and of excessive size, and never read.

use std::time::Duration;

use futures_util::future::join_all;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::data_plane::DataPlane;

/// Limit of a body in the settings of the tests.
pub const MAX_BODY_BYTES: usize = 1 << 20;
/// Clients of a flood.
const CLIENTS: usize = 60;
/// Clients of the flood of connections.
const CONNECTIONS: usize = 800;
const LARGE_CHUNK_BYTES: usize = 64 << 10;
/// Payload of a client that sends chunks of one byte. An instance that keeps each chunk by itself needs some
/// forty bytes for it.
const SMALL_CHUNKS: usize = 24 << 10;
/// What a client sends of a body far over the limit.
const BYTES_OVER_LIMIT: usize = 8 << 20;
/// A client whose bytes are not taken for this long counts as blocked and stays connected.
const MAX_WRITE_TIME: Duration = Duration::from_secs(2);
/// Bytes that a client has sent of its head.
const HALF_HEAD_BYTES: usize = 4 << 10;

/// What a client sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// A body of permitted length.
    Whole,
    /// All but the last byte of a body of permitted length.
    ShortOfEnd,
    /// Large chunks of a body of permitted length, without its end.
    LargeChunks,
    /// Chunks of one byte, without an end.
    SmallChunks,
    /// A body whose declared length is far over the limit.
    DeclaredOverLimit,
    /// Chunks of a body far over the limit.
    SentOverLimit,
    /// A small request with a long response, which the client does not read.
    UnreadResponse,
    /// Like [`Shape::UnreadResponse`], with a completion.
    UnreadCompletion,
    /// A body of permitted length for an endpoint that does not read it.
    UnreadRequest,
    /// Half of a head.
    HalfHead,
}

impl Shape {
    pub const BODIES: [Self; 6] = [
        Self::Whole,
        Self::ShortOfEnd,
        Self::LargeChunks,
        Self::SmallChunks,
        Self::DeclaredOverLimit,
        Self::SentOverLimit,
    ];

    /// Last part of the path, which selects the behaviour of the endpoint.
    fn path(self) -> &'static str {
        match self {
            Self::UnreadResponse => "long",
            Self::UnreadRequest => "unread",
            Self::Whole => "slow",
            _ => "prompt",
        }
    }
}

/// Number of clients and their shapes, which take turns.
pub struct Flood {
    pub clients: usize,
    pub shapes: Vec<Shape>,
    /// Whether its requests reach endpoints and keep them busy, so that other requests have to wait.
    pub occupies_endpoints: bool,
}

impl Flood {
    pub fn of(shapes: impl Into<Vec<Shape>>) -> Self {
        Self {
            clients: CLIENTS,
            shapes: shapes.into(),
            occupies_endpoints: false,
        }
    }

    pub fn occupying(shapes: impl Into<Vec<Shape>>) -> Self {
        Self {
            occupies_endpoints: true,
            ..Self::of(shapes)
        }
    }

    pub fn of_connections() -> Self {
        Self {
            clients: CONNECTIONS,
            ..Self::of([Shape::HalfHead])
        }
    }
}

/// A connected client. Dropping it closes the connection.
pub struct Client {
    stream: TcpStream,
    shape: Shape,
    head: String,
    /// Whether the instance has closed the connection or stopped taking bytes.
    is_stopped: bool,
}

impl Client {
    pub async fn connect(data_plane: &DataPlane, shape: Shape, number: usize) -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        // Small, so that the instance holds what the client does not read.
        socket.set_recv_buffer_size(4 << 10).unwrap();
        let stream = socket.connect(data_plane.address()).await.unwrap();
        let head = match shape {
            Shape::UnreadCompletion => data_plane.completion_head(number),
            _ => data_plane.plain_head(shape.path(), number),
        };
        Self {
            stream,
            shape,
            head,
            is_stopped: false,
        }
    }

    /// Sends the first part of all clients at once.
    pub async fn send_first_parts(clients: &mut [Self]) {
        join_all(clients.iter_mut().map(Self::send_first_part)).await;
    }

    /// Sends the rest of all clients at once.
    pub async fn send_rests(clients: &mut [Self]) {
        join_all(clients.iter_mut().map(Self::send_rest)).await;
    }

    /// Sends the head, and of a body not more than is permitted.
    async fn send_first_part(&mut self) {
        let length = |bytes: usize| format!("{}Content-Length: {bytes}\r\n\r\n", self.head);
        let chunked = format!("{}Transfer-Encoding: chunked\r\n\r\n", self.head);
        let chunks = MAX_BODY_BYTES / LARGE_CHUNK_BYTES - 1;
        match self.shape {
            Shape::Whole | Shape::UnreadRequest => {
                self.send(length(MAX_BODY_BYTES)).await;
                self.send_repeatedly(&large_piece(), MAX_BODY_BYTES / LARGE_CHUNK_BYTES)
                    .await;
            }
            Shape::ShortOfEnd => {
                self.send(length(MAX_BODY_BYTES)).await;
                self.send_short_of_limit().await;
            }
            Shape::DeclaredOverLimit => {
                self.send(length(BYTES_OVER_LIMIT)).await;
                self.send_short_of_limit().await;
            }
            Shape::LargeChunks | Shape::SentOverLimit => {
                self.send(chunked).await;
                self.send_repeatedly(&large_chunk(), chunks).await;
            }
            Shape::SmallChunks => {
                self.send(chunked).await;
                let several = "1\r\na\r\n".repeat(1 << 10);
                self.send_repeatedly(&several, SMALL_CHUNKS >> 10).await;
            }
            Shape::UnreadResponse => self.send(length(0)).await,
            Shape::UnreadCompletion => {
                let body = r#"{"model": "verse", "max_tokens": 2, "messages": [{"role": "user", "content": "a"}]}"#;
                self.send(length(body.len()) + body).await;
            }
            Shape::HalfHead => {
                let head = format!("{}X-Fill: {}", self.head, "a".repeat(HALF_HEAD_BYTES));
                self.send(head).await;
            }
        }
    }

    /// Sends what follows of a body over the limit, once all clients have sent what is permitted.
    async fn send_rest(&mut self) {
        let pieces = (BYTES_OVER_LIMIT - MAX_BODY_BYTES) / LARGE_CHUNK_BYTES;
        match self.shape {
            Shape::DeclaredOverLimit => self.send_repeatedly(&large_piece(), pieces).await,
            Shape::SentOverLimit => self.send_repeatedly(&large_chunk(), pieces).await,
            _ => {}
        }
    }

    async fn send_short_of_limit(&mut self) {
        let piece = large_piece();
        self.send_repeatedly(&piece, MAX_BODY_BYTES / LARGE_CHUNK_BYTES - 1)
            .await;
        self.send(piece[1..].to_owned()).await;
    }

    async fn send_repeatedly(&mut self, text: &str, times: usize) {
        for _ in 0..times {
            self.send(text.to_owned()).await;
        }
    }

    async fn send(&mut self, text: String) {
        if !self.is_stopped {
            let sent = timeout(MAX_WRITE_TIME, self.stream.write_all(text.as_bytes())).await;
            self.is_stopped = !matches!(sent, Ok(Ok(())));
        }
    }
}

fn large_piece() -> String {
    "a".repeat(LARGE_CHUNK_BYTES)
}

fn large_chunk() -> String {
    format!("{LARGE_CHUNK_BYTES:x}\r\n{}\r\n", large_piece())
}
