//! Bodies held in memory, as a list of segments.
//!
//! Segments are neither moved nor copied when a body grows, so that a body takes only what is
//! counted for it, and hyper copies only one of them at a time into its write buffer.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body::{Body as HttpBody, Frame, SizeHint};

/// Bounds of the size of a segment. The first segments of a body are small, because most bodies
/// are. The largest ones bound what hyper holds of a body beyond its own limit.
const MIN_SEGMENT_BYTES: usize = 4 << 10;
pub const MAX_SEGMENT_BYTES: usize = 16 << 10;

/// A body in memory. Clones share the bytes.
#[derive(Debug, Clone, Default)]
pub struct Payload {
    segments: Vec<Bytes>,
    sent: usize,
    left: usize,
}

impl From<Bytes> for Payload {
    fn from(bytes: Bytes) -> Payload {
        let left = bytes.len();
        let segments = if left > 0 { vec![bytes] } else { Vec::new() };
        Payload { segments, sent: 0, left }
    }
}

impl Payload {
    /// Whether there are no bytes left to send.
    pub fn is_empty(&self) -> bool {
        self.left == 0
    }

    /// Bytes that are left to send.
    pub fn left(&self) -> usize {
        self.left
    }

    /// Takes the next bytes to send, at most a segment.
    pub fn next_segment(&mut self) -> Option<Bytes> {
        let segment = self.segments.get_mut(self.sent)?;
        let bytes = segment.split_to(segment.len().min(MAX_SEGMENT_BYTES));
        if segment.is_empty() {
            // Drops the last reference unless another clone needs the bytes.
            *segment = Bytes::new();
            self.sent += 1;
        }
        self.left -= bytes.len();
        Some(bytes)
    }
}

impl HttpBody for Payload {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.get_mut().next_segment().map(|bytes| Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left as u64)
    }
}

/// Collects a body of which the length may not be known.
#[derive(Debug, Default)]
pub struct Collector {
    full: Vec<Bytes>,
    last: BytesMut,
    length: usize,
    capacity: usize,
}

impl Collector {
    /// Bytes received.
    pub fn length(&self) -> usize {
        self.length
    }

    /// Bytes that the body takes once it has `added` more, if it may have `limit` at most.
    pub fn capacity_with(&self, added: usize, limit: usize) -> usize {
        let mut capacity = self.capacity;
        let mut room = self.last.capacity() - self.last.len();
        let mut length = self.length;
        let mut added = added;
        while added > room {
            length += room;
            added -= room;
            room = next_size(length, added, limit);
            capacity += room;
        }
        capacity
    }

    /// Adds bytes to a body of at most `limit`.
    pub fn push(&mut self, mut data: &[u8], limit: usize) {
        while !data.is_empty() {
            let room = self.last.capacity() - self.last.len();
            if room == 0 {
                let size = next_size(self.length, data.len(), limit);
                let full = std::mem::replace(&mut self.last, BytesMut::with_capacity(size));
                if !full.is_empty() {
                    self.full.push(full.freeze());
                }
                self.capacity += size;
                continue;
            }
            let (now, rest) = data.split_at(room.min(data.len()));
            self.last.extend_from_slice(now);
            self.length += now.len();
            data = rest;
        }
    }

    /// The collected body.
    pub fn finish(mut self) -> Payload {
        if !self.last.is_empty() {
            self.full.push(self.last.freeze());
        }
        Payload { segments: self.full, sent: 0, left: self.length }
    }
}

/// Size of the segment after `length` bytes, for `needed` more or a part of them.
fn next_size(length: usize, needed: usize, limit: usize) -> usize {
    let size = length.max(needed).clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES);
    size.min(limit.saturating_sub(length)).max(needed.min(MAX_SEGMENT_BYTES)).max(1)
}
