//! A fake endpoint for both data planes, whose behaviour the path of a request selects.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

const LOAD: &str = r#"{"incarnation":1,"running":0,"waiting":0,"used_blocks":0}"#;
const PREFILL: &str =
    r#"{"kv_transfer_params":{"remote_handle":"cache-1"},"usage":{"prompt_tokens":1}}"#;
const LONG_RESPONSE_BYTES: usize = 4 << 20;
/// Time for which slow responses are withheld: longer than the flood takes to arrive.
const SLOW_RESPONSE_TIME: Duration = Duration::from_secs(5);

/// A running endpoint. Dropping it leaves its connections open.
pub struct Endpoint {
    pub address: SocketAddr,
    release: Arc<watch::Sender<bool>>,
}

impl Endpoint {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let release = Arc::new(watch::Sender::new(false));
        let sender = Arc::clone(&release);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let mut released = sender.subscribe();
                tokio::spawn(async move {
                    let mut stream = BufReader::new(stream);
                    while serve(&mut stream, &mut released).await.is_some() {}
                });
            }
        });
        Self { address, release }
    }

    /// Closes the connections of which it reads nothing, and sends the responses that it withholds.
    pub fn release(&self) {
        self.release.send_replace(true);
    }
}

/// Serves one request. `None` ends the connection.
async fn serve(
    stream: &mut BufReader<TcpStream>,
    released: &mut watch::Receiver<bool>,
) -> Option<()> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if stream.read_line(&mut head).await.ok()? == 0 {
            return None;
        }
    }
    let target = head.lines().next().unwrap_or_default().to_owned();
    if target.contains("/unread") {
        released.wait_for(|released| *released).await.ok()?;
        return None;
    }
    let length = header(&head, "content-length").and_then(|value| value.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).await.ok()?;
    if target.contains("/slow") {
        let released = released.wait_for(|released| *released);
        timeout(SLOW_RESPONSE_TIME, released).await.ok();
    }
    let body = String::from_utf8_lossy(&body).into_owned();
    let response = if target.contains("/v1/load") {
        LOAD.to_owned()
    } else if body.contains("\"do_remote_decode\":true") {
        PREFILL.to_owned()
    } else if target.contains("/long") || target.contains("/completions") {
        format!("[\"{}\"]", "a".repeat(LONG_RESPONSE_BYTES))
    } else {
        "\"answered\"".to_owned()
    };
    let id = header(&head, "x-attempt-id").map_or(String::new(), |id| {
        format!("X-Attempt-Id: {id}\r\nX-Server-Signature: sig-{id}\r\n")
    });
    let response = format!(
        "HTTP/1.1 200 OK\r\n{id}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{response}",
        response.len()
    );
    stream.write_all(response.as_bytes()).await.ok()
}

fn header(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name)
            .then(|| value.trim().to_owned())
    })
}
