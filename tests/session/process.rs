//! A process of the system; it ends with its handle.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::path::Path;
use std::process::Child;
use std::process::ChildStdout;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::Receiver;

/// A process of the system.
pub struct Process {
    child: Child,
    announced: Receiver<String>,
    log: Arc<Mutex<String>>,
}

impl Process {
    /// Starts the binary under test.
    pub fn start(args: &[&str]) -> Self {
        let mut child = Command::new(binary())
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the binary starts");
        let stdout = child.stdout.take().expect("stdout is piped");
        let log = Arc::default();
        let announced = sort_lines(stdout, Arc::clone(&log));
        let stderr = child.stderr.take().expect("stderr is piped");
        collect(stderr, Arc::clone(&log));
        Self {
            child,
            announced,
            log,
        }
    }

    /// Reads the next line of the form `name=value` and returns the value.
    pub fn announced(&mut self, name: &str) -> String {
        let line = self.announced.recv().unwrap_or_default();
        let value = line.trim().strip_prefix(&format!("{name}="));
        let value = value.unwrap_or_else(|| panic!("expected {name}=..., log:\n{}", self.log()));
        value.to_owned()
    }

    /// Reads lines until one starts so; returns its rest.
    pub fn told(&mut self, start: &str) -> String {
        loop {
            let Ok(line) = self.announced.recv() else {
                panic!("expected '{start}...', log:\n{}", self.log());
            };
            if let Some(rest) = line.trim().strip_prefix(start) {
                return rest.to_owned();
            }
        }
    }

    /// Everything that it logged.
    pub fn log(&self) -> String {
        self.log
            .lock()
            .expect("no holder of this lock panics")
            .clone()
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill")
            .args([&format!("-{signal}"), &id])
            .status();
        assert!(sent.is_ok_and(|status| status.success()));
    }

    /// Asks it to end and waits. Returns whether it ended with success.
    pub fn terminate(&mut self) -> bool {
        self.signal("TERM");
        self.child.wait().is_ok_and(|status| status.success())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The binary under test.
pub fn binary() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_mimosaswitch"))
}

/// Log lines go into the log; the others, which announce addresses, to the test.
fn sort_lines(stdout: ChildStdout, log: Arc<Mutex<String>>) -> Receiver<String> {
    let (tx, announced) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        for line in BufReader::new(stdout).lines().map_while(Result::ok) {
            if line.starts_with("ts=") {
                let mut log = log.lock().expect("no holder of this lock panics");
                log.push_str(&line);
                log.push('\n');
            } else {
                tx.send(line).ok();
            }
        }
    });
    announced
}

fn collect(mut from: impl Read + Send + 'static, into: Arc<Mutex<String>>) {
    std::thread::spawn(move || {
        let mut buf = [0; 4096];
        while let Ok(count @ 1..) = from.read(&mut buf) {
            let text = String::from_utf8_lossy(&buf[..count]).into_owned();
            into.lock()
                .expect("no holder of this lock panics")
                .push_str(&text);
        }
    });
}
