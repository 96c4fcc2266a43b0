//! Lending of link rate between the processes of one region.
//!
//! On each link, a process may send at the rate of its seats, minus what it has lent, plus what it
//! has borrowed. Only the rate of a process's own seats is lent, never borrowed rate. The sum of
//! the rates stays within the cap given these rules:
//!
//! - A loan is the reply to a request, and its lifetime counts from when the borrower sent the
//!   request. A lifetime counted from receipt would be longer by the delay of the message.
//! - A loan, including its margin, ends before the lender's first seat expires. Otherwise another
//!   process could take over the seat while the borrower still uses part of its rate.
//! - The lender keeps its seats until its loans have ended, see [`Allocation::lent_until`].
//! - A newer loan between the same two processes replaces the older one. The lender accounts for
//!   the larger of the two until both have ended, because it cannot know which one the borrower
//!   uses.

use serde::{Deserialize, Serialize};

use crate::id::RegionId;
use crate::lease::LEASE_DURATION;
use crate::pacer::Rate;
use crate::policy::{Document, Link};
use crate::roster::Process;
use crate::time::{Instant, Span};

/// The percentage of a link's cap that is split between the seats. Bursts get 3%, control messages
/// 1%.
pub const SEAT_PERCENT: u64 = 96;

/// The time in which a seat's rate fills its burst. The bursts are 3% of the cap over 100 ms,
/// filled at 96% of the cap.
pub const BURST_TIME: Span = Span::from_micros(3_125);

/// The maximum lifetime of a loan. Less than the time left on a lease at a regular renewal.
pub const MAX_LOAN_LIFETIME: Span = Span::from_secs(4);

/// The minimum lifetime of a loan. Shorter loans do not justify their messages.
pub const MIN_LOAN_LIFETIME: Span = Span::from_millis(500);

/// Allows for scheduling delays at the borrower and the lender.
pub const LOAN_MARGIN: Span = Span::from_millis(50);

/// A request for a loan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Increases with each request of the sender.
    pub round: u64,
    /// The region at the other end of the link.
    pub to: String,
    /// The requested rate in bytes per second.
    pub bytes_per_s: u64,
}

/// The reply to a [`Request`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// The round of the request.
    pub round: u64,
    /// The region at the other end of the link.
    pub to: String,
    /// The lent rate in bytes per second.
    pub bytes_per_s: u64,
    /// The lifetime, counted from when the request was sent.
    pub lifetime: Span,
}

/// The seats of a process that are in force, see [`crate::seat::Holder::in_force`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ActiveSeats {
    /// The number of seats.
    pub seats: usize,
    /// When the first of them expires.
    pub until: Instant,
}

/// A loan to another process.
#[derive(Debug, Clone)]
struct OutgoingLoan {
    borrower: Process,
    link: usize,
    loan: Loan,
    /// When this process may use the rate again.
    until: Instant,
}

/// A loan request and the loan received for it, if any.
#[derive(Debug, Clone)]
struct IncomingLoan {
    lender: String,
    link: usize,
    round: u64,
    requested_at: Instant,
    bytes_per_s: u64,
    until: Instant,
}

#[derive(Debug, Clone)]
struct OutgoingLink {
    to: String,
    /// The rate of one seat in bytes per second.
    seat_rate: u64,
}

/// The rate that one process may use on each link of its region.
#[derive(Debug, Default)]
pub struct Allocation {
    links: Vec<OutgoingLink>,
    outgoing_loans: Vec<OutgoingLoan>,
    incoming_loans: Vec<IncomingLoan>,
    last_round: u64,
}

impl Allocation {
    /// An allocation without links and loans.
    pub fn new() -> Allocation {
        Allocation::default()
    }

    /// Sets the links that leave `region` in `document`, each split into `seats` seats. Loans on
    /// remaining links stay in force.
    pub fn update_links(&mut self, document: &Document, region: RegionId, seats: usize) {
        let links = document.links.iter().filter(|link| link.from == region);
        let links =
            links.map(|link| (document.regions[link.to].name.clone(), seat_rate(link, seats)));
        self.set_links(links);
    }

    /// Sets the links, as pairs of the receiving region and the rate of one seat in bytes per
    /// second.
    pub fn set_links(&mut self, links: impl IntoIterator<Item = (String, u64)>) {
        // Loans refer to links by index, so each link keeps its index.
        self.links.iter_mut().for_each(|link| link.seat_rate = 0);
        for (to, seat_rate) in links {
            match self.link_index(&to) {
                Some(link) => self.links[link].seat_rate = seat_rate,
                None => self.links.push(OutgoingLink { to, seat_rate }),
            }
        }
    }

    /// The index of the link to the region named `to`.
    pub fn link_index(&self, to: &str) -> Option<usize> {
        self.links.iter().position(|link| link.to == to)
    }

    /// The rate on `link` at `now`, and until when it may be used. The caller updates its pacer
    /// after each handled message, and before it sends a [`Loan`].
    pub fn rate(&self, now: Instant, link: usize, active_seats: ActiveSeats) -> (Rate, Instant) {
        let own =
            self.own_rate(now, link, active_seats).saturating_sub(self.lent_rate(now, link, None));
        let borrowed = self
            .incoming_loans
            .iter()
            .filter(|incoming| incoming.link == link && now < incoming.until);
        let mut until = if own > 0 { active_seats.until } else { Instant::MAX };
        let mut bytes_per_s = own;
        for incoming in borrowed {
            bytes_per_s += incoming.bytes_per_s;
            until = until.min(incoming.until);
        }
        let burst_bytes = bytes_per_s * BURST_TIME.as_micros() / 1_000_000;
        (Rate { bytes_per_s, burst_bytes }, until)
    }

    /// When the last loan to another process ends. This process must keep its seats until then.
    pub fn lent_until(&self) -> Instant {
        self.outgoing_loans.iter().map(|outgoing| outgoing.until).max().unwrap_or(Instant::ZERO)
    }

    /// When the rate next increases because a loan to another process ends.
    pub fn wake_at(&self, now: Instant) -> Instant {
        let ends =
            self.outgoing_loans.iter().map(|outgoing| outgoing.until).filter(|&until| now < until);
        ends.min().unwrap_or(Instant::MAX)
    }

    /// Creates a request to the entry named `lender` for rate on `link`.
    pub fn request_loan(
        &mut self,
        now: Instant,
        lender: &str,
        link: usize,
        bytes_per_s: u64,
    ) -> Request {
        self.incoming_loans
            .retain(|incoming| now < incoming.until.max(incoming.requested_at + MAX_LOAN_LIFETIME));
        self.last_round += 1;
        let round = self.last_round;
        let lender = lender.to_owned();
        let incoming =
            IncomingLoan { lender, link, round, requested_at: now, bytes_per_s: 0, until: now };
        self.incoming_loans.push(incoming);
        Request { round, to: self.links[link].to.clone(), bytes_per_s }
    }

    /// Handles a loan request. `demand` is the rate that this process could use itself on the link,
    /// in bytes per second. Spare rate is lent, but at least an equal share to each borrower.
    pub fn handle_loan_request(
        &mut self,
        now: Instant,
        from: &Process,
        request: &Request,
        active_seats: ActiveSeats,
        demand: u64,
    ) -> Option<Loan> {
        self.outgoing_loans.retain(|outgoing| now < outgoing.until);
        let link = self.link_index(&request.to)?;
        let is_same =
            |outgoing: &&OutgoingLoan| outgoing.borrower == *from && outgoing.link == link;
        if let Some(outgoing) =
            self.outgoing_loans.iter().filter(is_same).max_by_key(|outgoing| outgoing.loan.round)
            && outgoing.loan.round >= request.round
        {
            // A retried request gets the same loan, an outdated one gets none.
            return (outgoing.loan.round == request.round).then(|| outgoing.loan.clone());
        }
        let own = self.own_rate(now, link, active_seats);
        let available = own.saturating_sub(self.lent_rate(now, link, Some(from)));
        let fair_share = own / (2 + self.other_borrowers(link, from));
        let offered = available.saturating_sub(demand).max(fair_share.min(available));
        let bytes_per_s = offered.min(request.bytes_per_s);
        // Clock rates may differ by 1% of the lifetime.
        let remaining_us =
            active_seats.until.since(now + LOAN_MARGIN).min(LEASE_DURATION).as_micros() * 100 / 101;
        let lifetime = MAX_LOAN_LIFETIME.min(Span::from_micros(remaining_us));
        if bytes_per_s == 0 || lifetime < MIN_LOAN_LIFETIME {
            return None;
        }
        let loan = Loan { round: request.round, to: request.to.clone(), bytes_per_s, lifetime };
        let until = now + lifetime + Span::from_micros(lifetime.as_micros() / 100) + LOAN_MARGIN;
        self.outgoing_loans.push(OutgoingLoan {
            borrower: from.clone(),
            link,
            loan: loan.clone(),
            until,
        });
        Some(loan)
    }

    /// Handles a loan from the entry named `from`.
    pub fn handle_loan(&mut self, from: &str, loan: &Loan) {
        let Some(link) = self.link_index(&loan.to) else { return };
        let is_same = |incoming: &IncomingLoan| incoming.lender == from && incoming.link == link;
        let is_superseded = |incoming: &IncomingLoan| {
            is_same(incoming) && incoming.round > loan.round && incoming.bytes_per_s > 0
        };
        if self.incoming_loans.iter().any(is_superseded) {
            return;
        }
        for incoming in self.incoming_loans.iter_mut().filter(|incoming| is_same(incoming)) {
            if incoming.round == loan.round {
                incoming.bytes_per_s = loan.bytes_per_s;
                incoming.until = incoming.requested_at + loan.lifetime;
            } else if incoming.round < loan.round {
                incoming.until = Instant::ZERO;
            }
        }
    }

    fn own_rate(&self, now: Instant, link: usize, active_seats: ActiveSeats) -> u64 {
        let seats = if now < active_seats.until { active_seats.seats as u64 } else { 0 };
        seats * self.links[link].seat_rate
    }

    /// The rate lent on `link` at `now`, without loans to `except`.
    fn lent_rate(&self, now: Instant, link: usize, except: Option<&Process>) -> u64 {
        let open = |outgoing: &&OutgoingLoan| outgoing.link == link && now < outgoing.until;
        let open = self.outgoing_loans.iter().filter(open).enumerate();
        open.clone()
            .filter(|(_, outgoing)| Some(&outgoing.borrower) != except)
            .filter(|(index, outgoing)| {
                // Counts the largest loan to each borrower, the first one if several are equal.
                !open.clone().any(|(other, larger)| {
                    let is_larger = larger.loan.bytes_per_s > outgoing.loan.bytes_per_s
                        || (larger.loan.bytes_per_s == outgoing.loan.bytes_per_s && other < *index);
                    larger.borrower == outgoing.borrower && is_larger
                })
            })
            .map(|(_, outgoing)| outgoing.loan.bytes_per_s)
            .sum()
    }

    /// The number of borrowers on `link` other than `except`.
    fn other_borrowers(&self, link: usize, except: &Process) -> u64 {
        let others = self.outgoing_loans.iter().filter(|outgoing| outgoing.link == link);
        let mut others: Vec<&Process> = others.map(|outgoing| &outgoing.borrower).collect();
        others.retain(|borrower| *borrower != except);
        others.sort_unstable();
        others.dedup();
        others.len() as u64
    }
}

/// The rate of one of `seats` seats on `link`, in bytes per second.
pub const fn seat_rate(link: &Link, seats: usize) -> u64 {
    link.cap_bytes_per_s() * SEAT_PERCENT / 100 / seats as u64
}

/// A loan must be shorter than a lease, or no seat could back it.
const _: () = assert!(MAX_LOAN_LIFETIME.as_micros() < LEASE_DURATION.as_micros());
