//! What a choice is asked for, and its result.

use crate::availability::Lifetime;
use crate::id::{ServiceId, TargetId};
use crate::time::Span;

/// A set of regions that may run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RegionSet(pub(super) u64);

impl RegionSet {
    /// All regions.
    pub const ANY: RegionSet = RegionSet(u64::MAX);

    /// The regions that are in both sets.
    pub const fn intersection(self, other: RegionSet) -> RegionSet {
        RegionSet(self.0 & other.0)
    }

    pub(super) fn contains(self, region: usize) -> bool {
        self.0 & (1 << region.min(63)) != 0
    }
}

/// A request that needs a target.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// The service that runs it.
    pub service: ServiceId,
    /// Hash of its route. Work times are learned per route, since routes of one service differ in
    /// their work.
    pub route: u64,
    /// Hash of the object that it concerns, if the route has affinity.
    pub object: Option<u64>,
    /// Regions that may run it.
    pub allowed_regions: RegionSet,
    /// Targets that have already been tried.
    pub tried: &'a [TargetId],
    /// The latency within which a reply has its full value.
    pub latency_objective: Span,
    /// The time until the deadline.
    pub time_left: Span,
}

/// A target chosen for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// The target.
    pub target: TargetId,
    /// The expected time until a slot is free.
    pub expected_wait: Span,
    /// Whether the request may have to wait for a slot.
    pub may_wait: bool,
    /// The expected time until the reply.
    pub expected_latency: Span,
    /// The expected work time.
    pub expected_work_time: Span,
    /// Position of the target in the object's rendezvous order, from 0.
    pub position: usize,
    /// Hash of the route of the request.
    pub route: u64,
    /// Whether the target is expected to have the object cached.
    pub is_cached: bool,
    /// The target's lifetime, to which its reply belongs.
    pub lifetime: Lifetime,
}

/// Why no target was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// No target of the service may be used.
    NoTarget,
    /// The earliest expected reply would miss the deadline.
    Full(Backlog),
    /// Every target that may be used has turned this machine away, the first one for this long.
    TurnedAway(Span),
}

/// The load behind [`Refusal::Full`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backlog {
    /// The time after which a retry may find a free slot.
    pub retry_after: Span,
    /// The time until the earliest expected reply.
    pub expected_latency: Span,
    /// The time that was left until the deadline.
    pub time_left: Span,
    /// Number of targets that could have run the request.
    pub target_count: usize,
}
