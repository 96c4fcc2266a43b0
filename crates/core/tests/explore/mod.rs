//! Shared parts of the tests that explore random interleavings: clocks that differ in rate, a store
//! with outages, and in-flight messages that are lost, duplicated and reordered.

#![allow(dead_code, reason = "each test file uses a different subset")]

pub mod region;
pub mod vm;

use ebonypass_core::object::{ReadReply, Versioned, WriteReply};
use ebonypass_core::time::{Instant, Span};
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};

/// The maximum deviation of a clock's rate from real time, in parts per million.
pub const DRIFT_PPM: i64 = 5_000;

/// A process's monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    pub offset_us: u64,
    pub drift_ppm: i64,
}

impl Clock {
    /// A clock with positive, negative or no drift, depending on `number`.
    pub fn new(number: usize) -> Clock {
        let drift_ppm = [DRIFT_PPM, -DRIFT_PPM, 0][number % 3];
        Clock { offset_us: 1_000_000 * (1 + 7 * number as u64), drift_ppm }
    }

    /// The clock's reading at `real_time`.
    pub fn read(&self, real_time: Instant) -> Instant {
        let real_us = real_time.as_micros();
        let drift_us = real_us as i64 * self.drift_ppm / 1_000_000;
        Instant::from_micros((self.offset_us + real_us).saturating_add_signed(drift_us))
    }
}

/// A store with one object.
#[derive(Debug, Clone)]
pub struct Store<V> {
    pub value: Option<V>,
    pub version: u64,
    pub is_down: bool,
}

impl<V: Clone> Store<V> {
    pub const fn new() -> Store<V> {
        Store { value: None, version: 0, is_down: false }
    }

    /// Reads the object if the store is up.
    pub fn get(&self) -> ReadReply<V> {
        match &self.value {
            _ if self.is_down => ReadReply::NoReply,
            Some(value) => {
                ReadReply::Found(Versioned { version: self.version, value: value.clone() })
            }
            None => ReadReply::Absent,
        }
    }

    /// Writes the object if the store is up and has the expected version.
    pub fn put(&mut self, if_version: u64, value: V) -> WriteReply {
        if self.is_down {
            return WriteReply::NoReply;
        }
        if if_version != self.version {
            return WriteReply::Conflict(self.version);
        }
        self.version += 1;
        self.value = Some(value);
        WriteReply::Written(self.version)
    }
}

/// A random choice of a step: its kind and what it applies to.
#[derive(Clone, Copy)]
pub struct Decision(pub u32);

impl std::fmt::Debug for Decision {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Decision({:#x})", self.0)
    }
}

impl Decision {
    /// The kind of step, below `count`.
    pub const fn kind(self, count: usize) -> usize {
        (self.0 & 0xff) as usize % count
    }

    /// The index of what it applies to, below `count`.
    pub const fn index(self, count: usize) -> usize {
        ((self.0 >> 8) & 0xfff) as usize % count
    }

    /// A second index, below `count`.
    pub const fn second_index(self, count: usize) -> usize {
        (self.0 >> 20) as usize % count
    }

    /// A duration up to `max`. Shorter ones are more likely.
    pub fn duration(self, max: Span) -> Span {
        let scale = [1_000, 100, 10, 1][self.index(4)];
        Span::from_micros(max.as_micros() / scale * (1 + self.second_index(4_096) as u64) / 4_096)
    }
}

/// Removes a message chosen by `decision`.
pub fn take_message<M>(messages: &mut Vec<M>, decision: Decision) -> Option<M> {
    if messages.is_empty() {
        return None;
    }
    Some(messages.swap_remove(decision.index(messages.len())))
}

/// Runs `cases` random interleavings of up to `steps` steps from a fixed seed. Returns the first
/// failure with the shortest sequence of steps that reproduces it.
pub fn explore(
    cases: u32,
    steps: usize,
    run: impl Fn(&[Decision]) -> Result<(), String>,
) -> Result<(), String> {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let rng = proptest::test_runner::TestRng::deterministic_rng(config.rng_algorithm);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let decisions = proptest::collection::vec(any::<u32>().prop_map(Decision), steps / 2..steps);
    let outcome = runner.run(&decisions, |decisions| run(&decisions).map_err(TestCaseError::fail));
    outcome.map_err(|error| error.to_string())
}
