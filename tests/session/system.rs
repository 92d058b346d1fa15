//! A whole system as processes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::process::Command;
use std::time::Duration;

use hyper::Response;
use hyper::body::Incoming;
use tempfile::TempDir;

use crate::caller::Call;
use crate::caller::FullResponse;
use crate::process::Process;
use crate::process::binary;
use crate::setup::ReservedAddress;
use crate::setup::new_operator_key;
use crate::setup::start_control;
use crate::setup::start_entry;
use crate::setup::wait_for_revision;
use crate::transcript::Transcript;

/// Limit of polls for a condition, and the interval between them.
pub const MAX_POLLS: u32 = 400;
pub const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Output tokens of the stand-in engines: more than any test reads.
const OUTPUT_TOKENS: &str = "1000000";

/// Duration of a call to a plain service, so that a test can interrupt it.
const PLAIN_DELAY_MS: &str = "150";

/// A running system with a recorded transcript.
pub struct System {
    _folder: TempDir,
    _reserved: Vec<ReservedAddress>,
    operator_key: String,
    caller_key: String,
    controls: Vec<Process>,
    admins: Vec<String>,
    /// Process of each entry and its address for callers.
    entries: BTreeMap<&'static str, (Process, String)>,
    /// Address, role, data centre and process of each stand-in.
    endpoints: Vec<(String, &'static str, &'static str, Process)>,
    transcript: Transcript,
    last_plan: String,
    last_order_number: u64,
}

impl System {
    /// Starts one control instance, the entries, given as pairs of name and data centre, and a set
    /// of endpoints in each data centre.
    pub async fn start(names: &[(&'static str, &'static str)]) -> Self {
        Self::start_with(1, names).await
    }

    /// Like [`System::start`], with a number of control instances.
    pub async fn start_with(replicas: usize, names: &[(&'static str, &'static str)]) -> Self {
        Self::start_with_limits(replicas, names, "").await
    }

    /// Like [`System::start_with`], with lines for the limits in the settings of each entry.
    pub async fn start_with_limits(
        replicas: usize,
        names: &[(&'static str, &'static str)],
        limits: &str,
    ) -> Self {
        let folder = TempDir::new().expect("a temporary folder can be created");
        let (operator_key, digest) = new_operator_key();
        let reserved: Vec<_> = (0..replicas).map(|_| ReservedAddress::new()).collect();
        let peers: Vec<_> = reserved.iter().map(|each| each.address.clone()).collect();
        let mut controls = Vec::new();
        let mut admins = Vec::new();
        let mut control_addresses = Vec::new();
        for number in 0..replicas {
            let mut control = start_control(&folder, &digest, number, &peers);
            admins.push(control.read_value("admin"));
            control_addresses.push(control.read_value("entries"));
            control.read_value("peers");
            controls.push(control);
        }
        let control_address_list = control_addresses.join("\", \"");
        let mut entries = BTreeMap::new();
        let mut endpoints = Vec::new();
        for (name, data_centre) in names {
            let mut entry = start_entry(&folder, name, data_centre, &control_address_list, limits);
            let caller_address = entry.read_value("callers");
            entries.insert(*name, (entry, caller_address));
        }
        let data_centres: BTreeSet<_> = names.iter().map(|(_, data_centre)| *data_centre).collect();
        for data_centre in data_centres {
            for (role, kind) in [
                ("prefill", "engine"),
                ("decode", "engine"),
                ("plain", "plain"),
            ] {
                let mut args = vec!["standin", kind];
                if kind == "engine" {
                    args.extend(["--output", OUTPUT_TOKENS, "--gap-ms", "20"]);
                }
                if kind == "plain" {
                    args.extend(["--delay-ms", PLAIN_DELAY_MS]);
                }
                let mut standin = Process::start(&args);
                let address = standin.read_value(kind);
                endpoints.push((address, role, data_centre, standin));
            }
        }
        let mut system = Self {
            _folder: folder,
            _reserved: reserved,
            operator_key,
            caller_key: String::new(),
            controls,
            admins,
            entries,
            endpoints,
            transcript: Transcript::default(),
            last_plan: String::new(),
            last_order_number: 1_000,
        };
        system.register_addresses();
        system.wait_for_votes().await;
        system.wait_for_entries().await;
        system
    }

    /// Replaces the address of the endpoint of a role in the only data centre, before the services are
    /// created.
    pub fn replace_endpoint(&mut self, role: &str, address: String) {
        for endpoint in self.endpoints.iter_mut().filter(|each| each.1 == role) {
            endpoint.0.clone_from(&address);
        }
    }

    /// Waits until every control instance is a voter, but not longer than [`MAX_POLLS`] for each.
    async fn wait_for_votes(&mut self) {
        for number in 0..self.controls.len() {
            for _ in 0..MAX_POLLS {
                let status = self.status_of(number);
                if status["replica"]["votes"] == true {
                    break;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }

    /// Output of the `status` command for one control instance; `null` if it failed.
    fn status_of(&mut self, number: usize) -> serde_json::Value {
        let admin = format!("http://{}", self.admins[number]);
        let output = self.run_operator(&["status", "--json", "--admin", &admin]);
        serde_json::from_str(&output).unwrap_or_default()
    }

    /// Kills the leader of the control instances. Later operator commands use the others.
    pub fn kill_leader(&mut self) {
        let leader = (0..self.controls.len())
            .find_map(|number| {
                let status = self.status_of(number);
                status["replica"]["leader"].as_str().map(str::to_owned)
            })
            .expect("there is a leader");
        let number = (0..self.controls.len())
            .find(|number| leader == format!("control-{}", number + 1))
            .expect("the leader is a known instance");
        self.controls.remove(number);
        self.admins.remove(number);
    }

    /// Number of runs per idempotency key, summed over all plain endpoints.
    pub async fn runs_by_key(&self) -> BTreeMap<String, u64> {
        let mut all = BTreeMap::new();
        for (address, ..) in self
            .endpoints
            .iter()
            .filter(|(_, role, ..)| *role == "plain")
        {
            let runs = Call::get("/standin/runs").send(address, "").await.body;
            let runs: BTreeMap<String, u64> =
                serde_json::from_str(&runs).expect("the output is JSON");
            for (key, count) in runs {
                *all.entry(key).or_default() += count;
            }
        }
        all
    }

    /// Waits until every entry is registered at a control instance.
    async fn wait_for_entries(&mut self) {
        for _ in 0..MAX_POLLS {
            let status = self.run_operator(&["status", "--json"]);
            let status: serde_json::Value =
                serde_json::from_str(&status).expect("the output is JSON");
            if status["entries"].as_array().map(Vec::len) == Some(self.entries.len()) {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("not all entries connected to a control instance within {MAX_POLLS} polls");
    }

    fn register_addresses(&mut self) {
        for (address, role, data_centre, _) in &self.endpoints {
            self.transcript
                .add_placeholder(address, &format!("{role}-{data_centre}"));
        }
    }

    /// Runs an operator command and records its output in the transcript.
    pub async fn operator(&mut self, args: &[&str]) {
        let output = self.run_operator(args);
        self.transcript
            .add(&format!("$ mimosaswitch {}\n{output}", args.join(" ")));
    }

    fn run_operator(&mut self, args: &[&str]) -> String {
        let output = Command::new(binary())
            .args(args)
            .env("MIMOSASWITCH_ADMIN", self.admin_urls())
            .env("MIMOSASWITCH_OPERATOR_KEY", &self.operator_key)
            .env("NO_COLOR", "1")
            .output()
            .expect("the binary runs");
        let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
        self.record_caller_key(&stdout);
        self.record_last_plan(&stdout);
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        let code = output.status.code().unwrap_or(-1);
        let code = if code == 0 {
            String::new()
        } else {
            format!("[exit code {code}]\n")
        };
        format!("{stdout}{stderr}{code}")
    }

    fn admin_urls(&self) -> String {
        let urls: Vec<_> = self
            .admins
            .iter()
            .map(|admin| format!("http://{admin}"))
            .collect();
        urls.join(",")
    }

    /// Stores the caller's key if the output of an operator command contains it.
    fn record_caller_key(&mut self, output: &str) {
        let Some(start) = output.find("msk-") else {
            return;
        };
        let key: String = output[start..]
            .chars()
            .take_while(|c| c.is_ascii_alphanumeric() || *c == '-')
            .collect();
        self.transcript.add_placeholder(&key, "caller's key");
        self.caller_key = key;
    }

    /// Stores the id of the plan if an operator command created one.
    fn record_last_plan(&mut self, output: &str) {
        let Some(rest) = output.strip_prefix("plan ") else {
            return;
        };
        self.last_plan = rest.chars().take_while(char::is_ascii_digit).collect();
    }

    /// Id of the plan that the last `plan` command created.
    pub fn last_plan(&self) -> String {
        self.last_plan.clone()
    }

    /// Creates both services with their endpoints. The transcript records only the intents.
    pub async fn set_up_services(&mut self) {
        let mut intents = vec![
            "put-service service=verse kind=model".to_owned(),
            "put-service service=orders kind=plain".to_owned(),
        ];
        let data_centres: BTreeSet<_> = self
            .endpoints
            .iter()
            .map(|(_, _, data_centre, _)| *data_centre)
            .collect();
        intents.extend(
            data_centres
                .iter()
                .map(|name| format!("put-data-centre data_centre={name}")),
        );
        for (address, role, data_centre, _) in &self.endpoints {
            let service = if *role == "plain" { "orders" } else { "verse" };
            let mut intent = String::new();
            write!(
                intent,
                "put-endpoint endpoint={role}-{data_centre} service={service} "
            )
            .and_then(|()| {
                write!(
                    intent,
                    "data_centre={data_centre} address={address} role={role}"
                )
            })
            .expect("writing to a String does not fail");
            intents.push(intent);
        }
        for intent in intents {
            self.apply_intent(&intent);
            self.transcript
                .add(&format!("(planned and confirmed: {intent})"));
        }
    }

    /// Plans and confirms an intent.
    pub fn apply_intent(&mut self, intent: &str) {
        self.last_order_number += 2;
        let plan_number = self.last_order_number.to_string();
        let confirm_number = (self.last_order_number + 1).to_string();
        let mut args = vec!["plan", "--number", &plan_number];
        args.extend(intent.split(' '));
        let output = self.run_operator(&args);
        let plan = self.last_plan();
        let confirmed = self.run_operator(&["confirm", "--number", &confirm_number, &plan]);
        assert!(
            confirmed.contains("revision"),
            "{intent}:\n{output}{confirmed}"
        );
    }

    /// Waits until the newest revision is in force at every entry.
    pub async fn wait_until_in_force(&mut self) {
        let wanted = self.newest_revision();
        for address in self.entries.values().map(|(_, address)| address.clone()) {
            wait_for_revision(&address, &wanted).await;
        }
    }

    fn newest_revision(&mut self) -> String {
        let status = self.run_operator(&["status", "--json"]);
        let status: serde_json::Value = serde_json::from_str(&status).expect("the output is JSON");
        status["revision"].to_string()
    }

    /// Sends a call and records it with its response in the transcript.
    pub async fn call(&mut self, entry: &str, call: Call) -> FullResponse {
        let response = self.send(entry, &call).await;
        self.transcript.add(&format!(
            "> {entry}: {}\n< {} {}\n{}",
            call.title(),
            response.status,
            response.content_type,
            response.body
        ));
        response
    }

    /// Sends a call without recording it.
    pub async fn send(&self, entry: &str, call: &Call) -> FullResponse {
        let address = &self.entries[entry].1;
        call.send(address, &self.caller_key).await
    }

    /// Sends a call and returns when the response headers are received.
    pub async fn open(&self, entry: &str, call: &Call) -> Response<Incoming> {
        let address = &self.entries[entry].1;
        call.open(address, &self.caller_key).await
    }

    /// Creates an account, a key and both services, and waits until they are in force.
    pub async fn set_up_client_and_services(&mut self) {
        self.apply_intent("put-account account=orchid rate=200000 burst=2000000");
        self.apply_intent("create-key key=orchid-1 account=orchid");
        self.set_up_services().await;
        self.wait_until_in_force().await;
    }

    /// Number of completions that the engines of a data centre have run.
    pub async fn completions_in(&self, data_centre: &str) -> u64 {
        let engines = self
            .endpoints
            .iter()
            .filter(|(_, role, location, _)| *role != "plain" && *location == data_centre);
        let mut runs = 0;
        for (address, ..) in engines {
            let load = Call::get("/v1/load").send(address, "").await.body;
            let load: serde_json::Value = serde_json::from_str(&load).expect("the output is JSON");
            runs += load["runs"].as_u64().expect("the field is a number");
        }
        runs
    }

    /// The process of an entry.
    pub fn process(&self, entry: &str) -> &Process {
        &self.entries[entry].0
    }

    /// Sends a signal to an entry, named without `SIG`.
    pub fn signal(&self, entry: &str, signal: &str) {
        self.process(entry).signal(signal);
    }

    /// Kills an entry without a shutdown.
    pub fn kill(&mut self, entry: &str) {
        self.entries.remove(entry).expect("the entry runs");
    }

    /// Polls the load reports until the engines run the wanted number of requests in total.
    pub async fn wait_until_running(&self, wanted: u64) {
        let mut running = 0;
        for _ in 0..MAX_POLLS {
            running = 0;
            let engines = self
                .endpoints
                .iter()
                .filter(|(_, role, _, _)| *role != "plain");
            for (address, ..) in engines {
                let load = Call::get("/v1/load").send(address, "").await.body;
                let load: serde_json::Value =
                    serde_json::from_str(&load).expect("the output is JSON");
                running += load["running"].as_u64().expect("the field is a number");
            }
            if running == wanted {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("{running} requests are running instead of {wanted}");
    }

    /// Address of each entry for callers.
    pub fn entry_addresses(&self) -> BTreeMap<&'static str, String> {
        let entries = self.entries.iter();
        entries
            .map(|(name, (_, address))| (*name, address.clone()))
            .collect()
    }

    /// The key of the caller; empty until one is created.
    pub fn caller_key(&self) -> &str {
        &self.caller_key
    }

    /// The transcript so far.
    pub fn transcript(&self) -> String {
        self.transcript.text()
    }

    /// Names of the logs and of the audit trail if they contain the caller's key.
    pub fn texts_containing_caller_key(&mut self) -> Vec<String> {
        let audit = self.run_operator(&["audit", "--json"]);
        let mut texts = vec![("audit trail".to_owned(), audit)];
        for control in &self.controls {
            texts.push(("control".to_owned(), control.log()));
        }
        for (name, (entry, _)) in &self.entries {
            texts.push((format!("entry in {name}"), entry.log()));
        }
        assert!(!self.caller_key.is_empty(), "no key was created");
        let leaking = texts
            .into_iter()
            .filter(|(_, text)| text.contains(&self.caller_key));
        leaking.map(|(name, _)| name).collect()
    }

    /// Shuts down the entries and control instances and checks their exit codes.
    pub async fn stop(mut self) {
        for (entry, _) in self.entries.values_mut() {
            assert!(entry.terminate(), "an entry did not exit with code 0");
        }
        for control in &mut self.controls {
            assert!(
                control.terminate(),
                "a control instance did not exit with code 0"
            );
        }
    }
}
