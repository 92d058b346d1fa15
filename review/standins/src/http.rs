//! A small HTTP/1.1 client and server side, enough for the stand-ins.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddrV4;
use std::net::TcpStream;
use std::time::Duration;

/// Head of a request or response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The request line or status line.
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Value of a header, by its name in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }
}

/// A response, with whether its framing says that the body is complete.
#[derive(Clone, Debug)]
pub struct Response {
    pub head: Head,
    pub body: Vec<u8>,
    pub is_complete: bool,
}

/// Reads a head; `None` if the peer closed the connection before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match head.first_line.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = line.trim_end();
        if head.first_line.is_empty() {
            head.first_line = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(head));
        } else if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            head.headers.push((name, value.trim().to_owned()));
        }
    }
}

/// Reads the body of a request, which must have a length.
pub fn read_request_body(reader: &mut impl Read, head: &Head) -> io::Result<Vec<u8>> {
    let length = head
        .get("content-length")
        .and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Sends a request on a new connection and reads the response. Fails if nothing arrives for `timeout`.
pub fn call(address: SocketAddrV4, request: &str, timeout: Duration) -> io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&address.into(), timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    stream.write_all(request.as_bytes())?;
    read_response(&mut BufReader::new(stream))
}

/// Reads a response.
pub fn read_response(reader: &mut impl BufRead) -> io::Result<Response> {
    let head = read_head(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let mut body = Vec::new();
    let is_complete = if head.get("transfer-encoding").is_some() {
        read_chunks(reader, &mut body)
    } else if let Some(length) = head.get("content-length") {
        let length: u64 = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        reader.take(length).read_to_end(&mut body).is_ok() && body.len() as u64 == length
    } else {
        reader.read_to_end(&mut body).is_ok()
    };
    Ok(Response {
        head,
        body,
        is_complete,
    })
}

/// Reads a chunked body. Returns whether its last chunk arrived.
fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> bool {
    loop {
        let mut line = String::new();
        if !matches!(reader.read_line(&mut line), Ok(1..)) {
            return false;
        }
        let size = line.trim_end().split(';').next().unwrap_or_default();
        let Ok(size) = usize::from_str_radix(size, 16) else {
            return false;
        };
        let mut chunk = vec![0; size + 2];
        if reader.read_exact(&mut chunk).is_err() {
            return false;
        }
        body.extend_from_slice(&chunk[..size]);
        if size == 0 {
            return true;
        }
    }
}
