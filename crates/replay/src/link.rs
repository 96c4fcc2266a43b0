//! Directed links between regions: caps, delays and what was sent.

use std::collections::VecDeque;

use ebonypass_core::id::RegionId;
use ebonypass_core::pacer::{Pacer, Rate};
use ebonypass_core::policy::{Document, Link};
use ebonypass_core::share::SEAT_PERCENT;
use ebonypass_core::time::{Instant, Span};

/// The window over which a cap holds.
pub const CAP_WINDOW: Span = Span::from_millis(100);

/// The window over which a use counts as sustained.
pub const SUSTAINED_WINDOW: Span = Span::from_secs(1);

/// Burst in percent of the cap over [`CAP_WINDOW`] (docs/design.md, D6).
const BURST_PERCENT: u64 = 3;

/// Bytes that a sender writes at once.
const PIECE: u64 = 16 * 1024;

/// All links of a deployment.
#[derive(Debug)]
pub struct Links {
    links: Vec<Line>,
    paced: bool,
}

/// One directed link.
#[derive(Debug)]
pub struct Line {
    /// What the policy says of it.
    pub spec: Link,
    pacer: Pacer,
    /// When the last piece that was handed over is sent.
    sent_at: Instant,
    /// The check of the cap, which does not use the pacer.
    pub cap: Window,
    /// Use over a longer time.
    pub sustained: Window,
    /// Bytes sent in each [`CAP_WINDOW`] from the start.
    series: Vec<u64>,
}

/// Bytes sent within a window that slides with each piece.
#[derive(Debug)]
pub struct Window {
    length: Span,
    limit: f64,
    pieces: VecDeque<(Instant, u64)>,
    bytes: u64,
    highest: u64,
    /// Pieces that made the window hold more than the cap allows.
    pub violations: u64,
}

impl Links {
    /// The links of `document`. Senders pace themselves if `paced`.
    pub fn new(document: &Document, paced: bool) -> Links {
        Links { links: document.links.iter().map(|&link| Line::new(link)).collect(), paced }
    }

    /// Sends `bytes` and returns when the last of them arrives, or nothing if there is no link.
    pub fn send(
        &mut self,
        now: Instant,
        from: RegionId,
        to: RegionId,
        bytes: u64,
    ) -> Option<Instant> {
        let paced = self.paced;
        let line = self.line(from, to)?;
        let sent = if paced { line.send_paced(now, bytes) } else { line.send_at_once(now, bytes) };
        Some(sent + line.spec.delay)
    }

    /// How long bytes handed over now would wait before they are sent.
    pub fn backlog(&self, now: Instant, from: RegionId, to: RegionId) -> Span {
        self.links
            .iter()
            .find(|line| line.spec.from == from && line.spec.to == to)
            .map_or(Span::ZERO, |line| line.backlog(now))
    }

    /// Every link.
    pub fn iter(&self) -> std::slice::Iter<'_, Line> {
        self.links.iter()
    }

    fn line(&mut self, from: RegionId, to: RegionId) -> Option<&mut Line> {
        self.links.iter_mut().find(|line| line.spec.from == from && line.spec.to == to)
    }
}

impl Line {
    fn new(spec: Link) -> Line {
        let cap_bytes = spec.cap_bytes_per_s();
        let rate = Rate {
            bytes_per_s: cap_bytes / 100 * SEAT_PERCENT,
            burst_bytes: cap_bytes * CAP_WINDOW.as_millis() / 1_000 * BURST_PERCENT / 100,
        };
        let mut pacer = Pacer::new(Instant::ZERO);
        pacer.set_rate(Instant::ZERO, rate, Instant::MAX);
        let cap = cap_bytes as f64;
        Line {
            spec,
            pacer,
            sent_at: Instant::ZERO,
            cap: Window::new(CAP_WINDOW, cap),
            sustained: Window::new(SUSTAINED_WINDOW, cap),
            series: Vec::new(),
        }
    }

    /// Use of each [`CAP_WINDOW`] from the start as a fraction of the cap.
    pub fn fractions(&self) -> Vec<f64> {
        self.series.iter().map(|&bytes| bytes as f64 / self.cap.limit).collect()
    }

    fn send_paced(&mut self, now: Instant, bytes: u64) -> Instant {
        let most = PIECE.min(self.pacer.rate(now).burst_bytes);
        self.sent_at = self.sent_at.max(now);
        let mut left = bytes;
        while left > 0
            && let Some(at) = self.pacer.ready_at(self.sent_at, left.min(most))
        {
            let piece = self.pacer.take(at, left.min(most));
            self.sent_at = at;
            self.record(at, piece);
            left -= piece;
        }
        self.sent_at
    }

    /// How long a byte handed over now would wait.
    fn backlog(&self, now: Instant) -> Span {
        let ready_at = self.pacer.clone().ready_at(now.max(self.sent_at), 1);
        ready_at.map_or(Span::ZERO, |at| at.since(now))
    }

    fn send_at_once(&mut self, now: Instant, bytes: u64) -> Instant {
        self.record(now, bytes);
        now
    }

    fn record(&mut self, at: Instant, bytes: u64) {
        self.cap.add(at, bytes);
        self.sustained.add(at, bytes);
        let bucket = (at.as_micros() / CAP_WINDOW.as_micros()) as usize;
        if self.series.len() <= bucket {
            self.series.resize(bucket + 1, 0);
        }
        self.series[bucket] += bytes;
    }
}

impl Window {
    fn new(length: Span, cap_bytes: f64) -> Window {
        let limit = cap_bytes * length.as_micros() as f64 / 1e6;
        Window { length, limit, pieces: VecDeque::new(), bytes: 0, highest: 0, violations: 0 }
    }

    fn add(&mut self, at: Instant, bytes: u64) {
        self.pieces.push_back((at, bytes));
        self.bytes += bytes;
        while let Some(&(sent, bytes)) = self.pieces.front()
            && sent + self.length <= at
        {
            self.bytes -= bytes;
            self.pieces.pop_front();
        }
        self.highest = self.highest.max(self.bytes);
        if self.bytes as f64 > self.limit {
            self.violations += 1;
        }
    }

    /// The highest use over any window as a fraction of the cap.
    pub fn highest(&self) -> f64 {
        self.highest as f64 / self.limit
    }
}
