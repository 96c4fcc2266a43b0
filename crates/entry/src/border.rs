//! The links to other regions: seats, lending, and paced sending.

use std::sync::Mutex;
use std::time::Duration;

use ebonypass_core::pacer::{Pacer, Rate};
use ebonypass_core::policy::Document;
use ebonypass_core::roster::{Process, Roster};
use ebonypass_core::seat::{self, Action};
use ebonypass_core::share::{self, ActiveSeats, Loan};
use ebonypass_core::time::{Instant, Span};
use ebonypass_core::vote;
use ebonypass_node::clock;
use ebonypass_node::sync::lock;
use smol::Timer;

/// Bytes of a body that are sent at once.
pub(crate) const CHUNK: usize = 16 * 1024;

/// Bytes that headers of packets add to a chunk: 66 of each 1,200, rounded up to a sixteenth.
const OVERHEAD_DIVISOR: u64 = 16;

/// Bytes that a stream's and a packet's own headers add, however short the chunk is.
const OVERHEAD: u64 = 64;

/// The time over which the demand for a link is measured.
const DEMAND_TIME: Span = Span::from_millis(500);

/// The pause between two questions for a loan.
const BORROW_PAUSE: Span = Span::from_secs(1);

/// The longest sleep of a sender that waits for tokens: rates rise by loans and renewals.
const NAP: Duration = Duration::from_millis(5);

/// The links that leave the own region.
pub(crate) struct Border {
    inner: Mutex<Option<Inner>>,
}

struct Inner {
    region: String,
    holder: seat::Holder,
    share: share::Allocation,
    links: Vec<Outgoing>,
}

/// One link as this process uses it.
struct Outgoing {
    to: String,
    pacer: Pacer,
    /// Gives senders their turns, chunk by chunk, so that a long reply does not hold up short ones.
    gate: std::sync::Arc<smol::lock::Mutex<()>>,
    /// Bytes that were wanted in the present and in the last measuring time.
    wanted: [u64; 2],
    wanted_at: Instant,
    asked_at: Instant,
}

impl Border {
    /// No links: nothing leaves the region.
    pub(crate) const fn new() -> Border {
        Border { inner: Mutex::new(None) }
    }

    /// Takes in a document that has come into force. `region` is this process's.
    pub(crate) fn resolve(&self, now: Instant, own: &Process, document: &Document, region: &str) {
        let mut guard = lock(&self.inner);
        let Some(id) = document.region(region) else { return };
        let inner = guard.get_or_insert_with(|| Inner {
            region: region.to_owned(),
            holder: seat::Holder::new(now, own.clone(), document.regions[id].seats as usize),
            share: share::Allocation::new(),
            links: Vec::new(),
        });
        inner.share.update_links(document, id, inner.holder.seat_count());
        for link in document.links.iter().filter(|link| link.from == id) {
            let to = &document.regions[link.to].name;
            if !inner.links.iter().any(|known| known.to == *to) {
                inner.links.push(Outgoing::new(now, to));
            }
        }
        inner.set_rates(now);
    }

    /// The region whose seats are held, if a document is in force.
    pub(crate) fn region(&self) -> Option<String> {
        lock(&self.inner).as_ref().map(|inner| inner.region.clone())
    }

    /// The next thing to do for the seats. `entries` is the number of entries that share them.
    pub(crate) fn next_action(
        &self,
        now: Instant,
        roster: &Roster,
        entries: usize,
        is_closing: bool,
    ) -> Option<Action> {
        let mut guard = lock(&self.inner);
        let inner = guard.as_mut()?;
        // The survivors of a lost entry take its seat over.
        let fair = inner.holder.seat_count().div_ceil(entries.max(1));
        inner.holder.set_desired_seats(if is_closing { 0 } else { fair });
        let action = inner.holder.next_action(now, roster);
        inner.set_rates(now);
        action
    }

    /// Changes the seats by `change`, and the rates with them.
    pub(crate) fn with_holder<R>(
        &self,
        now: Instant,
        change: impl FnOnce(&mut seat::Holder) -> R,
    ) -> Option<R> {
        let mut guard = lock(&self.inner);
        let inner = guard.as_mut()?;
        let result = change(&mut inner.holder);
        inner.set_rates(now);
        Some(result)
    }

    /// Takes in a frame about seats and gives the answer, if any.
    pub(crate) fn note_message(
        &self,
        now: Instant,
        from: &Process,
        message: &vote::Message,
    ) -> Option<vote::Message> {
        self.with_holder(now, |holder| holder.handle_message(now, from, message)).flatten()
    }

    /// Takes in a question for a loan and gives the answer, if any.
    pub(crate) fn note_borrow(
        &self,
        now: Instant,
        from: &Process,
        borrow: &share::Request,
    ) -> Option<Loan> {
        let mut guard = lock(&self.inner);
        let inner = guard.as_mut()?;
        let link = inner.links.iter().position(|link| link.to == borrow.to)?;
        let demand = inner.links[link].demand(now);
        let backing = inner.backing(now);
        let loan = inner.share.handle_loan_request(now, from, borrow, backing, demand);
        inner.holder.keep_seats_until(inner.share.lent_until());
        // The own rate falls before the loan is sent.
        inner.set_rates(now);
        loan
    }

    /// Takes in a loan.
    pub(crate) fn note_loan(&self, now: Instant, from: &str, loan: &Loan) {
        if let Some(inner) = lock(&self.inner).as_mut() {
            inner.share.handle_loan(from, loan);
            inner.set_rates(now);
        }
    }

    /// Questions for loans that are due, to the entry called `lender`.
    pub(crate) fn next_borrow(&self, now: Instant, lender: &str) -> Option<share::Request> {
        let mut guard = lock(&self.inner);
        let inner = guard.as_mut()?;
        let is_due = |link: &mut &mut Outgoing| {
            let rate = link.pacer.rate(now).bytes_per_s;
            link.demand(now) > rate && now.since(link.asked_at) >= BORROW_PAUSE
        };
        let mut due =
            inner.links.iter_mut().filter_map(|mut link| is_due(&mut link).then_some(link));
        let link = due.next()?;
        link.asked_at = now;
        let (to, demand) = (link.to.clone(), link.demand(now));
        let position = inner.share.link_index(&to)?;
        Some(inner.share.request_loan(now, lender, position, demand))
    }

    /// Whether anything may be sent to `region` now.
    pub(crate) fn is_open(&self, now: Instant, region: &str) -> bool {
        let guard = lock(&self.inner);
        let link = guard.as_ref().and_then(|inner| inner.links.iter().find(|l| l.to == region));
        link.is_some_and(|link| link.pacer.rate(now).burst_bytes > OVERHEAD)
    }

    /// Seats in force, and the sum of the rates on all links in bytes a second.
    pub(crate) fn figures(&self, now: Instant) -> (usize, u64) {
        let guard = lock(&self.inner);
        let Some(inner) = guard.as_ref() else { return (0, 0) };
        let rates = inner.links.iter().map(|link| link.pacer.rate(now).bytes_per_s);
        (inner.holder.in_force(now).0, rates.sum())
    }

    /// Waits for the turn and the tokens to send up to `bytes` to `region`, and gives how many may
    /// be sent at once.
    pub(crate) async fn pass(&self, region: &str, bytes: usize) -> usize {
        let Some(gate) = self.gate(region, bytes) else { return std::future::pending().await };
        let _turn = gate.lock().await;
        loop {
            let ready = self.take(clock::now(), region, bytes);
            match ready {
                Ok(granted) => return granted,
                Err(at) => {
                    let wait = clock::duration(at.since(clock::now()));
                    Timer::after(wait.min(NAP)).await;
                }
            }
        }
    }

    fn gate(&self, region: &str, bytes: usize) -> Option<std::sync::Arc<smol::lock::Mutex<()>>> {
        let mut guard = lock(&self.inner);
        let link = guard.as_mut()?.links.iter_mut().find(|link| link.to == region)?;
        link.want(clock::now(), bytes as u64);
        Some(link.gate.clone())
    }

    /// Takes the tokens of as many of `bytes` as fit the burst, or tells when to try again.
    fn take(&self, now: Instant, region: &str, bytes: usize) -> Result<usize, Instant> {
        let later = now + Span::from_millis(NAP.as_millis() as u64);
        let mut guard = lock(&self.inner);
        let inner = guard.as_mut().ok_or(later)?;
        let link = inner.links.iter_mut().find(|link| link.to == region).ok_or(later)?;
        let burst = link.pacer.rate(now).burst_bytes;
        let room = burst.saturating_sub(OVERHEAD) * OVERHEAD_DIVISOR / (OVERHEAD_DIVISOR + 1);
        let bytes = bytes.min(room as usize);
        if bytes == 0 {
            return Err(later);
        }
        let charge = bytes as u64 + bytes as u64 / OVERHEAD_DIVISOR + OVERHEAD;
        let ready = link.pacer.ready_at(now, charge).ok_or(later)?;
        if ready > now {
            return Err(ready);
        }
        link.pacer.take(now, charge);
        Ok(bytes)
    }
}

impl Inner {
    fn backing(&self, now: Instant) -> ActiveSeats {
        let (seats, until) = self.holder.in_force(now);
        ActiveSeats { seats, until }
    }

    /// Brings the pacers to what seats and loans allow now.
    fn set_rates(&mut self, now: Instant) {
        let backing = self.backing(now);
        for link in &mut self.links {
            let position = self.share.link_index(&link.to);
            let (rate, until) = match position {
                Some(position) => self.share.rate(now, position, backing),
                None => (Rate::ZERO, now),
            };
            link.pacer.set_rate(now, rate, until);
        }
    }
}

impl Outgoing {
    fn new(now: Instant, to: &str) -> Outgoing {
        Outgoing {
            to: to.to_owned(),
            pacer: Pacer::new(now),
            gate: std::sync::Arc::default(),
            wanted: [0; 2],
            wanted_at: now,
            asked_at: Instant::ZERO,
        }
    }

    fn want(&mut self, now: Instant, bytes: u64) {
        self.turn(now);
        self.wanted[0] += bytes;
    }

    /// Bytes a second that were wanted in the last whole measuring time.
    fn demand(&mut self, now: Instant) -> u64 {
        self.turn(now);
        self.wanted[1] * 1_000_000 / DEMAND_TIME.as_micros()
    }

    fn turn(&mut self, now: Instant) {
        let age = now.since(self.wanted_at);
        if age >= DEMAND_TIME {
            let last = if age < DEMAND_TIME.times(2) { self.wanted[0] } else { 0 };
            self.wanted = [0, last];
            self.wanted_at = now;
        }
    }
}
