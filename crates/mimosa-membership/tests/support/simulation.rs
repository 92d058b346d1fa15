//! Simulates the entries of a data centre on an unreliable network, in one thread with a manual
//! clock. The simulation only delivers packets and lists; the entries make all decisions.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use mimosa_membership::Action;
use mimosa_membership::Event;
use mimosa_membership::Identity;
use mimosa_membership::Membership;
use mimosa_membership::NotActing;
use mimosa_membership::Role;
use mimosa_membership::Settings;
use mimosa_membership::message::Message;
use mimosa_membership::message::Report;
use mimosa_membership::peers::ListedInstance;
use mimosa_membership::peers::PlatformList;
use mimosa_protocol::Epoch;
use mimosa_protocol::Incarnation;
use mimosa_protocol::InstanceId;
use mimosa_protocol::Timestamp;

pub const STEP_MILLIS: u64 = 50;

/// The SplitMix64 random number generator.
pub struct Random(pub u64);

impl Random {
    pub fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % limit
    }
}

pub struct Process {
    pub membership: Membership,
    pub incarnation: u64,
    pub paused_until: u64,
    /// The network partition; only processes of the same partition reach each other.
    pub partition: u8,
    pub report: Report,
    pub listed: bool,
    /// Added to the simulated time to get the time of this process's clock.
    skew_millis: u64,
}

struct Packet {
    due: u64,
    from: usize,
    to: SocketAddr,
    message: Message,
}

pub struct Simulation {
    pub millis: u64,
    pub processes: Vec<Process>,
    pub random: Random,
    pub loss_percent: u64,
    pub log: Vec<String>,
    settings: Settings,
    packets: Vec<Packet>,
}

pub fn instance(index: usize) -> InstanceId {
    format!("entry-{}", index + 1).parse().unwrap()
}

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_001 + index as u16))
}

impl Simulation {
    pub fn new(size: usize, seed: u64, settings: Settings) -> Self {
        let mut random = Random(seed);
        let processes = (0..size)
            .map(|index| Process {
                membership: new_membership(index, 1, settings),
                incarnation: 1,
                paused_until: 0,
                partition: 0,
                report: Report::default(),
                listed: true,
                skew_millis: random.below(500),
            })
            .collect();
        Self {
            millis: 0,
            processes,
            random,
            loss_percent: 0,
            log: Vec::new(),
            settings,
            packets: Vec::new(),
        }
    }

    pub fn now(&self, index: usize) -> Timestamp {
        Timestamp::from_millis(1_000_000 + self.millis + self.processes[index].skew_millis)
    }

    pub fn restart(&mut self, index: usize) {
        let process = &mut self.processes[index];
        process.incarnation += 1;
        process.paused_until = 0;
        process.report = Report::default();
        process.membership = new_membership(index, process.incarnation, self.settings);
    }

    pub fn drain(&mut self, index: usize, draining: bool) {
        if self.processes[index].paused_until > self.millis {
            return;
        }
        self.processes[index].report.draining = draining;
        let report = self.processes[index].report;
        self.handle(index, Event::Report(report));
    }

    /// Runs for `time` of simulated time and calls `check` after every step.
    pub fn run(&mut self, time: Duration, mut check: impl FnMut(&Self)) {
        let end = self.millis + u64::try_from(time.as_millis()).unwrap();
        while self.millis < end {
            self.millis += STEP_MILLIS;
            self.deliver();
            let list = self.list();
            for index in 0..self.processes.len() {
                if self.processes[index].paused_until > self.millis {
                    continue;
                }
                if self.millis.is_multiple_of(1_000) {
                    self.handle(index, Event::PlatformList(list.clone()));
                }
                self.handle(index, Event::Tick);
            }
            check(self);
        }
    }

    /// The processes that may act in a role, with their epochs. Also asks paused processes, because
    /// a process may resume at any time and act at once.
    pub fn acting(&self, role: &Role) -> BTreeMap<usize, Epoch> {
        (0..self.processes.len())
            .filter_map(|index| Some((index, self.may_act(index, role).ok()?)))
            .collect()
    }

    pub fn may_act(&self, index: usize, role: &Role) -> Result<Epoch, NotActing> {
        let membership = &self.processes[index].membership;
        membership.may_act(self.now(index), role)
    }

    pub fn handle(&mut self, index: usize, event: Event) {
        let now = self.now(index);
        for action in self.processes[index].membership.handle(now, event) {
            match action {
                Action::Send { to, message } => self.send(index, to, message),
                other => self.log_action(index, &other),
            }
        }
    }

    fn list(&self) -> PlatformList {
        self.processes
            .iter()
            .enumerate()
            .filter(|(_, process)| process.listed)
            .map(|(index, _)| {
                let listed = ListedInstance {
                    address: address(index),
                    leaving: false,
                };
                (instance(index), listed)
            })
            .collect()
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        // One packet in ten is duplicated. Each copy has its own delay, so packets are reordered.
        let copies = 1 + u64::from(self.random.below(10) == 0 && self.loss_percent > 0);
        for _ in 0..copies {
            if self.random.below(100) >= self.loss_percent {
                let max_delay_millis = if self.loss_percent > 0 { 400 } else { 20 };
                let due = self.millis + 1 + self.random.below(max_delay_millis);
                self.packets.push(Packet {
                    due,
                    from,
                    to,
                    message: message.clone(),
                });
            }
        }
    }

    fn deliver(&mut self) {
        let packets = std::mem::take(&mut self.packets);
        for packet in packets {
            let to = (0..self.processes.len()).find(|index| address(*index) == packet.to);
            let Some(to) = to else { continue };
            let paused = self.processes[to].paused_until > self.millis;
            if packet.due > self.millis || paused {
                self.packets.push(packet);
            } else if self.processes[packet.from].partition == self.processes[to].partition {
                let from = address(packet.from);
                let message = packet.message;
                self.handle(to, Event::Received { from, message });
            }
        }
    }

    fn log_action(&mut self, index: usize, action: &Action) {
        let text = match action {
            Action::ViewInstalled(view) => {
                let members: Vec<String> = view
                    .members
                    .iter()
                    .map(|(id, member)| {
                        let mark = if member.eligible { "" } else { " (votes only)" };
                        format!("{id}#{}{mark}", member.incarnation)
                    })
                    .collect();
                let clock_start = 1_000_000;
                let epoch = view.epoch.get().saturating_sub(clock_start);
                format!("installs view +{epoch}: {}", members.join(", "))
            }
            Action::PeerState { instance, state } => format!("finds {instance} {state:?}"),
            other => format!("{other:?}"),
        };
        let incarnation = self.processes[index].incarnation;
        self.log.push(format!(
            "{:>6} ms {}#{incarnation} {text}",
            self.millis,
            instance(index)
        ));
    }
}

fn new_membership(index: usize, incarnation: u64, settings: Settings) -> Membership {
    let identity = Identity {
        instance: instance(index),
        incarnation: Incarnation(incarnation),
    };
    Membership::new(identity, "harbour".parse().unwrap(), settings)
}
