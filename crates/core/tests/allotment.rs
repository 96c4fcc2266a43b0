//! Quotas over all machines, in a simulated fleet without a network: real membership and quotas,
//! simulated links, clients and faults. The tests guard against a tenant that gets more than its
//! quota over all machines together, and against requests that are rejected below the quota.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{IpAddr, Ipv4Addr};

use ebonypass_core::allotment::{
    Allotment, Limit, MAX_WAIT, Member, Message, POLL_INTERVAL, Tolerance, Verdict,
};
use ebonypass_core::gossip::{self, Heartbeat, Membership, Peer, ROUND_INTERVAL};
use ebonypass_core::time::{Instant, Span};
use fastrand::Rng;
use test_case::test_case;

const TOLERANCE: Tolerance =
    Tolerance { window: Span::from_secs(5), overshoot: 0.1, allowance: 20.0 };
/// Quotas are this much above the usual demand.
const HEADROOM: f64 = 1.6;
/// Times the usual load that a misbehaving tenant sends, and the machines that it uses.
const SURGE: f64 = 7.5;
const SURGE_MACHINES: usize = 3;
/// Bytes of the headers of IP and UDP for each datagram.
const HEADER_BYTES: usize = 28;
/// A process is ready after this time.
const READY_AFTER: Span = Span::from_millis(800);
const SEED_COUNT: usize = 3;
const CENTRE_COUNT: usize = 6;
/// Clients arrive after this time.
const CLIENTS_AT: f64 = 8.0;

fn at(seconds: f64) -> Instant {
    Instant::from_micros((seconds * 1e6) as u64)
}

fn address(index: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, (index >> 8) as u8, index as u8))
}

fn index_of(address: IpAddr) -> usize {
    let IpAddr::V4(address) = address else { unreachable!() };
    let [_, _, high, low] = address.octets();
    usize::from(high) << 8 | usize::from(low)
}

/// A process of a machine.
struct Process {
    membership: Membership,
    allotment: Allotment,
    arrivals: u64,
    /// When it gets its configuration.
    ready_at: Instant,
    /// Requests that wait: the tenant, the arrival, and whether it is within the quota.
    waiting: Vec<(usize, Instant, bool)>,
}

struct Machine {
    process: Option<Process>,
    /// Number of starts, by which events of earlier processes are recognised.
    starts: u32,
    is_cut_off: bool,
    strength: u8,
}

/// A tenant and what happened to its requests.
struct Tenant {
    limit: Limit,
    usual_per_s: f64,
    is_surging: bool,
    /// A bucket with the tenant's limit that knows all requests.
    ideal_level: f64,
    ideal_at: Instant,
    executed: Vec<Instant>,
    within_quota: usize,
    rejected_within_quota: usize,
}

#[derive(Clone, Copy)]
enum Fault {
    Kill(f64),
    Restart,
    CutOff(f64),
    Reconnect,
    Surge,
    Lower,
}

enum Action {
    Gossip(usize, usize, gossip::Message),
    Quota(usize, usize, Message),
    Round(usize, u32),
    Poll(usize, u32),
    Arrival(usize),
    Limits(usize),
    Fault(Fault),
}

struct Event {
    at: Instant,
    number: u64,
    action: Action,
}

impl PartialEq for Event {
    fn eq(&self, other: &Event) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for Event {}
impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Event) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Event {
    fn cmp(&self, other: &Event) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

struct Fleet {
    now: Instant,
    rng: Rng,
    events: BinaryHeap<Reverse<Event>>,
    count: u64,
    machines: Vec<Machine>,
    tenants: Vec<Tenant>,
    /// Share of messages that are lost, and that arrive late.
    loss: f64,
    late: f64,
    quota_bytes: usize,
    surge_machines: usize,
    lowered_at: Option<Instant>,
    /// Limit of the first tenant before it was lowered.
    old_limit: Limit,
}

fn tenants() -> Vec<Tenant> {
    let rates = [400.0, 300.0, 160.0, 80.0].into_iter().chain((0..80).map(|index| {
        // 1 to 5 requests a second.
        HEADROOM * (1.0 + 4.0 * f64::from(index) / 79.0)
    }));
    let tenant = |rate_per_s: f64| {
        let limit = Limit { rate_per_s, burst: rate_per_s.max(4.0) };
        Tenant {
            limit,
            usual_per_s: rate_per_s / HEADROOM,
            is_surging: false,
            ideal_level: limit.burst,
            ideal_at: Instant::ZERO,
            executed: Vec::new(),
            within_quota: 0,
            rejected_within_quota: 0,
        }
    };
    rates.map(tenant).collect()
}

impl Fleet {
    fn new(size: usize, seed: u64, loss: f64, late: f64) -> Fleet {
        let machine = |index| Machine {
            process: None,
            starts: 0,
            is_cut_off: false,
            strength: if index % 7 == 0 { 5 } else { 1 },
        };
        let tenants = tenants();
        let mut fleet = Fleet {
            now: Instant::ZERO,
            rng: Rng::with_seed(seed),
            events: BinaryHeap::new(),
            count: 0,
            machines: (0..size).map(machine).collect(),
            old_limit: tenants[0].limit,
            tenants,
            loss,
            late,
            quota_bytes: 0,
            surge_machines: SURGE_MACHINES,
            lowered_at: None,
        };
        for index in 0..size {
            fleet.start(index);
        }
        for tenant in 0..fleet.tenants.len() {
            fleet.schedule(at(CLIENTS_AT), Action::Arrival(tenant));
        }
        fleet
    }

    fn schedule(&mut self, at: Instant, action: Action) {
        self.count += 1;
        self.events.push(Reverse(Event { at, number: self.count, action }));
    }

    fn fault(&mut self, seconds: f64, fault: Fault) {
        self.schedule(at(seconds), Action::Fault(fault));
    }

    fn limits(&self) -> Vec<(u32, Limit)> {
        let limits = self.tenants.iter().enumerate();
        limits.map(|(index, tenant)| (index as u32, tenant.limit)).collect()
    }

    fn start(&mut self, index: usize) {
        let now = self.now;
        let own = Peer {
            name: format!("vm-{index}"),
            address: address(index),
            centre: format!("centre-{}", index % CENTRE_COUNT),
            strength: self.machines[index].strength,
            heartbeat: Heartbeat::at_start(1_000_000 + now.as_micros() / 1_000),
        };
        let mut allotment = Allotment::new(now, address(index), TOLERANCE, true);
        allotment.set_limits(now, self.limits());
        let membership = Membership::new(now, own);
        let process = Process {
            membership,
            allotment,
            arrivals: 0,
            ready_at: now + READY_AFTER,
            waiting: Vec::new(),
        };
        let machine = &mut self.machines[index];
        machine.starts += 1;
        machine.process = Some(process);
        let starts = machine.starts;
        let offset = Span::from_micros(self.rng.u64(0..400_000));
        self.schedule(now + offset, Action::Round(index, starts));
        self.schedule(now + offset, Action::Poll(index, starts));
    }

    /// Time of a message between two machines; none if it is lost.
    fn delay(&mut self, from: usize, to: usize) -> Option<Span> {
        let is_cut = self.machines[from].is_cut_off || self.machines[to].is_cut_off;
        if is_cut || self.rng.f64() < self.loss {
            return None;
        }
        let (from, to) = (from % CENTRE_COUNT, to % CENTRE_COUNT);
        let micros = match (from == to, from / 2 == to / 2) {
            (true, _) => 300,
            (_, true) => self.rng.u64(900..3_000),
            _ => 20_000 + self.rng.u64(0..1_500),
        };
        let extra = if self.rng.f64() < self.late { self.rng.u64(50_000..1_500_000) } else { 0 };
        Some(Span::from_micros(micros + extra))
    }

    fn send_gossip(&mut self, from: usize, to: IpAddr, kind: gossip::Kind) {
        let to = index_of(to);
        let Some(delay) = self.delay(from, to) else { return };
        let (now, rng) = (self.now, &mut self.rng);
        let Some(process) = &self.machines[from].process else { return };
        let message = process.membership.message(now, kind, |limit| rng.usize(0..limit));
        self.schedule(now + delay, Action::Gossip(from, to, message));
    }

    fn round(&mut self, index: usize) {
        let (now, rng) = (self.now, &mut self.rng);
        let Some(process) = &mut self.machines[index].process else { return };
        let membership = &mut process.membership;
        membership.start_round(now >= process.ready_at, Span::ZERO);
        membership.record_requests(std::mem::take(&mut process.arrivals));
        let wants_replies = membership.needs_replies(now);
        let kind = if wants_replies { gossip::Kind::Request } else { gossip::Kind::Gossip };
        let recipients = membership.recipients(now, |limit| rng.usize(0..limit));
        membership.expire(now, ROUND_INTERVAL);
        let has_peers = membership.live_peers(now).next().is_some();
        let peers = membership.known_peers(now).chain([(membership.own(), Span::ZERO)]);
        let members: Vec<Member> = peers
            .map(|(peer, silence)| Member {
                address: peer.address,
                strength: peer.strength,
                demand: peer.heartbeat.demand,
                is_ready: peer.heartbeat.is_ready,
                silence,
            })
            .collect();
        process.allotment.set_fleet(now, &members);
        for recipient in recipients {
            self.send_gossip(index, recipient, kind);
        }
        if !has_peers {
            for seed in (0..SEED_COUNT).filter(|seed| *seed != index) {
                self.send_gossip(index, address(seed), gossip::Kind::Request);
            }
        }
        self.drain(index);
    }

    /// Decides on waiting requests and sends the messages of one machine.
    fn drain(&mut self, index: usize) {
        let now = self.now;
        let Some(process) = &mut self.machines[index].process else { return };
        let has_news = !process.allotment.take_news().is_empty();
        let waiting = std::mem::take(&mut process.waiting);
        for (tenant, since, is_within) in waiting {
            if !has_news && now.since(since) < MAX_WAIT {
                process.waiting.push((tenant, since, is_within));
                continue;
            }
            match process.allotment.retry(now, tenant as u32, since) {
                Verdict::Granted => self.tenants[tenant].executed.push(now),
                Verdict::Wait => process.waiting.push((tenant, since, is_within)),
                Verdict::Denied(_) => {
                    self.tenants[tenant].rejected_within_quota += usize::from(is_within);
                }
            }
        }
        for (to, message) in process.allotment.take_messages() {
            let bytes = postcard::to_stdvec(&message).unwrap().len() + 1;
            assert!(bytes <= 1_472, "a datagram of {bytes} bytes");
            self.quota_bytes += bytes + HEADER_BYTES;
            let to = index_of(to);
            if let Some(delay) = self.delay(index, to) {
                self.schedule(now + delay, Action::Quota(index, to, message));
            }
        }
    }

    fn arrival(&mut self, tenant: usize) {
        let now = self.now;
        let state = &mut self.tenants[tenant];
        let factor = if state.is_surging { SURGE } else { 1.0 };
        let gap = -self.rng.f64().max(1e-12).ln() / (state.usual_per_s * factor);
        let elapsed = now.since(state.ideal_at).as_micros() as f64 / 1e6;
        let refilled = state.ideal_level + elapsed * state.limit.rate_per_s;
        state.ideal_level = refilled.min(state.limit.burst);
        state.ideal_at = now;
        let is_within = state.ideal_level >= 1.0;
        state.ideal_level -= f64::from(u8::from(is_within));
        state.within_quota += usize::from(is_within);
        let is_surging = state.is_surging;
        self.schedule(now + Span::from_micros((gap * 1e6) as u64), Action::Arrival(tenant));
        let index = loop {
            let count = self.machines.len();
            let index = match is_surging {
                true => (tenant * 5 + self.rng.usize(0..self.surge_machines)) % count,
                false => self.rng.usize(0..count),
            };
            let is_chosen = is_surging || self.rng.u8(0..5) < self.machines[index].strength;
            let process = &self.machines[index].process;
            if process.as_ref().is_some_and(|process| now >= process.ready_at) && is_chosen {
                break index;
            }
            if is_surging {
                return;
            }
        };
        let Some(process) = &mut self.machines[index].process else { return };
        process.arrivals += 1;
        match process.allotment.try_take(now, tenant as u32) {
            Verdict::Granted => self.tenants[tenant].executed.push(now),
            Verdict::Wait => process.waiting.push((tenant, now, is_within)),
            Verdict::Denied(_) => {
                self.tenants[tenant].rejected_within_quota += usize::from(is_within);
            }
        }
        self.drain(index);
    }

    fn apply(&mut self, fault: Fault) {
        let size = self.machines.len();
        let mut indices: Vec<usize> = (0..size).collect();
        self.rng.shuffle(&mut indices);
        match fault {
            Fault::Kill(part) => {
                for &index in indices.iter().take((size as f64 * part) as usize) {
                    self.machines[index].process = None;
                }
            }
            Fault::Restart => {
                for index in 0..size {
                    if self.machines[index].process.is_none() {
                        self.start(index);
                    }
                }
            }
            Fault::CutOff(part) => {
                for &index in indices.iter().take((size as f64 * part) as usize) {
                    self.machines[index].is_cut_off = true;
                }
            }
            Fault::Reconnect => {
                self.machines.iter_mut().for_each(|machine| machine.is_cut_off = false);
            }
            Fault::Surge => {
                for tenant in [0, 2, 10, 60] {
                    self.tenants[tenant].is_surging = true;
                }
            }
            Fault::Lower => {
                self.tenants[0].limit.rate_per_s /= 2.0;
                self.tenants[0].limit.burst /= 2.0;
                // The configuration is in force when the last machine has it.
                self.lowered_at = Some(self.now + Span::from_millis(500));
                for index in 0..size {
                    let delay = Span::from_micros(self.rng.u64(0..500_000));
                    self.schedule(self.now + delay, Action::Limits(index));
                }
            }
        }
    }

    fn run(&mut self, until: f64) {
        while self.events.peek().is_some_and(|Reverse(event)| event.at < at(until)) {
            let Some(Reverse(event)) = self.events.pop() else { return };
            self.now = event.at;
            self.step(event.action);
        }
    }

    fn step(&mut self, action: Action) {
        let now = self.now;
        match action {
            Action::Gossip(from, to, message) => {
                let wants_reply = message.wants_reply;
                let Some(process) = &mut self.machines[to].process else { return };
                process.allotment.record_contact(now, address(from));
                process.membership.handle_message(now, message);
                if wants_reply {
                    self.send_gossip(to, address(from), gossip::Kind::Reply);
                }
            }
            Action::Quota(from, to, message) => {
                let Some(process) = &mut self.machines[to].process else { return };
                process.allotment.record_contact(now, address(from));
                process.allotment.handle_message(now, address(from), message);
                self.drain(to);
            }
            Action::Round(index, starts) if self.machines[index].starts == starts => {
                self.round(index);
                if self.machines[index].process.is_some() {
                    self.schedule(now + ROUND_INTERVAL, Action::Round(index, starts));
                }
            }
            Action::Poll(index, starts) if self.machines[index].starts == starts => {
                let Some(process) = &mut self.machines[index].process else { return };
                process.allotment.poll(now);
                self.drain(index);
                self.schedule(now + POLL_INTERVAL, Action::Poll(index, starts));
            }
            Action::Round(..) | Action::Poll(..) => {}
            Action::Arrival(tenant) => self.arrival(tenant),
            Action::Limits(index) => {
                let limits = self.limits();
                let Some(process) = &mut self.machines[index].process else { return };
                process.allotment.set_limits(now, limits);
                self.drain(index);
            }
            Action::Fault(fault) => self.apply(fault),
        }
    }

    /// The largest ratio of a tenant's requests in a window to the bound.
    fn largest_ratio(&self) -> (f64, usize) {
        let bound = |limit: Limit| {
            let window_s = TOLERANCE.window.as_micros() as f64 / 1e6;
            let limit = limit.rate_per_s * window_s + limit.burst;
            limit * (1.0 + TOLERANCE.overshoot) + TOLERANCE.allowance
        };
        let mut largest = (0.0, 0);
        for (index, tenant) in self.tenants.iter().enumerate() {
            let mut end = 0;
            for (start, &time) in tenant.executed.iter().enumerate() {
                while tenant.executed.get(end).is_some_and(|other| *other < time + TOLERANCE.window)
                {
                    end += 1;
                }
                let is_lowered = self.lowered_at.is_none_or(|lowered_at| time >= lowered_at);
                let limit = if index == 0 && !is_lowered { self.old_limit } else { tenant.limit };
                let ratio = (end - start) as f64 / bound(limit);
                if ratio > largest.0 {
                    largest = (ratio, index);
                }
            }
        }
        largest
    }

    /// The share of requests within the quota that were rejected, of the tenants that keep to it.
    fn rejected_share(&self) -> (f64, f64) {
        let share = |is_counted: &dyn Fn(&&Tenant) -> bool| {
            let counted = || self.tenants.iter().filter(|t| !t.is_surging).filter(is_counted);
            let rejected: usize = counted().map(|tenant| tenant.rejected_within_quota).sum();
            rejected as f64 / counted().map(|tenant| tenant.within_quota).sum::<usize>() as f64
        };
        (share(&|_| true), share(&|tenant| tenant.limit.rate_per_s < 10.0))
    }

    fn report(&self, name: &str) -> (f64, f64, f64, f64) {
        let size = self.machines.len();
        let (ratio, tenant) = self.largest_ratio();
        let (all, small) = self.rejected_share();
        let bytes = self.quota_bytes as f64 / size as f64 / (self.now.as_micros() as f64 / 1e6);
        println!(
            "{name} with {size}: window at {ratio:.3} of its bound (tenant {tenant}), rejected \
             {all:.5}, of small tenants {small:.5}, {bytes:.0} bytes/s"
        );
        (ratio, all, small, bytes)
    }

    /// Forgets what was measured.
    fn reset(&mut self) {
        for tenant in &mut self.tenants {
            tenant.within_quota = 0;
            tenant.rejected_within_quota = 0;
        }
    }
}

/// The largest share of requests within a quota that may be rejected in a stable fleet, and while
/// machines join and leave.
const STABLE_SHARE: f64 = 0.001;
const RESTART_SHARE: f64 = 0.03;
/// The largest number of bytes a second that a machine of a large fleet may send.
const MAX_BYTES_PER_S: f64 = 2_048.0;

#[test_case(12, 4; "of 12 machines")]
#[test_case(83, 2; "of 83 machines")]
fn stable_fleet(size: usize, seeds: u64) {
    for seed in 0..seeds {
        let mut fleet = Fleet::new(size, seed, 0.01, 0.01);
        fleet.run(28.0);
        let (ratio, all, small, _) = fleet.report("stable");
        assert!(ratio <= 1.0);
        assert!(all < STABLE_SHARE && small < STABLE_SHARE);
    }
}

#[test_case(12, 8; "of 12 machines")]
#[test_case(83, 4; "of 83 machines")]
fn restarted_machines(size: usize, seeds: u64) {
    for seed in 0..seeds {
        let mut fleet = Fleet::new(size, seed, 0.01, 0.01);
        fleet.fault(12.0, Fault::Kill(0.6));
        fleet.fault(14.0, Fault::Restart);
        fleet.run(30.0);
        let (ratio, all, small, _) = fleet.report("restarts");
        assert!(ratio <= 1.0);
        assert!(all < RESTART_SHARE && small < RESTART_SHARE);
    }
}

#[test_case(12, 8; "of 12 machines")]
#[test_case(83, 4; "of 83 machines")]
fn rolling_restarts(size: usize, seeds: u64) {
    for seed in 0..seeds {
        let mut fleet = Fleet::new(size, seed, 0.01, 0.01);
        for step in 0..8 {
            let start = 12.0 + 2.0 * f64::from(step);
            fleet.fault(start, Fault::Kill(0.1));
            fleet.fault(start + 1.5, Fault::Restart);
        }
        fleet.run(30.0);
        let (ratio, all, small, _) = fleet.report("rolling restarts");
        assert!(ratio <= 1.0);
        assert!(all < RESTART_SHARE && small < RESTART_SHARE);
    }
}

/// The machines that are cut off know neither the owners nor what the others grant.
#[test_case(12, 8; "of 12 machines")]
#[test_case(83, 4; "of 83 machines")]
fn cut_off_machines(size: usize, seeds: u64) {
    for seed in 0..seeds {
        let mut fleet = Fleet::new(size, seed, 0.01, 0.01);
        fleet.fault(12.0, Fault::CutOff(0.35));
        fleet.fault(24.0, Fault::Reconnect);
        fleet.run(30.0);
        assert!(fleet.report("partition").0 <= 1.0);
    }
}

#[test_case(12, 4; "of 12 machines")]
#[test_case(83, 2; "of 83 machines")]
fn surging_tenants(size: usize, seeds: u64) {
    for seed in 0..seeds {
        let mut fleet = Fleet::new(size, seed, 0.01, 0.01);
        fleet.fault(12.0, Fault::Surge);
        fleet.run(30.0);
        let (ratio, all, small, _) = fleet.report("surge");
        assert!(ratio <= 1.0);
        assert!(all < STABLE_SHARE && small < STABLE_SHARE);
    }
}

/// The buckets are full when the surge and the fault begin.
#[test_case(12, 8; "of 12 machines")]
#[test_case(83, 4; "of 83 machines")]
fn surge_with_faults(size: usize, seeds: u64) {
    for seed in 0..seeds {
        for start in [12.0, 13.0] {
            let mut fleet = Fleet::new(size, seed, 0.02, 0.02);
            fleet.fault(start, Fault::Surge);
            fleet.fault(12.5, Fault::CutOff(0.35));
            fleet.fault(24.5, Fault::Reconnect);
            fleet.run(30.0);
            assert!(fleet.report("surge and partition").0 <= 1.0);
            let mut fleet = Fleet::new(size, seed, 0.02, 0.02);
            fleet.fault(start, Fault::Surge);
            fleet.fault(12.5, Fault::Kill(0.6));
            fleet.fault(14.5, Fault::Restart);
            fleet.run(24.0);
            assert!(fleet.report("surge and restarts").0 <= 1.0);
        }
    }
}

/// Each machine that is cut off uses what it may of the quotas.
#[test_case(12, 8; "of 12 machines")]
#[test_case(83, 1; "of 83 machines")]
fn surge_everywhere(size: usize, seeds: u64) {
    for seed in 0..seeds {
        let mut fleet = Fleet::new(size, seed, 0.02, 0.02);
        fleet.surge_machines = size;
        fleet.fault(12.5, Fault::Surge);
        fleet.fault(12.5, Fault::CutOff(0.35));
        fleet.fault(24.5, Fault::Reconnect);
        fleet.run(30.0);
        assert!(fleet.report("surge everywhere").0 <= 1.0);
    }
}

#[test_case(12, 4; "of 12 machines")]
#[test_case(83, 2; "of 83 machines")]
fn lowered_limit(size: usize, seeds: u64) {
    for seed in 0..seeds {
        let mut fleet = Fleet::new(size, seed, 0.01, 0.01);
        fleet.fault(12.0, Fault::Surge);
        fleet.fault(18.0, Fault::Lower);
        fleet.run(28.0);
        assert!(fleet.report("lowered limit").0 <= 1.0);
    }
}

#[test]
fn large_fleet() {
    let mut fleet = Fleet::new(300, 1, 0.01, 0.01);
    fleet.run(11.0);
    let (ratio, all, small, _) = fleet.report("stable");
    assert!(ratio <= 1.0);
    assert!(all < STABLE_SHARE && small < STABLE_SHARE);
    fleet.reset();
    fleet.fault(11.0, Fault::Kill(0.6));
    fleet.fault(13.0, Fault::Restart);
    fleet.run(19.0);
    let (ratio, all, _, bytes) = fleet.report("restarts");
    assert!(ratio <= 1.0);
    assert!(all < RESTART_SHARE);
    assert!(bytes < MAX_BYTES_PER_S);
    fleet.reset();
    fleet.fault(19.0, Fault::Surge);
    fleet.fault(19.0, Fault::CutOff(0.35));
    fleet.run(25.0);
    let (ratio, _, _, bytes) = fleet.report("surge and partition");
    assert!(ratio <= 1.0);
    assert!(bytes < MAX_BYTES_PER_S);
}

/// The quota of one machine and one tenant, with a rate of 10 and a burst of 5.
fn lone_machine(has_peers: bool) -> Allotment {
    let mut allotment = Allotment::new(Instant::ZERO, address(0), TOLERANCE, has_peers);
    allotment.set_limits(Instant::ZERO, [(7, Limit { rate_per_s: 10.0, burst: 5.0 })]);
    let own =
        Member { address: address(0), strength: 1, demand: 0, is_ready: true, silence: Span::ZERO };
    allotment.set_fleet(Instant::ZERO, &[own]);
    allotment
}

/// The number of requests that are granted out of one each 10 ms in a time.
fn granted(allotment: &mut Allotment, tenant: u32, from: f64, until: f64) -> usize {
    let mut now = at(from);
    let mut waiting: Vec<Instant> = Vec::new();
    let mut count = 0;
    while now < at(until) {
        allotment.poll(now);
        let retries = std::mem::take(&mut waiting);
        for since in retries {
            match allotment.retry(now, tenant, since) {
                Verdict::Granted => count += 1,
                Verdict::Wait => waiting.push(since),
                Verdict::Denied(_) => {}
            }
        }
        match allotment.try_take(now, tenant) {
            Verdict::Granted => count += 1,
            Verdict::Wait => waiting.push(now),
            Verdict::Denied(retry_after) => assert!(retry_after > Span::ZERO),
        }
        now = now + Span::from_millis(10);
    }
    count
}

#[test]
fn unlimited_tenant() {
    assert_eq!(granted(&mut lone_machine(true), 8, 0.0, 1.0), 100);
}

/// A fleet of one machine has nobody to ask.
#[test]
fn single_machine() {
    let mut allotment = lone_machine(false);
    assert_eq!(granted(&mut allotment, 7, 0.0, 4.9), 0);
    let count = granted(&mut allotment, 7, 5.1, 15.1);
    assert!((95..=120).contains(&count), "{count} granted at a rate of 10 in 10 s");
}

/// A machine that starts while it is cut off knows neither the fleet nor what it granted before.
#[test]
fn isolated_start() {
    assert_eq!(granted(&mut lone_machine(true), 7, 0.0, 120.0), 0);
}

/// The names of all machines are forgotten after a while. A machine that is cut off for longer must
/// not take itself for the whole fleet.
#[test]
fn long_isolation() {
    let mut fleet = Fleet::new(12, 3, 0.0, 0.0);
    fleet.fault(10.0, Fault::CutOff(0.35));
    fleet.run(80.0);
    let before = fleet.tenants[0].executed.len();
    for machine in fleet.machines.iter_mut().filter(|machine| !machine.is_cut_off) {
        machine.process = None;
    }
    fleet.run(90.0);
    let per_s = (fleet.tenants[0].executed.len() - before) as f64 / 10.0;
    let limit = fleet.tenants[0].limit.rate_per_s;
    assert!(per_s < limit * 0.5, "{per_s} a second of {limit} on a third of the machines");
}
