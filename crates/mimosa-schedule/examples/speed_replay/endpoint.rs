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

/// Requests share the machine: beyond `knee` running ones each takes longer.
pub struct Endpoint {
    factor: f64,
    slots: usize,
    knee: f64,
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    episode_end_ms: f64,
    next_episode_ms: f64,
    stated_factor: f64,
    pending_factor: Option<(f64, f64)>,
}

impl Endpoint {
    pub fn new(factor: f64, slots: usize, knee: f64, random: f64) -> Self {
        Self {
            factor,
            slots,
            knee,
            running: Vec::new(),
            waiting: VecDeque::new(),
            episode_end_ms: 0.0,
            next_episode_ms: random * EPISODE_INTERVAL_MS,
            stated_factor: 1.0,
            pending_factor: None,
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

    /// How long work takes at this moment, in percent.
    pub fn percent(&self) -> u16 {
        (self.factor * self.stated_factor * 100.0) as u16
    }

    /// Works for `step_ms` and returns the jobs that were completed.
    pub fn work(&mut self, now_ms: f64, step_ms: f64, random: impl FnOnce() -> f64) -> Vec<Job> {
        if now_ms >= self.next_episode_ms {
            self.episode_end_ms = now_ms + EPISODE_MS;
            self.pending_factor = Some((now_ms + PERCENT_DELAY_MS, EPISODE_FACTOR));
            let pause = EPISODE_INTERVAL_MS - EPISODE_MS;
            let gap = EPISODE_MS - (1.0 - random()).ln() * pause;
            self.next_episode_ms = now_ms + gap;
        }
        let is_slow = now_ms < self.episode_end_ms;
        if !is_slow && self.stated_factor > 1.0 && self.pending_factor.is_none() {
            self.pending_factor = Some((now_ms + PERCENT_DELAY_MS, 1.0));
        }
        if let Some((_, factor)) = self.pending_factor.take_if(|(at, _)| now_ms >= *at) {
            self.stated_factor = factor;
        }
        while self.running.len() < self.slots
            && let Some(job) = self.waiting.pop_front()
        {
            self.running.push(job);
        }
        let noise = if is_slow { EPISODE_FACTOR } else { 1.0 };
        let share = (self.knee / self.running.len().max(1) as f64).min(1.0);
        for job in &mut self.running {
            job.work_left -= step_ms * share / (self.factor * noise);
        }
        let (done, running) = self.running.iter().partition(|job| job.work_left <= 0.0);
        self.running = running;
        done
    }
}
