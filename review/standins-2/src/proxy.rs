//! A proxy before the peer port of a control instance, which can hold back what the others send to it.

use std::io::Read;
use std::io::Result;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Whether the bytes towards the instance are held back.
#[derive(Clone, Default)]
pub struct Hold(Arc<AtomicBool>);

impl Hold {
    pub fn set(&self, is_held: bool) {
        self.0.store(is_held, Ordering::Relaxed);
    }

    fn wait(&self) {
        while self.0.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(2));
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
    while let Ok(read @ 1..) = from.read(&mut buf) {
        hold.wait();
        if to.write_all(&buf[..read]).is_err() {
            break;
        }
    }
    to.shutdown(Shutdown::Write).ok();
    from.shutdown(Shutdown::Read).ok();
}
