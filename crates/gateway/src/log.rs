//! Structured log on standard output: one JSON object per line.
//!
//! Lines are buffered and written by a separate thread, so that a slow reader never blocks
//! requests. Lines that do not fit in the buffer are dropped and counted.

use std::cell::{Cell, RefCell};
use std::io::Write;
use std::sync::mpsc::{SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ebonypass_core::time::{Instant, Span};
use ebonypass_node::event::Event;
use serde_json::{Map, Value};
use smol::Timer;

/// Size limit in bytes of the lines buffered between two flushes.
const MAX_BUFFER_BYTES: usize = 256 << 10;
/// Limit on batches queued for the writer thread.
const MAX_QUEUED_BATCHES: usize = 4;
/// One in this many requests answered in time by the first attempt is logged.
const SAMPLE_INTERVAL: u64 = 50;
/// Requests refused because of their tenant that are logged in each second, at most. Callers without
/// a valid key can send any number.
const MAX_TENANT_REFUSALS_PER_S: u32 = 20;
/// Time between two flushes.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);

/// The log of one process.
#[derive(Debug)]
pub struct Log {
    machine: String,
    buffer: RefCell<String>,
    dropped: Cell<u64>,
    sample_count: Cell<u64>,
    /// Start of the current second, and the lines about refusals of tenants in it.
    tenant_refusals: Cell<(Instant, u32)>,
    writer: SyncSender<String>,
}

impl Log {
    /// Starts the writer thread. Every line names `machine`.
    pub fn new(machine: &str) -> Log {
        let (writer, batches) = sync_channel::<String>(MAX_QUEUED_BATCHES);
        thread::spawn(move || {
            for batch in batches {
                let mut out = std::io::stdout().lock();
                // A write error means that the log's reader is gone, so there is nowhere to report
                // it.
                let _ = out.write_all(batch.as_bytes()).and_then(|()| out.flush());
            }
        });
        Log {
            machine: machine.to_owned(),
            buffer: RefCell::default(),
            dropped: Cell::new(0),
            sample_count: Cell::new(0),
            tenant_refusals: Cell::new((Instant::ZERO, 0)),
            writer,
        }
    }

    /// Logs `event` with `fields`, a JSON object.
    pub fn record(&self, event: Event, fields: Value) {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut line = Map::new();
        line.insert("unix_ms".to_owned(), (since_epoch.as_millis() as u64).into());
        line.insert("machine".to_owned(), self.machine.as_str().into());
        line.insert("event".to_owned(), event.number().into());
        line.insert("text".to_owned(), event.text().into());
        if let Value::Object(fields) = fields {
            line.extend(fields);
        }
        let line = Value::Object(line).to_string();
        let mut buffer = self.buffer.borrow_mut();
        if buffer.len() + line.len() > MAX_BUFFER_BYTES {
            self.dropped.set(self.dropped.get() + 1);
            return;
        }
        buffer.push_str(&line);
        buffer.push('\n');
    }

    /// Counts an ordinary event, and returns whether it is the one in [`SAMPLE_INTERVAL`] to log.
    pub fn should_sample(&self) -> bool {
        let count = self.sample_count.get() + 1;
        self.sample_count.set(count);
        count.is_multiple_of(SAMPLE_INTERVAL)
    }

    /// Whether one more request that was refused because of its tenant may be logged.
    pub fn may_record_tenant_refusal(&self, now: Instant) -> bool {
        let (start, count) = self.tenant_refusals.get();
        let is_same_second = now.since(start) < Span::from_secs(1);
        let (start, count) = if is_same_second { (start, count) } else { (now, 0) };
        self.tenant_refusals.set((start, count.saturating_add(1)));
        count < MAX_TENANT_REFUSALS_PER_S
    }

    /// Lines dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped.get()
    }

    /// Sends the buffered lines to the writer thread, or drops them if its queue is full.
    pub fn flush(&self) {
        let batch = std::mem::take(&mut *self.buffer.borrow_mut());
        if batch.is_empty() {
            return;
        }
        let lines = batch.lines().count() as u64;
        if self.writer.try_send(batch).is_err() {
            self.dropped.set(self.dropped.get() + lines);
        }
    }

    /// Flushes at intervals and reports dropped lines, for the lifetime of the process.
    pub async fn run_flush_loop(&self) {
        let mut reported = 0;
        loop {
            Timer::after(FLUSH_INTERVAL).await;
            let dropped = self.dropped();
            if dropped > reported {
                let lines = dropped - reported;
                self.record(Event::LinesDropped, serde_json::json!({ "lines": lines }));
                reported = dropped;
            }
            self.flush();
        }
    }
}
