//! A region of VMs that hold seats and lend rate, with every fault that the design names.

use std::collections::BTreeMap;

use ebonypass_core::lease::{LEASE_DURATION, Record};
use ebonypass_core::object::{ReadReply, WriteReply};
use ebonypass_core::roster::{ListedVm, Process};
use ebonypass_core::seat::{Action, Seats};
use ebonypass_core::share::{Loan, LoanRequest};
use ebonypass_core::time::{Instant, Span};
use ebonypass_core::vote::{Consent, ExtendRequest, Promise, SeatMessage, Vote};

use crate::explore::vm::{Broken, SEAT_RATE, Vm};
use crate::explore::{Decision, Store, take_message};

const START: Instant = Instant::from_micros(1_000_000);
pub const VMS: usize = 6;

#[derive(Debug, Clone)]
pub enum Letter {
    Seat(SeatMessage),
    LoanRequest(LoanRequest),
    Loan(Loan),
}

#[derive(Debug, Clone)]
pub enum Parcel {
    Call { from: usize, call: u64, action: Action },
    Read { to: usize, call: u64, read: ReadReply<Seats> },
    Write { to: usize, call: u64, reply: WriteReply },
    Letter { to: usize, from: Process, letter: Letter },
}

/// How often the explorer saw what it is meant to reach.
#[derive(Debug, Default, Clone, Copy)]
pub struct Seen {
    pub take_overs: u64,
    /// Steps at which a seat was in force for longer than the store could have given it.
    pub extensions: u64,
    pub loans: u64,
}

pub struct World {
    pub real: Instant,
    pub seats: usize,
    pub store: Store<Seats>,
    pub vms: Vec<Vm>,
    pub bag: Vec<Parcel>,
    pub calls: u64,
    pub broken: Broken,
    pub seen: Seen,
    /// When the store was last up.
    pub up_at: Instant,
}

impl World {
    pub fn new(broken: Broken, seats: usize) -> World {
        World {
            real: START,
            seats,
            store: Store::new(),
            vms: (0..VMS).map(|number| Vm::new(number, 1, START, seats)).collect(),
            bag: Vec::new(),
            calls: 0,
            broken,
            seen: Seen::default(),
            up_at: START,
        }
    }

    pub fn step(&mut self, decision: Decision) {
        let number = decision.index(VMS);
        match decision.kind(80) {
            0..=5 => self.real = self.real + decision.duration(Span::from_secs(12)),
            6..=9 => {
                self.real = self.real + Span::from_millis(1 + decision.second_index(2_000) as u64)
            }
            10..=17 => self.poll(number),
            18..=33 => self.round_trip(number),
            34..=44 => {
                if let Some(parcel) = take_message(&mut self.bag, decision) {
                    self.deliver(parcel);
                }
            }
            45..=46 => drop(take_message(&mut self.bag, decision)),
            47 => {
                if let Some(parcel) = take_message(&mut self.bag, decision) {
                    self.bag.extend([parcel.clone(), parcel]);
                }
            }
            48..=49 => self.time_out(number),
            50..=53 => self.request_loan(number, decision.second_index(VMS)),
            54..=55 => self.list(number),
            56 | 57 => self.vms[number].is_paused ^= true,
            58 if decision.second_index(2) == 0 => self.store.is_down ^= true,
            59 if decision.second_index(2) == 0 => self.restart(number),
            60 if decision.second_index(2) == 0 => self.stop(number),
            61 => self.vms[number].is_listed &= self.vms[number].is_running,
            62 if !self.vms[number].is_running => self.restart(number),
            63 | 64 => self.vms[number].is_cut_off ^= true,
            65 | 66 => self.vms[number].side ^= true,
            67 => self.vms[number].holder.set_desired_seats(decision.second_index(3)),
            68.. => {
                for _ in 0..=decision.second_index(12) {
                    self.calm(1);
                    self.borrow(number, decision.second_index(VMS));
                }
            }
            _ => {}
        }
        if !self.store.is_down {
            self.up_at = self.real;
        }
    }

    pub fn restart(&mut self, number: usize) {
        let incarnation = self.vms[number].process.incarnation.0 + 1;
        self.vms[number] = Vm::new(number, incarnation, self.real, self.seats);
    }

    pub fn stop(&mut self, number: usize) {
        self.vms[number].is_running = false;
    }

    pub fn is_awake(&self, number: usize) -> bool {
        self.vms[number].is_running && !self.vms[number].is_paused
    }

    pub fn is_reached(&self, to: usize, from: &Process) -> bool {
        let sender = self.vms.iter().find(|vm| vm.name == from.name);
        self.is_awake(to) && sender.is_none_or(|sender| sender.side == self.vms[to].side)
    }

    pub fn poll(&mut self, number: usize) {
        if !self.is_awake(number) {
            return;
        }
        let vm = &mut self.vms[number];
        let now = vm.clock.read(self.real);
        vm.holder.keep_seats_until(vm.share.lent_until());
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
    pub fn round_trip(&mut self, number: usize) {
        for _ in 0..3 {
            let before = self.bag.len();
            self.poll(number);
            self.empty(before);
            self.real = self.real + Span::from_millis(1);
        }
    }

    /// Some seconds in which no message is lost or late.
    pub fn calm(&mut self, seconds: usize) {
        for _ in 0..seconds {
            self.real = self.real + Span::from_secs(1);
            (0..VMS).for_each(|number| self.list(number));
            (0..VMS).for_each(|number| self.round_trip(number));
        }
    }

    pub fn time_out(&mut self, number: usize) {
        if self.is_awake(number) && self.vms[number].waits_for.take().is_some() {
            let now = self.vms[number].clock.read(self.real);
            self.vms[number].holder.handle_write(now, WriteReply::NoReply);
            self.vms[number].holder.handle_read(now, ReadReply::NoReply);
        }
    }

    pub fn list(&mut self, number: usize) {
        if !self.is_awake(number) {
            return;
        }
        let listed: Vec<String> =
            self.vms.iter().filter(|vm| vm.is_listed).map(|vm| vm.name.clone()).collect();
        let now = self.vms[number].clock.read(self.real);
        let listed =
            listed.iter().map(|name| ListedVm { name, data_centre: "zurich-1", leaving: false });
        self.vms[number].roster.handle_vm_list(now, listed);
    }

    pub fn request_loan(&mut self, number: usize, lender: usize) {
        if !self.is_awake(number) || number == lender {
            return;
        }
        let vm = &mut self.vms[number];
        let now = vm.clock.read(self.real);
        let letter =
            Letter::LoanRequest(vm.share.request_loan(now, &format!("entry-{lender}"), 0, 700));
        let from = vm.process.clone();
        self.bag.push(Parcel::Letter { to: lender, from, letter });
    }

    /// A question for a loan that is answered without delay or loss.
    pub fn borrow(&mut self, number: usize, lender: usize) {
        let before = self.bag.len();
        self.request_loan(number, lender);
        self.empty(before);
    }

    /// Delivers all but the first `rest` parcels.
    fn empty(&mut self, rest: usize) {
        while self.bag.len() > rest {
            let parcel = self.bag.pop().expect("a parcel");
            self.deliver(parcel);
        }
    }

    pub fn deliver(&mut self, parcel: Parcel) {
        match parcel {
            Parcel::Call { from: to, call, action } if self.vms[to].is_cut_off => {
                self.bag.push(match action {
                    Action::Write { .. } => Parcel::Write { to, call, reply: WriteReply::NoReply },
                    _ => Parcel::Read { to, call, read: ReadReply::NoReply },
                });
            }
            Parcel::Call { from: to, call, action: Action::Write { if_version, seats } } => {
                let before = self.store.value.clone();
                let reply = self.store.put(if_version, seats);
                if let (WriteReply::Written(_), Some(before), Some(after)) =
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
                    vm.holder.handle_read(now, read);
                }
            }
            Parcel::Write { to, call, reply } => {
                if let Some((vm, now)) = self.waiting(to, call) {
                    vm.holder.handle_write(now, reply);
                }
            }
            Parcel::Letter { to, from, letter } if self.is_reached(to, &from) => {
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

    pub fn open(&mut self, to: usize, from: &Process, letter: Letter) -> Option<Letter> {
        let broken = self.broken;
        let vm = &mut self.vms[to];
        let now = vm.clock.read(self.real);
        match letter {
            Letter::Seat(message) => {
                if broken == Broken::Promises
                    && let SeatMessage::Extend(ExtendRequest { round, .. }) = message
                {
                    let votes =
                        vm.holder.held_seats().iter().map(|held_seat| held_seat.seat_version);
                    let votes = votes.map(|held| Vote { seat: held.seat, epoch: held.epoch });
                    let promise = Promise { round, votes: votes.collect() };
                    return Some(Letter::Seat(SeatMessage::Promise(promise)));
                }
                let answer = vm.holder.handle_message(now, from, &message);
                match message {
                    SeatMessage::Takeover(take_over) if broken == Broken::Consents => {
                        let stored = self.store.value.as_ref()?.seats.iter().enumerate();
                        let votes = stored
                            .map(|(seat, stored)| Vote { seat: seat as u16, epoch: stored.epoch });
                        let seat_version = take_over.seat_version;
                        let consent = Consent { seat_version, votes: votes.collect() };
                        Some(Letter::Seat(SeatMessage::Consent(consent)))
                    }
                    _ => answer.map(Letter::Seat),
                }
            }
            Letter::LoanRequest(borrow) => {
                let active_seats = vm.active_seats(now);
                vm.share.handle_loan_request(now, from, &borrow, active_seats, 0).map(Letter::Loan)
            }
            Letter::Loan(loan) => {
                self.seen.loans += 1;
                vm.share.handle_loan(&from.name, &loan);
                vm.received = (loan.bytes_per_s, now + loan.lifetime);
                None
            }
        }
    }

    pub fn waiting(&mut self, to: usize, call: u64) -> Option<(&mut Vm, Instant)> {
        let is_waiting = self.is_awake(to) && self.vms[to].waits_for == Some(call);
        let vm = &mut self.vms[to];
        let now = vm.clock.read(self.real);
        is_waiting.then(|| vm.waits_for = None)?;
        Some((vm, now))
    }

    /// Checks that each seat is in force once, and that the rates sum to no more than all seats.
    pub fn check(&mut self) -> Result<(), String> {
        let running = self.vms.iter().filter(|vm| vm.is_running);
        let mut holders = BTreeMap::new();
        for vm in running.clone() {
            let now = vm.clock.read(self.real);
            for held_seat in vm.holder.held_seats().iter().filter(|held_seat| now < held_seat.until)
            {
                if let Some(other) = holders.insert(held_seat.seat_version.seat, &vm.process) {
                    return Err(format!(
                        "rates in force: {:?} of {other} and {}",
                        held_seat.seat_version, vm.process
                    ));
                }
            }
        }
        let rates: BTreeMap<String, u64> =
            running.map(|vm| (vm.process.to_string(), vm.rate(self.real, self.broken))).collect();
        if rates.values().sum::<u64>() > self.seats as u64 * SEAT_RATE {
            return Err(format!("rates in force at {:?}: {rates:?}", self.real));
        }
        let is_sending = rates.values().any(|&rate| rate > 0);
        self.seen.extensions +=
            u64::from(is_sending && self.real.since(self.up_at) > LEASE_DURATION.times(2));
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
