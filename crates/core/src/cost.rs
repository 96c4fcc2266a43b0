//! The cost of each kind: its slot time, learned from the attempts.
//!
//! The slot time of an attempt runs from its dispatch to its report. A histogram with 16 buckets per
//! power of two holds recent samples; its weights are halved from time to time.

use rustc_hash::FxHashMap;

use crate::id::{Arena, KindId, key};
use crate::time::Span;

key! {
    /// The cost of a kind that the pool has seen.
    CostId(u32)
}

/// Buckets in one power of two.
const BUCKETS_PER_OCTAVE: usize = 16;
const LINEAR_BITS: u32 = (2 * BUCKETS_PER_OCTAVE).trailing_zeros();
/// Slot times from 2^37 us (38 hours) share the last bucket.
const MAX_TIME_BITS: u32 = 37;
const BUCKETS: usize = (MAX_TIME_BITS - LINEAR_BITS + 2) as usize * BUCKETS_PER_OCTAVE;

/// Samples at which the weights are halved, so that only the last few thousand count.
const MAX_SAMPLES: u32 = 4096;
/// Samples between two updates of the quantiles, which read the whole histogram.
const REFRESH_SAMPLES: u32 = 32;
/// Samples from which on a kind counts as known.
const KNOWN_SAMPLES: u32 = 4;
/// Samples from which on the quantiles are used as they are.
const RELIABLE_SAMPLES: u32 = 128;

/// A kind becomes long when its mean is this many times that of the pool's shortest kind.
const LONG_ENTRY_RATIO: u64 = 8;
/// A long kind stays long down to this many times the mean of the shortest kind. The hysteresis keeps
/// a kind near the limit from changing with each sample.
const LONG_EXIT_RATIO: u64 = 6;

/// The shortest time that the clock can measure.
const CLOCK_RESOLUTION: Span = Span::from_micros(1);

/// The slot times of one kind.
#[derive(Debug)]
pub(crate) struct Cost {
    buckets: Box<[u32; BUCKETS]>,
    count: u32,
    sum_us: u64,
    samples_since_refresh: u32,
    mean: Span,
    p50: Span,
    p90: Span,
    p99: Span,
    is_long: bool,
}

impl Cost {
    fn new(initial_mean: Span) -> Cost {
        Cost {
            buckets: Box::new([0; BUCKETS]),
            count: 0,
            sum_us: 0,
            samples_since_refresh: 0,
            mean: initial_mean,
            p50: Span::ZERO,
            p90: Span::MAX,
            p99: Span::MAX,
            is_long: true,
        }
    }

    /// Whether there are enough samples for a first estimate.
    pub(crate) fn is_known(&self) -> bool {
        self.count >= KNOWN_SAMPLES
    }

    /// Whether there are enough samples to compare a single attempt with the mean.
    pub(crate) fn is_reliable(&self) -> bool {
        self.count >= RELIABLE_SAMPLES
    }

    /// Whether the kind counts towards the limit on long kinds. An unknown kind does.
    pub(crate) fn is_long(&self) -> bool {
        self.is_long
    }

    /// The expected slot time, an assumed one while the kind is unknown.
    pub(crate) fn mean(&self) -> Span {
        self.mean
    }

    /// The median slot time, zero while the kind is unknown.
    pub(crate) fn median(&self) -> Span {
        self.p50
    }

    /// The 90th percentile, `Span::MAX` while the kind is unknown.
    pub(crate) fn p90(&self) -> Span {
        self.p90
    }

    /// The 99th percentile, `Span::MAX` while the kind is unknown.
    pub(crate) fn p99(&self) -> Span {
        self.p99
    }

    fn record(&mut self, time: Span) {
        let us = time.as_micros().min((1 << MAX_TIME_BITS) - 1);
        self.buckets[bucket_index(us)] += 1;
        self.count += 1;
        self.sum_us += us;
        self.samples_since_refresh += 1;
    }

    fn refresh(&mut self) {
        self.samples_since_refresh = 0;
        self.mean = Span::from_micros(self.sum_us / u64::from(self.count.max(1)));
        self.p50 = self.quantile(500);
        self.p90 = self.quantile(900);
        self.p99 = self.quantile(990);
        if self.count < RELIABLE_SAMPLES {
            // A few samples say little about the tail.
            self.p90 = self.p90.max(self.p50.times(3));
            self.p99 = self.p99.max(self.p50.times(6));
        }
        if self.count >= MAX_SAMPLES {
            self.halve_weights();
        }
    }

    fn halve_weights(&mut self) {
        self.count = 0;
        for bucket in self.buckets.iter_mut() {
            *bucket /= 2;
            self.count += *bucket;
        }
        self.sum_us = self.mean.as_micros() * u64::from(self.count);
    }

    /// The upper end of the bucket that holds the quantile.
    fn quantile(&self, per_mille: u32) -> Span {
        let rank = (u64::from(self.count) * u64::from(per_mille)).div_ceil(1000);
        let mut cumulative = 0;
        let found = self.buckets.iter().position(|&bucket| {
            cumulative += u64::from(bucket);
            cumulative >= rank
        });
        Span::from_micros(bucket_max_us(found.unwrap_or(BUCKETS - 1)))
    }
}

/// The bucket of a value below 2^`MAX_TIME_BITS`. Values below 32 have a bucket each.
fn bucket_index(us: u64) -> usize {
    let shift = (us | (2 * BUCKETS_PER_OCTAVE as u64 - 1)).ilog2() + 1 - LINEAR_BITS;
    shift as usize * BUCKETS_PER_OCTAVE + (us >> shift) as usize
}

/// The largest value of a bucket.
fn bucket_max_us(bucket: usize) -> u64 {
    if bucket < 2 * BUCKETS_PER_OCTAVE {
        return bucket as u64;
    }
    let shift = bucket / BUCKETS_PER_OCTAVE - 1;
    let offset = (bucket % BUCKETS_PER_OCTAVE + BUCKETS_PER_OCTAVE) as u64;
    ((offset + 1) << shift) - 1
}

/// The costs of all kinds of a pool.
#[derive(Debug, Default)]
pub(crate) struct Costs {
    costs: Arena<CostId, Cost>,
    by_kind: FxHashMap<KindId, CostId>,
    shortest: Span,
}

impl Costs {
    /// The cost of `kind`, created with `initial_mean` if the kind is new.
    pub(crate) fn get_or_insert(&mut self, kind: KindId, initial_mean: Span) -> CostId {
        if let Some(&id) = self.by_kind.get(&kind) {
            return id;
        }
        let id = self.costs.push(Cost::new(initial_mean));
        self.by_kind.insert(kind, id);
        id
    }

    /// The expected slot time of the shortest kind, zero if none is known.
    pub(crate) fn shortest(&self) -> Span {
        self.shortest
    }

    /// Records the slot time of an attempt on a healthy target.
    pub(crate) fn record(&mut self, id: CostId, time: Span) {
        let cost = &mut self.costs[id];
        cost.record(time);
        let is_warming_up = cost.count < RELIABLE_SAMPLES && cost.is_known();
        if is_warming_up || cost.samples_since_refresh >= REFRESH_SAMPLES {
            cost.refresh();
            self.classify_kinds();
        }
    }

    fn classify_kinds(&mut self) {
        let known = self.costs.values().filter(|cost| cost.is_known());
        self.shortest = known.map(|cost| cost.mean).min().unwrap_or(Span::ZERO);
        for cost in self.costs.values_mut() {
            let ratio = if cost.is_long && cost.count >= RELIABLE_SAMPLES {
                LONG_EXIT_RATIO
            } else {
                LONG_ENTRY_RATIO
            };
            cost.is_long =
                !cost.is_known() || cost.mean >= self.shortest.max(CLOCK_RESOLUTION).times(ratio);
        }
    }
}

impl std::ops::Index<CostId> for Costs {
    type Output = Cost;

    fn index(&self, id: CostId) -> &Cost {
        &self.costs[id]
    }
}
