//! Proxies on the advertised addresses of the control instances. A partition holds the bytes between
//! an instance and the others, and delivers them when it heals.

use std::collections::BTreeSet;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;

/// The control instances that are partitioned from the others. Clones share the state.
#[derive(Clone, Default)]
pub struct Partition(Arc<State>);

#[derive(Default)]
struct State {
    cut_off: Mutex<BTreeSet<u8>>,
    changed: Condvar,
}

impl Partition {
    pub fn cut(&self, instance: u8) {
        self.lock().insert(instance);
    }

    pub fn heal(&self) {
        self.lock().clear();
        self.0.changed.notify_all();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeSet<u8>> {
        self.0
            .cut_off
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until no partition separates two instances.
    fn wait_for_path(&self, from: Option<u8>, to: u8) {
        let Some(from) = from else { return };
        let mut cut_off = self.lock();
        while cut_off.contains(&from) != cut_off.contains(&to) {
            let waited = self.0.changed.wait(cut_off);
            cut_off = waited.unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Forwards connections from an advertised address to that of the control instance `to`.
    /// `advertised` names the addresses of all control instances, by which the first bytes of a
    /// connection between two of them identify the sender.
    pub fn serve(
        &self,
        listen: SocketAddrV4,
        target: SocketAddrV4,
        to: u8,
        advertised: Vec<String>,
    ) -> Result<(), String> {
        let listener = TcpListener::bind(listen).map_err(|e| format!("{listen}: {e}"))?;
        let partition = self.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let partition = partition.clone();
                let advertised = advertised.clone();
                thread::spawn(move || partition.forward(client, target, to, &advertised));
            }
        });
        Ok(())
    }

    fn forward(
        &self,
        mut client: TcpStream,
        target: SocketAddrV4,
        to: u8,
        advertised: &[String],
    ) -> Option<()> {
        client.set_nodelay(true).ok()?;
        let mut first = [0; 256];
        let count = client.read(&mut first).ok()?;
        let from = sender(&first[..count], advertised);
        self.wait_for_path(from, to);
        let mut server = TcpStream::connect(target).ok()?;
        server.set_nodelay(true).ok()?;
        server.write_all(&first[..count]).ok()?;
        let back = (server.try_clone().ok()?, client.try_clone().ok()?);
        let partition = self.clone();
        thread::spawn(move || partition.pump(back.0, back.1, from, to));
        self.pump(client, server, from, to);
        Some(())
    }

    fn pump(&self, mut from_stream: TcpStream, mut to_stream: TcpStream, from: Option<u8>, to: u8) {
        let mut buf = [0; 16 << 10];
        loop {
            let count = from_stream.read(&mut buf);
            self.wait_for_path(from, to);
            match count {
                Ok(count @ 1..) if to_stream.write_all(&buf[..count]).is_ok() => {}
                Ok(0) => break,
                _ => {
                    from_stream.shutdown(Shutdown::Both).ok();
                    break;
                }
            }
        }
        to_stream.shutdown(Shutdown::Write).ok();
    }
}

/// The control instance whose address stands in the first message of a connection. A gateway's hello
/// names none of them.
fn sender(bytes: &[u8], advertised: &[String]) -> Option<u8> {
    let is_named = |name: &String| {
        let name = name.as_bytes();
        // The length of the text stands before it.
        let encoded = [&[name.len() as u8], name].concat();
        bytes.windows(encoded.len()).any(|part| part == encoded)
    };
    let number = advertised.iter().position(is_named)?;
    u8::try_from(number).ok()
}
