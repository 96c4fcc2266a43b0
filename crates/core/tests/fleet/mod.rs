//! Simulates gateways of two regions that send to the same targets and share their load.
//!
//! Targets have a few slots, a queue, and an LRU cache of objects. A gateway learns the load of a
//! target from its replies and, if that is switched on, from the reports of the other gateways of
//! its region. Requests, replies and reports take time; reports may be lost, late or false.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use ebonypass_core::balance::{Report, Rotation};
use ebonypass_core::balancer::{
    Attempt, Balancer, Choice, Config, Load, Outcome, Query, RegionSet, TargetSpec,
};
use ebonypass_core::gossip::ROUND_INTERVAL;
use ebonypass_core::id::TargetId;
use ebonypass_core::time::{Instant, Span};

/// Work time at a target that caches the object, relative to other targets.
const CACHED_WORK_RATIO: f64 = 0.3;
/// Part of the work that takes [`SLOW_FACTOR`] times as long as usual.
const SLOW_SHARE: f64 = 0.03;
const SLOW_FACTOR: f64 = 7.0;
/// Requests per slot that a target queues.
const QUEUE_PER_SLOT: usize = 3;
/// Targets that a request is sent to at most.
const MAX_ATTEMPTS: usize = 3;
/// One-way latencies within a region and between two, in microseconds.
const NEAR_US: u64 = 1_500;
const FAR_US: u64 = 20_000;
/// Part of the requests that arrive in the first region, which has half of the targets.
const FIRST_REGION_SHARE: f64 = 0.6;
/// Time before figures are taken, in which caches fill and work times are learned.
const WARM_UP_US: u64 = 12_000_000;
/// Length of a window of [`Figures::window_spread`].
const WINDOW_US: u64 = 5_000_000;

/// How reports travel between gateways.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Reports {
    /// The feature is off.
    Off,
    /// Delivered, but for this part, after this time.
    Delivered { loss: f64, delay: Span },
}

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    None,
    /// The first target reports that it has nothing to do.
    IdleTarget,
    /// The first target reports that it is full.
    FullTarget,
    /// The first gateway reports as many requests at each target as fit into a report.
    FalseGateway,
    /// The first gateway stops in the middle, and its callers go to others.
    DeadGateway,
}

/// A load, and the gateways and targets that serve it.
#[derive(Debug, Clone, Copy)]
pub struct Fleet {
    pub gateways: usize,
    pub targets: usize,
    pub slots: usize,
    pub objects: usize,
    /// Exponent of the distribution of requests over objects; 0 for the same number each.
    pub skew: f64,
    /// Objects that a target keeps.
    pub cache: usize,
    pub work_ms: f64,
    pub objective_ms: u64,
    /// Load relative to what the targets could run if each object were cached.
    pub load: f64,
    pub duration_s: u64,
    pub seed: u64,
    pub reports: Reports,
    pub fault: Fault,
}

/// What was measured after the warm-up.
#[derive(Debug, Default, Clone, Copy)]
pub struct Figures {
    /// Mean number of requests at the busiest target, relative to the mean of all.
    pub spread: f64,
    /// The same in windows of 5 s, averaged.
    pub window_spread: f64,
    /// Part of the requests that targets rejected.
    pub rejected: f64,
    /// Part of the requests that got a reply within the objective.
    pub served: f64,
    /// Part of the runs at a target without the object.
    pub uncached: f64,
    /// Bytes a second that a gateway sends for reports, headers included.
    pub report_bytes: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Reach(usize),
    End(usize),
    Reply(usize, bool, u32, u32),
    Round(usize),
    Deliver(usize),
}

#[derive(Default)]
struct Server {
    running: usize,
    waiting: VecDeque<usize>,
    objects: VecDeque<u64>,
    changed_us: u64,
    /// Requests times microseconds, in all and by window.
    held: u64,
    held_by_window: HashMap<u64, u64>,
}

impl Server {
    fn held(&self) -> usize {
        self.running + self.waiting.len()
    }

    /// Adds the time since the last change to the sums.
    fn advance(&mut self, us: u64) {
        let mut from = self.changed_us.max(WARM_UP_US);
        while from < us {
            let window = from / WINDOW_US;
            let end = us.min((window + 1) * WINDOW_US);
            let held = self.held() as u64 * (end - from);
            self.held += held;
            *self.held_by_window.entry(window).or_default() += held;
            from = end;
        }
        self.changed_us = us;
    }
}

struct Request {
    arrived_us: u64,
    object: u64,
    gateway: usize,
    server: usize,
    attempt: Option<(Attempt, TargetId)>,
    tried: Vec<TargetId>,
}

struct Gateway {
    balancer: Balancer,
    is_alive: bool,
    rotation: Rotation,
    round: u32,
}

struct Run {
    fleet: Fleet,
    random: fastrand::Rng,
    gateways: Vec<Gateway>,
    servers: Vec<Server>,
    requests: Vec<Request>,
    reports: Vec<(usize, usize, Report)>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    figures: Figures,
    counted: u32,
    starts: u32,
}

fn region(index: usize) -> usize {
    index % 2
}

fn spec(index: usize, slots: usize) -> TargetSpec {
    TargetSpec {
        id: format!("{index}"),
        service: "s".to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        centre: format!("c-{}", region(index)),
        slots: slots as u32,
        is_leaving: false,
        cold_time_left: Span::ZERO,
        start_unix_ms: None,
        sequence: 1,
    }
}

impl Fleet {
    pub fn run(self) -> Figures {
        let regions: HashMap<String, String> =
            (0..2).map(|index| (format!("c-{index}"), format!("r-{index}"))).collect();
        let gateway = |index: usize| {
            let mut balancer = Balancer::new(Config {
                machine: format!("vm-{index}"),
                region: format!("r-{}", region(index)),
                centre_regions: regions.clone(),
            });
            for target in 0..self.targets {
                balancer.upsert_target(Instant::ZERO, spec(target, self.slots));
            }
            balancer.set_shared_load(self.reports != Reports::Off);
            Gateway { balancer, is_alive: true, rotation: Rotation::default(), round: 0 }
        };
        let mut run = Run {
            fleet: self,
            random: fastrand::Rng::with_seed(self.seed),
            gateways: (0..self.gateways).map(gateway).collect(),
            servers: (0..self.targets).map(|_| Server::default()).collect(),
            requests: Vec::new(),
            reports: Vec::new(),
            events: BinaryHeap::new(),
            figures: Figures::default(),
            counted: 0,
            starts: 0,
        };
        run.schedule();
        run.play();
        run.summarize()
    }

    fn requests_per_s(&self) -> f64 {
        let mean_ms = self.work_ms * CACHED_WORK_RATIO * (1.0 + SLOW_SHARE * (SLOW_FACTOR - 1.0));
        self.load * (self.targets * self.slots) as f64 / mean_ms * 1e3
    }
}

impl Run {
    fn schedule(&mut self) {
        let fleet = self.fleet;
        let weights = (1..=fleet.objects).map(|rank| (rank as f64).powf(-fleet.skew));
        let mut sum = 0.0;
        let bounds = weights.map(|weight| {
            sum += weight;
            sum
        });
        let bounds: Vec<f64> = bounds.collect();
        let mut at_us = 0.0;
        while at_us < fleet.duration_s as f64 * 1e6 {
            at_us -= (1.0 - self.random.f64()).ln() / fleet.requests_per_s() * 1e6;
            let draw = self.random.f64() * sum;
            let object = bounds.partition_point(|&bound| bound < draw) as u64;
            let region = usize::from(self.random.f64() >= FIRST_REGION_SHARE);
            let gateway = self.random.usize(0..fleet.gateways / 2) * 2 + region;
            self.events.push(Reverse((at_us as u64, Event::Arrive(self.requests.len()))));
            self.requests.push(Request {
                arrived_us: at_us as u64,
                object,
                gateway,
                server: 0,
                attempt: None,
                tried: Vec::new(),
            });
        }
        for index in 0..fleet.gateways {
            let at_us = self.random.u64(0..ROUND_INTERVAL.as_micros());
            self.events.push(Reverse((at_us, Event::Round(index))));
        }
    }

    fn play(&mut self) {
        let end_us = self.fleet.duration_s * 1_000_000;
        while let Some(Reverse((us, event))) = self.events.pop() {
            if us >= end_us {
                break;
            }
            match event {
                Event::Arrive(index) => self.arrive(us, index),
                Event::Reach(index) => self.reach(us, index),
                Event::End(index) => {
                    let number = self.requests[index].server;
                    self.servers[number].advance(us);
                    self.servers[number].running -= 1;
                    self.start_waiting(us, number);
                    self.reply(us, index, false);
                }
                Event::Reply(index, is_rejected, running, waiting) => {
                    let load = Load { running, waiting, work_time_percent: 100 };
                    self.handle_reply(us, index, is_rejected, load);
                }
                Event::Round(index) => self.send_reports(us, index),
                Event::Deliver(index) => {
                    let (from, to, report) = std::mem::take(&mut self.reports[index]);
                    let now = Instant::from_micros(us);
                    let balancer = &mut self.gateways[to].balancer;
                    // Late and false reports are rejected.
                    let _ = balancer.record_load_report(now, &format!("vm-{from}"), &report);
                }
            }
        }
        self.servers.iter_mut().for_each(|server| server.advance(end_us));
    }

    fn latency_us(&mut self, gateway: usize, server: usize) -> u64 {
        let us = if region(gateway) == region(server) { NEAR_US } else { FAR_US };
        us + self.random.u64(0..us / 2)
    }

    fn arrive(&mut self, us: u64, index: usize) {
        let fleet = self.fleet;
        let gateway = self.requests[index].gateway;
        if !self.gateways[gateway].is_alive {
            // The caller's next look-up names the other gateways of its region.
            self.requests[index].gateway = gateway + 2 * self.random.usize(1..fleet.gateways / 2);
        }
        if self.requests[index].tried.is_empty() && us >= WARM_UP_US {
            self.counted += 1;
        }
        self.send(us, index);
    }

    fn send(&mut self, us: u64, index: usize) {
        let now = Instant::from_micros(us);
        let fleet = self.fleet;
        let request = &mut self.requests[index];
        let balancer = &mut self.gateways[request.gateway].balancer;
        let deadline_us = request.arrived_us + 2 * fleet.objective_ms * 1_000;
        let query = Query {
            service: balancer.service_id("s"),
            route: 1,
            object: Some(request.object),
            allowed_regions: RegionSet::ANY,
            tried: &request.tried,
            latency_objective: Span::from_millis(fleet.objective_ms),
            time_left: Span::from_micros(deadline_us.saturating_sub(us)),
        };
        let Ok(choice) = balancer.choose(now, &query) else { return };
        let attempt = balancer.start_attempt(now, &choice);
        let Choice { target, .. } = choice;
        request.server = balancer.target(target).spec.id.parse().unwrap();
        request.attempt = Some((attempt, target));
        request.tried.push(target);
        let (gateway, server) = (request.gateway, request.server);
        let at_us = us + self.latency_us(gateway, server);
        self.events.push(Reverse((at_us, Event::Reach(index))));
    }

    fn reach(&mut self, us: u64, index: usize) {
        let number = self.requests[index].server;
        let slots = self.fleet.slots;
        let server = &mut self.servers[number];
        server.advance(us);
        if server.waiting.len() >= slots * QUEUE_PER_SLOT {
            if us >= WARM_UP_US {
                self.figures.rejected += 1.0;
            }
            self.reply(us, index, true);
            return;
        }
        server.waiting.push_back(index);
        self.start_waiting(us, number);
    }

    fn start_waiting(&mut self, us: u64, number: usize) {
        let fleet = self.fleet;
        let server = &mut self.servers[number];
        while server.running < fleet.slots {
            let Some(index) = server.waiting.pop_front() else { break };
            let object = self.requests[index].object;
            let is_cached = server.objects.contains(&object);
            server.objects.retain(|&other| other != object);
            server.objects.push_back(object);
            if server.objects.len() > fleet.cache {
                server.objects.pop_front();
            }
            let mut work_us = fleet.work_ms * 1e3 * (0.5 + self.random.f64());
            work_us *= if is_cached { CACHED_WORK_RATIO } else { 1.0 };
            work_us *= if self.random.f64() < SLOW_SHARE { SLOW_FACTOR } else { 1.0 };
            server.running += 1;
            if us >= WARM_UP_US {
                self.starts += 1;
                self.figures.uncached += f64::from(u8::from(!is_cached));
            }
            self.events.push(Reverse((us + work_us as u64, Event::End(index))));
        }
    }

    fn reply(&mut self, us: u64, index: usize, is_rejected: bool) {
        let Request { gateway, server: number, .. } = self.requests[index];
        let server = &self.servers[number];
        let (mut running, mut waiting) = (server.running as u32, server.waiting.len() as u32);
        if number == 0 && self.fleet.fault == Fault::IdleTarget {
            (running, waiting) = (0, 0);
        }
        if number == 0 && self.fleet.fault == Fault::FullTarget {
            (running, waiting) = (self.fleet.slots as u32, 1_000);
        }
        let at_us = us + self.latency_us(gateway, number);
        self.events.push(Reverse((at_us, Event::Reply(index, is_rejected, running, waiting))));
    }

    fn handle_reply(&mut self, us: u64, index: usize, is_rejected: bool, load: Load) {
        let now = Instant::from_micros(us);
        let request = &self.requests[index];
        let gateway = &mut self.gateways[request.gateway];
        let Some((attempt, target)) = request.attempt else { return };
        if !gateway.is_alive {
            return;
        }
        let outcome = if is_rejected { Outcome::Shed } else { Outcome::Answered };
        gateway.balancer.finish_attempt(now, attempt, outcome);
        gateway.balancer.record_load(now, target, load);
        if is_rejected {
            if request.tried.len() < MAX_ATTEMPTS {
                self.send(us, index);
            }
        } else if us - request.arrived_us <= self.fleet.objective_ms * 1_000
            && request.arrived_us >= WARM_UP_US
        {
            self.figures.served += 1.0;
        }
    }

    fn send_reports(&mut self, us: u64, index: usize) {
        let fleet = self.fleet;
        let now = Instant::from_micros(us);
        let demand = [FIRST_REGION_SHARE, 1.0 - FIRST_REGION_SHARE];
        let demand = demand.map(|share| share * fleet.requests_per_s());
        self.gateways[index].balancer.record_demand(now, &demand);
        self.events.push(Reverse((us + ROUND_INTERVAL.as_micros(), Event::Round(index))));
        if fleet.fault == Fault::DeadGateway && index == 0 && us >= fleet.duration_s * 500_000 {
            self.gateways[index].is_alive = false;
            return;
        }
        let Reports::Delivered { loss, delay } = fleet.reports else { return };
        let others: Vec<usize> =
            (0..fleet.gateways).filter(|&o| o != index && region(o) == region(index)).collect();
        let gateway = &mut self.gateways[index];
        gateway.round += 1;
        gateway.balancer.expire_load_reports(now);
        let mut report = gateway.balancer.load_report(gateway.round);
        if fleet.fault == Fault::FalseGateway && index == 0 {
            let keys = (0..fleet.targets)
                .map(|target| (u8::MAX, ebonypass_core::balance::target_key(&format!("{target}"))));
            report = Report::new(gateway.round, keys.collect());
        }
        let (interval, turns) = gateway.rotation.next(others.len(), report.wire_bytes());
        report.interval = interval;
        for turn in turns {
            if us >= WARM_UP_US {
                self.figures.report_bytes += report.wire_bytes() as f64;
            }
            if self.random.f64() < loss {
                continue;
            }
            let at_us = us + NEAR_US + delay.as_micros();
            self.events.push(Reverse((at_us, Event::Deliver(self.reports.len()))));
            self.reports.push((index, others[turn], report.clone()));
        }
    }

    fn summarize(mut self) -> Figures {
        let spread = |held: &[u64]| {
            let mean = held.iter().sum::<u64>() as f64 / held.len() as f64;
            held.iter().copied().max().unwrap_or(0) as f64 / mean
        };
        let held: Vec<u64> = self.servers.iter().map(|server| server.held).collect();
        self.figures.spread = spread(&held);
        let windows: Vec<u64> = (WARM_UP_US.div_ceil(WINDOW_US)
            ..self.fleet.duration_s * 1_000_000 / WINDOW_US)
            .collect();
        for &window in &windows {
            let held = self.servers.iter();
            let held: Vec<u64> =
                held.map(|s| s.held_by_window.get(&window).copied().unwrap_or(0)).collect();
            self.figures.window_spread += spread(&held) / windows.len() as f64;
        }
        let counted = f64::from(self.counted);
        self.figures.rejected /= counted;
        self.figures.served /= counted;
        self.figures.uncached /= f64::from(self.starts);
        let seconds = (self.fleet.duration_s * 1_000_000 - WARM_UP_US) as f64 / 1e6;
        self.figures.report_bytes /= seconds * self.fleet.gateways as f64;
        self.figures
    }
}
