//! One VM of a region: a process with its seats, loans and VM list.

use ebonypass_core::roster::{Incarnation, Process, Roster};
use ebonypass_core::seat::SeatHolder;
use ebonypass_core::share::{ActiveSeats, LinkAllocation};
use ebonypass_core::time::Instant;

use crate::explore::Clock;

/// The rate of one seat.
pub const SEAT_RATE: u64 = 1_000;

/// A rule that the explorer breaks on purpose.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Broken {
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

pub struct Vm {
    pub name: String,
    pub clock: Clock,
    pub process: Process,
    pub holder: SeatHolder,
    pub share: LinkAllocation,
    pub roster: Roster,
    pub waits_for: Option<u64>,
    pub is_paused: bool,
    pub is_running: bool,
    pub is_listed: bool,
    /// Whether its calls do not reach the store.
    pub is_cut_off: bool,
    /// VMs of different sides do not reach each other.
    pub side: bool,
    /// Bytes a second that were borrowed, and until when by receipt.
    pub received: (u64, Instant),
}

impl Vm {
    pub fn new(number: usize, incarnation: u64, real: Instant, seats: usize) -> Vm {
        let name = format!("entry-{number}");
        let clock = Clock::new(number);
        let process = Process { name: name.clone(), incarnation: Incarnation(incarnation) };
        let mut holder = SeatHolder::new(clock.read(real), process.clone(), seats);
        holder.set_desired_seats(1);
        let mut share = LinkAllocation::new();
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
            is_cut_off: false,
            side: false,
            received: (0, Instant::ZERO),
        }
    }

    pub fn active_seats(&self, now: Instant) -> ActiveSeats {
        let (seats, until) = self.holder.in_force(now);
        ActiveSeats { seats, until }
    }

    pub fn rate(&self, real: Instant, broken: Broken) -> u64 {
        let now = self.clock.read(real);
        let mut active_seats = self.active_seats(now);
        if broken == Broken::Expiry {
            active_seats =
                ActiveSeats { seats: self.holder.held_seats().len(), until: Instant::MAX };
        }
        let rate = self.share.rate(now, 0, active_seats).0.bytes_per_s;
        match broken {
            Broken::Raise => rate.max(active_seats.seats as u64 * SEAT_RATE),
            Broken::Receipt if now < self.received.1 => rate.max(self.received.0),
            _ => rate,
        }
    }
}
