//! HTTP/1.1 over blocking sockets: a server with one thread per connection, and a client.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Start line and headers of a message, with the header names in lowercase.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Status of a response; 0 if the start line has none.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status
            .and_then(|status| status.parse().ok())
            .unwrap_or_default()
    }

    /// Method and target of a request.
    pub fn request_line(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (
            words.next().unwrap_or_default(),
            words.next().unwrap_or_default(),
        )
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self {
            stream,
            ahead: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr, read_timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
        stream.set_read_timeout(Some(read_timeout))?;
        Ok(Self::new(stream))
    }

    /// Reads more bytes. Returns whether there were any.
    fn fill(&mut self) -> io::Result<bool> {
        let mut buf = [0; 16 << 10];
        let count = self.stream.read(&mut buf)?;
        self.ahead.extend_from_slice(&buf[..count]);
        Ok(count > 0)
    }

    /// Reads a head; `None` if the connection ends before it.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.ahead, b"\r\n\r\n") {
                let bytes: Vec<u8> = self.ahead.drain(..end + 4).collect();
                let text = String::from_utf8_lossy(&bytes).into_owned();
                let mut lines = text.split("\r\n");
                let start = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers
                    .map(|(name, value)| (name.trim().to_lowercase(), value.trim().to_owned()))
                    .collect();
                return Ok(Some(Head { start, headers }));
            }
            if !self.fill()? {
                return match self.ahead.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    pub fn read_exact(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < count {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.ahead.drain(..count).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.ahead, b"\r\n") {
                let line: Vec<u8> = self.ahead.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the next chunk of a body in chunks; `None` after the last one.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.read_line()?;
        let size = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let chunk = self.read_exact(size)?;
        self.read_line()?;
        Ok((size > 0).then_some(chunk))
    }

    /// Reads a whole body.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.get("transfer-encoding").is_some() {
            let mut body = Vec::new();
            while let Some(chunk) = self.read_chunk()? {
                body.extend_from_slice(&chunk);
            }
            return Ok(body);
        }
        let length = head.get("content-length");
        let length = length.and_then(|length| length.parse().ok()).unwrap_or(0);
        self.read_exact(length)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes a message with a length.
    pub fn send(&mut self, start: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut text = format!("{start}\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.write(&bytes)
    }

    /// Whether the peer has closed or reset the connection.
    pub fn is_closed(&self) -> bool {
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let peeked = self.stream.peek(&mut [0]);
        let restored = self.stream.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0 || restored.is_err(),
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}

/// Handles one request on a connection. Returns whether the connection stays open.
pub type Handler = Arc<dyn Fn(&Head, &[u8], &mut Connection) -> io::Result<bool> + Send + Sync>;

/// Serves requests at an address until the process ends.
pub fn serve(address: SocketAddr, handler: Handler) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(Connection::new(stream), &handler));
        }
    });
    Ok(())
}

fn serve_connection(mut connection: Connection, handler: &Handler) {
    while let Ok(Some(head)) = connection.read_head() {
        let Ok(body) = connection.read_body(&head) else {
            return;
        };
        if !handler(&head, &body, &mut connection).unwrap_or(false) {
            return;
        }
    }
}

/// Sends one request on a new connection and reads the whole response.
pub fn call(
    address: SocketAddr,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<(Head, Vec<u8>)> {
    let mut connection = Connection::connect(address, timeout)?;
    let host = address.to_string();
    let mut all = Vec::from(headers);
    if !headers.iter().any(|(name, _)| *name == "host") {
        all.push(("host", &host));
    }
    connection.send(start, &all, body)?;
    let head = connection.read_head()?;
    let head = head.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
    let body = connection.read_body(&head)?;
    Ok((head, body))
}
