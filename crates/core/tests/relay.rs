//! Where machines get the store's objects from, simulated with fleets of up to 295 machines without
//! a network. The tests guard against herds of store calls, which are priced and rate limited,
//! against machines that serve copies to too many others, and against changes that arrive too late.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr};

use ebonypass_core::gossip::{Heartbeat, Peer};
use ebonypass_core::relay::{
    Contact, FIRST_START_DELAY, Fault, START_DELAY, Selector, Step, View, order,
};
use ebonypass_core::time::{Instant, Span};
use test_case::test_case;

/// Resolution of the simulation.
const TICK: Span = Span::from_millis(20);
/// How long a watch waits for changes.
const WAIT: Span = Span::from_millis(1_000);
/// The same for a poll.
const POLL_WAIT: Span = Span::from_millis(500);
/// Timeout of a poll or a call that is not answered.
const TIMEOUT: Span = Span::from_millis(1_350);
/// How long news of a machine's state takes to reach the others.
const GOSSIP_DELAY: Span = Span::from_millis(1_200);
/// Silence after which a machine no longer counts as live.
const DEAD_AFTER: Span = Span::from_millis(3_600);
/// Time without a source after which a machine says that its copy is not current.
const STALE_GRACE: Span = Span::from_millis(400);
/// Bound on the time from a change to its arrival at each machine in touch: the shortest time after
/// which a leaving target must get no more requests.
const CHANGE_BOUND: Span = Span::from_millis(2_500);

/// A call to the store or a poll that waits for its answer.
#[derive(Debug, Clone, Copy)]
struct Wait {
    /// The polled machine; none for the store.
    peer: Option<usize>,
    since: Instant,
    /// For how long the answer waits for changes.
    most: Span,
}

struct Machine {
    peer: Peer,
    selector: Selector,
    revision: u64,
    /// When it lost its source.
    stale_since: Option<Instant>,
    is_down: bool,
    /// The store answers this machine.
    reaches_store: bool,
    /// When its watch last succeeded.
    watched_at: Option<Instant>,
    wait: Option<Wait>,
    copies_sent: usize,
    /// Machines between this one and the store.
    hops: u8,
}

struct Fleet {
    now: Instant,
    machines: Vec<Machine>,
    revision: u64,
    calls: usize,
    /// Live machines and whether they call the store, as gossip has it, by time.
    news: Vec<(Instant, Vec<bool>, Vec<bool>)>,
    seed: u64,
}

fn region(centre: usize) -> usize {
    centre % 3
}

impl Fleet {
    /// A fleet in nine data centres of three regions, with three strong machines in each, that
    /// starts for the first time or again.
    fn new(size: usize, delay: Span) -> Fleet {
        let machine = |index: usize| Machine {
            peer: Peer {
                name: format!("vm-{index}"),
                address: IpAddr::V4(Ipv4Addr::new(10, 0, (index >> 8) as u8, index as u8)),
                centre: format!("centre-{}", index % 9),
                strength: if index < 27 { 5 } else { 1 },
                heartbeat: Heartbeat::at_start(0),
            },
            selector: Selector::new(Instant::ZERO, delay),
            revision: 0,
            stale_since: None,
            is_down: false,
            reaches_store: true,
            watched_at: None,
            wait: None,
            copies_sent: 0,
            hops: 0,
        };
        Fleet {
            now: Instant::ZERO,
            machines: (0..size).map(machine).collect(),
            revision: 1,
            calls: 0,
            news: Vec::new(),
            seed: 7,
        }
    }

    /// A fleet in which all machines have a current copy.
    fn settled(size: usize) -> Fleet {
        let mut fleet = Fleet::new(size, FIRST_START_DELAY);
        fleet.run(Span::from_secs(6));
        assert!(fleet.is_current(), "no calm start");
        fleet.calls = 0;
        fleet
    }

    fn random(&mut self) -> f64 {
        self.seed = self.seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.seed >> 11) as f64 / (1u64 << 53) as f64
    }

    fn is_current(&self) -> bool {
        let mut up = self.machines.iter().filter(|machine| !machine.is_down);
        up.all(|machine| machine.revision == self.revision)
    }

    /// The machine of `region` that comes first.
    fn first_of_region(&self, region_index: usize) -> usize {
        let indices = (0..self.machines.len()).filter(|index| region(index % 9) == region_index);
        indices.min_by_key(|&index| order(&self.machines[index].peer)).unwrap()
    }

    fn run(&mut self, time: Span) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
        }
    }

    /// Changes an object and returns the time until all machines know it.
    fn change(&mut self) -> Span {
        self.revision += 1;
        let start = self.now;
        while !self.is_current() {
            self.tick();
            assert!(self.now.since(start) < Span::from_secs(30), "the change does not arrive");
        }
        self.now.since(start)
    }

    fn tick(&mut self) {
        self.now = self.now + TICK;
        let is_up = self.machines.iter().map(|machine| !machine.is_down).collect();
        let now = self.now;
        let is_watching = |machine: &Machine| {
            machine.watched_at.is_some_and(|at| now.since(at) < Span::from_secs(2))
        };
        let watching = self.machines.iter().map(is_watching).collect();
        self.news.push((now, is_up, watching));
        for index in 0..self.machines.len() {
            if !self.machines[index].is_down {
                self.advance(index);
            }
        }
    }

    /// What gossip tells: machines up to some seconds ago count as live.
    fn view(&self) -> Vec<Option<Peer>> {
        let at = |ago: Span| {
            let index = self.news.partition_point(|(at, ..)| self.now.since(*at) >= ago);
            &self.news[index.min(self.news.len() - 1)]
        };
        let (recent, old) = (at(GOSSIP_DELAY), at(DEAD_AFTER));
        let known = |(index, machine): (usize, &Machine)| {
            let is_live = recent.1[index] || old.1[index];
            is_live.then(|| {
                let mut peer = machine.peer.clone();
                peer.heartbeat.store_up_ds = u8::from(recent.2[index]);
                peer
            })
        };
        self.machines.iter().enumerate().map(known).collect()
    }

    fn advance(&mut self, index: usize) {
        if let Some(wait) = self.machines[index].wait {
            self.finish(index, wait);
        }
        if self.machines[index].wait.is_some() {
            return;
        }
        let known = self.view();
        let is_other = |&(other, _): &(usize, &Peer)| other != index;
        let peers = known.iter().enumerate();
        let peers = peers.filter_map(|(other, peer)| Some((other, peer.as_ref()?)));
        let (near, far): (Vec<_>, Vec<_>) =
            peers.filter(is_other).partition(|(other, _)| region(other % 9) == region(index % 9));
        let near: Vec<&Peer> = near.into_iter().map(|(_, peer)| peer).collect();
        let far: Vec<&Peer> = far.into_iter().map(|(_, peer)| peer).collect();
        let now = self.now;
        let machine = &mut self.machines[index];
        let view = View { own: &machine.peer, region: &near, elsewhere: &far };
        // A machine that has lost its source asks for an answer at once.
        let most = |wait| if machine.stale_since.is_some() { Span::ZERO } else { wait };
        let (call, poll) = (most(WAIT), most(POLL_WAIT));
        match machine.selector.next_step(now, &view) {
            Step::Wait => {
                machine.stale_since.get_or_insert(now);
            }
            Step::CallStore => {
                self.calls += 1;
                machine.wait = Some(Wait { peer: None, since: now, most: call });
            }
            Step::Poll(address) => {
                let IpAddr::V4(address) = address else { unreachable!() };
                let [.., high, low] = address.octets();
                let peer = Some(usize::from(high) << 8 | usize::from(low));
                machine.wait = Some(Wait { peer, since: now, most: poll });
            }
        }
    }

    /// Ends a wait whose answer has arrived.
    fn finish(&mut self, index: usize, wait: Wait) {
        let (now, random) = (self.now, self.random());
        let waited = now.since(wait.since);
        let Some(peer) = wait.peer else {
            let revision = self.revision;
            let region_size = self.machines.len() / 3;
            let machine = &mut self.machines[index];
            if !machine.reaches_store {
                machine.selector.record_failed_call(now, region_size, random);
                machine.stale_since.get_or_insert(now);
                (machine.watched_at, machine.wait) = (None, None);
            } else if machine.revision < revision || waited >= wait.most {
                machine.selector.record_call();
                (machine.revision, machine.hops) = (revision, 0);
                (machine.stale_since, machine.watched_at, machine.wait) = (None, Some(now), None);
            }
            return;
        };
        let address = self.machines[peer].peer.address;
        let is_silent = self.machines[peer].is_down;
        let stale_since = self.machines[peer].stale_since;
        let is_stale = stale_since.is_some_and(|since| now.since(since) >= STALE_GRACE);
        let revision = self.machines[peer].revision;
        let known = self.machines[index].revision;
        let is_empty = revision == 0 && waited >= wait.most;
        let is_waiting = !is_stale && revision <= known && waited < wait.most;
        if if is_silent { waited < TIMEOUT } else { is_waiting } {
            return;
        }
        if !is_silent && !is_stale && known == 0 {
            self.machines[peer].copies_sent += 1;
        }
        let hops = self.machines[peer].hops;
        let machine = &mut self.machines[index];
        machine.wait = None;
        if is_silent || is_stale || is_empty {
            let fault = match (is_silent, is_stale) {
                (true, _) => Fault::Unreachable,
                (_, true) => Fault::Stale,
                _ => Fault::Empty,
            };
            machine.selector.record_fault(now, address, fault);
            if machine.revision > 0 {
                machine.stale_since.get_or_insert(now);
            }
        } else {
            machine.revision = machine.revision.max(revision);
            if machine.selector.record_answer(now, address, hops) {
                machine.hops = hops + 1;
                machine.stale_since = None;
            } else {
                machine.stale_since.get_or_insert(now);
            }
        }
    }

    fn count_by_centre(&self) -> HashMap<&str, usize> {
        let mut counts = HashMap::new();
        for machine in &self.machines {
            *counts.entry(machine.peer.centre.as_str()).or_default() += 1;
        }
        counts
    }
}

/// Entries that expired in an outage are kept until some machine has heard the store for a while. A
/// machine that did not call the store during the outage must not count the time before it.
#[test]
fn contact_starts_anew_after_a_pause() {
    let mut contact = Contact::default();
    let at = |ms| Instant::ZERO + Span::from_millis(ms);
    for ms in [10_000, 11_000, 12_000] {
        contact.record_answer(at(ms));
    }
    assert_eq!(contact.uptime(at(12_500)), Span::from_millis(2_500));
    assert_eq!(contact.uptime(at(15_000)), Span::ZERO, "it no longer calls the store");
    contact.record_answer(at(20_000));
    assert_eq!(contact.uptime(at(20_100)), Span::from_millis(100));
    contact.record_failure();
    assert_eq!(contact.uptime(at(20_200)), Span::ZERO);
}

/// In a calm fleet one machine of each region calls the store, however large the fleet is. Before,
/// each machine whose poll failed called it, and a quiet day of 295 machines cost 7,510 calls.
#[test_case(12)]
#[test_case(72)]
#[test_case(295)]
fn calls_do_not_grow_with_the_fleet(size: usize) {
    let mut fleet = Fleet::settled(size);
    fleet.run(Span::from_secs(10));
    assert!(fleet.calls <= 36, "{} calls in 10 s", fleet.calls);
    let time = fleet.change();
    assert!(time <= Span::from_millis(200), "a change took {time:?}");
}

#[test_case(FIRST_START_DELAY; "a first start")]
#[test_case(START_DELAY; "a restart of all machines")]
fn a_start_of_the_whole_fleet_costs_few_calls(delay: Span) {
    let mut fleet = Fleet::new(295, delay);
    fleet.run(Span::from_secs(5));
    assert!(fleet.is_current());
    assert!(fleet.calls <= 30, "{} calls", fleet.calls);
    let largest = fleet.count_by_centre().into_values().max().unwrap();
    let copies = fleet.machines.iter().map(|machine| machine.copies_sent).max().unwrap();
    assert!(copies <= largest + 9, "one machine sent {copies} full copies");
}

#[test]
fn a_lost_watcher_is_replaced_in_time() {
    let mut fleet = Fleet::settled(295);
    let watcher = fleet.first_of_region(0);
    fleet.machines[watcher].is_down = true;
    let time = fleet.change();
    assert!(time <= CHANGE_BOUND, "a change took {time:?}");
    fleet.run(Span::from_secs(5));
    assert!(fleet.calls <= 60, "{} calls", fleet.calls);
}

/// The relays of a data centre may all be lost at once. The bound is the time in which machines of
/// the large deployment must catch up.
#[test]
fn lost_relays_are_replaced_in_time() {
    let mut fleet = Fleet::settled(295);
    for machine in &mut fleet.machines[..27] {
        machine.is_down = machine.peer.centre == "centre-1" || machine.peer.centre == "centre-5";
    }
    let time = fleet.change();
    assert!(time <= Span::from_secs(6), "a change took {time:?}");
    fleet.run(Span::from_secs(5));
    assert!(fleet.calls <= 100, "{} calls", fleet.calls);
}

/// The store refuses a third of the machines, the watchers among them: all of one region, or some of
/// each.
#[test_case(|index| index % 3 == 0; "a region")]
#[test_case(|index| index % 10 < 3; "some of each region")]
fn a_refused_watcher_is_replaced_in_time(is_refused: impl Fn(usize) -> bool) {
    let mut fleet = Fleet::settled(295);
    for index in 0..3 {
        let watcher = fleet.first_of_region(index);
        fleet.machines[watcher].reaches_store = false;
    }
    for (index, machine) in fleet.machines.iter_mut().enumerate() {
        machine.reaches_store &= !is_refused(index);
    }
    fleet.run(Span::from_millis(1_500));
    for _ in 0..5 {
        let time = fleet.change();
        assert!(time <= CHANGE_BOUND, "a change took {time:?}");
        fleet.run(Span::from_millis(1_500));
    }
    assert!(fleet.calls <= 150, "{} calls", fleet.calls);
}

/// An outage must not make all machines call the store. The first change after it must arrive within
/// the time after which the platform takes the store for stable.
#[test_case(12, Span::from_secs(3); "a small fleet")]
#[test_case(295, Span::from_secs(4); "a large fleet")]
fn an_outage_of_the_store_costs_few_calls(size: usize, bound: Span) {
    let mut fleet = Fleet::settled(size);
    for machine in &mut fleet.machines {
        machine.reaches_store = false;
    }
    fleet.run(Span::from_secs(8));
    assert!(fleet.calls <= 200, "{} calls in 8 s of outage", fleet.calls);
    for machine in &mut fleet.machines {
        machine.reaches_store = true;
    }
    let time = fleet.change();
    assert!(time <= bound, "a change took {time:?} after the outage");
}
