//! Simulates a load on targets with a few slots, a queue each, and an LRU cache of objects.

#![allow(dead_code, reason = "each test file uses a part")]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use ebonypass_core::balancer::{
    self, Attempt, Balancer, Config, Query, Refusal, RegionSet, TargetSpec,
};
use ebonypass_core::id::TargetId;
use ebonypass_core::time::{Instant, Span};

/// Work time at a target that caches the object, relative to other targets.
const CACHED_WORK_RATIO: f64 = 0.3;
/// Number of objects that a target caches.
const CACHE_CAPACITY: usize = 25;
const SLOTS: usize = 3;
/// Targets that a request is sent to at most.
const MAX_TARGETS: usize = 4;
/// Callers give up after this time.
const CALLER_TIMEOUT_MS: u64 = 1_200;

/// How requests are distributed among the targets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Placement {
    /// By object, as for routes with affinity.
    ByObject,
    /// By free slots, as for requests without an object.
    BySlots,
}

/// A load and the targets that serve it.
#[derive(Debug, Clone, Copy)]
pub struct Simulation {
    pub machines: usize,
    pub targets: usize,
    pub objects: u64,
    pub requests_per_s: f64,
    pub work_ms: f64,
    pub latency_objective_ms: u64,
    pub duration_s: u64,
    pub seed: u64,
}

/// Counts of requests by what their callers got.
#[derive(Debug, Default)]
pub struct Summary {
    requests: u32,
    within_objective: u32,
    late: u32,
    uncached: u32,
    /// Requests that reached a target, with time, target and machine.
    pub arrivals: Vec<(u64, usize, usize)>,
    /// The most requests that ran and waited at one target, by second.
    pub peaks: HashMap<u64, usize>,
}

impl Summary {
    /// Share of the requests that ran at a target without their object in its cache.
    pub fn uncached_ratio(&self) -> f64 {
        f64::from(self.uncached) / f64::from(self.requests)
    }

    pub fn within_objective_ratio(&self) -> f64 {
        f64::from(self.within_objective) / f64::from(self.requests)
    }

    pub fn answered_ratio(&self) -> f64 {
        f64::from(self.within_objective + self.late) / f64::from(self.requests)
    }
}

#[derive(Default)]
struct Server {
    running: usize,
    waiting: VecDeque<usize>,
    objects: VecDeque<u64>,
}

struct Request {
    arrived_us: u64,
    object: u64,
    server: usize,
    machine: usize,
    attempt: Option<Attempt>,
    target: Option<TargetId>,
    /// Whether its caller has come back after it was told when to.
    has_returned: bool,
}

/// A pseudo-random number generator.
struct Random(u64);

impl Random {
    fn uniform(&mut self) -> f64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((self.0 >> 33) as f64 + 0.5) / (1u64 << 31) as f64
    }
}

impl Simulation {
    pub fn run(&self, placement: Placement) -> Summary {
        self.run_with(placement, |_, _| None)
    }

    /// Runs with targets that turn machines away. `refuse` tells for a target and a time, in
    /// microseconds, for how long.
    pub fn run_with(
        &self,
        placement: Placement,
        refuse: impl Fn(usize, u64) -> Option<Span>,
    ) -> Summary {
        let mut random = Random(self.seed);
        let regions: HashMap<String, String> = [("c".to_owned(), "r".to_owned())].into();
        let mut balancers: Vec<Balancer> = (0..self.machines)
            .map(|index| {
                let config = Config {
                    machine: format!("vm-{index}"),
                    region: "r".to_owned(),
                    centre_regions: regions.clone(),
                };
                let mut balancer = Balancer::new(config);
                for target in 0..self.targets {
                    balancer.upsert_target(Instant::ZERO, spec(target));
                }
                balancer
            })
            .collect();
        let mut servers: Vec<Server> = (0..self.targets).map(|_| Server::default()).collect();
        let mut requests: Vec<Request> = Vec::new();
        let mut events: BinaryHeap<Reverse<(u64, bool, usize)>> = BinaryHeap::new();
        let mut summary = Summary::default();
        let mut at_us = 0.0;
        while at_us < self.duration_s as f64 * 1e6 {
            at_us += -random.uniform().ln() / self.requests_per_s * 1e6;
            let object = (random.uniform() * self.objects as f64) as u64;
            let machine = (random.uniform() * self.machines as f64) as usize;
            events.push(Reverse((at_us as u64, false, requests.len())));
            requests.push(Request {
                arrived_us: at_us as u64,
                object,
                server: 0,
                machine,
                attempt: None,
                target: None,
                has_returned: false,
            });
        }
        while let Some(Reverse((us, is_end, index))) = events.pop() {
            let now = Instant::from_micros(us);
            let machine = requests[index].machine;
            let balancer = &mut balancers[machine];
            if !is_end {
                summary.requests += 1;
                let object = (placement == Placement::ByObject).then_some(requests[index].object);
                let mut tried = Vec::new();
                let chosen = loop {
                    let query = Query {
                        service: balancer.service_id("s"),
                        route: 1,
                        object,
                        allowed_regions: RegionSet::ANY,
                        tried: &tried,
                        latency_objective: Span::from_millis(self.latency_objective_ms),
                        time_left: Span::from_millis(CALLER_TIMEOUT_MS),
                    };
                    let choice = match balancer.choose(now, &query) {
                        Ok(choice) => choice,
                        Err(Refusal::TurnedAway(wait)) if !requests[index].has_returned => {
                            // The gateway adds up to half of the time that it tells the caller.
                            let wait_us = wait.as_micros() as f64 * (1.0 + random.uniform() / 2.0);
                            requests[index].has_returned = true;
                            events.push(Reverse((us + wait_us as u64, false, index)));
                            break None;
                        }
                        Err(_) => break None,
                    };
                    let number: usize = balancer.target(choice.target).spec.id.parse().unwrap();
                    summary.arrivals.push((us, number, machine));
                    let Some(wait) = refuse(number, us) else { break Some((choice, number)) };
                    let attempt = balancer.start_attempt(now, &choice);
                    balancer.record_refusal(now, choice.target, choice.lifetime, wait);
                    balancer.finish_attempt(now, attempt, balancer::Outcome::Shed);
                    tried.push(choice.target);
                    if tried.len() >= MAX_TARGETS {
                        break None;
                    }
                };
                let Some((choice, number)) = chosen else { continue };
                let request = &mut requests[index];
                request.attempt = Some(balancer.start_attempt(now, &choice));
                (request.server, request.target) = (number, Some(choice.target));
                servers[number].waiting.push_back(index);
                let held = servers[number].running + servers[number].waiting.len();
                let peak = summary.peaks.entry(us / 1_000_000).or_default();
                *peak = held.max(*peak);
                summary.uncached += self.start_waiting(
                    us,
                    number,
                    &mut servers,
                    &requests,
                    &mut events,
                    &mut random,
                );
                continue;
            }
            let request = &requests[index];
            let server = &mut servers[request.server];
            server.running -= 1;
            let load = balancer::Load {
                running: server.running as u32,
                waiting: server.waiting.len() as u32,
                work_time_percent: 100,
            };
            let time_us = us - request.arrived_us;
            if time_us <= self.latency_objective_ms * 1_000 {
                summary.within_objective += 1;
            } else if time_us <= CALLER_TIMEOUT_MS * 1_000 {
                summary.late += 1;
            }
            balancer.finish_attempt(now, request.attempt.unwrap(), balancer::Outcome::Answered);
            balancer.record_load(now, request.target.unwrap(), load);
            let number = request.server;
            summary.uncached +=
                self.start_waiting(us, number, &mut servers, &requests, &mut events, &mut random);
        }
        summary
    }

    /// Starts waiting requests on the free slots of a server. Returns how many of them run without
    /// their object in the cache.
    fn start_waiting(
        &self,
        us: u64,
        number: usize,
        servers: &mut [Server],
        requests: &[Request],
        events: &mut BinaryHeap<Reverse<(u64, bool, usize)>>,
        random: &mut Random,
    ) -> u32 {
        let server = &mut servers[number];
        let mut uncached = 0;
        while server.running < SLOTS {
            let Some(index) = server.waiting.pop_front() else { break };
            let object = requests[index].object;
            let is_cached = server.objects.contains(&object);
            server.objects.retain(|&other| other != object);
            server.objects.push_back(object);
            if server.objects.len() > CACHE_CAPACITY {
                server.objects.pop_front();
            }
            let spread = 0.85 + 0.3 * random.uniform();
            let work_us =
                self.work_ms * 1e3 * spread * if is_cached { CACHED_WORK_RATIO } else { 1.0 };
            server.running += 1;
            uncached += u32::from(!is_cached);
            events.push(Reverse((us + work_us as u64, true, index)));
        }
        uncached
    }
}

fn spec(index: usize) -> TargetSpec {
    TargetSpec {
        id: index.to_string(),
        service: "s".to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        centre: "c".to_owned(),
        slots: SLOTS as u32,
        is_leaving: false,
        cold_time_left: Span::ZERO,
        start_unix_ms: None,
        sequence: 1,
    }
}
