//! Queueing model of one target.

use std::collections::VecDeque;

use ebonypass_core::time::{Instant, Span};

/// Index of an attempt in the model's list of attempts.
pub type AttemptIndex = u32;

/// A target with a fixed number of slots and a FIFO queue.
#[derive(Debug)]
pub struct Server {
    /// Maximum number of attempts that run at once.
    pub slots: u32,
    /// When the target started to leave, if it did.
    pub leaving_since: Option<Instant>,
    /// Whether the data centre of the target is down.
    pub is_down: bool,
    running: Vec<Running>,
    queue: VecDeque<AttemptIndex>,
    /// Multiple of the healthy service time.
    slowdown: f64,
    /// Busy slot time up to `accrued_until`, in microseconds.
    busy_us: u64,
    accrued_until: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Running {
    attempt: AttemptIndex,
    finish: Instant,
}

impl Server {
    /// Creates an idle target.
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

    /// Returns the number of running attempts.
    pub fn busy(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns the number of queued attempts.
    pub fn queued(&self) -> u32 {
        self.queue.len() as u32
    }

    /// Returns the number of running and queued attempts.
    pub fn held(&self) -> u32 {
        self.busy() + self.queued()
    }

    /// Returns whether a slot is free.
    pub fn has_free_slot(&self) -> bool {
        self.busy() < self.slots
    }

    /// Appends an attempt to the queue.
    pub fn push(&mut self, attempt: AttemptIndex) {
        self.queue.push_back(attempt);
    }

    /// Removes and returns the first queued attempt.
    pub fn pop(&mut self) -> Option<AttemptIndex> {
        self.queue.pop_front()
    }

    /// Starts an attempt and returns when it finishes. `service_time` is that of a healthy target.
    pub fn start(&mut self, now: Instant, attempt: AttemptIndex, service_time: Span) -> Instant {
        self.accrue_busy_time(now);
        let finish = now + scale(service_time, self.slowdown);
        self.running.push(Running { attempt, finish });
        finish
    }

    /// Ends `attempt` if it is running and finishes at `now`, and returns whether it did. Finish
    /// events of an attempt that was rescheduled or cancelled are thus ignored.
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

    /// Removes `attempt` from the slots or the queue, and returns whether it was found.
    pub fn cancel(&mut self, now: Instant, attempt: AttemptIndex) -> bool {
        self.accrue_busy_time(now);
        let held = self.held();
        self.running.retain(|running| running.attempt != attempt);
        self.queue.retain(|&queued| queued != attempt);
        self.held() < held
    }

    /// Removes and returns all running and queued attempts.
    pub fn clear(&mut self, now: Instant) -> Vec<AttemptIndex> {
        self.accrue_busy_time(now);
        let running = self.running.drain(..).map(|running| running.attempt);
        running.chain(self.queue.drain(..)).collect()
    }

    /// Sets the multiple of the healthy service time and rescales the remaining time of the running
    /// attempts. Returns their new finish times.
    pub fn set_slowdown(&mut self, now: Instant, factor: f64) -> Vec<(AttemptIndex, Instant)> {
        let change = factor / self.slowdown;
        self.slowdown = factor;
        for running in &mut self.running {
            running.finish = now + scale(running.finish.since(now), change);
        }
        self.running.iter().map(|running| (running.attempt, running.finish)).collect()
    }

    /// Returns the busy slot time up to `end` in microseconds. `end` must not be earlier than the
    /// latest change to the slots.
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
