//! A simulated VM: a process with its seats, loans and VM list.

use ebonypass_core::roster::{Incarnation, Process, Roster};
use ebonypass_core::seat;
use ebonypass_core::share::{self, ActiveSeats};
use ebonypass_core::time::Instant;

use crate::explore::Clock;

/// The rate of one seat in bytes per second.
pub const SEAT_RATE: u64 = 1_000;

/// A rule that a test breaks on purpose, to show that the violation is detected.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum BrokenRule {
    None,
    /// Holders ignore the expiry of their seats.
    Expiry,
    /// Each takeover counts a consent of every seat.
    Consents,
    /// Lenders use the full rate of their seats while some of it is lent.
    Raise,
    /// Borrowers count the lifetime of a loan from its receipt.
    Receipt,
    /// Holders promise regardless of their consents and do not record their promises.
    Promises,
}

pub struct Vm {
    pub name: String,
    pub clock: Clock,
    pub process: Process,
    pub holder: seat::Holder,
    pub share: share::Allocation,
    pub roster: Roster,
    pub pending_call: Option<u64>,
    pub is_paused: bool,
    pub is_running: bool,
    pub is_listed: bool,
    /// Whether its calls fail to reach the store.
    pub is_store_unreachable: bool,
    /// Its side of a network partition. VMs on different sides cannot reach each other.
    pub partition: bool,
    /// The borrowed rate in bytes per second, and its end if counted from receipt.
    pub received_loan: (u64, Instant),
}

impl Vm {
    pub fn new(number: usize, incarnation: u64, real_time: Instant, seats: usize) -> Vm {
        let name = format!("entry-{number}");
        let clock = Clock::new(number);
        let process = Process { name: name.clone(), incarnation: Incarnation(incarnation) };
        let mut holder = seat::Holder::new(clock.read(real_time), process.clone(), seats);
        holder.set_desired_seats(1);
        let mut share = share::Allocation::new();
        share.set_links([("geneva".to_owned(), SEAT_RATE)]);
        let roster = Roster::new(&name, "zurich-1");
        Vm {
            name,
            clock,
            process,
            holder,
            share,
            roster,
            pending_call: None,
            is_paused: false,
            is_running: true,
            is_listed: true,
            is_store_unreachable: false,
            partition: false,
            received_loan: (0, Instant::ZERO),
        }
    }

    pub fn active_seats(&self, now: Instant) -> ActiveSeats {
        let (seats, until) = self.holder.in_force(now);
        ActiveSeats { seats, until }
    }

    pub fn rate(&self, real_time: Instant, broken_rule: BrokenRule) -> u64 {
        let now = self.clock.read(real_time);
        let mut active_seats = self.active_seats(now);
        if broken_rule == BrokenRule::Expiry {
            active_seats =
                ActiveSeats { seats: self.holder.held_seats().len(), until: Instant::MAX };
        }
        let rate = self.share.rate(now, 0, active_seats).0.bytes_per_s;
        match broken_rule {
            BrokenRule::Raise => rate.max(active_seats.seats as u64 * SEAT_RATE),
            BrokenRule::Receipt if now < self.received_loan.1 => rate.max(self.received_loan.0),
            _ => rate,
        }
    }
}
