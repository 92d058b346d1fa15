//! The project's own processes: some control instances and gateways on loopback addresses.

use std::fs;
use std::fs::File;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::http;
use crate::proxy;
use crate::proxy::Hold;
use crate::record::Record;

const PEER_PORT: u16 = 7500;
const GATEWAY_PORT: u16 = 7515;
const OPERATOR_PORT: u16 = 8367;
const CLIENT_PORT: u16 = 8360;
const READINESS_PORT: u16 = 8365;

/// Contracts in force on the sites.
const KEMBANG_CARDS: &str = r#""base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine", "tenants", "quota", "places""#;
pub const HOLMGAARD: &str = r#""base", "drain", "config", "cost", "retry", "recover", "health", "pool", "split", "stream", "engine", "tenants", "quota", "pressure""#;

pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Sends a signal to a process that the test started.
pub fn signal(child: &Child, signal: i32) {
    // SAFETY: `kill` takes two numbers and touches no memory. The process was not waited for, so that
    // its id was not reused.
    unsafe {
        kill(child.id() as i32, signal);
    }
}

/// A deployment. The first three control instances are the seeds.
pub struct Deployment {
    pub record: Record,
    pub folder: PathBuf,
    program: PathBuf,
    subnet: [u8; 2],
    list: SocketAddr,
    /// The contracts of the site, and the memory of its gateways.
    pub contracts: &'static str,
    pub gateway_memory: &'static str,
    /// What the other control instances send to each one, if proxies stand between them.
    pub holds: Vec<Hold>,
    pub controls: Vec<Process>,
    pub gateways: Vec<Process>,
}

/// One of the project's processes. Dropping it kills it.
pub struct Process {
    pub name: String,
    ip: IpAddr,
    role: &'static str,
    zone: String,
    starts: u32,
    pub child: Option<Child>,
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            signal(&child, SIGCONT);
            child.kill().ok();
            child.wait().ok();
        }
    }
}

impl Deployment {
    /// Prepares settings in a new temporary folder; starts nothing.
    pub fn new(
        record: Record,
        controls: usize,
        gateways: usize,
        list: SocketAddr,
    ) -> io::Result<Self> {
        let program = std::env::var("MIMOSASWITCH")
            .unwrap_or_else(|_| "target/release/mimosaswitch".to_owned());
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let subnet = free_subnet()?;
        let process = |role, number: usize, offset: usize| Process {
            name: format!("{role}-{number}"),
            ip: IpAddr::from([127, subnet[0], subnet[1], (offset + number) as u8]),
            role,
            zone: format!("zone-{}", number % 3),
            starts: 0,
            child: None,
        };
        Ok(Self {
            record,
            folder,
            program: program.into(),
            subnet,
            list,
            contracts: KEMBANG_CARDS,
            gateway_memory: "110MB",
            holds: Vec::new(),
            controls: (0..controls)
                .map(|number| process("control", number, 1))
                .collect(),
            gateways: (0..gateways)
                .map(|number| process("gateway", number, 101))
                .collect(),
        })
    }

    /// Places a proxy before the peer port of each control instance, before they are started.
    pub fn place_proxies(&mut self) -> io::Result<()> {
        for number in 0..self.controls.len() {
            let advertised = SocketAddr::new(self.controls[number].ip, PEER_PORT);
            let hold = proxy::start(
                advertised,
                SocketAddr::new(self.hidden_ip(number), PEER_PORT),
            )?;
            self.holds.push(hold);
        }
        Ok(())
    }

    /// Address on which a control instance behind a proxy accepts its peers.
    fn hidden_ip(&self, number: usize) -> IpAddr {
        let [b, c] = self.subnet;
        IpAddr::from([127, b, c, 51 + number as u8])
    }

    /// Starts all processes.
    pub fn start_all(&mut self) -> io::Result<()> {
        for number in 0..self.controls.len() {
            self.start_control(number)?;
        }
        for number in 0..self.gateways.len() {
            self.start_gateway(number)?;
        }
        Ok(())
    }

    pub fn start_control(&mut self, number: usize) -> io::Result<()> {
        let settings = self.control_settings(number);
        start(
            &self.program,
            &self.folder,
            &mut self.controls[number],
            &settings,
        )?;
        self.record.line(&format!("control-{number} starts"));
        Ok(())
    }

    pub fn start_gateway(&mut self, number: usize) -> io::Result<()> {
        let settings = self.gateway_settings(number);
        start(
            &self.program,
            &self.folder,
            &mut self.gateways[number],
            &settings,
        )?;
        self.record.line(&format!("gateway-{number} starts"));
        Ok(())
    }

    /// Kills a control instance; its disk stays.
    pub fn kill_control(&mut self, number: usize) {
        if let Some(mut child) = self.controls[number].child.take() {
            child.kill().ok();
            child.wait().ok();
            self.record.line(&format!("control-{number} is killed"));
        }
    }

    /// Address of the operator API of a control instance.
    pub fn operator(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.controls[number].ip, OPERATOR_PORT)
    }

    /// Address of a gateway for clients.
    pub fn client(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.gateways[number].ip, CLIENT_PORT)
    }

    /// Whether a gateway reports itself ready.
    pub fn is_ready(&self, number: usize) -> bool {
        let address = SocketAddr::new(self.gateways[number].ip, READINESS_PORT);
        http::call(address, "GET", "/api/readyz", "").is_ok_and(|each| each.head.status() == 200)
    }

    /// Sends a configuration to one control instance after the other until it is acknowledged.
    pub fn adopt(&self, document: &str, patience: Duration) -> bool {
        let started = Instant::now();
        let mut number = 0;
        while started.elapsed() < patience {
            let answer = http::call(self.operator(number), "PUT", "/api/config", document);
            let status = answer.map_or(0, |answer| answer.head.status());
            if status == 200 {
                self.record.line(&format!(
                    "the operator's configuration is acknowledged by control-{number}"
                ));
                return true;
            }
            number = (number + 1) % self.controls.len();
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Waits until all gateways report themselves ready.
    pub fn wait_ready(&self, patience: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < patience {
            if (0..self.gateways.len()).all(|number| self.is_ready(number)) {
                self.record.line("all gateways are ready");
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// The log of a process.
    pub fn log(&self, name: &str) -> String {
        fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default()
    }

    /// The control instance whose log last says that it leads.
    pub fn leader(&self) -> Option<usize> {
        let term = |number: usize| {
            let log = self.log(&self.controls[number].name);
            let last = log.lines().rfind(|line| line.contains(" role "))?;
            let (_, role) = last.split_once(" role ")?;
            let term = role.strip_prefix("leader, term ")?;
            term.split(',').next()?.parse::<u64>().ok()
        };
        (0..self.controls.len())
            .filter_map(|number| Some((term(number)?, number)))
            .max()
            .map(|(_, number)| number)
    }

    fn seeds(&self) -> String {
        let seeds = self.controls.iter().take(3);
        let seeds: Vec<String> = seeds
            .map(|each| format!("\"{}:{OPERATOR_PORT}\"", each.ip))
            .collect();
        seeds.join(", ")
    }

    /// `deploy/control.toml` with the values of a small deployment.
    fn control_settings(&self, number: usize) -> String {
        let process = &self.controls[number];
        let ip = process.ip;
        let data = self.folder.join(format!("{}-data", process.name));
        let folder = data.display();
        let found = process.starts == 0;
        let peer_ip = match self.holds.is_empty() {
            true => ip,
            false => self.hidden_ip(number),
        };
        format!(
            "{}\n[control]\ndata_folder = \"{folder}\"\n\
             admin_listen = \"{ip}:{OPERATOR_PORT}\"\npeer_listen = \"{peer_ip}:{PEER_PORT}\"\n\
             entry_listen = \"{ip}:{GATEWAY_PORT}\"\nheartbeat = \"1s\"\n\n\
             [control.routing]\nseeds = [{}]\nfound = {found}\nendpoint_list = \"{}\"\n\
             list_call_rate = \"40\"\ntolerated_losses = 1\nquota_overage = \"0.1\"\n\
             quota_slack = 120000\nmetrics = \"{ip}:9465\"\norder_lease = \"3000ms\"\n",
            common_settings(process, self.contracts, "256MB", 4096),
            self.seeds(),
            self.list
        )
    }

    /// `deploy/gateway.toml` with the values of a small deployment.
    fn gateway_settings(&self, number: usize) -> String {
        let process = &self.gateways[number];
        let ip = process.ip;
        format!(
            "{}\n[gateway]\nlisten = \"{ip}:{CLIENT_PORT}\"\nreadiness = \"{ip}:{READINESS_PORT}\"\n\
             seeds = [{}]\ncontrol_port = {GATEWAY_PORT}\ndrain_time = \"8s\"\n\
             metrics = \"{ip}:9464\"\nretry_ratio = \"0.2\"\nretry_slack = 52\n",
            common_settings(process, self.contracts, self.gateway_memory, 4100),
            self.seeds()
        )
    }

    /// The loopback subnet of the deployment, for further addresses.
    pub const fn subnet(&self) -> [u8; 2] {
        self.subnet
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.gateways.clear();
        self.controls.clear();
        fs::remove_dir_all(&self.folder).ok();
    }
}

fn common_settings(process: &Process, contracts: &str, memory: &str, descriptors: u32) -> String {
    let (ip, zone) = (process.ip, &process.zone);
    format!(
        "[instance]\nid = \"{ip}\"\ndata_centre = \"{zone}\"\ncluster = \"mimosaswitch\"\n\n\
         [runtime]\nthreads = 1\n\n[limits]\nmemory = \"{memory}\"\ndescriptors = {descriptors}\n\n\
         [platform]\ncontracts = [{contracts}]\n\n\
         [features]\nuneven_speeds = true\n"
    )
}

fn start(program: &Path, folder: &Path, process: &mut Process, settings: &str) -> io::Result<()> {
    let path = folder.join(format!("{}.toml", process.name));
    fs::write(&path, settings)?;
    let log = folder.join(format!("{}.log", process.name));
    let log = File::options().create(true).append(true).open(log)?;
    let child = Command::new(program)
        .arg(process.role)
        .arg(&path)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    process.starts += 1;
    process.child = Some(child);
    Ok(())
}

/// A subnet 127.B.C.0/24 on whose addresses the ports are free.
fn free_subnet() -> io::Result<[u8; 2]> {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let mut number = now.map_or(0, |now| now.subsec_nanos()) ^ std::process::id();
    for _ in 0..50 {
        number = number.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        let subnet = [(number >> 24) as u8 % 200 + 20, (number >> 16) as u8];
        let ip = IpAddr::from([127, subnet[0], subnet[1], 1]);
        if TcpListener::bind(SocketAddr::new(ip, OPERATOR_PORT)).is_ok() {
            return Ok(subnet);
        }
    }
    Err(io::Error::other("no free addresses"))
}
