//! Writes settings files and starts processes of the system under test.

use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::process::Command;

use tempfile::TempDir;
use tokio::net::TcpSocket;

use crate::caller::Call;
use crate::process::Process;
use crate::process::binary;
use crate::system::MAX_POLLS;
use crate::system::POLL_INTERVAL;

/// Waits until the entry at an address is ready and a revision is in force there.
pub async fn wait_for_revision(address: &str, wanted: &str) {
    let revision = format!("mimosa_revision {wanted}");
    for _ in 0..MAX_POLLS {
        let metrics = Call::get("/metrics").send(address, "").await.body;
        let ready = Call::get("/readyz").send(address, "").await.status == 200;
        if ready && metrics.lines().any(|line| line == revision) {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("revision {wanted} is not in force at {address}");
}

/// A new operator key and its digest, from the `key` command.
pub fn new_operator_key() -> (String, String) {
    let output = Command::new(binary())
        .arg("key")
        .output()
        .expect("the binary runs");
    let text = String::from_utf8(output.stdout).expect("the output is UTF-8");
    let value = |name: &str| {
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        line.expect("the output has both lines").to_owned()
    };
    (value("key="), value("key_digest="))
}

/// A loopback address that the system assigns to no other socket until this is dropped, for
/// processes that must know each other's addresses before they start.
///
/// The socket is bound but does not listen. The process under test can still listen on the address,
/// as both sockets set `SO_REUSEADDR`, while the system does not assign the port to sockets that
/// ask for any free port.
pub struct ReservedAddress {
    _socket: TcpSocket,
    pub address: String,
}

impl ReservedAddress {
    pub fn new() -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_reuseaddr(true).expect("the option is supported");
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        socket.bind(any).expect("a free port");
        let address = socket
            .local_addr()
            .expect("the socket is bound")
            .to_string();
        Self {
            _socket: socket,
            address,
        }
    }
}

/// Starts the control instance at an index of `peers`. The first of several bootstraps the cluster.
pub fn start_control(folder: &TempDir, digest: &str, index: usize, peers: &[String]) -> Process {
    let name = format!("control-{}", index + 1);
    let data = folder.path().join(&name);
    let replicas: String = (1..)
        .zip(peers)
        .map(|(number, address)| {
            format!("[[control.replicas]]\nid = \"control-{number}\"\naddress = \"{address}\"\n")
        })
        .collect();
    let peer_listen = &peers[index];
    let text = format!(
        r#"
[instance]
id = "{name}"
data_centre = "north"
cluster = "session"

[control]
data_folder = "{}"
admin_listen = "127.0.0.1:0"
entry_listen = "127.0.0.1:0"
peer_listen = "{peer_listen}"

{replicas}
[[control.operators]]
id = "ada"
key_digest = "{digest}"
"#,
        data.display()
    );
    let first = index == 0 && peers.len() > 1;
    let path = write_settings(folder, &name, &text);
    let found = first.then_some("--found");
    let args: Vec<_> = ["control"]
        .into_iter()
        .chain(found)
        .chain([path.as_str()])
        .collect();
    Process::start(&args)
}

/// Starts an entry with a heartbeat and a lease shorter than the defaults, for fast failover.
/// `limits` are further lines of its settings.
pub fn start_entry(
    folder: &TempDir,
    name: &str,
    data_centre: &str,
    control: &str,
    limits: &str,
) -> Process {
    let text = format!(
        r#"
[instance]
id = "entry-{name}"
data_centre = "{data_centre}"
cluster = "session"

[entry]
listen = "127.0.0.1:0"
peer_listen = "127.0.0.1:0"
control = ["{control}"]

[entry.membership]
heartbeat = "50ms"
lease = "300ms"

[entry.limits]
{limits}
"#
    );
    Process::start(&["entry", &write_settings(folder, name, &text)])
}

/// Writes a settings file and returns its path.
pub fn write_settings(folder: &TempDir, name: &str, text: &str) -> String {
    let path = folder.path().join(format!("{name}.toml"));
    fs::write(&path, text).expect("the folder is writable");
    path.to_str().expect("the path is UTF-8").to_owned()
}
