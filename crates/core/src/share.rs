//! Lending of link rate between processes of one region.
//!
//! A process sends on a link at the rate of its seats, less what it has lent, plus what it has
//! borrowed. Only the rate of seats is lent, never borrowed rate. Beyond the design page these rules
//! are needed:
//!
//! - A loan answers a question of the borrower, and the borrower counts its lifetime from when it
//!   asked. A lifetime counted from receipt would last longer by the delay of the message.
//! - A loan with its margin ends before the first seat of the lender does. Otherwise another process
//!   could take the seat over while the borrower still uses a part of it.
//! - The lender keeps its seats until its loans have ended, see [`Share::lent_until`].
//! - A newer loan between the same two processes replaces the older one. The lender reckons with the
//!   larger of the two until both have ended, because it cannot know which one the borrower uses.

use serde::{Deserialize, Serialize};

use crate::id::RegionId;
use crate::lease::LEASE;
use crate::pacer::Rate;
use crate::policy::{Document, Link};
use crate::roster::Process;
use crate::time::{Instant, Span};

/// The part of a link's cap that the seats share, in percent. The bursts get 3, control frames 1.
pub const SEAT_PERCENT: u64 = 96;

/// How long a seat's rate takes to fill its burst: 3% of the cap over 100 ms at 96% of the cap.
pub const BURST_TIME: Span = Span::from_micros(3_125);

/// How long a loan lasts at most. Less than what is left of a lease after a regular renewal.
pub const LOAN: Span = Span::from_secs(4);

/// Loans that would be shorter are not worth their messages.
pub const LOAN_MIN: Span = Span::from_millis(500);

/// Covers scheduling at the borrower and the lender.
pub const LOAN_MARGIN: Span = Span::from_millis(50);

/// The frame that asks for a loan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Borrow {
    /// Grows with each question of the sender.
    pub round: u64,
    /// The region at the other end of the link.
    pub to: String,
    /// Bytes a second that would be of use.
    pub bytes_per_s: u64,
}

/// The frame that answers [`Borrow`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// The round of the question.
    pub round: u64,
    /// The region at the other end of the link.
    pub to: String,
    /// Bytes a second that are lent.
    pub bytes_per_s: u64,
    /// How long, from when the question was sent.
    pub lifetime: Span,
}

/// The seats that a process has in force, see [`crate::seat::Holder::in_force`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backing {
    /// How many.
    pub seats: usize,
    /// When the first of them ends.
    pub until: Instant,
}

/// Rate lent to another process.
#[derive(Debug, Clone)]
struct Given {
    borrower: Process,
    link: usize,
    loan: Loan,
    /// When the rate is this process's again.
    until: Instant,
}

/// A question for a loan, and what came of it.
#[derive(Debug, Clone)]
struct Taken {
    lender: String,
    link: usize,
    round: u64,
    asked_at: Instant,
    bytes_per_s: u64,
    until: Instant,
}

#[derive(Debug, Clone)]
struct Outgoing {
    to: String,
    /// Bytes a second of one seat.
    seat_rate: u64,
}

/// The rate of one process on the links of its region.
#[derive(Debug, Default)]
pub struct Share {
    links: Vec<Outgoing>,
    given: Vec<Given>,
    taken: Vec<Taken>,
    rounds: u64,
}

impl Share {
    /// A process without loans.
    pub fn new() -> Share {
        Share::default()
    }

    /// Sets the links that leave `region` in `document`, each split into `seats` seats. Loans on
    /// links that stay keep running.
    pub fn resolve(&mut self, document: &Document, region: RegionId, seats: usize) {
        let links = document.links.iter().filter(|link| link.from == region);
        let links =
            links.map(|link| (document.regions[link.to].name.clone(), seat_rate(link, seats)));
        self.set_links(links);
    }

    /// Sets the links as pairs of receiving region and bytes a second of one seat.
    pub fn set_links(&mut self, links: impl IntoIterator<Item = (String, u64)>) {
        // A link keeps its position, since loans refer to it.
        self.links.iter_mut().for_each(|link| link.seat_rate = 0);
        for (to, seat_rate) in links {
            match self.link(&to) {
                Some(link) => self.links[link].seat_rate = seat_rate,
                None => self.links.push(Outgoing { to, seat_rate }),
            }
        }
    }

    /// The position of the link to the region called `to`.
    pub fn link(&self, to: &str) -> Option<usize> {
        self.links.iter().position(|link| link.to == to)
    }

    /// The rate on `link` at `now`, and until when it may be used. The caller sets its pacer to it
    /// after each message and before it sends a [`Loan`].
    pub fn rate(&self, now: Instant, link: usize, backing: Backing) -> (Rate, Instant) {
        let own = self.own(now, link, backing).saturating_sub(self.lent(now, link, None));
        let taken = self.taken.iter().filter(|taken| taken.link == link && now < taken.until);
        let mut until = if own > 0 { backing.until } else { Instant::MAX };
        let mut bytes_per_s = own;
        for taken in taken {
            bytes_per_s += taken.bytes_per_s;
            until = until.min(taken.until);
        }
        let burst_bytes = bytes_per_s * BURST_TIME.as_micros() / 1_000_000;
        (Rate { bytes_per_s, burst_bytes }, until)
    }

    /// When the last loan that this process gave ends; it has to keep its seats until then.
    pub fn lent_until(&self) -> Instant {
        self.given.iter().map(|given| given.until).max().unwrap_or(Instant::ZERO)
    }

    /// When the rate next rises because a loan that this process gave ends.
    pub fn wake_at(&self, now: Instant) -> Instant {
        let ends = self.given.iter().map(|given| given.until).filter(|&until| now < until);
        ends.min().unwrap_or(Instant::MAX)
    }

    /// Asks the entry called `lender` for rate on `link`.
    pub fn ask(&mut self, now: Instant, lender: &str, link: usize, bytes_per_s: u64) -> Borrow {
        self.taken.retain(|taken| now < taken.until.max(taken.asked_at + LOAN));
        self.rounds += 1;
        let round = self.rounds;
        let lender = lender.to_owned();
        let asked = Taken { lender, link, round, asked_at: now, bytes_per_s: 0, until: now };
        self.taken.push(asked);
        Borrow { round, to: self.links[link].to.clone(), bytes_per_s }
    }

    /// Takes in a question. `demand` is what this process could use itself on the link, in bytes a
    /// second. Spare rate is lent, and at least an equal part for each borrower.
    pub fn note_borrow(
        &mut self,
        now: Instant,
        from: &Process,
        borrow: &Borrow,
        backing: Backing,
        demand: u64,
    ) -> Option<Loan> {
        self.given.retain(|given| now < given.until);
        let link = self.link(&borrow.to)?;
        let is_same = |given: &&Given| given.borrower == *from && given.link == link;
        if let Some(given) = self.given.iter().filter(is_same).max_by_key(|given| given.loan.round)
            && given.loan.round >= borrow.round
        {
            // A repeated question gets the same loan; an overtaken one gets none.
            return (given.loan.round == borrow.round).then(|| given.loan.clone());
        }
        let own = self.own(now, link, backing);
        let in_hand = own.saturating_sub(self.lent(now, link, Some(from)));
        let fair = own / (2 + self.borrowers(link, from));
        let offer = in_hand.saturating_sub(demand).max(fair.min(in_hand));
        let bytes_per_s = offer.min(borrow.bytes_per_s);
        // One percent of the lifetime covers clocks of different rates.
        let rest = backing.until.since(now + LOAN_MARGIN).min(LEASE).as_micros() * 100 / 101;
        let lifetime = LOAN.min(Span::from_micros(rest));
        if bytes_per_s == 0 || lifetime < LOAN_MIN {
            return None;
        }
        let loan = Loan { round: borrow.round, to: borrow.to.clone(), bytes_per_s, lifetime };
        let until = now + lifetime + Span::from_micros(lifetime.as_micros() / 100) + LOAN_MARGIN;
        self.given.push(Given { borrower: from.clone(), link, loan: loan.clone(), until });
        Some(loan)
    }

    /// Takes in a loan of the entry called `from`.
    pub fn note_loan(&mut self, from: &str, loan: &Loan) {
        let Some(link) = self.link(&loan.to) else { return };
        let is_same = |taken: &Taken| taken.lender == from && taken.link == link;
        let is_overtaken =
            |taken: &Taken| is_same(taken) && taken.round > loan.round && taken.bytes_per_s > 0;
        if self.taken.iter().any(is_overtaken) {
            return;
        }
        for taken in self.taken.iter_mut().filter(|taken| is_same(taken)) {
            if taken.round == loan.round {
                taken.bytes_per_s = loan.bytes_per_s;
                taken.until = taken.asked_at + loan.lifetime;
            } else if taken.round < loan.round {
                taken.until = Instant::ZERO;
            }
        }
    }

    fn own(&self, now: Instant, link: usize, backing: Backing) -> u64 {
        let seats = if now < backing.until { backing.seats as u64 } else { 0 };
        seats * self.links[link].seat_rate
    }

    /// What is lent on `link` at `now`, not counting loans to `except`.
    fn lent(&self, now: Instant, link: usize, except: Option<&Process>) -> u64 {
        let open = |given: &&Given| given.link == link && now < given.until;
        let open = self.given.iter().filter(open).enumerate();
        open.clone()
            .filter(|(_, given)| Some(&given.borrower) != except)
            .filter(|(index, given)| {
                // Only the largest loan to each borrower counts, the first of equal ones.
                !open.clone().any(|(other, larger)| {
                    let is_larger = larger.loan.bytes_per_s > given.loan.bytes_per_s
                        || (larger.loan.bytes_per_s == given.loan.bytes_per_s && other < *index);
                    larger.borrower == given.borrower && is_larger
                })
            })
            .map(|(_, given)| given.loan.bytes_per_s)
            .sum()
    }

    /// The number of other borrowers on `link`.
    fn borrowers(&self, link: usize, except: &Process) -> u64 {
        let others = self.given.iter().filter(|given| given.link == link);
        let mut others: Vec<&Process> = others.map(|given| &given.borrower).collect();
        others.retain(|borrower| *borrower != except);
        others.sort_unstable();
        others.dedup();
        others.len() as u64
    }
}

/// Bytes a second of one of `seats` seats on `link`.
pub const fn seat_rate(link: &Link, seats: usize) -> u64 {
    link.cap_bytes_per_s() * SEAT_PERCENT / 100 / seats as u64
}

/// A loan must fit into a lease, or no seat could back it.
const _: () = assert!(LOAN.as_micros() < LEASE.as_micros());
