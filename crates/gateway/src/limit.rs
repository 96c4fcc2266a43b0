//! Counts what was refused or closed by a limit, and logs the sums at intervals.

use std::cell::Cell;

use ebonypass_node::event::Event;
use prometheus_client::encoding::EncodeLabelValue;
use serde_json::json;

use crate::log::Log;
use crate::metric::{LimitLabels, Metrics};

/// A limit on what clients may make this process hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Limit {
    /// A connection was refused: the listener had too many.
    Connections,
    /// A connection without progress was closed for another one.
    Evicted,
    /// A connection was closed: its head took too long.
    HeadTime,
    /// A connection could not be accepted, usually for want of descriptors.
    Accept,
    /// A body without progress lost its memory to others.
    Body,
    /// There was no memory for a body.
    Memory,
    /// A body was larger than allowed.
    BodySize,
    /// A request was refused: too many replies were unfinished.
    Transfers,
}

impl Limit {
    const ALL: [Limit; 8] = [
        Limit::Connections,
        Limit::Evicted,
        Limit::HeadTime,
        Limit::Accept,
        Limit::Body,
        Limit::Memory,
        Limit::BodySize,
        Limit::Transfers,
    ];
}

/// Counts by limit since the last log line.
#[derive(Debug, Default)]
pub struct Tally {
    counts: [Cell<u64>; Limit::ALL.len()],
}

impl Tally {
    /// Counts one refusal or closure.
    pub fn add(&self, limit: Limit) {
        let count = &self.counts[limit as usize];
        count.set(count.get() + 1);
    }

    /// Adds the counts to the metrics and logs a line for each limit that was met.
    pub fn report(&self, log: &Log, metrics: &Metrics) {
        for limit in Limit::ALL {
            let count = self.counts[limit as usize].take();
            if count > 0 {
                metrics.limited.get_or_create(&LimitLabels { limit }).inc_by(count);
                let fields = json!({ "limit": format!("{limit:?}"), "count": count });
                log.record(Event::CallerLimited, fields);
            }
        }
    }
}
