//! Memory that clients can make a process hold, and the limits that follow from it.
//!
//! Each kind of memory has a share of the machine's. What a connection or request takes beside its
//! counted bytes is bounded by their number. docs/design/client-memory.md explains the figures.

use ebonypass_core::time::Span;

use crate::{budget, listener};

/// Receive buffer of a caller's connection that sends no large body.
pub const CALLER_RECEIVE_BUFFER: usize = 8 << 10;
/// What a client can leave unread in it: the kernel counts the buffers of packets, not their bytes.
pub const CALLER_UNREAD: usize = 12 << 10;
/// Receive buffer of connections to the other listeners.
pub const OTHER_RECEIVE_BUFFER: usize = 4 << 10;

/// Memory of an open connection of a caller: unread bytes, hyper's read buffer, and tasks.
const CALLER_BYTES: usize = CALLER_UNREAD + (8 << 10) + (4 << 10);
/// The same for the other listeners, of which the requests have small heads.
const OTHER_BYTES: usize = 16 << 10;
/// Memory of an unused connection to a target: hyper's buffers and tasks.
const IDLE_TARGET_BYTES: usize = 14 << 10;
/// What a request at a target takes beside its counted bytes: 48 KiB unread on the connection to the
/// target, three reads of 8 KiB that hyper holds there, a piece of 8 KiB, 24 KiB that are not
/// written to the caller yet, and tasks.
const TRANSFER_BYTES: usize = 108 << 10;
/// What a request without a body takes beside its head: its task.
pub const REQUEST_BYTES: usize = 8 << 10;
/// What a request with a body takes beside its head and body: its task, and two reads of 8 KiB that
/// hyper holds.
pub const UPLOAD_BYTES: usize = REQUEST_BYTES + 2 * (8 << 10);
/// What a body takes while it is received with an enlarged buffer, beside the buffer: larger reads.
pub const WIDE_READ_BYTES: usize = 3 * (8 << 10);

/// Callers may have this many connections for each MB of memory.
const CALLERS_PER_MB: usize = 7;
/// Unused connections to targets for each MB of memory.
const IDLE_TARGETS_PER_MB: usize = 2;

/// Share of request bodies and replies. The largest body of the platform just fits on its smallest
/// machine.
const BODY_SHARE: f64 = 0.4;
/// Share that small requests may take in addition.
const SMALL_SHARE: f64 = 0.05;
/// Share of enlarged receive buffers.
const WINDOW_SHARE: f64 = 0.025;
/// Share of what requests at targets take beside their counted bytes.
const TRANSFER_SHARE: f64 = 0.18;
/// Share of unfinished heads, beyond what each connection has.
const HEAD_SHARE: f64 = 0.025;
/// Share of the memory for bodies up to which replies are read ahead. The rest stays for requests.
const REPLY_SHARE: f64 = 0.75;

/// The limits of a process.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    memory_mb: usize,
    descriptors: usize,
}

impl Plan {
    /// The limits for this much memory and this many descriptors.
    pub fn new(memory_mb: u64, descriptors: usize) -> Plan {
        Plan { memory_mb: memory_mb as usize, descriptors }
    }

    /// Limits on the memory of bodies and replies.
    pub fn body_limits(&self, stall: Span) -> budget::Limits {
        let total = self.share(BODY_SHARE);
        budget::Limits {
            total,
            small: self.share(SMALL_SHARE),
            replies: (total as f64 * REPLY_SHARE) as usize,
            windows: self.share(WINDOW_SHARE),
            transfers: self.transfers(),
            waiting: self.memory_mb / 2,
            stall,
        }
    }

    /// Limits on the connections of each listener, in the order of [`listener::Purpose`].
    pub fn connections(&self) -> [usize; listener::Purpose::COUNT] {
        let (memory, descriptors) = (self.memory_mb, self.descriptors);
        [
            (descriptors / 2).min(memory * CALLERS_PER_MB),
            (descriptors / 16).min(memory / 2),
            (descriptors / 64).min(memory / 4),
            (descriptors / 64).min(memory / 4),
            (descriptors / 16).min(memory / 2),
        ]
    }

    /// Bytes of unfinished heads, of all connections together.
    pub fn head_bytes(&self) -> usize {
        self.share(HEAD_SHARE)
    }

    /// Unused connections to targets.
    pub fn idle_targets(&self) -> usize {
        (self.descriptors / 6).min(self.memory_mb * IDLE_TARGETS_PER_MB)
    }

    /// The most memory that clients can make the process hold with these limits, if nothing else
    /// is stated in the settings.
    pub fn worst_case(&self) -> usize {
        let limits = self.body_limits(Span::ZERO);
        let [callers, others @ ..] = self.connections();
        let counted = limits.total + limits.small + limits.windows + self.head_bytes();
        counted
            + limits.transfers * TRANSFER_BYTES
            + limits.waiting * UPLOAD_BYTES
            + callers * CALLER_BYTES
            + listener::backlog(callers) * CALLER_UNREAD
            + others.iter().sum::<usize>() * OTHER_BYTES
            + self.idle_targets() * IDLE_TARGET_BYTES
    }

    /// Requests that may be at targets, or whose replies may be unfinished, at once.
    fn transfers(&self) -> usize {
        let by_memory = self.share(TRANSFER_SHARE) / TRANSFER_BYTES;
        by_memory.min(self.descriptors / 5).max(1)
    }

    fn share(&self, share: f64) -> usize {
        ((self.memory_mb << 20) as f64 * share) as usize
    }
}
