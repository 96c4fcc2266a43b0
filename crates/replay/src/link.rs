//! Directed links between regions: caps, delays and recorded traffic.

use std::collections::VecDeque;

use ebonypass_core::id::RegionId;
use ebonypass_core::pacer::{Pacer, Rate};
use ebonypass_core::policy::{self, Document};
use ebonypass_core::share::SEAT_PERCENT;
use ebonypass_core::time::{Instant, Span};

/// Window over which the cap applies.
pub const CAP_WINDOW: Span = Span::from_millis(100);

/// Window over which the sustained use is measured.
pub const SUSTAINED_WINDOW: Span = Span::from_secs(1);

/// Burst size in percent of the cap over [`CAP_WINDOW`] (docs/design.md, D6).
const BURST_PERCENT: u64 = 3;

/// Maximum size of a single write of a paced sender.
const CHUNK_BYTES: u64 = 16 * 1024;

/// All links of a deployment.
#[derive(Debug)]
pub struct Links {
    links: Vec<Link>,
    is_paced: bool,
}

/// One directed link.
#[derive(Debug)]
pub struct Link {
    /// Definition in the policy.
    pub spec: policy::Link,
    pacer: Pacer,
    /// When the last queued chunk is sent.
    sent_until: Instant,
    /// Checks the cap, independently of the pacer.
    pub cap_window: Window,
    /// Measures the use over [`SUSTAINED_WINDOW`].
    pub sustained_window: Window,
    /// Bytes sent in each [`CAP_WINDOW`] from the start.
    bytes_per_window: Vec<u64>,
}

/// A sliding window over the bytes sent.
#[derive(Debug)]
pub struct Window {
    length: Span,
    /// Bytes that the cap allows in a window.
    limit_bytes: f64,
    chunks: VecDeque<(Instant, u64)>,
    bytes: u64,
    highest_bytes: u64,
    /// Number of sends that exceeded the limit of the window.
    pub violations: u64,
}

impl Links {
    /// Creates the links of `document`. Senders pace their traffic if `is_paced`.
    pub fn new(document: &Document, is_paced: bool) -> Links {
        Links { links: document.links.iter().map(|&link| Link::new(link)).collect(), is_paced }
    }

    /// Sends `bytes` and returns when the last of them arrives, `None` if there is no link.
    pub fn send(
        &mut self,
        now: Instant,
        from: RegionId,
        to: RegionId,
        bytes: u64,
    ) -> Option<Instant> {
        let is_paced = self.is_paced;
        let link = self.link_mut(from, to)?;
        let sent =
            if is_paced { link.send_paced(now, bytes) } else { link.send_unpaced(now, bytes) };
        Some(sent + link.spec.delay)
    }

    /// Returns how long data queued now would wait before it is sent.
    pub fn backlog(&self, now: Instant, from: RegionId, to: RegionId) -> Span {
        self.links
            .iter()
            .find(|link| link.spec.from == from && link.spec.to == to)
            .map_or(Span::ZERO, |link| link.backlog(now))
    }

    /// Iterates over all links.
    pub fn iter(&self) -> std::slice::Iter<'_, Link> {
        self.links.iter()
    }

    fn link_mut(&mut self, from: RegionId, to: RegionId) -> Option<&mut Link> {
        self.links.iter_mut().find(|link| link.spec.from == from && link.spec.to == to)
    }
}

impl Link {
    fn new(spec: policy::Link) -> Link {
        let cap_bytes_per_s = spec.cap_bytes_per_s();
        let rate = Rate {
            bytes_per_s: cap_bytes_per_s / 100 * SEAT_PERCENT,
            burst_bytes: cap_bytes_per_s * CAP_WINDOW.as_millis() / 1_000 * BURST_PERCENT / 100,
        };
        let mut pacer = Pacer::new(Instant::ZERO);
        pacer.set_rate(Instant::ZERO, rate, Instant::MAX);
        let cap_bytes_per_s = cap_bytes_per_s as f64;
        Link {
            spec,
            pacer,
            sent_until: Instant::ZERO,
            cap_window: Window::new(CAP_WINDOW, cap_bytes_per_s),
            sustained_window: Window::new(SUSTAINED_WINDOW, cap_bytes_per_s),
            bytes_per_window: Vec::new(),
        }
    }

    /// Returns the use of each [`CAP_WINDOW`] from the start as a fraction of the cap.
    pub fn fractions(&self) -> Vec<f64> {
        self.bytes_per_window
            .iter()
            .map(|&bytes| bytes as f64 / self.cap_window.limit_bytes)
            .collect()
    }

    fn send_paced(&mut self, now: Instant, bytes: u64) -> Instant {
        let max_chunk_bytes = CHUNK_BYTES.min(self.pacer.rate(now).burst_bytes);
        self.sent_until = self.sent_until.max(now);
        let mut remaining = bytes;
        while remaining > 0
            && let Some(at) = self.pacer.ready_at(self.sent_until, remaining.min(max_chunk_bytes))
        {
            let chunk_bytes = self.pacer.take(at, remaining.min(max_chunk_bytes));
            self.sent_until = at;
            self.record(at, chunk_bytes);
            remaining -= chunk_bytes;
        }
        self.sent_until
    }

    /// Returns how long a byte queued now would wait.
    fn backlog(&self, now: Instant) -> Span {
        let ready_at = self.pacer.clone().ready_at(now.max(self.sent_until), 1);
        ready_at.map_or(Span::ZERO, |at| at.since(now))
    }

    fn send_unpaced(&mut self, now: Instant, bytes: u64) -> Instant {
        self.record(now, bytes);
        now
    }

    fn record(&mut self, at: Instant, bytes: u64) {
        self.cap_window.add(at, bytes);
        self.sustained_window.add(at, bytes);
        let bucket = (at.as_micros() / CAP_WINDOW.as_micros()) as usize;
        if self.bytes_per_window.len() <= bucket {
            self.bytes_per_window.resize(bucket + 1, 0);
        }
        self.bytes_per_window[bucket] += bytes;
    }
}

impl Window {
    fn new(length: Span, cap_bytes_per_s: f64) -> Window {
        let limit_bytes = cap_bytes_per_s * length.as_micros() as f64 / 1e6;
        Window {
            length,
            limit_bytes,
            chunks: VecDeque::new(),
            bytes: 0,
            highest_bytes: 0,
            violations: 0,
        }
    }

    fn add(&mut self, at: Instant, bytes: u64) {
        self.chunks.push_back((at, bytes));
        self.bytes += bytes;
        while let Some(&(sent, bytes)) = self.chunks.front()
            && sent + self.length <= at
        {
            self.bytes -= bytes;
            self.chunks.pop_front();
        }
        self.highest_bytes = self.highest_bytes.max(self.bytes);
        if self.bytes as f64 > self.limit_bytes {
            self.violations += 1;
        }
    }

    /// Returns the highest use of any window as a fraction of the cap.
    pub fn highest(&self) -> f64 {
        self.highest_bytes as f64 / self.limit_bytes
    }
}
