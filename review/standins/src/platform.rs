//! The platform's list of workers.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;

use crate::http;

/// An entry of the list.
#[derive(Clone, Debug)]
pub struct Listed {
    pub id: String,
    pub service: String,
    pub address: SocketAddrV4,
    pub zone: String,
    pub slots: u32,
    /// `ready` or `draining`.
    pub state: &'static str,
    /// Stage of a model worker.
    pub stage: Option<&'static str>,
}

/// Serves the list. Clones share it.
#[derive(Clone, Default)]
pub struct Platform(Arc<Mutex<Vec<Listed>>>);

impl Platform {
    pub fn serve(&self, listener: TcpListener) {
        let platform = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let platform = platform.clone();
                thread::spawn(move || platform.answer(stream));
            }
        });
    }

    pub fn add(&self, listed: Listed) {
        self.lock().push(listed);
    }

    pub fn set_state(&self, id: &str, state: &'static str) {
        for listed in self.lock().iter_mut().filter(|listed| listed.id == id) {
            listed.state = state;
        }
    }

    pub fn remove(&self, id: &str) {
        self.lock().retain(|listed| listed.id != id);
    }

    fn answer(&self, stream: TcpStream) -> Option<()> {
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        while http::read_head(&mut reader).ok()?.is_some() {
            let entries: Vec<String> = self.lock().iter().map(entry).collect();
            let body = format!("{{\"instances\":[{}],\"next\":null}}", entries.join(","));
            write!(
                writer,
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )
            .ok()?;
        }
        Some(())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Listed>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn entry(listed: &Listed) -> String {
    let stage = listed.stage.map_or_else(String::new, |stage| {
        format!(
            "\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],"
        )
    });
    format!(
        "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
         \"state\":\"{}\",\"cold_remaining_ms\":0,{stage}\"id\":\"{}\",\"born\":1700000000000}}",
        listed.service, listed.address, listed.zone, listed.slots, listed.state, listed.id
    )
}
