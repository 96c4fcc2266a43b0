//! The steward lease: single steps and random interleavings.

mod explore;

use ebonypass_core::lease::{
    Action, CLOCK_MARGIN, CONFLICT_BACKOFF, Fence, LEASE_DURATION, Lease, NO_REPLY_BACKOFF,
    RENEW_INTERVAL, Record, TAKEOVER_DELAY, Term,
};
use ebonypass_core::object::{ReadReply, Versioned, WriteReply};
use ebonypass_core::roster::{Incarnation, Process};
use ebonypass_core::time::{Instant, Span};
use explore::{Clock, Decision, Store, explore, take_message};

const START: Instant = Instant::from_micros(1_000_000);

fn process(number: usize, incarnation: u64) -> Process {
    Process { name: format!("entry-{number}"), incarnation: Incarnation(incarnation) }
}

fn record(number: usize, epoch: u64, renewal: u64) -> Record {
    Record { holder: Some(process(number, 1)), epoch, renewal }
}

fn found(version: u64, value: Record) -> ReadReply<Record> {
    ReadReply::Found(Versioned { version, value })
}

/// Process 0 after it has read `read`.
fn lease(read: ReadReply<Record>) -> Lease {
    let mut lease = Lease::new(process(0, 1));
    lease.set_candidate(true);
    assert_eq!(lease.next_action(START), Some(Action::Read));
    lease.handle_read(START, read);
    lease
}

fn write(if_version: u64, record: Record) -> Option<Action> {
    Some(Action::Write { if_version, record })
}

// The lease must count from before the write, since others count from when they read the record.
#[test]
fn first_acquisition() {
    let mut lease = lease(ReadReply::Absent);
    assert_eq!(lease.next_action(START), write(0, record(0, 1, 1)));
    lease.handle_write(START + Span::from_secs(1), WriteReply::Written(1));
    assert_eq!(lease.term(), Some(Term { epoch: 1, until: START + LEASE_DURATION }));
    assert_eq!(lease.epoch(START + LEASE_DURATION - Span::from_micros(1)), Some(1));
    assert_eq!(lease.epoch(START + LEASE_DURATION), None);
    let renew = START + Span::from_secs(1) + RENEW_INTERVAL;
    assert_eq!(lease.next_action(renew), write(1, record(0, 1, 2)));
}

// A takeover before the lease has expired on the holder's clock gives two holders.
#[test]
fn takeover() {
    let mut lease = lease(found(5, record(1, 3, 9)));
    let early = START + RENEW_INTERVAL;
    assert_eq!(lease.next_action(early), Some(Action::Read));
    lease.handle_read(early, found(5, record(1, 3, 9)));
    let late = START + TAKEOVER_DELAY;
    assert_eq!(lease.next_action(late), Some(Action::Read));
    lease.handle_read(late, found(5, record(1, 3, 9)));
    assert_eq!(lease.next_action(late), write(5, record(0, 4, 1)));
    lease.handle_write(late, WriteReply::Conflict(6));
    assert_eq!(lease.epoch(late), None);
    assert_eq!(lease.next_action(late + CONFLICT_BACKOFF), Some(Action::Read));
}

// If the reply to a write is lost, the lease counts from the start of that write, not of a later
// one.
#[test]
fn lost_reply() {
    let mut lease = lease(ReadReply::Absent);
    lease.next_action(START);
    lease.handle_write(START, WriteReply::NoReply);
    assert_eq!(lease.epoch(START), None);
    let second = START + NO_REPLY_BACKOFF;
    assert_eq!(lease.next_action(second), Some(Action::Read));
    lease.handle_read(second, ReadReply::Absent);
    assert_eq!(lease.next_action(second), write(0, record(0, 1, 2)));
    lease.handle_write(second, WriteReply::Conflict(1));
    let third = second + CONFLICT_BACKOFF;
    assert_eq!(lease.next_action(third), Some(Action::Read));
    lease.handle_read(third, found(1, record(0, 1, 1)));
    assert_eq!(lease.term(), Some(Term { epoch: 1, until: START + LEASE_DURATION }));
}

// A planned stop must not leave the fleet without a steward for a whole lease.
#[test]
fn release() {
    let mut lease = lease(ReadReply::Absent);
    lease.next_action(START);
    lease.handle_write(START, WriteReply::Written(1));
    lease.release(START);
    assert_eq!(lease.epoch(START), None);
    let free = Record { holder: None, epoch: 1, renewal: 2 };
    assert_eq!(lease.next_action(START), write(1, free.clone()));
    let mut other = Lease::new(process(1, 1));
    other.set_candidate(true);
    other.next_action(START);
    other.handle_read(START, found(2, free));
    assert_eq!(other.next_action(START), write(2, record(1, 2, 1)));
}

// Clock rates may differ by 1%. A smaller margin gives two holders for a short time.
#[test]
fn margin_size() {
    let drift = Span::from_micros(LEASE_DURATION.as_micros() / 100);
    assert!(CLOCK_MARGIN >= drift + Span::from_millis(50));
    assert_eq!(TAKEOVER_DELAY, LEASE_DURATION + CLOCK_MARGIN);
}

// Polling by all processes would exhaust the store's read rate.
#[test]
fn only_candidates() {
    let mut lease = Lease::new(process(0, 1));
    assert_eq!(lease.next_action(START), None);
    assert_eq!(lease.wake_at(), Instant::MAX);
}

// A delayed message of a former holder must not undo an action of its successor.
#[test]
fn old_epochs() {
    let mut fence = Fence::default();
    let accepted = [3, 3, 5, 4, 5].map(|epoch| fence.accept(epoch));
    assert_eq!(accepted, [true, true, true, false, true]);
}

// Operators' tools read the stored form.
#[test]
fn stored_form() {
    let text = toml::to_string(&record(0, 7, 12)).unwrap();
    assert_eq!(text, "holder = \"entry-0.1\"\nepoch = 7\nrenewal = 12\n");
    let free: Record = toml::from_str("holder = \"\"\nepoch = 7\nrenewal = 12\n").unwrap();
    assert_eq!(free.holder, None);
}

const NODES: usize = 4;

struct Node {
    clock: Clock,
    lease: Lease,
    incarnation: u64,
    is_paused: bool,
    /// The number of the outstanding store call.
    pending_call: Option<u64>,
}

impl Node {
    fn new(number: usize, incarnation: u64) -> Node {
        let mut lease = Lease::new(process(number, incarnation));
        lease.set_candidate(true);
        let clock = Clock::new(number);
        Node { clock, lease, incarnation, is_paused: false, pending_call: None }
    }
}

enum Message {
    Call { from: usize, call: u64, action: Action },
    Read { to: usize, call: u64, read: ReadReply<Record> },
    Write { to: usize, call: u64, reply: WriteReply },
}

struct Simulation {
    real_time: Instant,
    store: Store<Record>,
    nodes: Vec<Node>,
    in_flight: Vec<Message>,
    call_count: u64,
    /// The highest epoch so far, with the number and incarnation of its holder.
    latest_holder: (u64, usize, u64),
    /// Breaks a rule on purpose: holders ignore the end of their term.
    ignores_expiry: bool,
}

impl Simulation {
    fn new(ignores_expiry: bool) -> Simulation {
        Simulation {
            real_time: START,
            store: Store::new(),
            nodes: (0..NODES).map(|number| Node::new(number, 1)).collect(),
            in_flight: Vec::new(),
            call_count: 0,
            latest_holder: (0, 0, 0),
            ignores_expiry,
        }
    }

    fn step(&mut self, decision: Decision) {
        let number = decision.index(NODES);
        match decision.kind(20) {
            0..=3 => self.real_time = self.real_time + decision.duration(Span::from_secs(12)),
            4..=6 => self.poll(number),
            7..=9 => self.round_trip(number),
            10..=15 => {
                if let Some(message) = take_message(&mut self.in_flight, decision) {
                    self.deliver(message);
                }
            }
            16 => self.time_out_call(number),
            17 => self.nodes[number].is_paused ^= true,
            18 if decision.second_index(4) == 0 => self.store.is_down ^= true,
            19 if decision.second_index(4) == 0 => {
                self.nodes[number] = Node::new(number, self.nodes[number].incarnation + 1);
            }
            _ => {}
        }
    }

    fn poll(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        let now = node.clock.read(self.real_time);
        if node.is_paused {
            return;
        }
        if let Some(action) = node.lease.next_action(now) {
            self.call_count += 1;
            node.pending_call = Some(self.call_count);
            self.in_flight.push(Message::Call { from: number, call: self.call_count, action });
        }
    }

    /// A store call without delay or loss.
    fn round_trip(&mut self, number: usize) {
        let before = self.in_flight.len();
        self.poll(number);
        while self.in_flight.len() > before {
            let message = self.in_flight.pop().expect("the in-flight list is not empty");
            self.deliver(message);
        }
    }

    /// The process gives up its call, but the call may still take effect later.
    fn time_out_call(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        if node.is_paused || node.pending_call.take().is_none() {
            return;
        }
        let now = node.clock.read(self.real_time);
        node.lease.handle_write(now, WriteReply::NoReply);
        node.lease.handle_read(now, ReadReply::NoReply);
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Call { from: to, call, action: Action::Read } => {
                let read = self.store.get();
                self.in_flight.push(Message::Read { to, call, read });
            }
            Message::Call { from: to, call, action: Action::Write { if_version, record } } => {
                let reply = self.store.put(if_version, record);
                self.in_flight.push(Message::Write { to, call, reply });
            }
            Message::Read { to, call, read } => {
                if let Some((node, now)) = self.take_pending_call(to, call) {
                    node.lease.handle_read(now, read);
                }
            }
            Message::Write { to, call, reply } => {
                if let Some((node, now)) = self.take_pending_call(to, call) {
                    node.lease.handle_write(now, reply);
                }
            }
        }
    }

    fn take_pending_call(&mut self, to: usize, call: u64) -> Option<(&mut Node, Instant)> {
        let node = &mut self.nodes[to];
        let now = node.clock.read(self.real_time);
        let is_waiting = !node.is_paused && node.pending_call == Some(call);
        is_waiting.then(|| node.pending_call = None)?;
        Some((node, now))
    }

    fn check(&mut self) -> Result<(), String> {
        let mut holders = Vec::new();
        for (number, node) in self.nodes.iter().enumerate() {
            let now = node.clock.read(self.real_time);
            let term = node.lease.term();
            let term = term.filter(|term| self.ignores_expiry || now < term.until);
            holders.extend(term.map(|term| (term.epoch, number, node.incarnation)));
        }
        if holders.len() > 1 {
            return Err(format!("two holders: {holders:?}"));
        }
        for holder in holders {
            if holder < self.latest_holder
                || (holder.0 == self.latest_holder.0 && holder != self.latest_holder)
            {
                return Err(format!("epoch of {:?} reused by {holder:?}", self.latest_holder));
            }
            self.latest_holder = holder;
        }
        Ok(())
    }
}

fn run(decisions: &[Decision], ignores_expiry: bool) -> Result<usize, String> {
    let mut simulation = Simulation::new(ignores_expiry);
    for &decision in decisions {
        simulation.step(decision);
        simulation.check()?;
    }
    Ok(simulation.latest_holder.0 as usize)
}

// Two stewards would advance the same shift plan concurrently and overload links and regions.
#[test]
fn one_holder() {
    let epochs = std::cell::Cell::new(0);
    let outcome = explore(1_500, 1_000, |decisions| {
        epochs.set(epochs.get() + run(decisions, false)?);
        Ok(())
    });
    outcome.unwrap();
    // The runs must reach takeovers, not only first acquisitions.
    assert!(epochs.get() > 3_000, "{}", epochs.get());
}

// `one_holder` must detect a holder that ignores the expiry of its lease.
#[test]
fn detects_ignored_expiry() {
    let violation = explore(1_500, 1_000, |decisions| run(decisions, true).map(drop)).unwrap_err();
    assert!(violation.contains("two holders"), "{violation}");
}
