//! The queue-and-slots model of one target.

use std::collections::VecDeque;

use ebonypass_core::time::{Instant, Span};

/// Position of an attempt in the model's table of attempts.
pub type AttemptIndex = u32;

/// A target: a number of slots and a first-come-first-served queue.
#[derive(Debug)]
pub struct Server {
    /// Number of attempts that it runs at once.
    pub slots: u32,
    /// When it started to leave.
    pub leaving_since: Option<Instant>,
    /// Whether its data centre has failed.
    pub is_down: bool,
    running: Vec<Running>,
    queue: VecDeque<AttemptIndex>,
    slowdown: f64,
    /// Slot time used up to `counted_until`, in microseconds.
    busy_us: u64,
    accrued_until: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Running {
    attempt: AttemptIndex,
    finish: Instant,
}

impl Server {
    /// An idle target.
    pub fn new(slots: u32) -> Server {
        Server {
            slots,
            leaving_since: None,
            is_down: false,
            running: Vec::new(),
            queue: VecDeque::new(),
            slowdown: 1.0,
            busy_us: 0,
            accrued_until: Instant::ZERO,
        }
    }

    /// Slots in use.
    pub fn busy(&self) -> u32 {
        self.running.len() as u32
    }

    /// Attempts that wait for a slot.
    pub fn queued(&self) -> u32 {
        self.queue.len() as u32
    }

    /// Attempts that run or wait.
    pub fn held(&self) -> u32 {
        self.busy() + self.queued()
    }

    /// Whether an attempt can start.
    pub fn has_free_slot(&self) -> bool {
        self.busy() < self.slots
    }

    /// Adds an attempt to the end of the queue.
    pub fn push(&mut self, attempt: AttemptIndex) {
        self.queue.push_back(attempt);
    }

    /// Takes the first attempt out of the queue.
    pub fn pop(&mut self) -> Option<AttemptIndex> {
        self.queue.pop_front()
    }

    /// Starts an attempt with `work` for a healthy target and returns when it finishes.
    pub fn start(&mut self, now: Instant, attempt: AttemptIndex, service_time: Span) -> Instant {
        self.accrue_busy_time(now);
        let finish = now + scale(service_time, self.slowdown);
        self.running.push(Running { attempt, finish });
        finish
    }

    /// Ends `attempt` if it runs and is due at `now`.
    pub fn finish(&mut self, now: Instant, attempt: AttemptIndex) -> bool {
        self.accrue_busy_time(now);
        let found = self
            .running
            .iter()
            .position(|running| running.attempt == attempt && running.finish == now);
        if let Some(position) = found {
            self.running.remove(position);
        }
        found.is_some()
    }

    /// Ends `attempt` whether it runs or waits. Tells whether it was there.
    pub fn cancel(&mut self, now: Instant, attempt: AttemptIndex) -> bool {
        self.accrue_busy_time(now);
        let held = self.held();
        self.running.retain(|running| running.attempt != attempt);
        self.queue.retain(|&queued| queued != attempt);
        self.held() < held
    }

    /// Ends and returns everything that it holds.
    pub fn clear(&mut self, now: Instant) -> Vec<AttemptIndex> {
        self.accrue_busy_time(now);
        let running = self.running.drain(..).map(|running| running.attempt);
        running.chain(self.queue.drain(..)).collect()
    }

    /// Changes the multiple of the healthy service time. Returns the new end of each running
    /// attempt, whose remaining time stretches or shrinks.
    pub fn set_slowdown(&mut self, now: Instant, factor: f64) -> Vec<(AttemptIndex, Instant)> {
        let change = factor / self.slowdown;
        self.slowdown = factor;
        for running in &mut self.running {
            running.finish = now + scale(running.finish.since(now), change);
        }
        self.running.iter().map(|running| (running.attempt, running.finish)).collect()
    }

    /// Slot time used until `end`, if no later time was counted.
    pub fn busy_us_until(&mut self, end: Instant) -> u64 {
        self.accrue_busy_time(end);
        self.busy_us
    }

    fn accrue_busy_time(&mut self, now: Instant) {
        self.busy_us += now.since(self.accrued_until).as_micros() * u64::from(self.busy());
        self.accrued_until = self.accrued_until.max(now);
    }
}

fn scale(span: Span, factor: f64) -> Span {
    Span::from_micros((span.as_micros() as f64 * factor).round() as u64)
}
