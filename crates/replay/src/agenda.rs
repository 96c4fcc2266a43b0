//! Events ordered by virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use ebonypass_core::time::Instant;

/// Events to come. Events of the same instant come out in the order in which they were added, so
/// that a run repeats exactly.
#[derive(Debug)]
pub struct Agenda<E> {
    heap: BinaryHeap<Reverse<Entry<E>>>,
    added: u64,
}

#[derive(Debug)]
struct Entry<E> {
    at: Instant,
    number: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Entry<E>) -> bool {
        self.number == other.number
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
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

impl<E> Agenda<E> {
    /// An agenda without events.
    pub fn new() -> Agenda<E> {
        Agenda { heap: BinaryHeap::new(), added: 0 }
    }

    /// Adds `event` at `at`.
    pub fn add(&mut self, at: Instant, event: E) {
        self.heap.push(Reverse(Entry { at, number: self.added, event }));
        self.added += 1;
    }

    /// When the next event is.
    pub fn next_at(&self) -> Option<Instant> {
        self.heap.peek().map(|Reverse(entry)| entry.at)
    }

    /// Takes the next event.
    pub fn take(&mut self) -> Option<(Instant, E)> {
        self.heap.pop().map(|Reverse(entry)| (entry.at, entry.event))
    }
}

impl<E> Default for Agenda<E> {
    fn default() -> Agenda<E> {
        Agenda::new()
    }
}
