//! A proxy before the peer port of a control instance, which can hold back what the others send to it.

use std::io::Read;
use std::io::Result;
use std::io::Write;
use std::net::IpAddr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

/// Whose bytes towards the instance are held back.
#[derive(Clone, Default)]
pub struct Hold(Arc<Mutex<Held>>);

#[derive(Default)]
enum Held {
    #[default]
    Nobody,
    All,
    /// The instance with this address.
    One(IpAddr),
}

impl Hold {
    pub fn hold_all(&self) {
        *self.0.lock().unwrap() = Held::All;
    }

    pub fn hold_one(&self, sender: IpAddr) {
        *self.0.lock().unwrap() = Held::One(sender);
    }

    pub fn release(&self) {
        *self.0.lock().unwrap() = Held::Nobody;
    }

    fn wait(&self, first: &[u8]) {
        while self.is_held(first) {
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// `first` is the first message on the connection, in which the sender names itself by its address.
    fn is_held(&self, first: &[u8]) -> bool {
        match &*self.0.lock().unwrap() {
            Held::Nobody => false,
            Held::All => true,
            Held::One(sender) => {
                let name = sender.to_string();
                first
                    .windows(name.len())
                    .any(|each| each == name.as_bytes())
            }
        }
    }
}

/// Forwards connections from an address to another one.
pub fn start(from: SocketAddr, to: SocketAddr) -> Result<Hold> {
    let hold = Hold::default();
    let listener = TcpListener::bind(from)?;
    let held = hold.clone();
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let held = held.clone();
            thread::spawn(move || forward(client, to, held).ok());
        }
    });
    Ok(hold)
}

fn forward(client: TcpStream, to: SocketAddr, hold: Hold) -> Result<()> {
    let server = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (answers_from, answers_to) = (server.try_clone()?, client.try_clone()?);
    thread::spawn(move || copy(answers_from, answers_to, &Hold::default()));
    copy(client, server, &hold);
    Ok(())
}

fn copy(mut from: TcpStream, mut to: TcpStream, hold: &Hold) {
    let mut buf = [0; 16 << 10];
    let mut first = Vec::new();
    while let Ok(read @ 1..) = from.read(&mut buf) {
        if first.is_empty() {
            first = buf[..read].to_vec();
        }
        hold.wait(&first);
        if to.write_all(&buf[..read]).is_err() {
            break;
        }
    }
    to.shutdown(Shutdown::Write).ok();
    from.shutdown(Shutdown::Read).ok();
}
