//! Credit between regions, and the choice of the destination region.

mod explore;

use ebonypass_core::credit::{
    self, CREDIT_LIFETIME, Destination, Granter, RemoteRegion, choose_destination,
};
use ebonypass_core::id::{EntryId, RegionId};
use ebonypass_core::time::{Instant, Span};
use explore::{Clock, Decision, explore, take_message};
use test_case::test_case;

const START: Instant = Instant::from_micros(1_000_000);

const ROUND_TRIP: Span = Span::from_millis(40);
const LONGER: Span = Span::from_micros(40_001);

const fn remote(region: u16, percent: u32, available: u32) -> RemoteRegion {
    RemoteRegion {
        region: RegionId(region),
        percent,
        available,
        is_in_time: true,
        round_trip: ROUND_TRIP,
    }
}

const FAR: RemoteRegion = RemoteRegion { round_trip: Span::from_millis(70), ..remote(2, 0, 5) };
const LATE: RemoteRegion = RemoteRegion { is_in_time: false, ..remote(2, 0, 5) };

// Requests that leave their region without need or without credit overload another one.
#[test_case(0, Some(Span::ZERO), &[], Destination::Home; "no other region")]
#[test_case(19, Some(Span::ZERO), &[remote(1, 20, 3)], Destination::Remote(RegionId(1)); "planned shift")]
#[test_case(20, Some(Span::ZERO), &[remote(1, 20, 3)], Destination::Home; "outside the planned shift")]
#[test_case(25, Some(Span::ZERO), &[remote(1, 20, 3), remote(2, 10, 3)], Destination::Remote(RegionId(2)); "second planned shift")]
#[test_case(0, Some(Span::ZERO), &[remote(1, 20, 0)], Destination::Home; "planned shift without credit")]
#[test_case(50, None, &[remote(1, 0, 0), remote(2, 0, 1)], Destination::Remote(RegionId(2)); "home region cannot reply in time")]
#[test_case(50, None, &[remote(1, 0, 0)], Destination::Refused; "no region with credit")]
#[test_case(50, None, &[LATE], Destination::Refused; "too far for the deadline")]
#[test_case(50, Some(ROUND_TRIP), &[remote(1, 0, 3)], Destination::Home; "wait equal to the round trip")]
#[test_case(50, Some(LONGER), &[remote(1, 0, 3)], Destination::Remote(RegionId(1)); "wait longer than the round trip")]
#[test_case(50, Some(LONGER), &[FAR, remote(1, 0, 3)], Destination::Remote(RegionId(1)); "wait longer than one of the round trips")]
#[test_case(50, Some(LONGER), &[remote(1, 0, 0)], Destination::Home; "wait without credit")]
#[test_case(50, Some(LONGER), &[LATE], Destination::Home; "wait and too far for the deadline")]
fn destination(
    random_percent: u32,
    home_wait: Option<Span>,
    remotes: &[RemoteRegion],
    expected: Destination,
) {
    assert_eq!(choose_destination(random_percent, home_wait, remotes), expected);
}

// Credit that is used after its expiry overloads the region that granted it.
#[test]
fn credit_expiry() {
    let mut balance = credit::Balance::new();
    assert!(!balance.try_start(START));
    let round = balance.request(START);
    balance.handle_credit(round, 2, CREDIT_LIFETIME);
    assert!(balance.try_start(START) && balance.try_start(START) && !balance.try_start(START));
    balance.record_end();
    assert_eq!(balance.available(START), 1);
    assert_eq!(balance.available(START + CREDIT_LIFETIME), 0);
    let late = balance.request(START + CREDIT_LIFETIME);
    balance.handle_credit(round, 9, CREDIT_LIFETIME);
    assert_eq!(balance.available(START + CREDIT_LIFETIME), 0);
    balance.handle_credit(late, 2, CREDIT_LIFETIME);
    assert_eq!(balance.available(START + CREDIT_LIFETIME), 1);
}

// Slots that are granted to one entry must not be granted to another.
#[test]
fn granted_once() {
    let (one, other) = (EntryId(1), EntryId(2));
    let mut granter = Granter::new();
    assert_eq!(granter.grant(START, one, 4, 6), 4);
    assert_eq!(granter.grant(START, other, 4, 6), 2);
    granter.record_start(one);
    assert_eq!(granter.grant(START, other, 4, 5), 2);
    let late = START + CREDIT_LIFETIME.times(2);
    assert_eq!(granter.grant(late, other, 9, 5), 5);
    granter.record_end(one);
    assert_eq!(granter.grant(late, one, 9, 6), 1);
}

const SLOTS: u32 = 6;
const ENTRIES: usize = 3;

/// A message in flight. A `Start` is a forwarded request, with the time by which it has arrived or is
/// lost.
enum Message {
    CreditRequest(usize, u64),
    Credit(usize, u64, u32),
    Start(usize, Instant),
}

struct Simulation {
    real_time: Instant,
    granter: Granter,
    balances: Vec<credit::Balance>,
    /// Requests of each entry that the granting region is running.
    running: Vec<u32>,
    messages: Vec<Message>,
    ignores_expiry: bool,
}

impl Simulation {
    fn step(&mut self, decision: Decision) {
        let number = decision.index(ENTRIES);
        let now = Clock::new(number).read(self.real_time);
        match decision.kind(8) {
            0 => {
                self.real_time = self.real_time + decision.duration(Span::from_secs(2));
                // A request arrives within its one-way latency, or its connection fails.
                let real_time = self.real_time;
                self.messages
                    .retain(|message| !matches!(message, Message::Start(_, by) if real_time > *by));
            }
            1 => {
                let round = self.balances[number].request(now);
                self.messages.push(Message::CreditRequest(number, round));
            }
            2 | 3 => {
                let has_credit = self.balances[number].try_start(now)
                    || (self.ignores_expiry && self.balances[number].available(START) > 0);
                if has_credit {
                    let arrives_by = self.real_time + Span::from_millis(35);
                    self.messages.push(Message::Start(number, arrives_by));
                }
            }
            4 if self.running[number] > 0 => {
                self.running[number] -= 1;
                self.granter.record_end(EntryId(number as u32));
                self.balances[number].record_end();
            }
            5 => drop(take_message(&mut self.messages, decision)),
            _ => {
                if let Some(message) = take_message(&mut self.messages, decision) {
                    self.deliver(message);
                }
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::CreditRequest(number, round) => {
                let now = Clock::new(ENTRIES).read(self.real_time);
                let free = SLOTS.saturating_sub(self.running.iter().sum());
                let count = self.granter.grant(now, EntryId(number as u32), SLOTS, free);
                self.messages.push(Message::Credit(number, round, count));
            }
            Message::Credit(number, round, count) => {
                self.balances[number].handle_credit(round, count, CREDIT_LIFETIME);
            }
            Message::Start(number, _) => {
                self.running[number] += 1;
                self.granter.record_start(EntryId(number as u32));
            }
        }
    }
}

fn run(decisions: &[Decision], ignores_expiry: bool) -> Result<(), String> {
    let mut simulation = Simulation {
        real_time: START,
        granter: Granter::new(),
        balances: vec![credit::Balance::new(); ENTRIES],
        running: vec![0; ENTRIES],
        messages: Vec::new(),
        ignores_expiry,
    };
    for &decision in decisions {
        simulation.step(decision);
        if simulation.running.iter().sum::<u32>() > SLOTS {
            return Err(format!("{:?} running in {SLOTS} slots", simulation.running));
        }
    }
    Ok(())
}

// More remote requests than free slots overload the region that granted the credit.
#[test]
fn no_overload() {
    explore(1_000, 300, |decisions| run(decisions, false)).unwrap();
}

// `no_overload` must detect an entry that ignores the expiry of its credit.
#[test]
fn detects_ignored_expiry() {
    let violation = explore(1_000, 300, |decisions| run(decisions, true)).unwrap_err();
    assert!(violation.contains("running in"), "{violation}");
}
