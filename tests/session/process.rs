//! A process of the system under test.

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

/// A running process. Dropping it kills the process.
pub struct Process {
    child: Child,
    /// Lines of standard output that are not log lines.
    lines: Receiver<String>,
    /// Log lines and standard error.
    log: Arc<Mutex<String>>,
}

impl Process {
    /// Starts the binary under test with arguments.
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
        let lines = split_output(stdout, Arc::clone(&log));
        let stderr = child.stderr.take().expect("stderr is piped");
        append_output(stderr, Arc::clone(&log));
        Self { child, lines, log }
    }

    /// Reads the next line of the form `name=value` and returns the value.
    pub fn read_value(&mut self, name: &str) -> String {
        let line = self.lines.recv().unwrap_or_default();
        let value = line.trim().strip_prefix(&format!("{name}="));
        let value = value.unwrap_or_else(|| panic!("expected {name}=..., log:\n{}", self.log()));
        value.to_owned()
    }

    /// Reads lines until one has the given prefix and returns its rest.
    pub fn wait_for_line(&mut self, prefix: &str) -> String {
        loop {
            let Ok(line) = self.lines.recv() else {
                panic!("expected '{prefix}...', log:\n{}", self.log());
            };
            if let Some(rest) = line.trim().strip_prefix(prefix) {
                return rest.to_owned();
            }
        }
    }

    /// Log lines and standard error so far.
    pub fn log(&self) -> String {
        self.log.lock().expect("the lock is not poisoned").clone()
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, named without `SIG`.
    pub fn signal(&self, signal: &str) {
        let id = self.id().to_string();
        let sent = Command::new("kill")
            .args([&format!("-{signal}"), &id])
            .status();
        assert!(
            sent.is_ok_and(|status| status.success()),
            "kill -{signal} {id} failed"
        );
    }

    /// Sends SIGTERM and waits. Returns whether the exit code was 0.
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

/// Path of the binary under test.
pub fn binary() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_mimosaswitch"))
}

/// Appends log lines to the log and sends the others, which contain addresses, to the receiver.
fn split_output(stdout: ChildStdout, log: Arc<Mutex<String>>) -> Receiver<String> {
    let (tx, lines) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        for line in BufReader::new(stdout).lines().map_while(Result::ok) {
            if line.starts_with("ts=") {
                let mut log = log.lock().expect("the lock is not poisoned");
                log.push_str(&line);
                log.push('\n');
            } else {
                tx.send(line).ok();
            }
        }
    });
    lines
}

/// Appends everything that is read to the log.
fn append_output(mut from: impl Read + Send + 'static, into: Arc<Mutex<String>>) {
    std::thread::spawn(move || {
        let mut buf = [0; 4096];
        while let Ok(count @ 1..) = from.read(&mut buf) {
            let text = String::from_utf8_lossy(&buf[..count]).into_owned();
            into.lock()
                .expect("the lock is not poisoned")
                .push_str(&text);
        }
    });
}
