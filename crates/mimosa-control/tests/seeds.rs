//! Control instances that discover each other from seeds, as real servers on loopback addresses.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use mimosa_consensus::VoterPolicy;
use mimosa_control::BoundServer;
use mimosa_control::ControlServer;
use mimosa_control::Running;
use mimosa_control::Settings;
use mimosa_control::settings::Discovery;
use mimosa_protocol::InstanceId;
use serde_json::Value;
use tempfile::TempDir;
use tokio::time::sleep;
use tokio::time::timeout;

#[path = "support.rs"]
mod support;

use support::ADA;

const INSTANCES: usize = 6;
const VOTERS: usize = 3;
const SEEDS: [usize; VOTERS] = [3, 4, 5];
/// Time in which a core that is whole again must be led, with the change of members that a step waits for.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// First of the loopback addresses. None of them is the source of an outgoing connection, so that an
/// address is free again when its instance restarts.
const FIRST_ADDRESS: u8 = 11;

/// Instances that are named by their addresses and share a peer port. The last ones are the seeds: a leader
/// prefers the first names for a vote, so that the seeds lose theirs.
struct Core {
    settings: Vec<Settings>,
    running: Vec<Option<Running>>,
    _folders: Vec<TempDir>,
}

fn address(index: usize) -> IpAddr {
    let last = FIRST_ADDRESS + u8::try_from(index).unwrap();
    IpAddr::V4(Ipv4Addr::new(127, 0, 0, last))
}

fn name(index: usize) -> InstanceId {
    address(index).to_string().parse().unwrap()
}

fn settings(index: usize, port: u16, folder: &TempDir) -> Settings {
    let seeds: BTreeSet<_> = SEEDS.map(name).into();
    Settings {
        instance: name(index),
        peer_listen: SocketAddr::new(address(index), port),
        bootstrap: SEEDS.contains(&index),
        initial_voters: seeds.clone(),
        discovery: Some(Discovery { seeds, port }),
        voter_policy: Some(VoterPolicy {
            voters: VOTERS,
            replace_voter_after: Duration::from_millis(800),
            remove_learner_after: Duration::from_secs(30),
        }),
        election_timeout: Duration::from_millis(400),
        replica_heartbeat: Duration::from_millis(50),
        propose_timeout: Duration::from_millis(300),
        ..support::settings(folder.path())
    }
}

/// Binds all instances to one port, or returns `None` if it is in use on one of the addresses.
async fn bind_all(port: u16, folders: &[TempDir]) -> Option<Vec<(Settings, BoundServer)>> {
    let mut bound = Vec::new();
    for (index, folder) in folders.iter().enumerate() {
        let settings = settings(index, port, folder);
        let server = ControlServer::bind(settings.clone()).await.ok()?;
        bound.push((settings, server));
    }
    Some(bound)
}

impl Core {
    async fn start() -> Self {
        let folders: Vec<_> = (0..INSTANCES)
            .map(|_| tempfile::tempdir().unwrap())
            .collect();
        let bound = loop {
            let free = std::net::TcpListener::bind((address(0), 0)).unwrap();
            let port = free.local_addr().unwrap().port();
            drop(free);
            if let Some(bound) = bind_all(port, &folders).await {
                break bound;
            }
        };
        let mut core = Self {
            settings: Vec::new(),
            running: Vec::new(),
            _folders: folders,
        };
        for (settings, server) in bound {
            let running = server.start(Default::default()).await.unwrap();
            core.settings.push(Settings {
                bootstrap: false,
                ..settings
            });
            core.running.push(Some(running));
        }
        core
    }

    async fn kill(&mut self, index: usize) {
        self.running[index].take().unwrap().kill().await;
    }

    async fn restart(&mut self, index: usize) {
        let bound = ControlServer::bind(self.settings[index].clone()).await;
        let running = bound.unwrap().start(Default::default()).await.unwrap();
        self.running[index] = Some(running);
    }

    async fn status(&self, index: usize) -> Value {
        let admin = self.running[index].as_ref().unwrap().admin_address();
        let (_, answer) = support::call(admin, ADA, "GET /v1/status", &Value::Null).await;
        answer["replica"].clone()
    }

    /// Waits until an instance leads, and the committed members fulfil a condition.
    async fn wait_until_led(&self, step: &str, condition: impl Fn(&Members) -> bool) {
        let led = timeout(RECOVERY_TIME, async {
            while !self.is_led(&condition).await {
                sleep(POLL_INTERVAL).await;
            }
        });
        assert!(
            led.await.is_ok(),
            "{step}: no leader within {RECOVERY_TIME:?}"
        );
    }

    async fn is_led(&self, condition: impl Fn(&Members) -> bool) -> bool {
        for index in (0..INSTANCES).filter(|index| self.running[*index].is_some()) {
            let status = self.status(index).await;
            if status["role"] == "leader" && condition(&Members::read(&status)) {
                return true;
            }
        }
        false
    }
}

struct Members {
    voters: Vec<String>,
    learners: Vec<String>,
}

impl Members {
    fn read(status: &Value) -> Self {
        let names = |field: &str| {
            let names = status[field].as_array().unwrap().iter();
            names
                .map(|name| name.as_str().unwrap().to_owned())
                .collect()
        };
        Self {
            voters: names("voters"),
            learners: names("learners"),
        }
    }

    fn all_vote_or_learn(&self) -> bool {
        self.voters.len() == VOTERS && self.voters.len() + self.learners.len() == INSTANCES
    }
}

/// Guards against a core without a leader after a restart of all, as its voters connect to seeds without a
/// vote and not to each other.
#[tokio::test(flavor = "multi_thread")]
async fn control_instances_elect_a_leader_after_a_restart_although_no_seed_votes() {
    let mut core = Core::start().await;
    core.wait_until_led("first start", Members::all_vote_or_learn)
        .await;
    for seed in SEEDS {
        core.kill(seed).await;
        let lost = name(seed).to_string();
        core.wait_until_led("a seed is down", |members| {
            members.voters.len() == VOTERS && !members.voters.contains(&lost)
        })
        .await;
        core.restart(seed).await;
        core.wait_until_led("a seed is back", Members::all_vote_or_learn)
            .await;
    }
    for index in 0..INSTANCES {
        core.kill(index).await;
    }
    for index in 0..INSTANCES {
        core.restart(index).await;
    }
    core.wait_until_led("all restarted", |members| {
        let is_seed = |voter: &String| {
            SEEDS
                .into_iter()
                .any(|seed| name(seed).as_str() == voter.as_str())
        };
        assert_that!(members.voters.iter().any(is_seed), eq(false));
        members.all_vote_or_learn()
    })
    .await;
}
