//! Control instances as separate processes, which are killed, stopped and continued.
//!
//! Each process is this test program, started to run only [`one_control_instance`].

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

use crate::cluster::ProxyLink;
use crate::cluster::account;
use crate::cluster::fast_settings;
use crate::cluster::name;
use crate::cluster::support;
use crate::cluster::support::ADA;
use crate::cluster::support::Attempts;
use crate::cluster::support::Entry;

const SETTINGS_VARIABLE: &str = "MIMOSA_TEST_CONTROL_INSTANCE";
const INSTANCES: usize = 3;

/// Runs one instance if [`SETTINGS_VARIABLE`] is set; does nothing in a normal test run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_control_instance() {
    let Ok(text) = env::var(SETTINGS_VARIABLE) else {
        return;
    };
    let parameters: Value = serde_json::from_str(&text).unwrap();
    let index = parameters["index"].as_u64().unwrap() as usize;
    let folder = parameters["folder"].as_str().unwrap().to_owned();
    let settings = Settings {
        bootstrap: parameters["bootstrap"] == true,
        ..fast_settings(index, &folder)
    };
    let bound = ControlServer::bind(settings).await.unwrap();
    let mut replicas: BTreeMap<usize, SocketAddr> =
        serde_json::from_value(parameters["links"].clone()).unwrap();
    replicas.insert(index, bound.peer_address());
    let peer = bound.peer_address();
    let replicas = replicas.into_iter().map(|(index, to)| (name(index), to));
    let running = bound.start(replicas.collect()).await.unwrap();
    let (admin, entry) = (running.admin_address(), running.entry_address());
    println!(
        "\n{}",
        json!({"admin": admin, "entry": entry, "peer": peer})
    );
    // The test process holds the other end, so it closes however the test ends.
    let until_closed = || std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
    tokio::task::spawn_blocking(until_closed)
        .await
        .unwrap()
        .ok();
}

/// A running process and its listen addresses.
struct Process {
    child: Child,
    admin: SocketAddr,
    entry: SocketAddr,
}

/// Three processes connected through proxies.
struct Processes {
    folders: Vec<TempDir>,
    links: BTreeMap<(usize, usize), ProxyLink>,
    running: Vec<Option<Process>>,
}

impl Drop for Process {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// Reads the output of a process up to the first JSON object.
fn first_object(mut child: Child) -> (Child, Value) {
    let stdout = BufReader::new(child.stdout.take().unwrap());
    let reported = stdout
        .lines()
        .find_map(|line| serde_json::from_str(&line.unwrap()).ok())
        .expect("the process prints its addresses");
    (child, reported)
}

impl Processes {
    async fn start() -> Self {
        // Replaced once the instance has reported its port.
        let placeholder = SocketAddr::from(([127, 0, 0, 1], 9));
        let mut links = BTreeMap::new();
        for from in 0..INSTANCES {
            for to in (0..INSTANCES).filter(|to| *to != from) {
                links.insert((from, to), ProxyLink::to(placeholder).await);
            }
        }
        let folders = (0..INSTANCES).map(|_| tempfile::tempdir().unwrap());
        let mut processes = Self {
            folders: folders.collect(),
            links,
            running: (0..INSTANCES).map(|_| None).collect(),
        };
        for index in 0..INSTANCES {
            processes.spawn(index, index == 0).await;
        }
        let mut attempts = Attempts::default();
        for index in 0..INSTANCES {
            while processes.status(index).await["replica"]["votes"] != true {
                attempts.pause().await;
            }
        }
        processes
    }

    async fn spawn(&mut self, index: usize, bootstrap: bool) {
        let links: BTreeMap<usize, SocketAddr> = (0..INSTANCES)
            .filter_map(|to| Some((to, self.links.get(&(index, to))?.address())))
            .collect();
        let folder = self.folders[index].path();
        let parameters =
            json!({"index": index, "folder": folder, "bootstrap": bootstrap, "links": links});
        let child = Command::new(env::current_exe().unwrap())
            .args(["one_control_instance", "--exact", "--nocapture"])
            .env(SETTINGS_VARIABLE, parameters.to_string())
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let (child, reported) = tokio::task::spawn_blocking(move || first_object(child))
            .await
            .unwrap();
        let address = |port: &str| reported[port].as_str().unwrap().parse().unwrap();
        self.links
            .iter()
            .filter(|((_, to), _)| *to == index)
            .for_each(|(_, link)| link.redirect_to(address("peer")));
        self.running[index] = Some(Process {
            child,
            admin: address("admin"),
            entry: address("entry"),
        });
    }

    fn process(&self, index: usize) -> &Process {
        self.running[index].as_ref().unwrap()
    }

    /// Sends SIGKILL and waits until the process has ended.
    async fn kill(&mut self, index: usize) {
        let process = self.running[index].take();
        tokio::task::spawn_blocking(move || drop(process))
            .await
            .unwrap();
    }

    /// Sends a signal by its name.
    fn signal(&self, index: usize, name: &str) {
        let pid = self.process(index).child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &pid]).status();
        assert!(sent.unwrap().success());
    }

    async fn status(&self, index: usize) -> Value {
        let answer = support::try_call(
            self.process(index).admin,
            ADA,
            "GET /v1/status",
            &Value::Null,
        );
        answer.await.map_or(Value::Null, |(_, status)| status)
    }

    /// Waits until one of some instances leads and proves that it is current.
    async fn leader(&self, among: &[usize]) -> usize {
        let mut attempts = Attempts::default();
        loop {
            for index in among {
                let status = self.status(*index).await;
                if status["replica"]["role"] == "leader" && status["current"] == true {
                    return *index;
                }
            }
            attempts.pause().await;
        }
    }

    /// Sends an order to some instances in turn until one answers with status 200.
    async fn order(&self, among: &[usize], line: &str, body: Value) -> Value {
        let mut attempts = Attempts::default();
        loop {
            for index in among.iter().filter(|index| self.running[**index].is_some()) {
                match support::try_call(self.process(*index).admin, ADA, line, &body).await {
                    Some((200, answer)) => return answer,
                    Some((503, _)) | None => {}
                    Some((status, answer)) => panic!("{line} {body}: {status} {answer}"),
                }
            }
            attempts.pause().await;
        }
    }

    async fn plan_and_confirm(&self, among: &[usize], number: u64, intent: Value) -> Value {
        let body = json!({ "number": number, "intent": intent });
        let plan = self.order(among, "POST /v1/plans", body).await;
        let line = format!("POST /v1/plans/{}/confirm", plan["plan"]);
        self.order(among, &line, json!({ "number": number + 1 }))
            .await
    }
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killing_the_leader_at_any_step_of_a_change_neither_loses_nor_repeats_it() {
    let all = [0, 1, 2];
    let mut processes = Processes::start().await;
    for (index, step) in ["before", "planned", "confirmed"].into_iter().enumerate() {
        let number = 10 * (index as u64 + 1);
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
        expect_that!(again["revision"], eq(&json!(index + 1)), "{step}");
        processes.spawn(leader, false).await;
    }
    let line = "GET /v1/audit";
    let audit = processes.order(&all, line, Value::Null).await;
    expect_that!(audit["last"], eq(&json!(6)));
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn paused_leader_serves_no_stale_state_after_it_resumes() {
    let all = [0, 1, 2];
    let processes = Processes::start().await;
    processes.plan_and_confirm(&all, 10, account(1)).await;
    let old = processes.leader(&all).await;
    let mut entry = Entry::connect(processes.process(old).entry, "entry-1", "east", 0).await;
    expect_that!(entry.proof().await.get(), eq(1));
    processes.signal(old, "STOP");
    let others: Vec<usize> = all.into_iter().filter(|index| *index != old).collect();
    processes.leader(&others).await;
    processes.plan_and_confirm(&others, 20, account(2)).await;
    // These reads wait at the stopped process and are answered when it continues.
    let admin = processes.process(old).admin;
    let reads: Vec<_> = (0..20)
        .map(|_| tokio::spawn(support::read_configuration(admin)))
        .collect();
    let order = json!({ "number": 20, "intent": account(2) });
    processes.signal(old, "CONT");
    let resent = support::call(admin, ADA, "POST /v1/plans", &order).await;
    for read in reads {
        let (status, answer) = read.await.unwrap();
        let is_refused_or_current = status == 503 || answer["revision"] == 2;
        expect_true!(is_refused_or_current, "{status} {answer}");
    }
    // The resent order gets the first answer, from the current leader.
    expect_that!(resent.1["plan"], eq(&json!(2)), "{resent:?}");
    // Proofs from before the stop may still be in the socket buffer. Revisions never decrease, and
    // the new revision arrives eventually.
    let mut seen = 1;
    while seen < 2 {
        let proof = entry.proof().await.get();
        expect_that!(proof, ge(seen));
        seen = proof;
    }
}
