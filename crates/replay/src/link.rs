//! Directed links between regions: caps, delays and what was sent.

use std::collections::VecDeque;

use ebonypass_core::id::RegionId;
use ebonypass_core::policy::{Document, Link};
use ebonypass_core::time::{Instant, Span};

/// The window over which a cap holds.
pub const CAP_WINDOW: Span = Span::from_millis(100);

/// The window over which a use counts as sustained.
pub const SUSTAINED_WINDOW: Span = Span::from_secs(1);

/// Part of a cap that the senders share (docs/design.md, D6).
const SHARE: f64 = 0.96;

/// Burst as a part of the cap over [`CAP_WINDOW`] (docs/design.md, D6).
const BURST: f64 = 0.03;

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
    /// The check of the cap, which does not use the pacer.
    pub cap: Window,
    /// Use over a longer time.
    pub sustained: Window,
    /// Bytes sent in each [`CAP_WINDOW`] from the start.
    series: Vec<u64>,
}

/// A token bucket that tells when a piece may be sent.
#[derive(Debug)]
struct Pacer {
    bytes_per_us: f64,
    burst: f64,
    /// When the bucket is full again, in microseconds.
    full_at: f64,
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
            .map_or(Span::ZERO, |line| line.pacer.wait(now))
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
        let cap = spec.cap_bytes() as f64;
        Line {
            spec,
            pacer: Pacer {
                bytes_per_us: SHARE * cap / 1e6,
                burst: BURST * cap * CAP_WINDOW.as_micros() as f64 / 1e6,
                full_at: 0.0,
            },
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
        let mut left = bytes;
        let mut at = now;
        while left > 0 {
            let piece = left.min(PIECE).min((self.pacer.burst as u64).max(1));
            at = self.pacer.take(now, piece);
            self.record(at, piece);
            left -= piece;
        }
        at
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

impl Pacer {
    /// Takes `bytes` out of the bucket and returns when they may be sent.
    fn take(&mut self, now: Instant, bytes: u64) -> Instant {
        let bytes = bytes as f64;
        let earliest = self.full_at - (self.burst - bytes) / self.bytes_per_us;
        let at = (now.as_micros() as f64).max(earliest.ceil());
        self.full_at = self.full_at.max(at) + bytes / self.bytes_per_us;
        Instant::from_micros(at as u64)
    }

    fn wait(&self, now: Instant) -> Span {
        let earliest = self.full_at - self.burst / self.bytes_per_us;
        Span::from_micros((earliest - now.as_micros() as f64).max(0.0) as u64)
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
