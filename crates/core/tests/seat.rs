//! Seats and lending: the sum of the rates in force.

mod explore;

use std::collections::BTreeMap;

use ebonypass_core::lease::{LEASE, Record};
use ebonypass_core::object::{Read, Reply};
use ebonypass_core::roster::{Incarnation, Listed, Process, Roster};
use ebonypass_core::seat::{Action, Holder, Message, Seats};
use ebonypass_core::share::{Backing, Borrow, Loan, Share};
use ebonypass_core::time::{Instant, Span};
use ebonypass_core::vote::{Consent, Extend, Promise, Vote};
use explore::{Clock, Store, Word, draw, explore};

const START: Instant = Instant::from_micros(1_000_000);
const VMS: usize = 5;
const SEATS: usize = 4;
const SEAT_RATE: u64 = 1_000;
const CASES: u32 = 600;
const STEPS: usize = 500;

/// A rule that the explorer breaks on purpose.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Broken {
    Nothing,
    /// Holders do not look at the end of their seats.
    Expiry,
    /// Takers count a consent of each seat.
    Consents,
    /// Lenders raise their rate as soon as they have sent the loan.
    Raise,
    /// Borrowers count the lifetime of a loan from its receipt.
    Receipt,
    /// Holders promise regardless of their consents and do not keep their promises.
    Promises,
}

struct Vm {
    name: String,
    clock: Clock,
    process: Process,
    holder: Holder,
    share: Share,
    roster: Roster,
    waits_for: Option<u64>,
    is_paused: bool,
    is_running: bool,
    is_listed: bool,
    /// Bytes a second that were borrowed, and until when by receipt.
    received: (u64, Instant),
}

impl Vm {
    fn new(number: usize, incarnation: u64, real: Instant) -> Vm {
        let name = format!("entry-{number}");
        let clock = Clock::new(number);
        let process = Process { name: name.clone(), incarnation: Incarnation(incarnation) };
        let mut holder = Holder::new(clock.read(real), process.clone(), SEATS);
        holder.set_wanted(1);
        let mut share = Share::new();
        share.set_links([("geneva".to_owned(), SEAT_RATE)]);
        let roster = Roster::new(&name, "zurich-1");
        Vm {
            name,
            clock,
            process,
            holder,
            share,
            roster,
            waits_for: None,
            is_paused: false,
            is_running: true,
            is_listed: true,
            received: (0, Instant::ZERO),
        }
    }

    fn backing(&self, now: Instant) -> Backing {
        let (seats, until) = self.holder.in_force(now);
        Backing { seats, until }
    }

    fn rate(&self, real: Instant, broken: Broken) -> u64 {
        let now = self.clock.read(real);
        let mut backing = self.backing(now);
        if broken == Broken::Expiry {
            backing = Backing { seats: self.holder.slots().len(), until: Instant::MAX };
        }
        let rate = self.share.rate(now, 0, backing).0.bytes_per_s;
        match broken {
            Broken::Raise => rate.max(backing.seats as u64 * SEAT_RATE),
            Broken::Receipt if now < self.received.1 => rate.max(self.received.0),
            _ => rate,
        }
    }
}

#[derive(Debug, Clone)]
enum Letter {
    Seat(Message),
    Borrow(Borrow),
    Loan(Loan),
}

#[derive(Debug, Clone)]
enum Parcel {
    Call { from: usize, call: u64, action: Action },
    Read { to: usize, call: u64, read: Read<Seats> },
    Write { to: usize, call: u64, reply: Reply },
    Letter { to: usize, from: Process, letter: Letter },
}

/// How often the explorer saw what it is meant to reach.
#[derive(Debug, Default, Clone, Copy)]
struct Seen {
    take_overs: u64,
    /// Steps at which a seat was in force for longer than the store could have given it.
    extensions: u64,
    loans: u64,
}

struct World {
    real: Instant,
    store: Store<Seats>,
    vms: Vec<Vm>,
    bag: Vec<Parcel>,
    calls: u64,
    broken: Broken,
    seen: Seen,
    /// When the store was last up.
    up_at: Instant,
}

impl World {
    fn new(broken: Broken) -> World {
        World {
            real: START,
            store: Store::new(),
            vms: (0..VMS).map(|number| Vm::new(number, 1, START)).collect(),
            bag: Vec::new(),
            calls: 0,
            broken,
            seen: Seen::default(),
            up_at: START,
        }
    }

    fn step(&mut self, word: Word) {
        let number = word.pick(VMS);
        match word.op(72) {
            0..=5 => self.real = self.real + word.span(Span::from_secs(12)),
            6..=9 => self.real = self.real + Span::from_millis(1 + word.other(2_000) as u64),
            10..=17 => self.poll(number),
            18..=33 => self.round_trip(number),
            34..=44 => {
                if let Some(parcel) = draw(&mut self.bag, word) {
                    self.deliver(parcel);
                }
            }
            45..=46 => drop(draw(&mut self.bag, word)),
            47 => {
                if let Some(parcel) = draw(&mut self.bag, word) {
                    self.bag.extend([parcel.clone(), parcel]);
                }
            }
            48..=49 => self.time_out(number),
            50..=53 => self.ask(number, word.other(VMS)),
            54..=55 => self.list(number),
            56 | 57 => self.vms[number].is_paused ^= true,
            58 if word.other(2) == 0 => self.store.is_down ^= true,
            59 if word.other(2) == 0 => self.restart(number),
            60 if word.other(2) == 0 => self.stop(number),
            61 => self.vms[number].is_listed &= self.vms[number].is_running,
            62 if !self.vms[number].is_running => self.restart(number),
            63.. => self.calm(1 + word.other(12)),
            _ => {}
        }
        if !self.store.is_down {
            self.up_at = self.real;
        }
    }

    fn restart(&mut self, number: usize) {
        let incarnation = self.vms[number].process.incarnation.0 + 1;
        self.vms[number] = Vm::new(number, incarnation, self.real);
    }

    fn stop(&mut self, number: usize) {
        self.vms[number].is_running = false;
    }

    fn is_awake(&self, number: usize) -> bool {
        self.vms[number].is_running && !self.vms[number].is_paused
    }

    fn poll(&mut self, number: usize) {
        if !self.is_awake(number) {
            return;
        }
        let vm = &mut self.vms[number];
        let now = vm.clock.read(self.real);
        vm.holder.keep_until(vm.share.lent_until());
        while let Some(action) = vm.holder.next_action(now, &vm.roster) {
            if let Action::Send { to, message } = action {
                let to = to.strip_prefix("entry-").and_then(|to| to.parse().ok());
                let letter = Letter::Seat(message);
                let from = vm.process.clone();
                self.bag.push(Parcel::Letter { to: to.expect("a number"), from, letter });
            } else {
                self.calls += 1;
                vm.waits_for = Some(self.calls);
                self.bag.push(Parcel::Call { from: number, call: self.calls, action });
            }
        }
    }

    /// A poll whose calls and letters are answered without delay or loss.
    fn round_trip(&mut self, number: usize) {
        for _ in 0..3 {
            let before = self.bag.len();
            self.poll(number);
            while self.bag.len() > before {
                let parcel = self.bag.pop().expect("a parcel");
                self.deliver(parcel);
            }
            self.real = self.real + Span::from_millis(1);
        }
    }

    /// Some seconds in which no message is lost or late.
    fn calm(&mut self, seconds: usize) {
        for _ in 0..seconds {
            self.real = self.real + Span::from_secs(1);
            (0..VMS).for_each(|number| self.list(number));
            (0..VMS).for_each(|number| self.round_trip(number));
        }
    }

    fn time_out(&mut self, number: usize) {
        if self.is_awake(number) && self.vms[number].waits_for.take().is_some() {
            let now = self.vms[number].clock.read(self.real);
            self.vms[number].holder.note_write(now, Reply::Silent);
            self.vms[number].holder.note_read(now, Read::Silent);
        }
    }

    fn list(&mut self, number: usize) {
        if !self.is_awake(number) {
            return;
        }
        let listed: Vec<String> =
            self.vms.iter().filter(|vm| vm.is_listed).map(|vm| vm.name.clone()).collect();
        let now = self.vms[number].clock.read(self.real);
        let listed =
            listed.iter().map(|name| Listed { name, data_centre: "zurich-1", leaving: false });
        self.vms[number].roster.note_list(now, listed);
    }

    fn ask(&mut self, number: usize, lender: usize) {
        if !self.is_awake(number) || number == lender {
            return;
        }
        let vm = &mut self.vms[number];
        let now = vm.clock.read(self.real);
        let letter = Letter::Borrow(vm.share.ask(now, &format!("entry-{lender}"), 0, 700));
        let from = vm.process.clone();
        self.bag.push(Parcel::Letter { to: lender, from, letter });
    }

    fn deliver(&mut self, parcel: Parcel) {
        match parcel {
            Parcel::Call { from: to, call, action: Action::Write { if_version, seats } } => {
                let before = self.store.value.clone();
                let reply = self.store.put(if_version, seats);
                if let (Reply::Written(_), Some(before), Some(after)) =
                    (reply, before, &self.store.value)
                {
                    self.seen.take_overs += take_overs(&before, after);
                }
                self.bag.push(Parcel::Write { to, call, reply });
            }
            Parcel::Call { from: to, call, .. } => {
                let read = self.store.get();
                self.bag.push(Parcel::Read { to, call, read });
            }
            Parcel::Read { to, call, read } => {
                if let Some((vm, now)) = self.waiting(to, call) {
                    vm.holder.note_read(now, read);
                }
            }
            Parcel::Write { to, call, reply } => {
                if let Some((vm, now)) = self.waiting(to, call) {
                    vm.holder.note_write(now, reply);
                }
            }
            Parcel::Letter { to, from, letter } if self.is_awake(to) => {
                let answer = self.open(to, &from, letter);
                let back = self.vms.iter().position(|vm| vm.process == from);
                if let (Some(letter), Some(back)) = (answer, back) {
                    let from = self.vms[to].process.clone();
                    self.bag.push(Parcel::Letter { to: back, from, letter });
                }
            }
            Parcel::Letter { .. } => {}
        }
    }

    fn open(&mut self, to: usize, from: &Process, letter: Letter) -> Option<Letter> {
        let broken = self.broken;
        let vm = &mut self.vms[to];
        let now = vm.clock.read(self.real);
        match letter {
            Letter::Seat(message) => {
                if broken == Broken::Promises
                    && let Message::Extend(Extend { round, .. }) = message
                {
                    let votes = vm.holder.slots().iter().map(|slot| slot.tenure);
                    let votes = votes.map(|held| Vote { seat: held.seat, epoch: held.epoch });
                    let promise = Promise { round, votes: votes.collect() };
                    return Some(Letter::Seat(Message::Promise(promise)));
                }
                let answer = vm.holder.note_message(now, from, &message);
                match message {
                    Message::TakeOver(take_over) if broken == Broken::Consents => {
                        let stored = self.store.value.as_ref()?.seats.iter().enumerate();
                        let votes = stored
                            .map(|(seat, stored)| Vote { seat: seat as u16, epoch: stored.epoch });
                        let tenure = take_over.tenure;
                        let consent = Consent { tenure, votes: votes.collect() };
                        Some(Letter::Seat(Message::Consent(consent)))
                    }
                    _ => answer.map(Letter::Seat),
                }
            }
            Letter::Borrow(borrow) => {
                let backing = vm.backing(now);
                vm.share.note_borrow(now, from, &borrow, backing, 0).map(Letter::Loan)
            }
            Letter::Loan(loan) => {
                self.seen.loans += 1;
                vm.share.note_loan(&from.name, &loan);
                vm.received = (loan.bytes_per_s, now + loan.lifetime);
                None
            }
        }
    }

    fn waiting(&mut self, to: usize, call: u64) -> Option<(&mut Vm, Instant)> {
        let is_waiting = self.is_awake(to) && self.vms[to].waits_for == Some(call);
        let vm = &mut self.vms[to];
        let now = vm.clock.read(self.real);
        is_waiting.then(|| vm.waits_for = None)?;
        Some((vm, now))
    }

    fn check(&mut self) -> Result<(), String> {
        let running = self.vms.iter().filter(|vm| vm.is_running);
        let rates: BTreeMap<String, u64> =
            running.map(|vm| (vm.process.to_string(), vm.rate(self.real, self.broken))).collect();
        if rates.values().sum::<u64>() > SEATS as u64 * SEAT_RATE {
            return Err(format!("rates in force at {:?}: {rates:?}", self.real));
        }
        let is_sending = rates.values().any(|&rate| rate > 0);
        self.seen.extensions +=
            u64::from(is_sending && self.real.since(self.up_at) > LEASE.times(2));
        Ok(())
    }
}

/// Seats that went from one process to another.
fn take_overs(before: &Seats, after: &Seats) -> u64 {
    let pairs = before.seats.iter().zip(&after.seats);
    let is_taken = |(before, after): &(&Record, &Record)| {
        before.holder.is_some() && after.holder.is_some() && before.holder != after.holder
    };
    pairs.filter(is_taken).count() as u64
}

fn run(words: &[Word], broken: Broken) -> Result<Seen, String> {
    let mut world = World::new(broken);
    for &word in words {
        world.step(word);
        world.check()?;
    }
    Ok(world.seen)
}

// More rate in force than the cap overloads a link (P1).
#[test]
fn rate_sum() {
    let total = std::cell::Cell::new(Seen::default());
    let outcome = explore(CASES, STEPS, |words| {
        let seen = run(words, Broken::Nothing)?;
        let Seen { take_overs, extensions, loans } = total.get();
        total.set(Seen {
            take_overs: take_overs + seen.take_overs,
            extensions: extensions + seen.extensions,
            loans: loans + seen.loans,
        });
        Ok(())
    });
    outcome.unwrap();
    // The explorer must reach what the rules are about.
    let seen = total.get();
    println!("{seen:?}");
    assert!(seen.take_overs > 300 && seen.extensions > 300 && seen.loans > 300, "{seen:?}");
}

// Shows that `rate_sum` sees each rule that is broken.
#[test_case::test_case(Broken::Expiry; "expiry")]
#[test_case::test_case(Broken::Consents; "consents")]
#[test_case::test_case(Broken::Raise; "early raise")]
#[test_case::test_case(Broken::Receipt; "from receipt")]
#[test_case::test_case(Broken::Promises; "promises")]
fn broken_rule(broken: Broken) {
    let fault = explore(CASES, STEPS, |words| run(words, broken).map(drop)).unwrap_err();
    assert!(fault.contains("rates in force"), "{fault}");
}
