//! The project's processes on loopback addresses, the platform's list and the operator.

use std::fs;
use std::fs::File;
use std::io;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::ops::Range;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::record::Record;

const PROGRAM: &str = "target/release/mimosaswitch";
const FRONTEND: u16 = 8360;
const READINESS: u16 = 8365;
const ADMIN: u16 = 8367;
const PEERS: u16 = 7500;
const ENTRIES: u16 = 7515;
const METRICS: u16 = 9464;
const LIST: u16 = 8361;
const WORKERS: u16 = 8268;
/// Addresses that a deployment has for control instances.
const MAX_CONTROLS: u8 = 10;
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// The control instances of a deployment.
#[derive(Clone, Debug)]
pub struct Core {
    /// Number of control instances.
    pub controls: u8,
    /// The numbers of those that the settings of all processes name as seeds.
    pub seeds: Range<u8>,
    /// How many of them may be lost at once.
    pub tolerated_losses: u8,
}

impl Default for Core {
    fn default() -> Self {
        Self {
            controls: 3,
            seeds: 0..3,
            tolerated_losses: 1,
        }
    }
}

/// A small deployment: control instances, some gateways and the platform's list.
pub struct System {
    core: Core,
    record: Record,
    folder: PathBuf,
    net: (u8, u8),
    gateways: u8,
    children: Mutex<Vec<(String, Child)>>,
    pub list: Arc<List>,
}

/// The platform's list of workers.
#[derive(Default)]
pub struct List {
    entries: Mutex<Vec<Entry>>,
    /// Whether calls get no answer.
    pub is_silent: AtomicBool,
}

/// One worker in the list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub state: &'static str,
    /// End of the cold time, which the list counts down.
    pub cold_until: Option<Instant>,
    pub stage: Option<&'static str>,
    pub zone: &'static str,
    pub born: u64,
}

impl Entry {
    pub fn new(id: &str, service: &str, address: SocketAddr, slots: u32) -> Self {
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            slots,
            state: "ready",
            cold_until: None,
            stage: None,
            zone: "sem-a",
            born: 1_790_000_000_000,
        }
    }

    fn json(&self) -> String {
        let cold_remaining = self
            .cold_until
            .map(|until| until.saturating_duration_since(Instant::now()));
        let cold_remaining_ms = cold_remaining.unwrap_or_default().as_millis();
        let stage = self.stage.map_or_else(String::new, |stage| {
            format!(
                ",\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\
                 \"adapters\":[]}}]"
            )
        });
        format!(
            "{{\"id\":\"{}\",\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\
             \"version\":\"v1\",\"slots\":{},\"state\":\"{}\",\"cold_remaining_ms\":{},\
             \"born\":{}{stage}}}",
            self.id,
            self.service,
            self.address,
            self.zone,
            self.slots,
            self.state,
            cold_remaining_ms,
            self.born
        )
    }
}

impl List {
    pub fn set(&self, entries: Vec<Entry>) {
        *self.entries.lock().expect("no holder panics") = entries;
    }

    pub fn update(&self, id: &str, change: impl FnOnce(&mut Entry)) {
        let mut entries = self.entries.lock().expect("no holder panics");
        if let Some(entry) = entries.iter_mut().find(|entry| entry.id == id) {
            change(entry);
        }
    }

    fn json(&self) -> String {
        let entries = self.entries.lock().expect("no holder panics");
        let entries: Vec<String> = entries.iter().map(Entry::json).collect();
        format!("{{\"instances\":[{}],\"next\":null}}", entries.join(","))
    }
}

impl System {
    /// Starts the control instances and the gateways; the list serves from the start.
    pub fn start(record: &Record, folder: PathBuf, gateways: u8) -> io::Result<Self> {
        Self::start_with(record, folder, gateways, Core::default())
    }

    /// Starts a deployment with other control instances.
    pub fn start_with(
        record: &Record,
        folder: PathBuf,
        gateways: u8,
        core: Core,
    ) -> io::Result<Self> {
        let system = Self {
            core,
            record: record.clone(),
            folder,
            net: free_net()?,
            gateways,
            children: Mutex::default(),
            list: Arc::default(),
        };
        system.serve_list()?;
        for number in 0..system.core.controls {
            system.start_control(number, true)?;
        }
        for number in 0..gateways {
            system.start_gateway(number)?;
        }
        Ok(system)
    }

    fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.0, self.net.1, host)
    }

    pub fn worker(&self, number: u8) -> SocketAddr {
        (self.ip(40 + number), WORKERS).into()
    }

    pub fn frontend(&self, gateway: u8) -> SocketAddr {
        (self.ip(20 + gateway), FRONTEND).into()
    }

    fn readiness(&self, gateway: u8) -> SocketAddr {
        (self.ip(20 + gateway), READINESS).into()
    }

    pub fn admin(&self, control: u8) -> SocketAddr {
        (self.ip(10 + control), ADMIN).into()
    }

    fn serve_list(&self) -> io::Result<()> {
        let list = Arc::clone(&self.list);
        let address = (self.ip(5), LIST).into();
        http::serve(
            address,
            Arc::new(move |_, _, connection| {
                while list.is_silent.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(50));
                    if connection.is_closed() {
                        return Ok(false);
                    }
                }
                let headers = [("content-type", "application/json")];
                connection.send("HTTP/1.1 200 OK", &headers, list.json().as_bytes())?;
                Ok(true)
            }),
        )
    }

    fn seeds(&self) -> String {
        let seeds = self
            .core
            .seeds
            .clone()
            .map(|number| format!("\"{}\"", self.admin(number)));
        seeds.collect::<Vec<_>>().join(",")
    }

    /// Starts a control instance. Its settings are those of `deploy/control.toml`.
    pub fn start_control(&self, number: u8, found: bool) -> io::Result<()> {
        let name = format!("control-{number}");
        let ip = self.ip(10 + number);
        let settings = format!(
            "[instance]\nid = \"{ip}\"\ndata_centre = \"sem-a\"\ncluster = \"mimosaswitch\"\n\n\
             [runtime]\nthreads = 1\n\n\
             [limits]\nmemory = \"256MB\"\ndescriptors = 4096\n\n\
             [platform]\ncontracts = {CONTRACTS}\n\n\
             [features]\nuneven_speeds = true\n\n\
             [control]\ndata_folder = \"{}\"\nadmin_listen = \"{ip}:{ADMIN}\"\n\
             peer_listen = \"{ip}:{PEERS}\"\nentry_listen = \"{ip}:{ENTRIES}\"\n\
             heartbeat = \"1s\"\n\n\
             [control.routing]\nseeds = [{}]\nfound = {found}\n\
             endpoint_list = \"{}:{LIST}\"\nlist_call_rate = \"40\"\ntolerated_losses = {}\n\
             quota_overage = \"0.1\"\nquota_slack = 120000\nmetrics = \"{ip}:{METRICS}\"\n\
             order_lease = \"3000ms\"\n",
            self.folder.join(format!("{name}.data")).display(),
            self.seeds(),
            self.ip(5),
            self.core.tolerated_losses
        );
        self.spawn(&name, "control", &settings)
    }

    /// Starts a gateway. Its settings are those of `deploy/gateway.toml`.
    pub fn start_gateway(&self, number: u8) -> io::Result<()> {
        let name = format!("gateway-{number}");
        let ip = self.ip(20 + number);
        let settings = format!(
            "[instance]\nid = \"{ip}\"\ndata_centre = \"sem-a\"\ncluster = \"mimosaswitch\"\n\n\
             [runtime]\nthreads = 1\n\n\
             [limits]\nmemory = \"110MB\"\ndescriptors = 4100\n\n\
             [platform]\ncontracts = {CONTRACTS}\n\n\
             [features]\nuneven_speeds = true\n\n\
             [gateway]\nlisten = \"{ip}:{FRONTEND}\"\nreadiness = \"{ip}:{READINESS}\"\n\
             seeds = [{}]\ncontrol_port = {ENTRIES}\ndrain_time = \"8s\"\n\
             metrics = \"{ip}:{METRICS}\"\nretry_ratio = \"0.2\"\nretry_slack = 52\n",
            self.seeds()
        );
        self.spawn(&name, "gateway", &settings)
    }

    fn spawn(&self, name: &str, role: &str, settings: &str) -> io::Result<()> {
        let file = self.folder.join(format!("{name}.toml"));
        fs::write(&file, settings)?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))?;
        let child = Command::new(PROGRAM)
            .arg(role)
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record
            .line(&format!("started {name} pid={}", child.id()));
        let mut pids = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("pids"))?;
        writeln!(pids, "{}", child.id())?;
        let mut children = self.children.lock().expect("no holder panics");
        children.push((name.to_owned(), child));
        Ok(())
    }

    /// Sends a signal to a process, by the `kill` program.
    pub fn signal(&self, name: &str, signal: &str) -> io::Result<()> {
        let children = self.children.lock().expect("no holder panics");
        let child = children.iter().rev().find(|(known, _)| known == name);
        let (_, child) = child.ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))?;
        self.record.line(&format!("SIG{signal} to {name}"));
        let pid = child.id().to_string();
        Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(pid)
            .status()?;
        Ok(())
    }

    /// Ends a process with SIGKILL and waits for it.
    pub fn kill(&self, name: &str) {
        let mut children = self.children.lock().expect("no holder panics");
        if let Some((_, child)) = children.iter_mut().rev().find(|(known, _)| known == name) {
            self.record.line(&format!("SIGKILL to {name}"));
            child.kill().ok();
            child.wait().ok();
        }
    }

    /// Sends a configuration to a control instance. Returns the status; 0 without an answer.
    pub fn put_config(&self, control: u8, config: &str) -> u16 {
        let headers = [("content-type", "application/json")];
        let start = "PUT /api/config HTTP/1.1";
        let timeout = Duration::from_secs(1);
        let body = config.as_bytes();
        let result = http::call(self.admin(control), start, &headers, body, timeout);
        result.map_or(0, |(head, _)| head.status())
    }

    /// Reads the configuration from a control instance; `None` without an answer of 200.
    pub fn read_config(&self, control: u8) -> Option<String> {
        let start = "GET /api/config HTTP/1.1";
        let timeout = Duration::from_secs(2);
        let (head, body) = http::call(self.admin(control), start, &[], b"", timeout).ok()?;
        (head.status() == 200).then(|| String::from_utf8_lossy(&body).into_owned())
    }

    /// Ends all processes with SIGKILL at the same moment.
    pub fn kill_all(&self) {
        let mut children = self.children.lock().expect("no holder panics");
        self.record.line("SIGKILL to all processes");
        for (_, child) in children.iter_mut() {
            child.kill().ok();
        }
        for (_, child) in children.iter_mut() {
            child.wait().ok();
        }
    }

    /// Number of the control instance that says in its metrics that it leads.
    pub fn leader(&self) -> Option<u8> {
        (0..self.core.controls).find(|number| {
            let address = (self.ip(10 + number), METRICS).into();
            let timeout = Duration::from_millis(300);
            let result = http::call(address, "GET /metrics HTTP/1.1", &[], &[], timeout);
            let Ok((_, body)) = result else { return false };
            let text = String::from_utf8_lossy(&body).into_owned();
            text.lines().any(|line| line == "mimosa_control_leads 1")
        })
    }

    /// Sends the first configuration until it is accepted, and waits until all gateways are ready.
    /// Returns false if that takes too long.
    pub fn configure(&self, config: &str) -> bool {
        let end = Instant::now() + START_TIMEOUT;
        let mut control = 0;
        while self.put_config(control, config) != 200 {
            control = (control + 1) % self.core.controls;
            if Instant::now() > end {
                return false;
            }
            thread::sleep(Duration::from_millis(100));
        }
        self.record.line("configuration 1 acknowledged");
        (0..self.gateways).all(|gateway| {
            while !self.is_ready(gateway) {
                if Instant::now() > end {
                    return false;
                }
                thread::sleep(Duration::from_millis(100));
            }
            true
        })
    }

    fn is_ready(&self, gateway: u8) -> bool {
        let timeout = Duration::from_millis(500);
        let start = "GET /api/readyz HTTP/1.1";
        let result = http::call(self.readiness(gateway), start, &[], &[], timeout);
        result.is_ok_and(|(head, _)| head.status() == 200)
    }
}

impl Drop for System {
    fn drop(&mut self) {
        let mut children = self.children.lock().expect("no holder panics");
        for (_, child) in children.iter_mut() {
            child.kill().ok();
            child.wait().ok();
        }
        self.record.line("all processes ended");
    }
}

const CONTRACTS: &str = "[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"split\",\
                         \"stream\",\"engine\",\"tenants\",\"quota\",\"places\"]";

/// A part of 127.0.0.0/8 in which nothing listens at the addresses of this deployment.
fn free_net() -> io::Result<(u8, u8)> {
    let pid = std::process::id();
    for attempt in 0..200 {
        let number = pid.wrapping_mul(7).wrapping_add(attempt * 31);
        let net = (20 + (number % 200) as u8, (number / 200 % 250) as u8);
        let is_free = |host: u8, port: u16| {
            TcpListener::bind((Ipv4Addr::new(127, net.0, net.1, host), port)).is_ok()
        };
        let controls = (10..10 + MAX_CONTROLS).all(|host| {
            [ADMIN, PEERS, ENTRIES, METRICS].map(|port| is_free(host, port)) == [true; 4]
        });
        let others = is_free(5, LIST)
            && (20..24).all(|host| is_free(host, FRONTEND) && is_free(host, READINESS))
            && (40..50).all(|host| is_free(host, WORKERS));
        if controls && others {
            return Ok(net);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}
