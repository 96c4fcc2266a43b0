//! What the model asks of a strategy.

use ebonypass_core::id::{CentreId, KindId, MemberId, RegionId, ServiceId, TargetId};
use ebonypass_core::outcome::Outcome;
use ebonypass_core::policy::Document;
use ebonypass_core::pool::{Report, State};
use ebonypass_core::time::{Instant, Span};

use crate::link::Links;

/// Position of a request in the trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// A request as an entry sees it. The service time is not part of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestMetadata {
    /// Its key.
    pub request: RequestId,
    /// Who asks.
    pub member: MemberId,
    /// The service asked.
    pub service: ServiceId,
    /// The kind of work.
    pub kind: KindId,
    /// The client's closest data centre.
    pub centre: CentreId,
    /// When the client needs the answer.
    pub deadline: Instant,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
}

/// One dispatch of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptKey {
    /// The request.
    pub request: RequestId,
    /// A number that the strategy chooses, unique within the request.
    pub number: u16,
}

/// What an entry does.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Command {
    /// Sends the request to a target.
    Dispatch {
        /// The dispatch.
        key: AttemptKey,
        /// Where to.
        target: TargetId,
    },
    /// Tells the target that the reply of this dispatch is no longer wanted.
    Cancel {
        /// The dispatch.
        key: AttemptKey,
    },
    /// Passes the request to an entry of another region.
    Forward {
        /// The request.
        request: RequestId,
        /// The data centre of that entry.
        to: CentreId,
    },
    /// Sends the outcome of a forwarded request back to the entry that forwarded it.
    Return {
        /// The request.
        request: RequestId,
        /// What the entry found.
        outcome: Outcome,
    },
    /// Replies to the client.
    Reply {
        /// The request.
        request: RequestId,
        /// What the client is told.
        outcome: Outcome,
    },
}

/// A load report as a strategy gets it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Slots in use.
    pub busy: u32,
    /// Requests that wait at the target.
    pub queued: u32,
    /// The target's own leaving flag.
    pub is_leaving: bool,
}

/// The decisions of all entries. Each call may append to `out` what the entries do.
pub trait Strategy {
    /// Whether entries pace what they send to other regions.
    fn paces_links(&self) -> bool {
        false
    }

    /// The data centre of the entry that the client uses; nothing if no entry is alive.
    fn choose_entry(&mut self, metadata: &RequestMetadata, alive: &[bool]) -> Option<CentreId>;

    /// A request reached the entry in `at`.
    fn handle_request(
        &mut self,
        now: Instant,
        centre: CentreId,
        metadata: &RequestMetadata,
        out: &mut Vec<Command>,
    );

    /// A request that another entry forwarded reached the entry in `at`.
    fn handle_forwarded(
        &mut self,
        _now: Instant,
        _centre: CentreId,
        _metadata: &RequestMetadata,
        _out: &mut Vec<Command>,
    ) {
    }

    /// The outcome of a forwarded request came back.
    fn handle_returned(
        &mut self,
        _now: Instant,
        _metadata: &RequestMetadata,
        _outcome: Outcome,
        _out: &mut Vec<Command>,
    ) {
    }

    /// What became of a dispatch.
    fn handle_report(
        &mut self,
        now: Instant,
        key: AttemptKey,
        target: TargetId,
        report: Report,
        out: &mut Vec<Command>,
    );

    /// A lagging load report.
    fn handle_load(
        &mut self,
        _now: Instant,
        _target: TargetId,
        _load: LoadReport,
        _out: &mut Vec<Command>,
    ) {
    }

    /// The lagging VM list says something new of a target.
    fn handle_state(
        &mut self,
        _now: Instant,
        _target: TargetId,
        _state: State,
        _out: &mut Vec<Command>,
    ) {
    }

    /// The entries of a data centre died; what they knew is lost.
    fn handle_failure(&mut self, _now: Instant, _centre: CentreId) {}

    /// The entries of a data centre are back, without memory.
    fn handle_recovery(&mut self, _now: Instant, _centre: CentreId) {}

    /// Called every 100 ms. Entries may look at the backlog of their own pacers.
    fn tick(&mut self, _now: Instant, _links: &Links, _out: &mut Vec<Command>) {}

    /// The time passed for which [`Strategy::wake_at`] asked.
    fn wake(&mut self, _now: Instant, _out: &mut Vec<Command>) {}

    /// When the strategy wants to be woken.
    fn wake_at(&self) -> Option<Instant> {
        None
    }
}

/// The first data centre alive: the client's own, one of its region, any.
pub fn nearest_centre(document: &Document, from: CentreId, alive: &[bool]) -> Option<CentreId> {
    let region = document.region_of(from);
    let centres = || document.centres.iter().map(|(key, _)| key);
    let is_alive = |&key: &CentreId| alive[usize::from(key.0)];
    Some(from)
        .filter(is_alive)
        .or_else(|| centres().filter(is_alive).find(|&key| document.region_of(key) == region))
        .or_else(|| centres().find(is_alive))
}

/// Latency between data centres of a region, one way.
pub const CENTRE_DELAY: Span = Span::from_micros(1_500);

/// Latency between a client and its closest data centre, one way.
pub const CLIENT_DELAY: Span = Span::from_millis(1);

/// Latency inside a region, one way.
pub fn local_delay(from: CentreId, to: CentreId) -> Span {
    if from == to { Span::ZERO } else { CENTRE_DELAY }
}

/// The targets of `service` in `region`.
pub fn pool_targets(document: &Document, service: ServiceId, region: RegionId) -> Vec<TargetId> {
    document
        .targets
        .iter()
        .filter(|(_, target)| {
            target.service == service && document.region_of(target.centre) == region
        })
        .map(|(key, _)| key)
        .collect()
}
