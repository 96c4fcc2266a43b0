//! A priority queue with the next due time of each job.
//!
//! It is a heap with four children per node that tracks the position of each job, so that a due
//! time can be changed or removed without leaving a stale entry behind.

use crate::id::Key;
use crate::job::JobId;
use crate::time::Instant;

const ARITY: usize = 4;
const NOT_IN_HEAP: u32 = u32::MAX;

/// At most one due time for each job.
#[derive(Debug)]
pub(crate) struct Timers {
    heap: Vec<(Instant, JobId)>,
    positions: Vec<u32>,
}

impl Timers {
    /// Creates an empty queue with capacity for `capacity` jobs.
    pub(crate) fn with_capacity(capacity: usize) -> Timers {
        Timers { heap: Vec::with_capacity(capacity), positions: Vec::with_capacity(capacity) }
    }

    /// The earliest due time and its job.
    pub(crate) fn first(&self) -> Option<(Instant, JobId)> {
        self.heap.first().copied()
    }

    /// Sets the due time of `job`, replacing an earlier one.
    pub(crate) fn set(&mut self, job: JobId, at: Instant) {
        if job.index() >= self.positions.len() {
            self.positions.resize(job.index() + 1, NOT_IN_HEAP);
        }
        let position = self.positions[job.index()];
        if position == NOT_IN_HEAP {
            self.heap.push((at, job));
            self.sift_up(self.heap.len() - 1);
        } else {
            self.heap[position as usize].0 = at;
            self.restore_order(position as usize);
        }
    }

    /// Removes the due time of `job`, if it has one.
    pub(crate) fn clear(&mut self, job: JobId) {
        let Some(position) = self.positions.get_mut(job.index()) else { return };
        let position = std::mem::replace(position, NOT_IN_HEAP) as usize;
        if position == NOT_IN_HEAP as usize {
            return;
        }
        self.heap.swap_remove(position);
        if position < self.heap.len() {
            self.restore_order(position);
        }
    }

    fn restore_order(&mut self, position: usize) {
        let position = self.sift_up(position);
        self.sift_down(position);
    }

    fn sift_up(&mut self, mut position: usize) -> usize {
        let item = self.heap[position];
        while position > 0 {
            let parent = (position - 1) / ARITY;
            if self.heap[parent].0 <= item.0 {
                break;
            }
            self.write(position, self.heap[parent]);
            position = parent;
        }
        self.write(position, item);
        position
    }

    fn sift_down(&mut self, mut position: usize) {
        let item = self.heap[position];
        loop {
            let first = position * ARITY + 1;
            let last = (first + ARITY).min(self.heap.len());
            let Some(child) = (first..last).min_by_key(|&child| self.heap[child].0) else { break };
            if item.0 <= self.heap[child].0 {
                break;
            }
            self.write(position, self.heap[child]);
            position = child;
        }
        self.write(position, item);
    }

    fn write(&mut self, position: usize, item: (Instant, JobId)) {
        self.heap[position] = item;
        self.positions[item.1.index()] = position as u32;
    }
}
