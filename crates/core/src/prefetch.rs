//! Prefetch: one request more than a distant target has slots, which waits in the target's queue.
//!
//! A slot of a target in another data centre stays empty between two requests for the way there and
//! back, 3 ms inside a region. While all slots are in use and jobs wait, such a target gets one job
//! ahead. The target holds more requests than slots meanwhile, and work of other regions must not
//! come on top (P2). So nothing is prefetched while the pool holds such work or has granted credit,
//! [`Pool::free_slots`] confirms none while a prefetched job has not started, and if such work comes
//! without credit, as many slots stay free as jobs are prefetched.

use crate::choice::{PlaceId, Places};
use crate::id::TargetId;
use crate::job::{Flight, JobId};
use crate::pool::{Action, Attempt, Pool};
use crate::queue::LaneId;
use crate::time::Instant;

/// What a target has been sent ahead.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Prefetch {
    is_wanted: bool,
    flight: Option<(JobId, Attempt)>,
}

impl Pool {
    /// Sets whether `target`, which [`Pool::set_target`] has added, may get a job ahead. It has to
    /// queue requests that come while all its slots are in use.
    pub fn set_prefetch(&mut self, now: Instant, target: TargetId, is_wanted: bool) {
        self.now = now;
        if let Some(id) = self.places.places.find(|place| place.target == target) {
            self.places.places[id].prefetch.is_wanted = is_wanted;
        }
    }

    /// Sets whether the pool serves its own region only: it holds no work of clients of other
    /// regions and has granted no credit. It counts as not exclusive until this is called, and must
    /// be told before work of another region is offered.
    pub fn set_exclusive(&mut self, now: Instant, is_exclusive: bool) {
        self.now = now;
        self.places.is_exclusive = is_exclusive;
    }

    /// Sends the waiting job of a short kind whose turn it is to a target without a free slot.
    pub(crate) fn next_prefetch(&mut self, now: Instant) -> Option<Action> {
        if !self.places.is_exclusive || self.queue.len() == 0 || self.places.has_free_slot() {
            return None;
        }
        let place = self.places.choose_prefetch(now)?;
        let waiting = self.queue.waiting().iter().copied();
        let fit = waiting.filter(|&lane| self.can_prefetch(now, lane));
        let lane = fit.min_by_key(|&lane| self.queue.tag(lane))?;
        let id = self.queue[lane].head();
        let action = self.dispatch(now, lane, place, false);
        let flight = self.jobs[id].flights.iter_mut().flatten().next()?;
        flight.is_prefetched = true;
        self.places.places[place].prefetch.flight = Some((id, flight.attempt));
        self.places.prefetched += 1;
        self.arm(id);
        Some(action)
    }

    /// Whether the first job of `lane` is short, was tried nowhere and can be answered in time.
    fn can_prefetch(&self, now: Instant, lane: LaneId) -> bool {
        let id = self.queue[lane].head();
        let cost = &self.costs[self.queue[lane].cost()];
        cost.is_known() && !cost.is_long() && self.jobs[id].tried == 0 && !self.is_too_late(now, id)
    }

    /// Takes in that `ended` has freed a slot of its target, where a prefetched job starts now.
    pub(crate) fn start_prefetched(&mut self, now: Instant, ended: &Flight) {
        let waiting = &mut self.places.places[ended.place].prefetch.flight;
        if ended.is_prefetched {
            *waiting = None;
            self.places.prefetched -= 1;
            return;
        }
        let Some((id, attempt)) = waiting.take() else { return };
        self.places.prefetched -= 1;
        let flights = self.jobs[id].flights.iter_mut().flatten();
        for flight in flights.filter(|flight| flight.attempt == attempt) {
            flight.is_prefetched = false;
            flight.started = now;
        }
        self.arm(id);
    }

    /// Takes in that a job ended before it was known to have started. How long it took says
    /// nothing; a target that refuses it keeps no queue.
    pub(crate) fn end_prefetched(&mut self, place: PlaceId, is_refused: bool) {
        self.places.places[place].prefetch.is_wanted &= !is_refused;
    }
}

impl Places {
    /// A target that may get a job ahead, the one chosen longest ago.
    fn choose_prefetch(&self, now: Instant) -> Option<PlaceId> {
        let fit = self.places.iter().filter(|(_, place)| {
            let Prefetch { is_wanted, flight } = place.prefetch;
            let is_full = place.in_flight == place.spec.slots;
            is_wanted && flight.is_none() && is_full && place.takes_prefetch(now)
        });
        fit.min_by_key(|(_, place)| (place.points, place.last_choice)).map(|(id, _)| id)
    }

    /// Slots that stay free for prefetched jobs that have not started.
    pub(crate) fn reserve(&self) -> u32 {
        if self.is_exclusive { 0 } else { self.prefetched }
    }
}
