//! Choice of a target by the pool's own attempts.
//!
//! What counts is how many attempts are in flight, how long they have been unanswered compared with
//! the learned slot time of their kind (the time for which a request occupies a slot), and how long
//! recent ones took. Load reports lag and may be wrong, so they are only a hint among targets that
//! otherwise look equally healthy.

use crate::id::{Arena, TargetId, key};
use crate::pool::{Load, Spec, State};
use crate::prefetch::Prefetch;
use crate::suspect::{MAX_PROBE_DELAY, Suspicion};
use crate::time::{Instant, Span};

key! {
    /// The position of a target in the pool's table of targets.
    TargetIndex(u32)
}

/// Bounds of the backoff of a target that sheds: each request that it refuses before running it
/// doubles the backoff.
const MIN_BACKOFF: Span = Span::from_millis(2);
const MAX_BACKOFF: Span = Span::from_millis(128);
/// Number of sheds, without an answer in between, at which a target is presumed to be leaving and is
/// ejected.
const SHEDS_TO_EJECT: u32 = 8;
/// A shed that comes this long after the first, without an answer in between, ejects the target too:
/// under little load, sheds are too rare to be counted. The aim is that a leaving target gets no work
/// more than 5 s after its first shed.
const SHEDDING_TIME_TO_EJECT: Span = Span::from_secs(1);
/// An ejected target gets no work for this long, or until a load report comes or its spec changes.
const EJECTION_TIME: Span = Span::from_secs(60);
/// A load report older than this says nothing about the target's queue.
const LOAD_REPORT_LIFETIME: Span = Span::from_secs(1);
/// A target whose last load report is older than this counts as silent. One that has never reported
/// does not.
const LOAD_REPORT_SILENCE: Span = Span::from_secs(3);
/// An answer from a target confirms its free slots for this long.
const CONFIRMATION_LIFETIME: Span = Span::from_secs(10);

/// A target of the pool.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) id: TargetId,
    pub(crate) spec: Spec,
    pub(crate) in_flight: u32,
    /// Attempts of long kinds in flight.
    long_in_flight: u32,
    /// Evidence of slowness, which makes the target a suspect once there is enough of it.
    pub(crate) suspicion_points: u32,
    pub(crate) slowdown_256ths: u32,
    pub(crate) slowdown_samples: u32,
    pub(crate) last_answer_at: Option<Instant>,
    /// Number of its latest attempt among those of the pool.
    pub(crate) last_attempt_number: u64,
    /// The state of its probes, while it is a suspect.
    pub(crate) suspicion: Option<Suspicion>,
    pub(crate) backoff: Span,
    backoff_until: Instant,
    pub(crate) sheds_in_a_row: u32,
    first_shed_at: Instant,
    ejected_until: Option<Instant>,
    load: Option<(Instant, Load)>,
    pub(crate) prefetch: Prefetch,
}

impl Target {
    fn new(id: TargetId, spec: Spec) -> Target {
        Target {
            id,
            spec,
            in_flight: 0,
            long_in_flight: 0,
            suspicion_points: 0,
            slowdown_256ths: 256,
            slowdown_samples: 0,
            last_answer_at: None,
            last_attempt_number: 0,
            suspicion: None,
            backoff: Span::ZERO,
            backoff_until: Instant::ZERO,
            sheds_in_a_row: 0,
            first_shed_at: Instant::ZERO,
            ejected_until: None,
            load: None,
            prefetch: Prefetch::default(),
        }
    }

    /// Whether it takes work according to its spec and is not ejected.
    pub(crate) fn is_ready(&self) -> bool {
        self.spec.state == State::Ready && self.ejected_until.is_none()
    }

    /// Ends an ejection and forgets the sheds that led to it.
    fn clear_ejection(&mut self) {
        self.ejected_until = None;
        self.sheds_in_a_row = 0;
    }

    /// Whether it is ready and not a suspect.
    fn is_usable(&self) -> bool {
        self.is_ready() && self.suspicion.is_none()
    }

    pub(crate) fn accepts_prefetch(&self, now: Instant) -> bool {
        self.is_usable() && now >= self.backoff_until && self.reported_queue(now) <= 1
    }

    fn free_slots(&self) -> u32 {
        self.spec.slots.saturating_sub(self.in_flight)
    }

    pub(crate) fn has_slot(&self, is_long: bool) -> bool {
        // A long kind never holds all slots of one target.
        let long_limit = self.spec.slots.saturating_sub(1).max(1);
        self.in_flight < self.spec.slots && (!is_long || self.long_in_flight < long_limit)
    }

    /// Requests that wait at the target according to a fresh load report, otherwise zero.
    fn reported_queue(&self, now: Instant) -> u32 {
        let fresh = self.load.filter(|(at, _)| now.since(*at) <= LOAD_REPORT_LIFETIME);
        fresh.map_or(0, |(_, load)| load.queued)
    }

    fn is_silent(&self, now: Instant) -> bool {
        self.load.is_some_and(|(at, _)| now.since(at) > LOAD_REPORT_SILENCE)
    }
}

/// The targets of one pool.
#[derive(Debug, Default)]
pub(crate) struct Targets {
    pub(crate) table: Arena<TargetIndex, Target>,
    attempts_started: u64,
    pub(crate) ready_slots: u32,
    pub(crate) usable_slots: u32,
    free_slots: u32,
    long_in_flight: u32,
    pub(crate) suspects: u32,
    ejected: u32,
    /// Prefetched attempts that have not started.
    pub(crate) unstarted_prefetches: u32,
    pub(crate) is_own_region_only: bool,
}

impl Targets {
    /// Adds or changes a target.
    pub(crate) fn set_target(&mut self, target_id: TargetId, spec: Spec) {
        let known = self.table.find(|target| target.id == target_id);
        let is_reusable =
            |target: &Target| target.spec.state == State::Gone && target.in_flight == 0;
        match known {
            Some(index) => {
                if spec.state == State::Ready && self.table[index].spec.state != State::Ready {
                    // A target that comes back is a new process, so old measurements don't apply.
                    let target = &mut self.table[index];
                    target.suspicion = None;
                    target.backoff_until = Instant::ZERO;
                    target.slowdown_256ths = 256;
                    target.slowdown_samples = 0;
                    target.last_answer_at = None;
                }
                // The VM list lags, so an unchanged spec doesn't end an ejection.
                if self.table[index].spec != spec {
                    self.table[index].spec = spec;
                    self.table[index].clear_ejection();
                }
            }
            None => match self.table.find(is_reusable) {
                Some(index) => self.table[index] = Target::new(target_id, spec),
                None => {
                    self.table.push(Target::new(target_id, spec));
                }
            },
        }
        self.recount();
    }

    /// Records a load report, which ends an ejection.
    pub(crate) fn record_load(&mut self, now: Instant, target_id: TargetId, load: Load) {
        if let Some(index) = self.table.find(|target| target.id == target_id) {
            self.table[index].load = Some((now, load));
            if self.table[index].ejected_until.is_some() {
                self.table[index].clear_ejection();
                self.recount();
            }
        }
    }

    /// The id of a target.
    pub(crate) fn target_id(&self, index: TargetIndex) -> TargetId {
        self.table[index].id
    }

    /// Slots of the targets that may take work, including suspects.
    pub(crate) fn ready_slots(&self) -> u32 {
        self.ready_slots
    }

    /// Slots of the targets that may take work, without suspects.
    pub(crate) fn usable_slots(&self) -> u32 {
        self.usable_slots
    }

    /// Whether targets that are not suspects have more free slots than are reserved for prefetched
    /// attempts.
    pub(crate) fn has_free_slot(&self) -> bool {
        self.free_slots > self.reserved_slots()
    }

    /// Whether any target is a suspect.
    pub(crate) fn has_suspect(&self) -> bool {
        self.suspects > 0
    }

    /// Whether a target is a suspect.
    pub(crate) fn is_suspect(&self, index: TargetIndex) -> bool {
        self.table[index].suspicion.is_some()
    }

    /// Attempts of long kinds in flight.
    pub(crate) fn long_in_flight(&self) -> u32 {
        self.long_in_flight
    }

    /// The most attempts of long kinds in flight at once: a third of the usable slots, so that short
    /// kinds find free ones.
    pub(crate) fn long_limit(&self) -> u32 {
        (self.usable_slots / 3).max(1)
    }

    /// The target for an attempt, never a suspect. `None` if no slot is free or, for a long kind, its
    /// limit is reached. Targets in the bit set `avoid` are used only if it contains all usable ones.
    pub(crate) fn choose(&self, now: Instant, is_long: bool, avoid: u64) -> Option<TargetIndex> {
        if !self.has_free_slot() || (is_long && self.long_in_flight >= self.long_limit()) {
            return None;
        }
        let usable = || self.table.iter().filter(|(_, target)| target.is_usable());
        let has_other = avoid == 0 || usable().any(|(index, _)| !contains_target(avoid, index));
        let avoid = if has_other { avoid } else { 0 };
        let is_silence_significant = self.is_silence_significant(now);
        let eligible = usable().filter(|(index, target)| {
            target.has_slot(is_long)
                && now >= target.backoff_until
                && !contains_target(avoid, *index)
        });
        let best = eligible
            .min_by_key(|(_, target)| self.rank(now, target, is_long, is_silence_significant));
        best.map(|(index, _)| index)
    }

    /// The order of preference, smallest first: attempts of long kinds in flight (for a long kind),
    /// suspicion points, load per slot, whether recent answers took more than 1.5 times the mean of
    /// their kind, and the number of the latest attempt.
    fn rank(
        &self,
        now: Instant,
        target: &Target,
        is_long: bool,
        is_silence_significant: bool,
    ) -> (u32, u32, u32, u64) {
        let long = if is_long { target.long_in_flight } else { 0 };
        let mut requests = target.in_flight + target.reported_queue(now);
        requests += u32::from(is_silence_significant && target.is_silent(now));
        let load = requests * 1024 / target.spec.slots.max(1);
        (
            long,
            target.suspicion_points,
            load,
            u64::from(target.slowdown_256ths > 384) << 63 | target.last_attempt_number,
        )
    }

    /// Whether silence counts against a target: only if fewer than half of the targets that have ever
    /// reported are silent. Otherwise the path of the reports has more likely failed.
    fn is_silence_significant(&self, now: Instant) -> bool {
        let reporting = self.table.values().filter(|target| target.load.is_some());
        let (silent, all) = reporting.fold((0, 0), |(silent, all), target| {
            (silent + u32::from(target.is_silent(now)), all + 1)
        });
        silent * 2 < all
    }

    /// Counts a dispatched attempt.
    pub(crate) fn start_attempt(&mut self, index: TargetIndex, is_long: bool, is_probe: bool) {
        self.attempts_started += 1;
        let target = &mut self.table[index];
        target.last_attempt_number = self.attempts_started;
        target.in_flight += 1;
        target.long_in_flight += u32::from(is_long);
        self.long_in_flight += u32::from(is_long);
        if target.is_usable() && target.in_flight <= target.spec.slots {
            self.free_slots -= 1;
        }
        if let Some(suspicion) = &mut target.suspicion {
            suspicion.is_probing |= is_probe;
        }
    }

    /// Counts an attempt that ended.
    pub(crate) fn end_attempt(&mut self, index: TargetIndex, is_long: bool) {
        let target = &mut self.table[index];
        target.in_flight -= 1;
        target.long_in_flight -= u32::from(is_long);
        self.long_in_flight -= u32::from(is_long);
        if target.is_usable() && target.in_flight < target.spec.slots {
            self.free_slots += 1;
        }
    }

    /// Records that the target refused an attempt before running it.
    pub(crate) fn record_shed(&mut self, now: Instant, index: TargetIndex) {
        let target = &mut self.table[index];
        target.backoff = target.backoff.times(2).max(MIN_BACKOFF).min(MAX_BACKOFF);
        target.backoff_until = now + target.backoff;
        if target.sheds_in_a_row == 0 {
            target.first_shed_at = now;
        }
        target.sheds_in_a_row += 1;
        let should_eject = target.sheds_in_a_row >= SHEDS_TO_EJECT
            || now.since(target.first_shed_at) >= SHEDDING_TIME_TO_EJECT;
        if should_eject && target.is_ready() {
            target.ejected_until = Some(now + EJECTION_TIME);
            self.recount();
        }
    }

    /// Ends the ejections whose time is over.
    pub(crate) fn expire_ejections(&mut self, now: Instant) {
        if self.ejected == 0 {
            return;
        }
        let targets = self.table.values_mut();
        let due = targets.filter(|target| target.ejected_until.is_some_and(|until| now >= until));
        due.for_each(Target::clear_ejection);
        self.recount();
    }

    /// The next time after `now` at which a backoff ends or a suspect may be probed or readmitted. Ends
    /// of ejections are not included.
    pub(crate) fn wake_at(&self, now: Instant) -> Option<Instant> {
        let times = self.table.values().filter(|target| target.is_ready()).flat_map(|target| {
            let probe_at = target.suspicion.map(|s| s.probe_at);
            let readmit_at = target.suspicion.map(|s| s.probe_at + MAX_PROBE_DELAY);
            [Some(target.backoff_until), probe_at, readmit_at]
        });
        times.flatten().filter(|&at| at > now).min()
    }

    /// Free slots of targets that have answered recently. A target without a recent answer counts for
    /// one slot while its load report is fresh, so that an idle pool can still grant
    /// [credit](crate::credit).
    pub(crate) fn confirmed_slots(&self, now: Instant) -> u32 {
        let usable = self.table.values().filter(|target| target.is_usable());
        let available = usable.filter(|target| now >= target.backoff_until);
        let confirmed = available.map(|target| {
            let free = target.free_slots();
            let is_recent = |at: Instant| now.since(at) <= CONFIRMATION_LIFETIME;
            if target.last_answer_at.is_some_and(is_recent) {
                return free;
            }
            let is_fresh = |(at, _): (Instant, Load)| now.since(at) <= LOAD_REPORT_LIFETIME;
            free.min(u32::from(target.load.is_some_and(is_fresh)))
        });
        confirmed.sum()
    }

    /// Recomputes the totals after a change of a target's spec, suspicion or ejection.
    pub(crate) fn recount(&mut self) {
        let ready = self.table.values().filter(|target| target.is_ready());
        self.ready_slots = ready.clone().map(|target| target.spec.slots).sum();
        self.suspects = ready.filter(|target| target.suspicion.is_some()).count() as u32;
        let ejected = self.table.values().filter(|target| target.ejected_until.is_some());
        self.ejected = ejected.count() as u32;
        let usable = self.table.values().filter(|target| target.is_usable());
        self.usable_slots = usable.clone().map(|target| target.spec.slots).sum();
        self.free_slots = usable.map(Target::free_slots).sum();
    }
}

/// The bit of a target in a bit set. Targets beyond 64 share bits, so a set may contain more targets
/// than were added.
pub(crate) fn target_bit(index: TargetIndex) -> u64 {
    1 << (index.0 % 64)
}

fn contains_target(set: u64, index: TargetIndex) -> bool {
    set & target_bit(index) != 0
}
