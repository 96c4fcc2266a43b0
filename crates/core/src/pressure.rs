//! Order of requests while a service has too little room.
//!
//! The load: for seconds, more requests arrive than the targets of a service have slots for. A target
//! works through its own queue in the order of arrival, so whatever was sent first delays an urgent
//! request that comes later. A gateway therefore holds back what does not lose by waiting, and sends
//! it when a slot is free: requests of less urgent routes as long as they still meet their latency
//! objective, and requests that have already missed it. Those that wait go in the order of [`Queue`].

mod queue;

pub use queue::{FlowId, Queue, Waiter, WaiterId};

use crate::time::{Instant, Span};

/// Kept free before the latest start that meets an objective: for the time until a timer fires, and
/// this part of the expected latency, since work often takes a sixth longer than on average.
const START_MARGIN: Span = Span::from_millis(100);
const LATENCY_MARGIN_DIVISOR: u64 = 4;
/// A hold shorter than this is not worth a timer.
const MIN_HOLD: Span = Span::from_millis(20);
/// A request that has missed its objective is held for at most this part of the time to its
/// deadline. It then takes its place in the queue of a target, so that it is not starved.
const LATE_HOLD_DIVISOR: u64 = 3;

/// A request as far as its turn depends on it.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// When it arrived.
    pub arrived: Instant,
    /// When its reply loses the full value.
    pub objective: Instant,
    /// When its caller gives up.
    pub deadline: Instant,
}

/// What to expect of the best target for a request.
#[derive(Debug, Clone, Copy)]
pub struct Estimate {
    /// Time until a slot is free there; zero if one is free now.
    pub wait: Span,
    /// Time until the reply, the wait included.
    pub latency: Span,
}

/// What to do with a request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Send it.
    Send,
    /// Hold it until a slot is free, at most until this time; then send it.
    Hold(Instant),
    /// It will miss its deadline behind those that go first. They need this long.
    Refuse(Span),
}

/// Decides on a request whose best target has the given estimate. `queue_wait` is the time that the
/// requests which go first need, and `is_most_urgent` says that no route of the service goes before
/// its own.
pub fn decide(
    now: Instant,
    request: &Request,
    estimate: Estimate,
    queue_wait: Span,
    is_most_urgent: bool,
) -> Verdict {
    // Without others before it, the request may still be answered sooner than on average.
    if queue_wait > Span::ZERO && now + queue_wait + estimate.latency > request.deadline {
        return Verdict::Refuse(queue_wait);
    }
    if estimate.wait == Span::ZERO && queue_wait == Span::ZERO {
        return Verdict::Send;
    }
    let variation = Span::from_micros(estimate.latency.as_micros() / LATENCY_MARGIN_DIVISOR);
    let end = now + estimate.latency + variation + START_MARGIN;
    let is_in_time = now + estimate.latency <= request.objective;
    let hold_end = if is_in_time {
        if is_most_urgent && queue_wait == Span::ZERO {
            return Verdict::Send;
        }
        now + request.objective.since(end)
    } else {
        let total = request.deadline.since(request.arrived);
        let latest = request.arrived + Span::from_micros(total.as_micros() / LATE_HOLD_DIVISOR);
        latest.min(now + request.deadline.since(end))
    };
    if hold_end.since(now) < MIN_HOLD { Verdict::Send } else { Verdict::Hold(hold_end) }
}

/// The time after which a refused request may come back. Requests that went first when it was
/// refused need `wait`; less urgent ones come back later, so that the urgent ones find room first.
pub fn retry_after(wait: Span, priority: u8) -> Span {
    Span::from_micros(wait.as_micros() / 2 * (2 + u64::from(priority)))
}
