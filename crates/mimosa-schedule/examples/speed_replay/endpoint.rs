//! A simulated endpoint that shares its machine with other workloads.

use std::collections::VecDeque;

/// Mean time between the starts of two slow episodes, in ms: 15% of the time is slow.
const EPISODE_INTERVAL_MS: f64 = 4_000.0;
const EPISODE_MS: f64 = 600.0;
const EPISODE_FACTOR: f64 = 2.5;
/// Delay of the figure that the endpoint states about itself.
const PERCENT_DELAY_MS: f64 = 50.0;

/// A request at an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    pub gateway: usize,
    pub sent_ms: f64,
    pub work_left: f64,
}

/// Speed of a machine: a factor of its own, and episodes in which other workloads use it.
pub struct Noise {
    factor: f64,
    episode_end_ms: f64,
    next_episode_ms: f64,
    current: f64,
    stated: f64,
    pending: Option<(f64, f64)>,
}

impl Noise {
    pub fn new(factor: f64, random: f64) -> Self {
        Self {
            factor,
            episode_end_ms: 0.0,
            next_episode_ms: random * EPISODE_INTERVAL_MS,
            current: factor,
            stated: factor,
            pending: None,
        }
    }

    /// How many times as long work takes now.
    pub fn factor(&mut self, now_ms: f64, random: impl FnOnce() -> f64) -> f64 {
        if now_ms >= self.next_episode_ms {
            self.episode_end_ms = now_ms + EPISODE_MS;
            let pause = EPISODE_INTERVAL_MS - EPISODE_MS;
            self.next_episode_ms = now_ms + EPISODE_MS - (1.0 - random()).ln() * pause;
        }
        let is_slow = now_ms < self.episode_end_ms;
        let current = self.factor * if is_slow { EPISODE_FACTOR } else { 1.0 };
        if current != self.current {
            self.current = current;
            self.pending = Some((now_ms + PERCENT_DELAY_MS, current));
        }
        if let Some((_, stated)) = self.pending.take_if(|(at, _)| now_ms >= *at) {
            self.stated = stated;
        }
        current
    }

    pub fn current(&self) -> f64 {
        self.current
    }

    /// How long work takes in percent, as the machine states it.
    pub fn percent(&self) -> u16 {
        (self.stated * 100.0) as u16
    }
}

/// Requests share the machine: beyond `knee` running ones each takes longer.
pub struct Endpoint {
    noise: Noise,
    slots: usize,
    knee: f64,
    running: Vec<Job>,
    waiting: VecDeque<Job>,
}

impl Endpoint {
    pub fn new(factor: f64, slots: usize, knee: f64, random: f64) -> Self {
        Self {
            noise: Noise::new(factor, random),
            slots,
            knee,
            running: Vec::new(),
            waiting: VecDeque::new(),
        }
    }

    pub fn add(&mut self, job: Job) {
        self.waiting.push_back(job);
    }

    pub fn running(&self) -> u32 {
        self.running.len() as u32
    }

    pub fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }

    pub fn percent(&self) -> u16 {
        self.noise.percent()
    }

    /// Works for `step_ms` and returns the jobs that were completed.
    pub fn work(&mut self, now_ms: f64, step_ms: f64, random: impl FnOnce() -> f64) -> Vec<Job> {
        let factor = self.noise.factor(now_ms, random);
        while self.running.len() < self.slots
            && let Some(job) = self.waiting.pop_front()
        {
            self.running.push(job);
        }
        let share = (self.knee / self.running.len().max(1) as f64).min(1.0);
        for job in &mut self.running {
            job.work_left -= step_ms * share / factor;
        }
        let (done, running) = self.running.iter().partition(|job| job.work_left <= 0.0);
        self.running = running;
        done
    }
}
