//! The project's own programs, as separate processes with the commands of the deploy file.

use std::fs;
use std::fs::File;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::network::CLIENT_PORT;
use crate::network::GATEWAY_PORT;
use crate::network::LIST_PORT;
use crate::network::OPERATOR_PORT;
use crate::network::PEER_PORT;
use crate::network::READINESS_PORT;
use crate::network::Subnet;
use crate::record::Record;

/// Host number of the first control instance, as advertised to others.
const CONTROL_HOST: u8 = 1;
/// Added for the address on which a control instance listens, if a proxy has the advertised one.
const PROXIED_OFFSET: u8 = 50;
const GATEWAY_HOST: u8 = 100;
/// Time within which an operator's call or the start of a process must succeed.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Temporary folder of a run, removed at its end unless `KEEP` is set.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Result<Self, String> {
        let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&path).map_err(|e| format!("cannot create {}: {e}", path.display()))?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            fs::remove_dir_all(&self.0).ok();
        }
    }
}

/// A process that is killed when dropped.
pub struct Process {
    child: Child,
    log: PathBuf,
}

impl Process {
    pub fn spawn(mut command: Command, log: PathBuf) -> Result<Self, String> {
        let file = File::create(&log).map_err(|e| e.to_string())?;
        let errors = file.try_clone().map_err(|e| e.to_string())?;
        let child = command.stdin(Stdio::null()).stdout(file).stderr(errors);
        let child = child.spawn().map_err(|e| format!("{command:?}: {e}"))?;
        Ok(Self { child, log })
    }

    pub fn log_text(&self) -> String {
        let bytes = fs::read(&self.log).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Resident memory in bytes; `None` once the process has ended.
    pub fn memory(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kib << 10)
    }

    /// Sends SIGKILL.
    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The control instances and gateways of a run.
pub struct System {
    pub subnet: Subnet,
    pub controls: Vec<Process>,
    pub gateways: Vec<Process>,
    is_proxied: bool,
}

impl System {
    /// Starts the processes. With `is_proxied`, the advertised addresses of the control instances
    /// belong to proxies.
    pub fn start(
        folder: &Path,
        subnet: Subnet,
        controls: u8,
        is_proxied: bool,
    ) -> Result<Self, String> {
        let mut system = Self {
            subnet,
            controls: Vec::new(),
            gateways: Vec::new(),
            is_proxied,
        };
        let seeds: Vec<String> = (0..controls.min(3))
            .map(|number| {
                format!(
                    "\"{}\"",
                    subnet.address(CONTROL_HOST + number, OPERATOR_PORT)
                )
            })
            .collect();
        let seeds = seeds.join(", ");
        for number in 0..controls {
            let settings = system.control_settings(folder, number, &seeds);
            let process = start(folder, "control", number, &settings)?;
            system.controls.push(process);
        }
        let settings = system.gateway_settings(&seeds);
        let process = start(folder, "gateway", 0, &settings)?;
        system.gateways.push(process);
        Ok(system)
    }

    fn control_settings(&self, folder: &Path, number: u8, seeds: &str) -> String {
        let advertised = self.subnet.ip(CONTROL_HOST + number);
        let listen = self.control_ip(number);
        let data = folder.join(format!("control-{number}-data"));
        format!(
            "[instance]\nid = \"{advertised}\"\ndata_centre = \"zone-{}\"\ncluster = \"mimosaswitch\"\n\n\
             [runtime]\nthreads = 1\n\n\
             [control]\ndata_folder = \"{}\"\nadmin_listen = \"{listen}:{OPERATOR_PORT}\"\n\
             peer_listen = \"{listen}:{PEER_PORT}\"\nentry_listen = \"{listen}:{GATEWAY_PORT}\"\n\
             heartbeat = \"1s\"\n\n\
             [control.routing]\nseeds = [{seeds}]\nfound = true\n\
             endpoint_list = \"{}\"\nlist_call_rate = \"40\"\ntolerated_losses = 1\n\
             quota_overage = \"0.1\"\nquota_slack = 120000\nmetrics = \"{listen}:9465\"\n\
             order_lease = \"3000ms\"\n",
            ["a", "b", "c", "d"][usize::from(number % 4)],
            data.display(),
            self.subnet.address(200, LIST_PORT),
        )
    }

    fn gateway_settings(&self, seeds: &str) -> String {
        let ip = self.subnet.ip(GATEWAY_HOST);
        format!(
            "[instance]\nid = \"{ip}\"\ndata_centre = \"zone-c\"\ncluster = \"mimosaswitch\"\n\n\
             [runtime]\nthreads = 1\n\n\
             [gateway]\nlisten = \"{ip}:{CLIENT_PORT}\"\nreadiness = \"{ip}:{READINESS_PORT}\"\n\
             seeds = [{seeds}]\ncontrol_port = {GATEWAY_PORT}\ndrain_time = \"8s\"\n\
             metrics = \"{ip}:9464\"\nretry_ratio = \"0.2\"\nretry_slack = 52\n"
        )
    }

    /// Address of a control instance as other processes of the system know it.
    pub fn advertised(&self, number: u8, port: u16) -> std::net::SocketAddrV4 {
        self.subnet.address(CONTROL_HOST + number, port)
    }

    /// IP address on which a control instance listens.
    pub fn control_ip(&self, number: u8) -> std::net::Ipv4Addr {
        let offset = if self.is_proxied { PROXIED_OFFSET } else { 0 };
        self.subnet.ip(CONTROL_HOST + number + offset)
    }

    pub fn operator_address(&self, number: u8) -> std::net::SocketAddrV4 {
        std::net::SocketAddrV4::new(self.control_ip(number), OPERATOR_PORT)
    }

    pub fn client_address(&self) -> std::net::SocketAddrV4 {
        self.subnet.address(GATEWAY_HOST, CLIENT_PORT)
    }

    /// The control instance that leads according to its log.
    pub fn leader(&self) -> Option<u8> {
        let roles = self.controls.iter().map(|process| {
            let log = process.log_text();
            log.lines().rev().find_map(|line| {
                let rest = &line[line.find("role ")? + "role ".len()..];
                rest.contains("term").then(|| rest.starts_with("leader"))
            })
        });
        let leader = roles.enumerate().find(|(_, role)| *role == Some(true));
        leader.map(|(number, _)| number as u8)
    }

    /// Sends the first configuration until it is acknowledged, then waits for a ready gateway.
    pub fn configure(&self, record: &Record, document: &str) -> Result<(), String> {
        let request = format!(
            "PUT /api/config HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\nConnection: close\r\n\r\n{document}",
            document.len()
        );
        let operator = self.operator_address(0);
        wait_until("the first configuration", || {
            let response = http::call(operator, &request, Duration::from_secs(2));
            response.is_ok_and(|response| response.head.status() == 200)
        })?;
        record.note("operator: the configuration is acknowledged");
        let readiness = self.subnet.address(GATEWAY_HOST, READINESS_PORT);
        let probe = "GET /api/readyz HTTP/1.1\r\nHost: gateway\r\nConnection: close\r\n\r\n";
        wait_until("a ready gateway", || {
            let response = http::call(readiness, probe, Duration::from_secs(1));
            response.is_ok_and(|response| response.head.status() == 200)
        })?;
        record.note("platform: the gateway is ready");
        Ok(())
    }
}

fn start(folder: &Path, role: &str, number: u8, settings: &str) -> Result<Process, String> {
    let file = folder.join(format!("{role}-{number}.toml"));
    fs::write(&file, settings).map_err(|e| e.to_string())?;
    let program = std::env::var("MIMOSASWITCH").map_err(|_| "MIMOSASWITCH is not set")?;
    let mut command = Command::new(program);
    command.arg(role).arg(&file);
    Process::spawn(command, folder.join(format!("{role}-{number}.log")))
}

/// Waits until a condition holds.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) -> Result<(), String> {
    let started = Instant::now();
    while started.elapsed() < START_TIMEOUT {
        if condition() {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(50));
    }
    Err(format!("no success within {START_TIMEOUT:?}: {what}"))
}
