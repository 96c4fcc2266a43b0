//! Choice of a target, from the pool's own evidence.
//!
//! Evidence is what the pool's own attempts show: how many are in flight, how long the oldest
//! ones have been unanswered against the kind's learned slot time, and how long the recent ones
//! took. A load report only breaks ties.

use crate::id::{Arena, TargetId, key};
use crate::pool::{Load, Spec, State};
use crate::prefetch::Prefetch;
use crate::suspect::{PROBE_PATIENCE, Suspicion};
use crate::time::{Instant, Span};

key! {
    /// A target of the pool.
    PlaceId(u32)
}

/// Bounds of the time for which a target that sheds is left alone.
const FIRST_REST: Span = Span::from_millis(2);
const LAST_REST: Span = Span::from_millis(128);
/// Refusals without an answer in between after which a target counts as leaving: it gets no work
/// until its load report or the driver says something new of it, or until this time has passed.
const CLOSING_SHEDS: u32 = 8;
/// With little work the refusals come slowly. One that comes this long after the first one, without
/// an answer in between, closes the target too, so that it gets no work 5 s after the first (P6).
const CLOSING_TIME: Span = Span::from_secs(1);
const CLOSED_FOR: Span = Span::from_secs(60);
/// A load report older than this says nothing about the queue of the target.
const LOAD_LIFETIME: Span = Span::from_secs(1);
/// A target whose reports have stopped for this long is used with caution.
const LOAD_SILENCE: Span = Span::from_secs(3);
/// The pool's own answers confirm free slots for this long.
const CONFIRMED_FOR: Span = Span::from_secs(10);

/// A target of the pool.
#[derive(Debug)]
pub(crate) struct Place {
    pub(crate) target: TargetId,
    pub(crate) spec: Spec,
    pub(crate) in_flight: u32,
    long_in_flight: u32,
    pub(crate) points: u32,
    pub(crate) ratio: u32,
    pub(crate) answers: u32,
    pub(crate) last_answer: Option<Instant>,
    pub(crate) last_choice: u64,
    pub(crate) suspicion: Option<Suspicion>,
    pub(crate) rest: Span,
    rest_until: Instant,
    pub(crate) sheds: u32,
    first_shed: Instant,
    closed_until: Option<Instant>,
    load: Option<(Instant, Load)>,
    pub(crate) prefetch: Prefetch,
}

impl Place {
    fn new(target: TargetId, spec: Spec) -> Place {
        Place {
            target,
            spec,
            in_flight: 0,
            long_in_flight: 0,
            points: 0,
            ratio: 256,
            answers: 0,
            last_answer: None,
            last_choice: 0,
            suspicion: None,
            rest: Span::ZERO,
            rest_until: Instant::ZERO,
            sheds: 0,
            first_shed: Instant::ZERO,
            closed_until: None,
            load: None,
            prefetch: Prefetch::default(),
        }
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.spec.state == State::Ready && self.closed_until.is_none()
    }

    fn reopen(&mut self) {
        self.closed_until = None;
        self.sheds = 0;
    }

    fn is_usable(&self) -> bool {
        self.is_ready() && self.suspicion.is_none()
    }

    pub(crate) fn takes_prefetch(&self, now: Instant) -> bool {
        self.is_usable() && now >= self.rest_until && self.reported_queue(now) <= 1
    }

    fn free_slots(&self) -> u32 {
        self.spec.slots.saturating_sub(self.in_flight)
    }

    pub(crate) fn has_slot(&self, is_long: bool) -> bool {
        // A long kind never holds all slots of one target.
        let long_limit = self.spec.slots.saturating_sub(1).max(1);
        self.in_flight < self.spec.slots && (!is_long || self.long_in_flight < long_limit)
    }

    /// Requests that wait at the target, from a fresh load report.
    fn reported_queue(&self, now: Instant) -> u32 {
        let fresh = self.load.filter(|(at, _)| now.since(*at) <= LOAD_LIFETIME);
        fresh.map_or(0, |(_, load)| load.queued)
    }

    fn is_silent(&self, now: Instant) -> bool {
        self.load.is_some_and(|(at, _)| now.since(at) > LOAD_SILENCE)
    }
}

/// The targets of one pool.
#[derive(Debug, Default)]
pub(crate) struct Places {
    pub(crate) places: Arena<PlaceId, Place>,
    choices: u64,
    pub(crate) ready_slots: u32,
    pub(crate) usable_slots: u32,
    free_slots: u32,
    long_in_flight: u32,
    pub(crate) suspects: u32,
    closed: u32,
    pub(crate) prefetched: u32,
    pub(crate) is_exclusive: bool,
}

impl Places {
    /// Adds or changes a target.
    pub(crate) fn set(&mut self, target: TargetId, spec: Spec) {
        let known = self.places.find(|place| place.target == target);
        let unused = |place: &Place| place.spec.state == State::Gone && place.in_flight == 0;
        match known {
            Some(id) => {
                if spec.state == State::Ready && self.places[id].spec.state != State::Ready {
                    // A target that comes back is another process.
                    let place = &mut self.places[id];
                    place.suspicion = None;
                    place.rest_until = Instant::ZERO;
                    place.ratio = 256;
                    place.answers = 0;
                    place.last_answer = None;
                }
                // The VM list lags: that it repeats itself says nothing of a target that sheds.
                if self.places[id].spec != spec {
                    self.places[id].spec = spec;
                    self.places[id].reopen();
                }
            }
            None => match self.places.find(unused) {
                Some(id) => self.places[id] = Place::new(target, spec),
                None => {
                    self.places.push(Place::new(target, spec));
                }
            },
        }
        self.recount();
    }

    /// Takes in a load report.
    pub(crate) fn note_load(&mut self, now: Instant, target: TargetId, load: Load) {
        if let Some(id) = self.places.find(|place| place.target == target) {
            self.places[id].load = Some((now, load));
            if self.places[id].closed_until.is_some() {
                self.places[id].reopen();
                self.recount();
            }
        }
    }

    /// The id of the target at a place.
    pub(crate) fn target(&self, id: PlaceId) -> TargetId {
        self.places[id].target
    }

    /// Slots of the targets that may take work, suspects included.
    pub(crate) fn ready_slots(&self) -> u32 {
        self.ready_slots
    }

    /// Slots of the targets that may take work and are not suspects.
    pub(crate) fn usable_slots(&self) -> u32 {
        self.usable_slots
    }

    /// Whether a target that is not a suspect has a free slot.
    pub(crate) fn has_free_slot(&self) -> bool {
        self.free_slots > self.reserve()
    }

    /// Whether any target is a suspect.
    pub(crate) fn has_suspect(&self) -> bool {
        self.suspects > 0
    }

    /// Whether the target at a place is a suspect.
    pub(crate) fn is_suspect(&self, id: PlaceId) -> bool {
        self.places[id].suspicion.is_some()
    }

    /// Attempts of long kinds in flight.
    pub(crate) fn long_in_flight(&self) -> u32 {
        self.long_in_flight
    }

    /// The most attempts of long kinds in flight at once.
    pub(crate) fn long_limit(&self) -> u32 {
        (self.usable_slots / 3).max(1)
    }

    /// The place for an attempt, a target that is not a suspect. Places in `avoid` are used only
    /// if no other target may take work.
    pub(crate) fn choose(&self, now: Instant, is_long: bool, avoid: u64) -> Option<PlaceId> {
        if !self.has_free_slot() || (is_long && self.long_in_flight >= self.long_limit()) {
            return None;
        }
        let usable = || self.places.iter().filter(|(_, place)| place.is_usable());
        let has_other = avoid == 0 || usable().any(|(id, _)| !is_in(avoid, id));
        let avoid = if has_other { avoid } else { 0 };
        let trusts_silence = self.trusts_silence(now);
        let free = usable().filter(|(id, place)| {
            place.has_slot(is_long) && now >= place.rest_until && !is_in(avoid, *id)
        });
        let best = free.min_by_key(|(_, place)| self.rank(now, place, is_long, trusts_silence));
        best.map(|(id, _)| id)
    }

    /// The order of preference: few attempts of long kinds for a long kind, no unanswered old
    /// attempts, few attempts in flight, a good record, and the one chosen longest ago.
    fn rank(
        &self,
        now: Instant,
        place: &Place,
        is_long: bool,
        trusts_silence: bool,
    ) -> (u32, u32, u32, u64) {
        let long = if is_long { place.long_in_flight } else { 0 };
        let mut load = place.in_flight + place.reported_queue(now);
        load += u32::from(trusts_silence && place.is_silent(now));
        let load = load * 1024 / place.spec.slots.max(1);
        (long, place.points, load, u64::from(place.ratio > 384) << 63 | place.last_choice)
    }

    /// Whether a target's silence says something about that target: most others still report.
    fn trusts_silence(&self, now: Instant) -> bool {
        let reporting = self.places.values().filter(|place| place.load.is_some());
        let (silent, all) = reporting.fold((0, 0), |(silent, all), place| {
            (silent + u32::from(place.is_silent(now)), all + 1)
        });
        silent * 2 < all
    }

    /// Counts a new attempt.
    pub(crate) fn start(&mut self, id: PlaceId, is_long: bool, is_probe: bool) {
        self.choices += 1;
        let place = &mut self.places[id];
        place.last_choice = self.choices;
        place.in_flight += 1;
        place.long_in_flight += u32::from(is_long);
        self.long_in_flight += u32::from(is_long);
        if place.is_usable() && place.in_flight <= place.spec.slots {
            self.free_slots -= 1;
        }
        if let Some(suspicion) = &mut place.suspicion {
            suspicion.is_probing |= is_probe;
        }
    }

    /// Counts an attempt that ended.
    pub(crate) fn end(&mut self, id: PlaceId, is_long: bool) {
        let place = &mut self.places[id];
        place.in_flight -= 1;
        place.long_in_flight -= u32::from(is_long);
        self.long_in_flight -= u32::from(is_long);
        if place.is_usable() && place.in_flight < place.spec.slots {
            self.free_slots += 1;
        }
    }

    /// Takes in that the target refused an attempt before running it.
    pub(crate) fn shed(&mut self, now: Instant, id: PlaceId) {
        let place = &mut self.places[id];
        place.rest = place.rest.times(2).max(FIRST_REST).min(LAST_REST);
        place.rest_until = now + place.rest;
        if place.sheds == 0 {
            place.first_shed = now;
        }
        place.sheds += 1;
        let is_closing =
            place.sheds >= CLOSING_SHEDS || now.since(place.first_shed) >= CLOSING_TIME;
        if is_closing && place.is_ready() {
            place.closed_until = Some(now + CLOSED_FOR);
            self.recount();
        }
    }

    /// Reopens targets that were taken to be leaving, when nothing new was heard of them for long.
    pub(crate) fn reopen(&mut self, now: Instant) {
        if self.closed == 0 {
            return;
        }
        let places = self.places.values_mut();
        let due = places.filter(|place| place.closed_until.is_some_and(|until| now >= until));
        due.for_each(Place::reopen);
        self.recount();
    }

    /// The next time after `now` at which a waiting job may find a place that it has not now.
    pub(crate) fn wake_at(&self, now: Instant) -> Option<Instant> {
        let times = self.places.values().filter(|place| place.is_ready()).flat_map(|place| {
            let probe_at = place.suspicion.map(|s| s.probe_at);
            let readmit_at = place.suspicion.map(|s| s.probe_at + PROBE_PATIENCE);
            [Some(place.rest_until), probe_at, readmit_at]
        });
        times.flatten().filter(|&at| at > now).min()
    }

    /// Free slots that the pool's own answers confirm. A target without recent answers counts for
    /// one slot while its load reports are fresh, so that a pool without work is not shut out.
    pub(crate) fn confirmed_slots(&self, now: Instant) -> u32 {
        let usable = self.places.values().filter(|place| place.is_usable());
        let rested = usable.filter(|place| now >= place.rest_until);
        let confirmed = rested.map(|place| {
            let free = place.free_slots();
            let is_recent = |at: Instant| now.since(at) <= CONFIRMED_FOR;
            if place.last_answer.is_some_and(is_recent) {
                return free;
            }
            let is_fresh = |(at, _): (Instant, Load)| now.since(at) <= LOAD_LIFETIME;
            free.min(u32::from(place.load.is_some_and(is_fresh)))
        });
        confirmed.sum()
    }

    pub(crate) fn recount(&mut self) {
        let ready = self.places.values().filter(|place| place.is_ready());
        self.ready_slots = ready.clone().map(|place| place.spec.slots).sum();
        self.suspects = ready.filter(|place| place.suspicion.is_some()).count() as u32;
        let closed = self.places.values().filter(|place| place.closed_until.is_some());
        self.closed = closed.count() as u32;
        let usable = self.places.values().filter(|place| place.is_usable());
        self.usable_slots = usable.clone().map(|place| place.spec.slots).sum();
        self.free_slots = usable.map(Place::free_slots).sum();
    }
}

/// The bit of a place in a set of places. Places beyond 64 share bits, which only makes a set
/// larger than needed.
pub(crate) fn place_bit(id: PlaceId) -> u64 {
    1 << (id.0 % 64)
}

fn is_in(set: u64, id: PlaceId) -> bool {
    set & place_bit(id) != 0
}
