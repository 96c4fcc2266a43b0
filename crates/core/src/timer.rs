//! The next time at which something is due for each job.
//!
//! A heap of four children a node that knows the place of each job, so that a time can be changed
//! or removed without leaving a stale entry behind.

use crate::id::Key;
use crate::job::JobId;
use crate::time::Instant;

const ARITY: usize = 4;
const NOWHERE: u32 = u32::MAX;

/// At most one time for each job.
#[derive(Debug)]
pub(crate) struct Timers {
    heap: Vec<(Instant, JobId)>,
    places: Vec<u32>,
}

impl Timers {
    /// No times, with room for those of `room` jobs.
    pub(crate) fn with_capacity(room: usize) -> Timers {
        Timers { heap: Vec::with_capacity(room), places: Vec::with_capacity(room) }
    }

    /// The earliest time and its job.
    pub(crate) fn first(&self) -> Option<(Instant, JobId)> {
        self.heap.first().copied()
    }

    /// Sets the time of `job`, in place of an earlier setting.
    pub(crate) fn set(&mut self, job: JobId, at: Instant) {
        if job.index() >= self.places.len() {
            self.places.resize(job.index() + 1, NOWHERE);
        }
        let place = self.places[job.index()];
        if place == NOWHERE {
            self.heap.push((at, job));
            self.rise(self.heap.len() - 1);
        } else {
            self.heap[place as usize].0 = at;
            self.settle(place as usize);
        }
    }

    /// Removes the time of `job`, if it has one.
    pub(crate) fn clear(&mut self, job: JobId) {
        let Some(place) = self.places.get_mut(job.index()) else { return };
        let place = std::mem::replace(place, NOWHERE) as usize;
        if place == NOWHERE as usize {
            return;
        }
        self.heap.swap_remove(place);
        if place < self.heap.len() {
            self.settle(place);
        }
    }

    fn settle(&mut self, place: usize) {
        let place = self.rise(place);
        self.sink(place);
    }

    fn rise(&mut self, mut place: usize) -> usize {
        let item = self.heap[place];
        while place > 0 {
            let parent = (place - 1) / ARITY;
            if self.heap[parent].0 <= item.0 {
                break;
            }
            self.put(place, self.heap[parent]);
            place = parent;
        }
        self.put(place, item);
        place
    }

    fn sink(&mut self, mut place: usize) {
        let item = self.heap[place];
        loop {
            let first = place * ARITY + 1;
            let last = (first + ARITY).min(self.heap.len());
            let Some(child) = (first..last).min_by_key(|&child| self.heap[child].0) else { break };
            if item.0 <= self.heap[child].0 {
                break;
            }
            self.put(place, self.heap[child]);
            place = child;
        }
        self.put(place, item);
    }

    fn put(&mut self, place: usize, item: (Instant, JobId)) {
        self.heap[place] = item;
        self.places[item.1.index()] = place as u32;
    }
}
