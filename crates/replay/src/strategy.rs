//! The interface between the model and a strategy.

use ebonypass_core::id::{CentreId, KindId, MemberId, RegionId, ServiceId, TargetId};
use ebonypass_core::outcome::Outcome;
use ebonypass_core::policy::Document;
use ebonypass_core::pool::{Report, State};
use ebonypass_core::time::{Instant, Span};

use crate::link::Links;

/// Index of a request in the trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// What an entry knows about a request. The service time is not known in advance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestMetadata {
    /// The request.
    pub request: RequestId,
    /// The calling member.
    pub member: MemberId,
    /// The called service.
    pub service: ServiceId,
    /// The kind of request.
    pub kind: KindId,
    /// The data centre closest to the client.
    pub centre: CentreId,
    /// Latest time at which the answer is useful to the client.
    pub deadline: Instant,
    /// Whether the request may run more than once.
    pub idempotent: bool,
}

/// Identifies one dispatch of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptKey {
    /// The request.
    pub request: RequestId,
    /// Chosen by the strategy, unique within the request.
    pub number: u16,
}

/// An action of an entry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Command {
    /// Sends the request to a target.
    Dispatch {
        /// The dispatch.
        key: AttemptKey,
        /// The receiver.
        target: TargetId,
    },
    /// Cancels a dispatch at its target.
    Cancel {
        /// The dispatch.
        key: AttemptKey,
    },
    /// Forwards the request to an entry of another region.
    Forward {
        /// The request.
        request: RequestId,
        /// The data centre of the receiving entry.
        to: CentreId,
    },
    /// Returns the outcome of a forwarded request to the entry that forwarded it.
    Return {
        /// The request.
        request: RequestId,
        /// The outcome at the remote entry.
        outcome: Outcome,
    },
    /// Replies to the client.
    Reply {
        /// The request.
        request: RequestId,
        /// The outcome sent to the client.
        outcome: Outcome,
    },
}

/// A load report of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Slots in use.
    pub busy: u32,
    /// Requests in the queue of the target.
    pub queued: u32,
    /// Whether the target reports that it is leaving.
    pub is_leaving: bool,
}

/// Makes the decisions of all entries. Each callback may append commands to `out`.
pub trait Strategy {
    /// Returns whether entries pace their traffic to other regions.
    fn paces_links(&self) -> bool {
        false
    }

    /// Returns the data centre of the entry that the client connects to, `None` if no entry is
    /// alive. `alive` is indexed by data centre.
    fn choose_entry(&mut self, metadata: &RequestMetadata, alive: &[bool]) -> Option<CentreId>;

    /// A request from a client reached the entry in `centre`.
    fn handle_request(
        &mut self,
        now: Instant,
        centre: CentreId,
        metadata: &RequestMetadata,
        out: &mut Vec<Command>,
    );

    /// A request forwarded by another entry reached the entry in `centre`.
    fn handle_forwarded(
        &mut self,
        _now: Instant,
        _centre: CentreId,
        _metadata: &RequestMetadata,
        _out: &mut Vec<Command>,
    ) {
    }

    /// The outcome of a forwarded request reached the entry that forwarded it.
    fn handle_returned(
        &mut self,
        _now: Instant,
        _metadata: &RequestMetadata,
        _outcome: Outcome,
        _out: &mut Vec<Command>,
    ) {
    }

    /// The result of a dispatch reached the entry.
    fn handle_report(
        &mut self,
        now: Instant,
        key: AttemptKey,
        target: TargetId,
        report: Report,
        out: &mut Vec<Command>,
    );

    /// A load report arrived, [`LOAD_LAG`](crate::model::LOAD_LAG) after it was measured.
    fn handle_load(
        &mut self,
        _now: Instant,
        _target: TargetId,
        _load: LoadReport,
        _out: &mut Vec<Command>,
    ) {
    }

    /// The VM list, which lags by [`VM_LIST_LAG`](crate::model::VM_LIST_LAG), shows a new state of a
    /// target.
    fn handle_state(
        &mut self,
        _now: Instant,
        _target: TargetId,
        _state: State,
        _out: &mut Vec<Command>,
    ) {
    }

    /// The entries of a data centre failed and lost their state.
    fn handle_failure(&mut self, _now: Instant, _centre: CentreId) {}

    /// The entries of a data centre restarted without state.
    fn handle_recovery(&mut self, _now: Instant, _centre: CentreId) {}

    /// Called every [`SAMPLE_INTERVAL`](crate::model::SAMPLE_INTERVAL). Entries may read the backlog
    /// of their own pacers from `links`.
    fn tick(&mut self, _now: Instant, _links: &Links, _out: &mut Vec<Command>) {}

    /// The time returned by [`Strategy::wake_at`] was reached.
    fn wake(&mut self, _now: Instant, _out: &mut Vec<Command>) {}

    /// Returns when the strategy is to be woken next, if at all.
    fn wake_at(&self) -> Option<Instant> {
        None
    }
}

/// Returns the first data centre alive in this order: `from`, the others of its region, all others.
pub fn nearest_centre(document: &Document, from: CentreId, alive: &[bool]) -> Option<CentreId> {
    let region = document.region_of(from);
    let centres = || document.centres.iter().map(|(key, _)| key);
    let is_alive = |&key: &CentreId| alive[usize::from(key.0)];
    Some(from)
        .filter(is_alive)
        .or_else(|| centres().filter(is_alive).find(|&key| document.region_of(key) == region))
        .or_else(|| centres().find(is_alive))
}

/// One-way delay between two data centres of a region.
pub const CENTRE_DELAY: Span = Span::from_micros(1_500);

/// One-way delay between a client and its closest data centre.
pub const CLIENT_DELAY: Span = Span::from_millis(1);

/// Returns the one-way delay between data centres of the same region.
pub fn local_delay(from: CentreId, to: CentreId) -> Span {
    if from == to { Span::ZERO } else { CENTRE_DELAY }
}

/// Returns the targets of `service` in `region`.
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
