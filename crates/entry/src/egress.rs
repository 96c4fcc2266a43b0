//! Rate-limited sending over the links to other regions.
//!
//! The rate on a link follows from the seats that this process holds and from loans.

use std::sync::{Arc, Mutex};
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

/// The largest part of a body that is sent at once, in bytes.
pub(crate) const MAX_CHUNK_BYTES: usize = 16 * 1024;

/// Packet headers add one byte per this many bytes of a chunk: 66 of each 1,200, rounded up to a
/// sixteenth.
const PACKET_OVERHEAD_DIVISOR: u64 = 16;

/// Bytes that stream and packet headers add to each chunk, however short it is.
const CHUNK_OVERHEAD_BYTES: u64 = 64;

/// The window in which the demand for a link is measured.
const DEMAND_WINDOW: Span = Span::from_millis(500);

/// Time between two loan requests for the same link.
const LOAN_REQUEST_INTERVAL: Span = Span::from_secs(1);

/// The longest sleep of a sender that waits for tokens, since loans and renewals raise the rate in
/// the meantime.
const MAX_TOKEN_WAIT: Duration = Duration::from_millis(5);

/// The links from this region to others. Empty until a policy document is in force.
pub(crate) struct Egress {
    inner: Mutex<Option<Inner>>,
}

struct Inner {
    region: String,
    holder: seat::Holder,
    allocation: share::Allocation,
    links: Vec<Link>,
}

/// The state of one link.
struct Link {
    /// The region at the other end.
    to: String,
    pacer: Pacer,
    /// Held by a sender for one chunk at a time, so that a long reply does not delay short ones.
    send_lock: Arc<smol::lock::Mutex<()>>,
    /// Bytes to be sent that were requested in the current and in the previous demand window.
    demand_bytes: [u64; 2],
    window_start: Instant,
    loan_requested_at: Instant,
}

impl Egress {
    /// Starts without links: nothing may be sent to other regions.
    pub(crate) const fn new() -> Egress {
        Egress { inner: Mutex::new(None) }
    }

    /// Updates the links and their rates from the document that has come into force. `process` is
    /// this process, and `region` is the region it runs in.
    pub(crate) fn update_links(
        &self,
        now: Instant,
        process: &Process,
        document: &Document,
        region: &str,
    ) {
        let mut guard = lock(&self.inner);
        let Some(id) = document.region(region) else { return };
        let inner = guard.get_or_insert_with(|| Inner {
            region: region.to_owned(),
            holder: seat::Holder::new(now, process.clone(), document.regions[id].seats as usize),
            allocation: share::Allocation::new(),
            links: Vec::new(),
        });
        inner.allocation.update_links(document, id, inner.holder.seat_count());
        for link in document.links.iter().filter(|link| link.from == id) {
            let to = &document.regions[link.to].name;
            if !inner.links.iter().any(|known| known.to == *to) {
                inner.links.push(Link::new(now, to));
            }
        }
        inner.set_rates(now);
    }

    /// The region of this process, if a document is in force.
    pub(crate) fn region(&self) -> Option<String> {
        lock(&self.inner).as_ref().map(|inner| inner.region.clone())
    }

    /// The next action of the seat protocol. `entries` is the number of entries that share the
    /// region's seats; `is_releasing` makes this process give its seats back.
    pub(crate) fn next_seat_action(
        &self,
        now: Instant,
        roster: &Roster,
        entries: usize,
        is_releasing: bool,
    ) -> Option<Action> {
        let mut guard = lock(&self.inner);
        let inner = guard.as_mut()?;
        // Rounded up and over the ready entries only, so that the others take over the seats of a
        // failed entry.
        let fair_share = inner.holder.seat_count().div_ceil(entries.max(1));
        inner.holder.set_desired_seats(if is_releasing { 0 } else { fair_share });
        let action = inner.holder.next_action(now, roster);
        inner.set_rates(now);
        action
    }

    /// Calls `update` on the seat holder, then sets the rates that follow from its seats. None if
    /// no document is in force.
    pub(crate) fn update_seats<R>(
        &self,
        now: Instant,
        update: impl FnOnce(&mut seat::Holder) -> R,
    ) -> Option<R> {
        let mut guard = lock(&self.inner);
        let inner = guard.as_mut()?;
        let result = update(&mut inner.holder);
        inner.set_rates(now);
        Some(result)
    }

    /// Handles a message of the seat protocol and returns the reply, if any.
    pub(crate) fn handle_seat_message(
        &self,
        now: Instant,
        from: &Process,
        message: &vote::Message,
    ) -> Option<vote::Message> {
        self.update_seats(now, |holder| holder.handle_message(now, from, message)).flatten()
    }

    /// Handles a loan request and returns the loan, if one is made.
    pub(crate) fn handle_loan_request(
        &self,
        now: Instant,
        from: &Process,
        request: &share::Request,
    ) -> Option<Loan> {
        let mut guard = lock(&self.inner);
        let inner = guard.as_mut()?;
        let index = inner.links.iter().position(|link| link.to == request.to)?;
        let demand = inner.links[index].demand(now);
        let active_seats = inner.active_seats(now);
        let loan = inner.allocation.handle_loan_request(now, from, request, active_seats, demand);
        inner.holder.keep_seats_until(inner.allocation.lent_until());
        // This process's rate falls before the loan is sent, so that the sum stays within the cap.
        inner.set_rates(now);
        loan
    }

    /// Adds a loan that the entry called `from` has made to this one.
    pub(crate) fn handle_loan(&self, now: Instant, from: &str, loan: &Loan) {
        if let Some(inner) = lock(&self.inner).as_mut() {
            inner.allocation.handle_loan(from, loan);
            inner.set_rates(now);
        }
    }

    /// The loan request to send next to the entry called `lender`, if the demand for a link exceeds
    /// its rate.
    pub(crate) fn next_loan_request(&self, now: Instant, lender: &str) -> Option<share::Request> {
        let mut guard = lock(&self.inner);
        let inner = guard.as_mut()?;
        let is_due = |link: &mut &mut Link| {
            let rate = link.pacer.rate(now).bytes_per_s;
            link.demand(now) > rate && now.since(link.loan_requested_at) >= LOAN_REQUEST_INTERVAL
        };
        let mut due =
            inner.links.iter_mut().filter_map(|mut link| is_due(&mut link).then_some(link));
        let link = due.next()?;
        link.loan_requested_at = now;
        let (to, demand) = (link.to.clone(), link.demand(now));
        let index = inner.allocation.link_index(&to)?;
        Some(inner.allocation.request_loan(now, lender, index, demand))
    }

    /// Whether the rate of the link to `region` allows at least one byte of a body now.
    pub(crate) fn can_send_to(&self, now: Instant, region: &str) -> bool {
        let guard = lock(&self.inner);
        let link = guard.as_ref().and_then(|inner| inner.links.iter().find(|l| l.to == region));
        link.is_some_and(|link| link.pacer.rate(now).burst_bytes > CHUNK_OVERHEAD_BYTES)
    }

    /// The number of seats in force, and the sum of the rates of all links in bytes per second.
    pub(crate) fn seats_and_rate(&self, now: Instant) -> (usize, u64) {
        let guard = lock(&self.inner);
        let Some(inner) = guard.as_ref() else { return (0, 0) };
        let rates = inner.links.iter().map(|link| link.pacer.rate(now).bytes_per_s);
        (inner.holder.in_force(now).0, rates.sum())
    }

    /// Waits until some of `bytes` may be sent to `region`, takes their tokens and returns how many
    /// they are. Never ready if there is no link to `region`.
    pub(crate) async fn acquire(&self, region: &str, bytes: usize) -> usize {
        let Some(send_lock) = self.record_demand(region, bytes) else {
            return std::future::pending().await;
        };
        let _guard = send_lock.lock().await;
        loop {
            let acquired = self.try_acquire(clock::now(), region, bytes);
            match acquired {
                Ok(granted) => return granted,
                Err(retry_at) => {
                    let wait = clock::duration(retry_at.since(clock::now()));
                    Timer::after(wait.min(MAX_TOKEN_WAIT)).await;
                }
            }
        }
    }

    /// Adds `bytes` to the demand for the link to `region` and returns the link's send lock.
    fn record_demand(&self, region: &str, bytes: usize) -> Option<Arc<smol::lock::Mutex<()>>> {
        let mut guard = lock(&self.inner);
        let link = guard.as_mut()?.links.iter_mut().find(|link| link.to == region)?;
        link.record_demand(clock::now(), bytes as u64);
        Some(link.send_lock.clone())
    }

    /// Takes the tokens for as many of `bytes` as fit into the burst.
    ///
    /// Errors: the time of the next attempt, if there are too few tokens now.
    fn try_acquire(&self, now: Instant, region: &str, bytes: usize) -> Result<usize, Instant> {
        let later = now + Span::from_millis(MAX_TOKEN_WAIT.as_millis() as u64);
        let mut guard = lock(&self.inner);
        let inner = guard.as_mut().ok_or(later)?;
        let link = inner.links.iter_mut().find(|link| link.to == region).ok_or(later)?;
        let burst = link.pacer.rate(now).burst_bytes;
        let payload = burst.saturating_sub(CHUNK_OVERHEAD_BYTES) * PACKET_OVERHEAD_DIVISOR
            / (PACKET_OVERHEAD_DIVISOR + 1);
        let bytes = bytes.min(payload as usize);
        if bytes == 0 {
            return Err(later);
        }
        let tokens = bytes as u64 + bytes as u64 / PACKET_OVERHEAD_DIVISOR + CHUNK_OVERHEAD_BYTES;
        let ready_at = link.pacer.ready_at(now, tokens).ok_or(later)?;
        if ready_at > now {
            return Err(ready_at);
        }
        link.pacer.take(now, tokens);
        Ok(bytes)
    }
}

impl Inner {
    fn active_seats(&self, now: Instant) -> ActiveSeats {
        let (seats, until) = self.holder.in_force(now);
        ActiveSeats { seats, until }
    }

    /// Sets the pacers to the rates that the seats in force and the loans allow now.
    fn set_rates(&mut self, now: Instant) {
        let active_seats = self.active_seats(now);
        for link in &mut self.links {
            let index = self.allocation.link_index(&link.to);
            let (rate, until) = match index {
                Some(index) => self.allocation.rate(now, index, active_seats),
                None => (Rate::ZERO, now),
            };
            link.pacer.set_rate(now, rate, until);
        }
    }
}

impl Link {
    fn new(now: Instant, to: &str) -> Link {
        Link {
            to: to.to_owned(),
            pacer: Pacer::new(now),
            send_lock: Arc::default(),
            demand_bytes: [0; 2],
            window_start: now,
            loan_requested_at: Instant::ZERO,
        }
    }

    fn record_demand(&mut self, now: Instant, bytes: u64) {
        self.rotate_window(now);
        self.demand_bytes[0] += bytes;
    }

    /// The demand in the last complete window, in bytes per second.
    fn demand(&mut self, now: Instant) -> u64 {
        self.rotate_window(now);
        self.demand_bytes[1] * 1_000_000 / DEMAND_WINDOW.as_micros()
    }

    /// Starts a new demand window if the current one has ended.
    fn rotate_window(&mut self, now: Instant) {
        let age = now.since(self.window_start);
        if age >= DEMAND_WINDOW {
            let last = if age < DEMAND_WINDOW.times(2) { self.demand_bytes[0] } else { 0 };
            self.demand_bytes = [0, last];
            self.window_start = now;
        }
    }
}
