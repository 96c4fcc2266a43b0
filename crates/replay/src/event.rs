//! A priority queue of events, ordered by virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use ebonypass_core::time::Instant;

/// Scheduled events. Events of the same instant are popped in the order in which they were pushed,
/// which makes runs deterministic.
#[derive(Debug)]
pub struct Queue<E> {
    heap: BinaryHeap<Reverse<Entry<E>>>,
    next_sequence: u64,
}

#[derive(Debug)]
struct Entry<E> {
    at: Instant,
    sequence: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Entry<E>) -> bool {
        self.sequence == other.sequence
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Entry<E>) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Entry<E>) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

impl<E> Queue<E> {
    /// Creates an empty queue.
    pub fn new() -> Queue<E> {
        Queue { heap: BinaryHeap::new(), next_sequence: 0 }
    }

    /// Schedules `event` for `at`.
    pub fn push(&mut self, at: Instant, event: E) {
        self.heap.push(Reverse(Entry { at, sequence: self.next_sequence, event }));
        self.next_sequence += 1;
    }

    /// Returns the time of the next event.
    pub fn next_at(&self) -> Option<Instant> {
        self.heap.peek().map(|Reverse(entry)| entry.at)
    }

    /// Removes and returns the next event with its time.
    pub fn pop(&mut self) -> Option<(Instant, E)> {
        self.heap.pop().map(|Reverse(entry)| (entry.at, entry.event))
    }
}

impl<E> Default for Queue<E> {
    fn default() -> Queue<E> {
        Queue::new()
    }
}
