//! The little of HTTP/1.1 that the stand-ins need.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Error;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Result;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::time::Duration;

/// First line and header fields of a request or a response; field names in lowercase.
#[derive(Clone, Debug)]
pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// Reads a head; `None` if the peer closed the connection before it.
    pub fn read(reader: &mut impl BufRead) -> Result<Option<Self>> {
        let mut first = String::new();
        if reader.read_line(&mut first)? == 0 {
            return Ok(None);
        }
        let mut fields = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(Error::from(ErrorKind::UnexpectedEof));
            }
            let line = line.trim_end();
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
        let first = first.trim_end().to_owned();
        Ok(Some(Self { first, fields }))
    }

    /// The value of a field; empty if it is missing.
    pub fn field(&self, name: &str) -> &str {
        let found = self.fields.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    /// Method and path of a request.
    pub fn request_line(&self) -> (&str, &str) {
        let mut words = self.first.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    fn length(&self) -> Option<usize> {
        self.field("content-length").parse().ok()
    }

    fn is_chunked(&self) -> bool {
        self.field("transfer-encoding")
            .eq_ignore_ascii_case("chunked")
    }
}

/// Reads the body of a request.
pub fn read_request_body(reader: &mut impl BufRead, head: &Head) -> Result<Vec<u8>> {
    if head.is_chunked() {
        let mut body = Vec::new();
        while read_chunk(reader, &mut body)? {}
        return Ok(body);
    }
    let mut body = vec![0; head.length().unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Reads one chunk; false after the last one.
fn read_chunk(reader: &mut impl BufRead, body: &mut Vec<u8>) -> Result<bool> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(Error::from(ErrorKind::UnexpectedEof));
    }
    let size = line.trim().split(';').next().unwrap_or("");
    let size = usize::from_str_radix(size, 16).map_err(|_| Error::from(ErrorKind::InvalidData))?;
    let start = body.len();
    body.resize(start + size, 0);
    reader.read_exact(&mut body[start..])?;
    line.clear();
    reader.read_line(&mut line)?;
    Ok(size > 0)
}

/// How the body of a response ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// As its framing says: the length is reached, the last chunk arrived, or the connection closed in
    /// order where nothing else marks the end.
    Complete,
    /// The connection ended or failed before that.
    Cut(String),
}

/// A response as a client sees it.
#[derive(Clone, Debug)]
pub struct Response {
    pub head: Head,
    pub body: Vec<u8>,
    pub end: End,
}

/// Sends a request on a new connection.
pub fn send(address: SocketAddr, request: &[u8], patience: Duration) -> Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    send_on(stream, request, patience)
}

/// Sends a request on an open connection.
pub fn send_on(mut stream: TcpStream, request: &[u8], patience: Duration) -> Result<TcpStream> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    stream.write_all(request)?;
    Ok(stream)
}

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, size: u32) -> i32;
}

/// Gives a connection a receive buffer of a few kilobytes, so that the peer soon notices a slow reader.
pub fn keep_receive_buffer_small(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let bytes: i32 = 4_096;
    // SAFETY: the pointer and the size are those of a local number, which the call only reads.
    unsafe {
        setsockopt(
            stream.as_raw_fd(),
            SOL_SOCKET,
            SO_RCVBUF,
            &raw const bytes,
            4,
        );
    }
}

/// Reads a whole response.
pub fn receive(stream: TcpStream) -> Result<Response> {
    receive_from(&mut BufReader::new(stream))
}

/// Reads a whole response from a connection that may be kept.
pub fn receive_from(reader: &mut impl BufRead) -> Result<Response> {
    let head = Head::read(reader)?.ok_or_else(|| Error::from(ErrorKind::UnexpectedEof))?;
    let mut body = Vec::new();
    let ended = read_response_body(reader, &head, &mut body);
    let end = match ended {
        Ok(()) => End::Complete,
        Err(e) => End::Cut(e.to_string()),
    };
    Ok(Response { head, body, end })
}

fn read_response_body(reader: &mut impl BufRead, head: &Head, body: &mut Vec<u8>) -> Result<()> {
    if head.is_chunked() {
        while read_chunk(reader, body)? {}
        return Ok(());
    }
    match head.length() {
        Some(length) => {
            let read = reader.take(length as u64).read_to_end(body)?;
            match read == length {
                true => Ok(()),
                false => Err(Error::from(ErrorKind::UnexpectedEof)),
            }
        }
        None => reader.read_to_end(body).map(|_| ()),
    }
}

/// Sends a request with an optional JSON body on a new connection and reads the response.
pub fn call(address: SocketAddr, method: &str, path: &str, body: &str) -> Result<Response> {
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    );
    receive(send(address, request.as_bytes(), Duration::from_secs(4))?)
}
