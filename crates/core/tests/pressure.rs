//! Requests that wait for a slot, in simulated time. Guards against urgent requests that are late
//! behind patient ones, tenants that take the room of others, and routes that are starved.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use ebonypass_core::id::{ServiceId, TargetId};
use ebonypass_core::pressure::{
    Estimate, Queue, Request, Verdict, Waiter, WaiterId, decide, retry_after,
};
use ebonypass_core::time::{Instant, Span};

const SLOTS: usize = 9;
/// Requests that a target queues; it turns away what is beyond.
const TARGET_QUEUE: usize = 27;
/// How often a waiting request looks at other targets.
const RECHECK: Span = Span::from_millis(150);
const SERVICE: ServiceId = ServiceId(0);

/// A kind of request.
#[derive(Debug, Clone, Copy)]
struct Route {
    priority: u8,
    objective_ms: u64,
    deadline_ms: u64,
    work_ms: u64,
}

/// Urgent for its callers, who wait before a screen.
const LOOKUP: Route = Route { priority: 1, objective_ms: 1_500, deadline_ms: 6_000, work_ms: 640 };
/// Its callers can wait for seconds.
const ORDER: Route = Route { priority: 2, objective_ms: 4_000, deadline_ms: 8_000, work_ms: 830 };
const ROUTES: [Route; 2] = [LOOKUP, ORDER];

/// A stream of requests: a route, a tenant, a rate, and from when to when, in seconds.
#[derive(Debug, Clone, Copy)]
struct Stream(usize, u64, f64, f64, f64);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    Recheck(usize),
    Completion(usize, usize),
}

#[derive(Debug, Default, Clone)]
struct Target {
    running: usize,
    queue: VecDeque<usize>,
}

impl Target {
    fn load(&self) -> usize {
        self.running + self.queue.len()
    }
}

#[derive(Debug, Clone, Copy)]
struct Job {
    route: usize,
    tenant: u64,
    arrived: Instant,
    candidates: [usize; 2],
    waiter: Option<WaiterId>,
    is_sent: bool,
}

/// What the callers of a route or tenant get.
#[derive(Debug, Default, Clone, Copy)]
struct Tally {
    total: f64,
    served: f64,
    in_time: f64,
}

impl Tally {
    fn served(&self) -> f64 {
        self.served / self.total
    }

    fn in_time(&self) -> f64 {
        self.in_time / self.total
    }
}

struct World {
    is_held: bool,
    targets: Vec<Target>,
    jobs: Vec<Job>,
    events: BinaryHeap<Reverse<(Instant, Event)>>,
    queue: Queue,
    waiting: HashMap<WaiterId, usize>,
    tallies: HashMap<(usize, u64), Tally>,
    random: fastrand::Rng,
}

impl World {
    /// Plays streams against targets. `is_held` says whether requests may wait at the gateway.
    fn play(is_held: bool, target_count: usize, streams: &[Stream]) -> World {
        let mut world = World {
            is_held,
            targets: vec![Target::default(); target_count],
            jobs: Vec::new(),
            events: BinaryHeap::new(),
            queue: Queue::new(),
            waiting: HashMap::new(),
            tallies: HashMap::new(),
            random: fastrand::Rng::with_seed(7),
        };
        for &Stream(route, tenant, per_s, start, end) in streams {
            let mut at = start;
            loop {
                at -= (1.0 - world.random.f64()).ln() / per_s;
                if at >= end {
                    break;
                }
                let arrived = Instant::from_micros((at * 1e6) as u64);
                let candidates = std::array::from_fn(|_| world.random.usize(..target_count));
                world.events.push(Reverse((arrived, Event::Arrival(world.jobs.len()))));
                let (waiter, is_sent) = (None, false);
                world.jobs.push(Job { route, tenant, arrived, candidates, waiter, is_sent });
                world.tallies.entry((route, tenant)).or_default().total += 1.0;
            }
        }
        while let Some(Reverse((now, event))) = world.events.pop() {
            match event {
                Event::Arrival(job) | Event::Recheck(job) => world.try_send(now, job),
                Event::Completion(target, job) => world.complete(now, target, job),
            }
        }
        assert!(world.queue.is_empty());
        world
    }

    fn try_send(&mut self, now: Instant, index: usize) {
        let job = self.jobs[index];
        if job.is_sent {
            return;
        }
        if let Some(id) = self.jobs[index].waiter.take() {
            self.queue.remove(id);
            self.waiting.remove(&id);
        }
        let route = ROUTES[job.route];
        let target = job.candidates.into_iter().min_by_key(|&t| self.targets[t].load()).unwrap();
        let load = self.targets[target].load();
        let wait_ms = (load + 1).saturating_sub(SLOTS) as u64 * route.work_ms / SLOTS as u64;
        let estimate = Estimate {
            wait: Span::from_millis(wait_ms),
            latency: Span::from_millis(wait_ms + route.work_ms),
        };
        let at = |ms| job.arrived + Span::from_millis(ms);
        let request = Request {
            arrived: job.arrived,
            objective: at(route.objective_ms),
            deadline: at(route.deadline_ms),
        };
        let flow = self.queue.flow(job.tenant * 10 + job.route as u64);
        let waiter = Waiter {
            service: SERVICE,
            target: TargetId(target as u32),
            flow,
            rank: route.priority.into(),
            since: job.arrived,
            latest_start: at(route.objective_ms - route.work_ms),
        };
        let verdict = if self.is_held {
            let queue_wait = self.queue.wait(now, &waiter);
            decide(now, &request, estimate, queue_wait, route.priority == LOOKUP.priority)
        } else if now + estimate.latency > request.deadline {
            Verdict::Refuse(Span::ZERO)
        } else {
            Verdict::Send
        };
        match verdict {
            Verdict::Refuse(_) => self.jobs[index].is_sent = true,
            Verdict::Hold(end) => {
                let id = self.queue.push(waiter);
                self.jobs[index].waiter = Some(id);
                self.waiting.insert(id, index);
                let recheck = end.min(now + RECHECK);
                self.events.push(Reverse((recheck, Event::Recheck(index))));
            }
            Verdict::Send => {
                self.jobs[index].is_sent = true;
                self.queue.record_sent(flow, Span::from_millis(route.work_ms));
                if load < SLOTS {
                    self.start(now, target, index);
                } else if load < SLOTS + TARGET_QUEUE {
                    self.targets[target].queue.push_back(index);
                }
            }
        }
    }

    fn start(&mut self, now: Instant, target: usize, index: usize) {
        self.targets[target].running += 1;
        let spread = 0.85 + 0.3 * self.random.f64();
        let work_ms = ROUTES[self.jobs[index].route].work_ms as f64 * spread;
        let end = now + Span::from_millis(work_ms as u64);
        self.events.push(Reverse((end, Event::Completion(target, index))));
    }

    fn complete(&mut self, now: Instant, target: usize, index: usize) {
        let job = self.jobs[index];
        let ms = now.since(job.arrived).as_millis();
        let tally = self.tallies.get_mut(&(job.route, job.tenant)).unwrap();
        tally.served += f64::from(ms <= ROUTES[job.route].deadline_ms);
        tally.in_time += f64::from(ms <= ROUTES[job.route].objective_ms);
        self.targets[target].running -= 1;
        if let Some(next) = self.targets[target].queue.pop_front() {
            self.start(now, target, next);
        }
        let next = self.queue.release(now, SERVICE, TargetId(target as u32));
        if let Some(&next) = next.and_then(|id| self.waiting.get(&id)) {
            self.try_send(now, next);
        }
    }

    fn sum(&self, matches: impl Fn(usize, u64) -> bool) -> Tally {
        let parts = self.tallies.iter().filter(|((route, tenant), _)| matches(*route, *tenant));
        parts.fold(Tally::default(), |sum, (_, part)| Tally {
            total: sum.total + part.total,
            served: sum.served + part.served,
            in_time: sum.in_time + part.in_time,
        })
    }

    fn route(&self, route: usize) -> Tally {
        self.sum(|other, _| other == route)
    }
}

/// Requests a second that keep all slots of ten targets busy: 60 in 100 look-ups.
const CAPACITY_PER_S: f64 = (10 * SLOTS) as f64 / (0.6 * 0.64 + 0.4 * 0.83);

/// Streams of both routes for 20 s at `load` times the capacity, from ten tenants each.
fn usual(load: f64) -> Vec<Stream> {
    let per_s = load * CAPACITY_PER_S / 10.0;
    let streams = |tenant| {
        [Stream(0, tenant, 0.6 * per_s, 0.0, 20.0), Stream(1, tenant, 0.4 * per_s, 0.0, 20.0)]
    };
    (0..10).flat_map(streams).collect()
}

/// Plays with and without waiting at the gateway.
fn play_both(target_count: usize, streams: &[Stream]) -> [World; 2] {
    [true, false].map(|is_held| World::play(is_held, target_count, streams))
}

/// A patient route that sends several times its usual must not make urgent requests late, and must
/// not lose by waiting itself.
#[test]
fn patient_burst() {
    let mut streams = usual(0.75);
    streams.push(Stream(1, 0, 0.6 * CAPACITY_PER_S, 5.0, 9.0));
    let [held, sent] = play_both(10, &streams);
    let (urgent, patient) = (held.route(0), held.route(1));
    assert!(urgent.in_time() > 0.97, "{urgent:?}, unordered {:?}", sent.route(0));
    assert!(urgent.in_time() > sent.route(0).in_time() + 0.03, "{:?}", sent.route(0));
    assert!(patient.in_time() > sent.route(1).in_time() - 0.02, "{patient:?}, {:?}", sent.route(1));
}

/// One tenant that sends much more than others must not take their room.
#[test]
fn hot_tenant() {
    let mut streams = usual(0.75);
    streams.push(Stream(0, 99, 0.8 * CAPACITY_PER_S, 5.0, 11.0));
    let [held, sent] = play_both(10, &streams);
    let others = |world: &World| world.sum(|_, tenant| tenant != 99);
    let hot = held.sum(|_, tenant| tenant == 99);
    assert!(others(&held).in_time() > hot.in_time() + 0.1, "{:?}, hot {hot:?}", others(&held));
    let unordered = others(&sent);
    assert!(others(&held).in_time() > unordered.in_time() + 0.05, "{unordered:?}");
}

/// A third of the targets is gone: what is urgent is served at least as often as what is not, and
/// nothing is starved.
#[test]
fn lost_targets() {
    let [held, sent] = play_both(7, &usual(0.95));
    let (urgent, patient, all) = (held.route(0), held.route(1), held.sum(|_, _| true));
    assert!(urgent.served() >= patient.served() - 0.05, "{urgent:?}, {patient:?}");
    assert!(patient.served() >= all.served() / 4.0, "{patient:?} of {all:?}");
    let worth = |world: &World| world.sum(|_, _| true).in_time();
    assert!(worth(&held) > worth(&sent), "{} in time, {} unordered", worth(&held), worth(&sent));
}

/// While there is room, no request is held.
#[test]
fn enough_room() {
    let [held, sent] = play_both(10, &usual(0.5));
    for route in 0..2 {
        let (held, sent) = (held.route(route), sent.route(route));
        assert!(held.in_time() >= sent.in_time() - 0.002, "{held:?}, {sent:?}");
    }
}

/// Less urgent requests come back later, so that urgent ones find the room that becomes free.
#[test]
fn return_order() {
    let wait = Span::from_millis(400);
    assert_eq!(retry_after(wait, 0), wait);
    assert!(retry_after(wait, 1) < retry_after(wait, 2));
}
