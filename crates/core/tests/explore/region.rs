//! A simulated region of VMs that hold seats and lend rate, with lost, duplicated and reordered
//! messages, pauses, restarts, partitions and store outages.

use std::collections::BTreeMap;

use ebonypass_core::lease::{LEASE_DURATION, Record};
use ebonypass_core::object::{ReadReply, WriteReply};
use ebonypass_core::roster::{ListedVm, Process};
use ebonypass_core::seat::{Action, Seats};
use ebonypass_core::share::{self, Loan};
use ebonypass_core::time::{Instant, Span};
use ebonypass_core::vote::{self, Consent, ExtendRequest, Promise, Vote};

use crate::explore::vm::{BrokenRule, SEAT_RATE, Vm};
use crate::explore::{Decision, Store, take_message};

const START: Instant = Instant::from_micros(1_000_000);
pub const VMS: usize = 6;

#[derive(Debug, Clone)]
pub enum Message {
    Seat(vote::Message),
    LoanRequest(share::Request),
    Loan(Loan),
}

#[derive(Debug, Clone)]
pub enum Packet {
    Call { from: usize, call: u64, action: Action },
    Read { to: usize, call: u64, read: ReadReply<Seats> },
    Write { to: usize, call: u64, reply: WriteReply },
    Message { to: usize, from: Process, message: Message },
}

/// How often the runs reached the events that the rules are about.
#[derive(Debug, Default, Clone, Copy)]
pub struct Coverage {
    pub takeovers: u64,
    /// Steps at which a seat was in force longer than a lease from the store could last.
    pub extensions: u64,
    pub loans: u64,
}

pub struct Simulation {
    pub real_time: Instant,
    pub seats: usize,
    pub store: Store<Seats>,
    pub vms: Vec<Vm>,
    pub in_flight: Vec<Packet>,
    pub call_count: u64,
    pub broken_rule: BrokenRule,
    pub coverage: Coverage,
    /// When the store was last up.
    pub store_up_at: Instant,
}

impl Simulation {
    pub fn new(broken_rule: BrokenRule, seats: usize) -> Simulation {
        Simulation {
            real_time: START,
            seats,
            store: Store::new(),
            vms: (0..VMS).map(|number| Vm::new(number, 1, START, seats)).collect(),
            in_flight: Vec::new(),
            call_count: 0,
            broken_rule,
            coverage: Coverage::default(),
            store_up_at: START,
        }
    }

    pub fn step(&mut self, decision: Decision) {
        let number = decision.index(VMS);
        match decision.kind(80) {
            0..=5 => self.real_time = self.real_time + decision.duration(Span::from_secs(12)),
            6..=9 => {
                self.real_time =
                    self.real_time + Span::from_millis(1 + decision.second_index(2_000) as u64)
            }
            10..=17 => self.poll(number),
            18..=33 => self.round_trip(number),
            34..=44 => {
                if let Some(packet) = take_message(&mut self.in_flight, decision) {
                    self.deliver(packet);
                }
            }
            45..=46 => drop(take_message(&mut self.in_flight, decision)),
            47 => {
                if let Some(packet) = take_message(&mut self.in_flight, decision) {
                    self.in_flight.extend([packet.clone(), packet]);
                }
            }
            48..=49 => self.time_out_call(number),
            50..=53 => self.request_loan(number, decision.second_index(VMS)),
            54..=55 => self.update_vm_list(number),
            56 | 57 => self.vms[number].is_paused ^= true,
            58 if decision.second_index(2) == 0 => self.store.is_down ^= true,
            59 if decision.second_index(2) == 0 => self.restart(number),
            60 if decision.second_index(2) == 0 => self.stop(number),
            61 => self.vms[number].is_listed &= self.vms[number].is_running,
            62 if !self.vms[number].is_running => self.restart(number),
            63 | 64 => self.vms[number].is_store_unreachable ^= true,
            65 | 66 => self.vms[number].partition ^= true,
            67 => self.vms[number].holder.set_desired_seats(decision.second_index(3)),
            68.. => {
                for _ in 0..=decision.second_index(12) {
                    self.run_without_message_faults(1);
                    self.borrow(number, decision.second_index(VMS));
                }
            }
            _ => {}
        }
        if !self.store.is_down {
            self.store_up_at = self.real_time;
        }
    }

    pub fn restart(&mut self, number: usize) {
        let incarnation = self.vms[number].process.incarnation.0 + 1;
        self.vms[number] = Vm::new(number, incarnation, self.real_time, self.seats);
    }

    pub fn stop(&mut self, number: usize) {
        self.vms[number].is_running = false;
    }

    pub fn is_responsive(&self, number: usize) -> bool {
        self.vms[number].is_running && !self.vms[number].is_paused
    }

    pub fn can_reach(&self, to: usize, from: &Process) -> bool {
        let sender = self.vms.iter().find(|vm| vm.name == from.name);
        self.is_responsive(to)
            && sender.is_none_or(|sender| sender.partition == self.vms[to].partition)
    }

    pub fn poll(&mut self, number: usize) {
        if !self.is_responsive(number) {
            return;
        }
        let vm = &mut self.vms[number];
        let now = vm.clock.read(self.real_time);
        vm.holder.keep_seats_until(vm.share.lent_until());
        while let Some(action) = vm.holder.next_action(now, &vm.roster) {
            if let Action::Send { to, message } = action {
                let to = to.strip_prefix("entry-").and_then(|to| to.parse().ok());
                let message = Message::Seat(message);
                let from = vm.process.clone();
                self.in_flight.push(Packet::Message {
                    to: to.expect("the entry name ends in a number"),
                    from,
                    message,
                });
            } else {
                self.call_count += 1;
                vm.pending_call = Some(self.call_count);
                self.in_flight.push(Packet::Call { from: number, call: self.call_count, action });
            }
        }
    }

    /// Polls; calls and messages are answered without delay or loss.
    pub fn round_trip(&mut self, number: usize) {
        for _ in 0..3 {
            let before = self.in_flight.len();
            self.poll(number);
            self.deliver_down_to(before);
            self.real_time = self.real_time + Span::from_millis(1);
        }
    }

    /// Runs `seconds` seconds in which no message is lost or late.
    pub fn run_without_message_faults(&mut self, seconds: usize) {
        for _ in 0..seconds {
            self.real_time = self.real_time + Span::from_secs(1);
            (0..VMS).for_each(|number| self.update_vm_list(number));
            (0..VMS).for_each(|number| self.round_trip(number));
        }
    }

    pub fn time_out_call(&mut self, number: usize) {
        if self.is_responsive(number) && self.vms[number].pending_call.take().is_some() {
            let now = self.vms[number].clock.read(self.real_time);
            self.vms[number].holder.handle_write(now, WriteReply::NoReply);
            self.vms[number].holder.handle_read(now, ReadReply::NoReply);
        }
    }

    pub fn update_vm_list(&mut self, number: usize) {
        if !self.is_responsive(number) {
            return;
        }
        let listed: Vec<String> =
            self.vms.iter().filter(|vm| vm.is_listed).map(|vm| vm.name.clone()).collect();
        let now = self.vms[number].clock.read(self.real_time);
        let listed =
            listed.iter().map(|name| ListedVm { name, data_centre: "zurich-1", leaving: false });
        self.vms[number].roster.handle_vm_list(now, listed);
    }

    pub fn request_loan(&mut self, number: usize, lender: usize) {
        if !self.is_responsive(number) || number == lender {
            return;
        }
        let vm = &mut self.vms[number];
        let now = vm.clock.read(self.real_time);
        let message =
            Message::LoanRequest(vm.share.request_loan(now, &format!("entry-{lender}"), 0, 700));
        let from = vm.process.clone();
        self.in_flight.push(Packet::Message { to: lender, from, message });
    }

    /// A loan request that is answered without delay or loss.
    pub fn borrow(&mut self, number: usize, lender: usize) {
        let before = self.in_flight.len();
        self.request_loan(number, lender);
        self.deliver_down_to(before);
    }

    /// Delivers packets until `remaining` are left.
    fn deliver_down_to(&mut self, remaining: usize) {
        while self.in_flight.len() > remaining {
            let packet = self.in_flight.pop().expect("the in-flight list is not empty");
            self.deliver(packet);
        }
    }

    pub fn deliver(&mut self, packet: Packet) {
        match packet {
            Packet::Call { from: to, call, action } if self.vms[to].is_store_unreachable => {
                self.in_flight.push(match action {
                    Action::Write { .. } => Packet::Write { to, call, reply: WriteReply::NoReply },
                    _ => Packet::Read { to, call, read: ReadReply::NoReply },
                });
            }
            Packet::Call { from: to, call, action: Action::Write { if_version, seats } } => {
                let before = self.store.value.clone();
                let reply = self.store.put(if_version, seats);
                if let (WriteReply::Written(_), Some(before), Some(after)) =
                    (reply, before, &self.store.value)
                {
                    self.coverage.takeovers += takeovers(&before, after);
                }
                self.in_flight.push(Packet::Write { to, call, reply });
            }
            Packet::Call { from: to, call, .. } => {
                let read = self.store.get();
                self.in_flight.push(Packet::Read { to, call, read });
            }
            Packet::Read { to, call, read } => {
                if let Some((vm, now)) = self.take_pending_call(to, call) {
                    vm.holder.handle_read(now, read);
                }
            }
            Packet::Write { to, call, reply } => {
                if let Some((vm, now)) = self.take_pending_call(to, call) {
                    vm.holder.handle_write(now, reply);
                }
            }
            Packet::Message { to, from, message } if self.can_reach(to, &from) => {
                let reply = self.handle_message(to, &from, message);
                let back = self.vms.iter().position(|vm| vm.process == from);
                if let (Some(message), Some(back)) = (reply, back) {
                    let from = self.vms[to].process.clone();
                    self.in_flight.push(Packet::Message { to: back, from, message });
                }
            }
            Packet::Message { .. } => {}
        }
    }

    pub fn handle_message(
        &mut self,
        to: usize,
        from: &Process,
        message: Message,
    ) -> Option<Message> {
        let broken_rule = self.broken_rule;
        let vm = &mut self.vms[to];
        let now = vm.clock.read(self.real_time);
        match message {
            Message::Seat(message) => {
                if broken_rule == BrokenRule::Promises
                    && let vote::Message::Extend(ExtendRequest { round, .. }) = message
                {
                    let votes =
                        vm.holder.held_seats().iter().map(|held_seat| held_seat.seat_version);
                    let votes = votes.map(|held| Vote { seat: held.seat, epoch: held.epoch });
                    let promise = Promise { round, votes: votes.collect() };
                    return Some(Message::Seat(vote::Message::Promise(promise)));
                }
                let reply = vm.holder.handle_message(now, from, &message);
                match message {
                    vote::Message::Takeover(request) if broken_rule == BrokenRule::Consents => {
                        let stored = self.store.value.as_ref()?.seats.iter().enumerate();
                        let votes = stored
                            .map(|(seat, stored)| Vote { seat: seat as u16, epoch: stored.epoch });
                        let seat_version = request.seat_version;
                        let consent = Consent { seat_version, votes: votes.collect() };
                        Some(Message::Seat(vote::Message::Consent(consent)))
                    }
                    _ => reply.map(Message::Seat),
                }
            }
            Message::LoanRequest(request) => {
                let active_seats = vm.active_seats(now);
                vm.share
                    .handle_loan_request(now, from, &request, active_seats, 0)
                    .map(Message::Loan)
            }
            Message::Loan(loan) => {
                self.coverage.loans += 1;
                vm.share.handle_loan(&from.name, &loan);
                vm.received_loan = (loan.bytes_per_s, now + loan.lifetime);
                None
            }
        }
    }

    pub fn take_pending_call(&mut self, to: usize, call: u64) -> Option<(&mut Vm, Instant)> {
        let is_waiting = self.is_responsive(to) && self.vms[to].pending_call == Some(call);
        let vm = &mut self.vms[to];
        let now = vm.clock.read(self.real_time);
        is_waiting.then(|| vm.pending_call = None)?;
        Some((vm, now))
    }

    /// Checks that each seat is in force once, and that the rates sum to no more than all seats.
    pub fn check(&mut self) -> Result<(), String> {
        let running = self.vms.iter().filter(|vm| vm.is_running);
        let mut holders = BTreeMap::new();
        for vm in running.clone() {
            let now = vm.clock.read(self.real_time);
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
        let rates: BTreeMap<String, u64> = running
            .map(|vm| (vm.process.to_string(), vm.rate(self.real_time, self.broken_rule)))
            .collect();
        if rates.values().sum::<u64>() > self.seats as u64 * SEAT_RATE {
            return Err(format!("rates in force at {:?}: {rates:?}", self.real_time));
        }
        let is_sending = rates.values().any(|&rate| rate > 0);
        self.coverage.extensions += u64::from(
            is_sending && self.real_time.since(self.store_up_at) > LEASE_DURATION.times(2),
        );
        Ok(())
    }
}

/// The number of seats that changed from one holder to another.
fn takeovers(before: &Seats, after: &Seats) -> u64 {
    let pairs = before.seats.iter().zip(&after.seats);
    let is_taken = |(before, after): &(&Record, &Record)| {
        before.holder.is_some() && after.holder.is_some() && before.holder != after.holder
    };
    pairs.filter(is_taken).count() as u64
}
