//! Deployments, scenarios and seeded arrivals.

use std::time::Duration;

use mimosa_protocol::AccountId;
use mimosa_protocol::ByteRate;
use mimosa_protocol::ByteSize;
use mimosa_protocol::DataCentreId;
use mimosa_protocol::EndpointId;
use mimosa_protocol::KvBlocks;
use mimosa_protocol::ServiceId;
use mimosa_protocol::Timestamp;
use mimosa_protocol::TokenRate;
use mimosa_protocol::Tokens;
use mimosa_protocol::configuration::Capacity;
use mimosa_protocol::configuration::DataCentre;
use mimosa_protocol::configuration::DataCentreState;
use mimosa_protocol::configuration::Endpoint;
use mimosa_protocol::configuration::EndpointRole;
use mimosa_protocol::configuration::EndpointState;
use mimosa_protocol::configuration::Service;
use mimosa_protocol::configuration::ServiceKind;
use mimosa_schedule::event::View;

use crate::random::Random;

/// Shares of the five accounts in the arrivals.
pub const ACCOUNT_SHARES: [f64; 5] = [0.40, 0.30, 0.15, 0.10, 0.05];
/// Account that exceeds its rate in the scenario with faults.
pub const NOISY_ACCOUNT: usize = 2;
/// Factor by which the arrivals of the noisy account increase.
const NOISE_FACTOR: f64 = 4.0;
/// Ratio of the rate limit of an account to its mean load.
const RATE_HEADROOM: f64 = 1.3;
/// Arrivals before this time are not scored because endpoints start cold.
pub const WARM_UP: Timestamp = Timestamp::from_secs(30);
/// End of the arrivals.
pub const END: Timestamp = Timestamp::from_secs(270);
/// Time in which the noisy account exceeds its rate.
pub const NOISE_SPAN: (Timestamp, Timestamp) =
    (Timestamp::from_secs(60), Timestamp::from_secs(120));
/// Time at which one decode endpoint becomes cold without notice.
pub const COLD_TIME: Timestamp = Timestamp::from_secs(140);
/// Time in which a data centre is out of service.
pub const OUT_SPAN: (Timestamp, Timestamp) = (Timestamp::from_secs(170), Timestamp::from_secs(220));

/// A deployment with its workload.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub name: &'static str,
    /// Numbers of prefill and decode endpoints in each data centre.
    pub data_centres: Vec<(usize, usize)>,
    pub first_token_target: Duration,
    pub token_gap_target: Duration,
    pub max_queue_time: Duration,
    pub capacity: Capacity,
    /// Median, sigma and limits of the log-normal prompt length, in tokens.
    prompt: (f64, f64, (f64, f64)),
    /// Median, sigma and limits of the log-normal output length, in tokens.
    output: (f64, f64, (f64, f64)),
    max_output: u64,
}

/// Load and faults of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scenario {
    pub name: &'static str,
    /// Ratio of the offered output tokens to the capacity of the decode endpoints.
    pub load: f64,
    /// Whether an account exceeds its rate, an endpoint becomes cold and a data centre is
    /// temporarily out of service.
    pub faults: bool,
}

/// One request of a trace.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Timestamp,
    pub account: usize,
    /// Random position in `0..1` by which the load balancer selects the data centre and the entry.
    pub balancer_position: f64,
    pub prompt: Tokens,
    pub output: Tokens,
    pub max_output: Tokens,
    pub prefix: Vec<u64>,
}

/// Arrivals and the rate limits of the accounts in tokens per second.
#[derive(Clone, Debug)]
pub struct Trace {
    pub arrivals: Vec<Arrival>,
    pub rates: Vec<f64>,
}

pub fn kembang() -> Deployment {
    Deployment {
        name: "Kembang Tekan",
        data_centres: vec![(1, 2), (1, 2), (1, 1), (1, 1)],
        first_token_target: Duration::from_millis(1_500),
        token_gap_target: Duration::from_millis(40),
        max_queue_time: Duration::from_secs(3),
        capacity: capacity(54),
        prompt: (6_000.0, 0.6, (500.0, 24_000.0)),
        output: (180.0, 0.5, (20.0, 600.0)),
        max_output: 512,
    }
}

pub fn wisla() -> Deployment {
    Deployment {
        name: "Wisła",
        data_centres: vec![(1, 3), (1, 2), (1, 2)],
        first_token_target: Duration::from_secs(10),
        token_gap_target: Duration::from_millis(60),
        max_queue_time: Duration::from_secs(30),
        capacity: capacity(80),
        prompt: (11_000.0, 0.5, (2_000.0, 48_000.0)),
        output: (450.0, 0.4, (80.0, 1_300.0)),
        max_output: 1_200,
    }
}

pub const SCENARIOS: [Scenario; 4] = [
    Scenario {
        name: "70% load",
        load: 0.7,
        faults: false,
    },
    Scenario {
        name: "90% load",
        load: 0.9,
        faults: false,
    },
    Scenario {
        name: "200% load",
        load: 2.0,
        faults: false,
    },
    Scenario {
        name: "90% load, faults",
        load: 0.9,
        faults: true,
    },
];

fn capacity(blocks: u64) -> Capacity {
    Capacity {
        blocks: KvBlocks(blocks),
        tokens_per_block: Tokens(4_096),
        concurrency: 20,
        prefill_rate: TokenRate(60_000),
        token_gap: Duration::from_millis(20),
        bytes_per_token: ByteSize(100_000),
        prefill_life: Duration::from_millis(800),
    }
}

impl Deployment {
    pub fn view(&self, index: usize, state: DataCentreState) -> View {
        let service = "model"
            .parse::<ServiceId>()
            .expect("the name is well-formed");
        let data_centre = DataCentre {
            id: format!("dc{index}")
                .parse()
                .expect("the name is well-formed"),
            state,
            link_rate: ByteRate(10_000_000_000),
        };
        let (prefill, decode) = self.data_centres[index];
        let endpoint = |role, i| Endpoint {
            capacity: self.capacity,
            ..endpoint(&service, &data_centre.id, role, i)
        };
        let prefill = (0..prefill).map(|i| endpoint(EndpointRole::Prefill, i));
        let decode = (0..decode).map(|i| endpoint(EndpointRole::Decode, i));
        View {
            endpoints: prefill.chain(decode).collect(),
            service: Service {
                id: service.clone(),
                kind: ServiceKind::Model,
                open: false,
                first_token_target: self.first_token_target,
                token_gap_target: self.token_gap_target,
                max_queue_time: self.max_queue_time,
            },
            data_centre: data_centre.clone(),
        }
    }

    /// Tokens per second of all decode endpoints at full batches.
    pub fn token_rate(&self) -> f64 {
        let decode: usize = self.data_centres.iter().map(|(_, decode)| decode).sum();
        decode as f64 * crate::engine::full_rate(&self.capacity)
    }

    pub fn trace(&self, scenario: Scenario, seed: u64) -> Trace {
        let mut random = Random::new(seed);
        let mut sizes = Random::new(seed ^ 0x5eed);
        let sample = |random: &mut Random| {
            let (median, sigma, limits) = self.output;
            random.log_normal(median, sigma, limits)
        };
        let mean_output = (0..10_000).map(|_| sample(&mut sizes)).sum::<f64>() / 10_000.0;
        let rate = self.token_rate() * scenario.load / mean_output;
        let mut now = 0.0;
        let mut arrivals = Vec::new();
        loop {
            let shares = shares_at(scenario, now);
            let total: f64 = shares.iter().sum();
            now += random.exponential(1.0 / (rate * total));
            let at = Timestamp((now * 1e6) as u64);
            if at > END {
                break;
            }
            let account = random.pick(&shares);
            let arrival = self.arrival(&mut random, at, account);
            arrivals.push(arrival);
        }
        Trace {
            rates: self.rates(rate, mean_output),
            arrivals,
        }
    }

    fn arrival(&self, random: &mut Random, at: Timestamp, account: usize) -> Arrival {
        let (median, sigma, limits) = self.prompt;
        let prompt = random.log_normal(median, sigma, limits) as u64;
        let (median, sigma, limits) = self.output;
        let output = random.log_normal(median, sigma, limits) as u64;
        let shared = random.unit() < 0.3;
        let prefix_family = random.bits() % 40;
        let unique_prefix = random.bits();
        let chain = (0..prompt / 4_096).map(|i| {
            let is_shared = shared && i < 2;
            if is_shared {
                prefix_family * 16 + i
            } else {
                unique_prefix ^ i
            }
        });
        Arrival {
            at,
            account,
            balancer_position: random.unit(),
            prompt: Tokens(prompt),
            output: Tokens(output),
            max_output: Tokens(self.max_output),
            prefix: chain.collect(),
        }
    }

    /// Rate limit of each account in prompt and output tokens per second.
    fn rates(&self, requests: f64, mean_output: f64) -> Vec<f64> {
        let (median, sigma, _) = self.prompt;
        let mean_prompt = median * (sigma * sigma / 2.0_f64).exp();
        let cost = mean_prompt + mean_output;
        let rate = |share: &f64| share * requests * cost * RATE_HEADROOM;
        ACCOUNT_SHARES.iter().map(rate).collect()
    }
}

fn shares_at(scenario: Scenario, now: f64) -> Vec<f64> {
    let at = Timestamp((now * 1e6) as u64);
    let noisy = scenario.faults && at >= NOISE_SPAN.0 && at < NOISE_SPAN.1;
    let mut shares = ACCOUNT_SHARES.to_vec();
    if noisy {
        shares[NOISY_ACCOUNT] *= NOISE_FACTOR;
    }
    shares
}

pub fn account(i: usize) -> AccountId {
    format!("account-{i}")
        .parse()
        .expect("the name is well-formed")
}

fn endpoint(
    service: &ServiceId,
    data_centre: &DataCentreId,
    role: EndpointRole,
    i: usize,
) -> Endpoint {
    let kind = match role {
        EndpointRole::Prefill => "prefill",
        EndpointRole::Decode => "decode",
        EndpointRole::Plain => "plain",
    };
    let id: EndpointId = format!("{data_centre}-{kind}-{i}")
        .parse()
        .expect("the name is well-formed");
    Endpoint {
        id,
        service: service.clone(),
        data_centre: data_centre.clone(),
        address: ([127, 0, 0, 1], 1).into(),
        role,
        state: EndpointState::Active,
        capacity: Capacity::default(),
        checks_fencing: false,
    }
}
