//! Control instances as processes of their own, which are killed, stopped and continued.
//!
//! Each one is this very test program, started to run [`one_control_instance`] alone.

mod cluster;

use std::collections::BTreeMap;
use std::env;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use googletest::prelude::*;
use mimosa_control::ControlServer;
use mimosa_control::Settings;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;

use crate::cluster::Link;
use crate::cluster::account;
use crate::cluster::fast_settings;
use crate::cluster::name;
use crate::cluster::support;
use crate::cluster::support::ADA;
use crate::cluster::support::Entry;
use crate::cluster::support::Looks;

const SETTINGS_VARIABLE: &str = "MIMOSA_TEST_CONTROL_INSTANCE";
const INSTANCES: usize = 3;

/// Runs one instance if the environment says so; as a test of its own it does nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_control_instance() {
    let Ok(text) = env::var(SETTINGS_VARIABLE) else {
        return;
    };
    let given: Value = serde_json::from_str(&text).unwrap();
    let at = given["at"].as_u64().unwrap() as usize;
    let folder = given["folder"].as_str().unwrap().to_owned();
    let settings = Settings {
        bootstrap: given["found"] == true,
        ..fast_settings(at, &folder)
    };
    let bound = ControlServer::bind(settings).await.unwrap();
    let mut replicas: BTreeMap<usize, SocketAddr> =
        serde_json::from_value(given["links"].clone()).unwrap();
    replicas.insert(at, bound.peer_address());
    let peer = bound.peer_address();
    let replicas = replicas.into_iter().map(|(at, to)| (name(at), to));
    let running = bound.start(replicas.collect()).await.unwrap();
    let (admin, entry) = (running.admin_address(), running.entry_address());
    println!(
        "\n{}",
        json!({"admin": admin, "entry": entry, "peer": peer})
    );
    // The other end closes when the test ends, in whichever way.
    let until_closed = || std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
    tokio::task::spawn_blocking(until_closed)
        .await
        .unwrap()
        .ok();
}

/// One process and where it listens.
struct Process {
    child: Child,
    admin: SocketAddr,
    entry: SocketAddr,
}

/// Three processes with links between them.
struct Processes {
    folders: Vec<TempDir>,
    links: BTreeMap<(usize, usize), Link>,
    running: Vec<Option<Process>>,
}

impl Drop for Process {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// Reads what a process prints up to its first JSON object.
fn first_object(mut child: Child) -> (Child, Value) {
    let stdout = BufReader::new(child.stdout.take().unwrap());
    let told = stdout
        .lines()
        .find_map(|line| serde_json::from_str(&line.unwrap()).ok())
        .expect("the process says where it listens");
    (child, told)
}

impl Processes {
    async fn start() -> Self {
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
        let mut links = BTreeMap::new();
        for from in 0..INSTANCES {
            for to in (0..INSTANCES).filter(|to| *to != from) {
                links.insert((from, to), Link::to(nowhere).await);
            }
        }
        let folders = (0..INSTANCES).map(|_| tempfile::tempdir().unwrap());
        let mut processes = Self {
            folders: folders.collect(),
            links,
            running: (0..INSTANCES).map(|_| None).collect(),
        };
        for at in 0..INSTANCES {
            processes.spawn(at, at == 0).await;
        }
        let mut looks = Looks::default();
        for at in 0..INSTANCES {
            while processes.status(at).await["replica"]["votes"] != true {
                looks.pause().await;
            }
        }
        processes
    }

    async fn spawn(&mut self, at: usize, found: bool) {
        let links: BTreeMap<usize, SocketAddr> = (0..INSTANCES)
            .filter_map(|to| Some((to, self.links.get(&(at, to))?.address())))
            .collect();
        let folder = self.folders[at].path();
        let given = json!({"at": at, "folder": folder, "found": found, "links": links});
        let child = Command::new(env::current_exe().unwrap())
            .args(["one_control_instance", "--exact", "--nocapture"])
            .env(SETTINGS_VARIABLE, given.to_string())
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let (child, told) = tokio::task::spawn_blocking(move || first_object(child))
            .await
            .unwrap();
        let address = |word: &str| told[word].as_str().unwrap().parse().unwrap();
        self.links
            .iter()
            .filter(|((_, to), _)| *to == at)
            .for_each(|(_, link)| link.lead_to(address("peer")));
        self.running[at] = Some(Process {
            child,
            admin: address("admin"),
            entry: address("entry"),
        });
    }

    fn at(&self, at: usize) -> &Process {
        self.running[at].as_ref().unwrap()
    }

    /// `kill -9`, and waits until the process is gone.
    async fn kill(&mut self, at: usize) {
        let process = self.running[at].take();
        tokio::task::spawn_blocking(move || drop(process))
            .await
            .unwrap();
    }

    /// Sends a signal by its name.
    fn signal(&self, at: usize, name: &str) {
        let pid = self.at(at).child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &pid]).status();
        assert!(sent.unwrap().success());
    }

    async fn status(&self, at: usize) -> Value {
        let answer = support::try_call(self.at(at).admin, ADA, "GET /v1/status", &Value::Null);
        answer.await.map_or(Value::Null, |(_, status)| status)
    }

    /// The instance that leads and proves it, out of some.
    async fn leader(&self, among: &[usize]) -> usize {
        let mut looks = Looks::default();
        loop {
            for at in among {
                let status = self.status(*at).await;
                if status["replica"]["role"] == "leader" && status["current"] == true {
                    return *at;
                }
            }
            looks.pause().await;
        }
    }

    /// Gives an order to some instances in turn until one answers for good.
    async fn order(&self, among: &[usize], line: &str, body: Value) -> Value {
        let mut looks = Looks::default();
        loop {
            for at in among.iter().filter(|at| self.running[**at].is_some()) {
                match support::try_call(self.at(*at).admin, ADA, line, &body).await {
                    Some((200, answer)) => return answer,
                    Some((503, _)) | None => {}
                    Some((status, answer)) => panic!("{line} {body}: {status} {answer}"),
                }
            }
            looks.pause().await;
        }
    }

    async fn accept(&self, among: &[usize], number: u64, intent: Value) -> Value {
        let body = json!({ "number": number, "intent": intent });
        let plan = self.order(among, "POST /v1/plans", body).await;
        let line = format!("POST /v1/plans/{}/confirm", plan["plan"]);
        self.order(among, &line, json!({ "number": number + 1 }))
            .await
    }
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn kill_9_of_the_leader_at_each_step_of_a_change_loses_and_doubles_nothing() {
    let all = [0, 1, 2];
    let mut processes = Processes::start().await;
    for (at, step) in ["before", "planned", "confirmed"].into_iter().enumerate() {
        let number = 10 * (at as u64 + 1);
        let leader = processes.leader(&all).await;
        let body = json!({ "number": number, "intent": account(number) });
        if step == "before" {
            processes.kill(leader).await;
        }
        let plan = processes.order(&all, "POST /v1/plans", body).await;
        if step == "planned" {
            processes.kill(leader).await;
        }
        let line = format!("POST /v1/plans/{}/confirm", plan["plan"]);
        let body = json!({ "number": number + 1 });
        let first = processes.order(&all, &line, body.clone()).await;
        if step == "confirmed" {
            processes.kill(leader).await;
        }
        let again = processes.order(&all, &line, body).await;
        expect_that!(again["revision"], eq(&first["revision"]), "{step}");
        expect_that!(again["revision"], eq(&json!(at + 1)), "{step}");
        processes.spawn(leader, false).await;
    }
    let line = "GET /v1/audit";
    let audit = processes.order(&all, line, Value::Null).await;
    expect_that!(audit["last"], eq(&json!(6)));
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leader_that_was_stopped_tells_nothing_old_when_it_goes_on() {
    let all = [0, 1, 2];
    let processes = Processes::start().await;
    processes.accept(&all, 10, account(1)).await;
    let old = processes.leader(&all).await;
    let mut entry = Entry::connect(processes.at(old).entry, "entry-1", "east", 0).await;
    expect_that!(entry.proof().await.get(), eq(1));
    processes.signal(old, "STOP");
    let others: Vec<usize> = all.into_iter().filter(|at| *at != old).collect();
    processes.leader(&others).await;
    processes.accept(&others, 20, account(2)).await;
    // These wait at the stopped process and are answered when it goes on.
    let admin = processes.at(old).admin;
    let reads: Vec<_> = (0..20)
        .map(|_| tokio::spawn(support::call_configuration(admin)))
        .collect();
    let order = json!({ "number": 20, "intent": account(2) });
    processes.signal(old, "CONT");
    let resent = support::call(admin, ADA, "POST /v1/plans", &order).await;
    for read in reads {
        let (status, answer) = read.await.unwrap();
        let is_true = status == 503 || answer["revision"] == 2;
        expect_true!(is_true, "{status} {answer}");
    }
    // The resend gets the first answer, from whoever leads now.
    expect_that!(resent.1["plan"], eq(&json!(2)), "{resent:?}");
    // Proofs from before the stop may still lie in the entry's socket; the first one that names
    // the new revision comes after the change itself, and none falls back.
    let mut seen = 1;
    while seen < 2 {
        let proof = entry.proof().await.get();
        expect_that!(proof, ge(seen));
        seen = proof;
    }
}
