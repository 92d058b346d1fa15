//! The platform's list of workers: `GET /instances`.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

use crate::http;
use crate::http::Head;

/// An entry of the list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub slots: u32,
    pub state: &'static str,
    /// `prefill` or `decode` for model workers.
    pub stage: Option<&'static str>,
    pub born: u64,
}

impl Entry {
    fn json(&self) -> String {
        let Self {
            id,
            service,
            address,
            zone,
            slots,
            state,
            stage,
            born,
        } = self;
        let stage = stage.map_or_else(String::new, |stage| {
            format!(
                ",\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}]"
            )
        });
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\"cold_remaining_ms\":0,\
             \"born\":{born}{stage},\"id\":\"{id}\"}}"
        )
    }
}

/// The served list. Changes show at once.
#[derive(Clone, Default)]
pub struct List(Arc<Mutex<Vec<Entry>>>);

impl List {
    /// Starts the server on a free port and returns its address.
    pub fn serve(&self) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let list = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let list = list.clone();
                thread::spawn(move || {
                    let Ok(reading) = stream.try_clone() else {
                        return;
                    };
                    let (mut reader, mut writer) = (BufReader::new(reading), stream);
                    while let Ok(Some(head)) = Head::read(&mut reader) {
                        if http::read_request_body(&mut reader, &head).is_err() {
                            return;
                        }
                        let body = list.json();
                        let length = body.len();
                        let sent = write!(
                            writer,
                            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\
                             Content-Length: {length}\r\n\r\n{body}"
                        );
                        if sent.is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Ok(address)
    }

    /// Adds an entry, or replaces the one with its id.
    pub fn put(&self, entry: Entry) {
        let mut entries = self.0.lock().unwrap();
        entries.retain(|known| known.id != entry.id);
        entries.push(entry);
    }

    /// Removes an entry.
    pub fn remove(&self, id: &str) {
        self.0.lock().unwrap().retain(|known| known.id != id);
    }

    fn json(&self) -> String {
        let entries = self.0.lock().unwrap();
        let entries: Vec<String> = entries.iter().map(Entry::json).collect();
        format!("{{\"instances\":[{}],\"next\":null}}", entries.join(","))
    }
}
