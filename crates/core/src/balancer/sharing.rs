//! The load that the gateways of a region share, and what it changes in a choice.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use super::Balancer;
use crate::balance::{Ledger, Preference, Rejection, Report};
use crate::id::TargetId;
use crate::target::Target;
use crate::time::{Instant, Span};
use crate::work::Service;

/// Shared load, off until it is switched on.
#[derive(Debug)]
pub(super) struct Sharing {
    pub(super) is_on: bool,
    pub(super) preference: Preference,
    ledger: Ledger,
    targets: HashMap<[u8; 2], Vec<TargetId>>,
    random: fastrand::Rng,
}

/// How evenly the load of a service is spread, as far as this machine knows.
#[derive(Debug, Clone, PartialEq)]
pub struct Spread {
    /// Name of the service.
    pub service: String,
    /// Requests at the busiest target per slot, divided by the mean of all targets.
    pub busiest_to_mean: f64,
    /// Requests per slot of all targets.
    pub requests_per_slot: f64,
}

impl Sharing {
    pub(super) fn new(machine: &str) -> Sharing {
        Sharing {
            is_on: false,
            preference: Preference::Evenness,
            ledger: Ledger::default(),
            targets: HashMap::new(),
            random: fastrand::Rng::with_seed(xxh3_64(machine.as_bytes())),
        }
    }

    pub(super) fn add_target(&mut self, key: [u8; 2], id: TargetId) {
        self.targets.entry(key).or_default().push(id);
    }

    /// Weight of the reports in the load of a target; the rest is the weight of the target's own
    /// figures alone. Rare reports are old, and all gateways act on them in the same way.
    pub(super) fn report_weight(&self) -> f64 {
        if self.ledger.is_empty() { 0.0 } else { 1.0 / self.ledger.interval() }
    }

    /// A random number from 0 to 1.
    pub(super) fn random(&mut self) -> f64 {
        self.random.f64()
    }
}

impl Balancer {
    /// Switches the sharing of load on or off. It is off at first. While it is on, it changes the
    /// choices for services whose targets report their load.
    pub fn set_shared_load(&mut self, is_on: bool) {
        if self.sharing.is_on && !is_on {
            let removal = self.sharing.ledger.expire(Instant::MAX);
            self.add_to_sums(Instant::ZERO, removal);
        }
        self.sharing.is_on = is_on;
    }

    /// Sets what choices prefer while load is shared; at first [`Preference::Evenness`].
    pub fn set_preference(&mut self, preference: Preference) {
        self.sharing.preference = preference;
    }

    /// Whether load is shared.
    pub fn shares_load(&self) -> bool {
        self.sharing.is_on
    }

    /// The requests that this machine has in flight.
    pub fn load_report(&self, round: u32) -> Report {
        let targets = self.targets.values().filter(|target| target.in_flight() > 0);
        let count = |target: &Target| target.in_flight().min(u8::MAX.into()) as u8;
        let counts = targets.map(|target| (count(target), target.key));
        Report::new(round, counts.collect())
    }

    /// Records a report of another gateway of the region.
    ///
    /// Errors: the report does not count.
    pub fn record_load_report(
        &mut self,
        now: Instant,
        machine: &str,
        report: &Report,
    ) -> Result<(), Rejection> {
        if !self.sharing.is_on {
            return Err(Rejection::Off);
        }
        let changes = self.sharing.ledger.record(now, xxh3_64(machine.as_bytes()), report)?;
        self.add_to_sums(now, changes);
        Ok(())
    }

    /// Removes reports that have expired.
    pub fn expire_load_reports(&mut self, now: Instant) {
        let removal = self.sharing.ledger.expire(now);
        self.add_to_sums(now, removal);
    }

    fn add_to_sums(&mut self, now: Instant, changes: Vec<([u8; 2], i32)>) {
        for (key, change) in changes {
            for &id in self.sharing.targets.get(&key).into_iter().flatten() {
                self.targets[id].shared.add(now, change);
            }
        }
    }

    /// The number of gateways whose report is known.
    pub fn load_reporters(&self) -> usize {
        self.sharing.ledger.len()
    }

    /// The age of the oldest report that counts.
    pub fn load_report_age(&self, now: Instant) -> Span {
        self.sharing.ledger.age(now)
    }

    /// The spread of load over the usable warm targets of each service that has more than one.
    pub fn load_spreads(&self, now: Instant) -> Vec<Spread> {
        let spread = |service: &Service| {
            let targets = service.targets.iter().map(|&id| &self.targets[id]);
            let warm = targets.filter(|target| target.is_usable(now) && !target.is_cold(now));
            let usual = service.usual_excess(now);
            let loads: Vec<f64> = warm
                .map(|target| {
                    let others = target.shared.others(now, usual, target.capacity());
                    (target.in_flight() as f64 + others) / f64::from(target.spec.slots.max(1))
                })
                .collect();
            let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
            let busiest = loads.iter().copied().fold(0.0, f64::max);
            (loads.len() > 1 && mean > 0.0).then(|| Spread {
                service: service.name.clone(),
                busiest_to_mean: busiest / mean,
                requests_per_slot: mean,
            })
        };
        self.services.values().filter_map(spread).collect()
    }
}
