//! Credit between regions, and the choice of a region.

mod explore;

use ebonypass_core::credit::{
    CREDIT_LIFETIME, CreditBalance, Destination, Granter, RemoteRegion, choose_destination,
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

// Work that leaves its region without need or without credit overloads another one (P2).
#[test_case(0, Some(Span::ZERO), &[], Destination::Home; "no other region")]
#[test_case(19, Some(Span::ZERO), &[remote(1, 20, 3)], Destination::Remote(RegionId(1)); "planned share")]
#[test_case(20, Some(Span::ZERO), &[remote(1, 20, 3)], Destination::Home; "rest of the share")]
#[test_case(25, Some(Span::ZERO), &[remote(1, 20, 3), remote(2, 10, 3)], Destination::Remote(RegionId(2)); "second share")]
#[test_case(0, Some(Span::ZERO), &[remote(1, 20, 0)], Destination::Home; "share without credit")]
#[test_case(50, None, &[remote(1, 0, 0), remote(2, 0, 1)], Destination::Remote(RegionId(2)); "spill over")]
#[test_case(50, None, &[remote(1, 0, 0)], Destination::Refused; "spill without credit")]
#[test_case(50, None, &[LATE], Destination::Refused; "too far for the deadline")]
#[test_case(50, Some(ROUND_TRIP), &[remote(1, 0, 3)], Destination::Home; "wait as long as the way")]
#[test_case(50, Some(LONGER), &[remote(1, 0, 3)], Destination::Remote(RegionId(1)); "wait longer than the way")]
#[test_case(50, Some(LONGER), &[FAR, remote(1, 0, 3)], Destination::Remote(RegionId(1)); "wait longer than one way")]
#[test_case(50, Some(LONGER), &[remote(1, 0, 0)], Destination::Home; "wait without credit")]
#[test_case(50, Some(LONGER), &[LATE], Destination::Home; "wait and too far for the deadline")]
fn place(roll: u32, home_wait: Option<Span>, remotes: &[RemoteRegion], place: Destination) {
    assert_eq!(choose_destination(roll, home_wait, remotes), place);
}

// Credit that outlives its slots overloads the region that gave it.
#[test]
fn credit_expiry() {
    let mut wallet = CreditBalance::new();
    assert!(!wallet.try_start(START));
    let round = wallet.request(START);
    wallet.handle_credit(round, 2, CREDIT_LIFETIME);
    assert!(wallet.try_start(START) && wallet.try_start(START) && !wallet.try_start(START));
    wallet.end();
    assert_eq!(wallet.available(START), 1);
    assert_eq!(wallet.available(START + CREDIT_LIFETIME), 0);
    let late = wallet.request(START + CREDIT_LIFETIME);
    wallet.handle_credit(round, 9, CREDIT_LIFETIME);
    assert_eq!(wallet.available(START + CREDIT_LIFETIME), 0);
    wallet.handle_credit(late, 2, CREDIT_LIFETIME);
    assert_eq!(wallet.available(START + CREDIT_LIFETIME), 1);
}

// Slots that are granted to one entry must not be granted to another.
#[test]
fn granted_once() {
    let (one, other) = (EntryId(1), EntryId(2));
    let mut granter = Granter::new();
    assert_eq!(granter.grant(START, one, 4, 6), 4);
    assert_eq!(granter.grant(START, other, 4, 6), 2);
    granter.start(one);
    assert_eq!(granter.grant(START, other, 4, 5), 2);
    let late = START + CREDIT_LIFETIME.times(2);
    assert_eq!(granter.grant(late, other, 9, 5), 5);
    granter.end(one);
    assert_eq!(granter.grant(late, one, 9, 6), 1);
}

const SLOTS: u32 = 6;
const BORROWERS: usize = 3;

/// A message under way and the time by which it has arrived or is lost.
enum Message {
    CreditRequest(usize, u64),
    Credit(usize, u64, u32),
    Start(usize, Instant),
}

struct World {
    real: Instant,
    granter: Granter,
    wallets: Vec<CreditBalance>,
    running: Vec<u32>,
    bag: Vec<Message>,
    ignores_expiry: bool,
}

impl World {
    fn step(&mut self, decision: Decision) {
        let number = decision.index(BORROWERS);
        let now = Clock::new(number).read(self.real);
        match decision.kind(8) {
            0 => {
                self.real = self.real + decision.duration(Span::from_secs(2));
                // A request arrives within its one-way latency, or its connection fails.
                let real = self.real;
                self.bag.retain(|message| !matches!(message, Message::Start(_, by) if real > *by));
            }
            1 => {
                let round = self.wallets[number].request(now);
                self.bag.push(Message::CreditRequest(number, round));
            }
            2 | 3 => {
                let is_covered = self.wallets[number].try_start(now)
                    || (self.ignores_expiry && self.wallets[number].available(START) > 0);
                if is_covered {
                    let by = self.real + Span::from_millis(35);
                    self.bag.push(Message::Start(number, by));
                }
            }
            4 if self.running[number] > 0 => {
                self.running[number] -= 1;
                self.granter.end(EntryId(number as u32));
                self.wallets[number].end();
            }
            5 => drop(take_message(&mut self.bag, decision)),
            _ => {
                if let Some(message) = take_message(&mut self.bag, decision) {
                    self.deliver(message);
                }
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::CreditRequest(number, round) => {
                let now = Clock::new(BORROWERS).read(self.real);
                let free = SLOTS.saturating_sub(self.running.iter().sum());
                let count = self.granter.grant(now, EntryId(number as u32), SLOTS, free);
                self.bag.push(Message::Credit(number, round, count));
            }
            Message::Credit(number, round, count) => {
                self.wallets[number].handle_credit(round, count, CREDIT_LIFETIME);
            }
            Message::Start(number, _) => {
                self.running[number] += 1;
                self.granter.start(EntryId(number as u32));
            }
        }
    }
}

fn run(decisions: &[Decision], ignores_expiry: bool) -> Result<(), String> {
    let mut world = World {
        real: START,
        granter: Granter::new(),
        wallets: vec![CreditBalance::new(); BORROWERS],
        running: vec![0; BORROWERS],
        bag: Vec::new(),
        ignores_expiry,
    };
    for &decision in decisions {
        world.step(decision);
        if world.running.iter().sum::<u32>() > SLOTS {
            return Err(format!("{:?} running in {SLOTS} slots", world.running));
        }
    }
    Ok(())
}

// More remote requests than free slots overload the region that granted them (P2).
#[test]
fn no_overload() {
    explore(1_000, 300, |decisions| run(decisions, false)).unwrap();
}

// Shows that `no_overload` sees a borrower that does not look at the expiry.
#[test]
fn broken_credit() {
    let fault = explore(1_000, 300, |decisions| run(decisions, true)).unwrap_err();
    assert!(fault.contains("running in"), "{fault}");
}
