//! Admission control: a job that is unlikely to meet its deadline is refused when it is offered.

use crate::cost::CostId;
use crate::outcome::Reason;
use crate::pool::{Job, Pool};
use crate::queue::LaneId;
use crate::time::{Instant, Span};

/// The predicted wait is an average, so this many percent of it must fit before the deadline.
const WAIT_MARGIN_PERCENT: u64 = 150;
/// Share of the time to its deadline that a job may be expected to wait. The rest is for the first
/// attempt and, if that meets a slow target, for the delay and the service of a hedge.
const MAX_WAIT_PERCENT: u64 = 28;

impl Pool {
    /// Refuses a job if the queue is full or its answer is unlikely to come in time.
    pub(crate) fn check_admission(
        &mut self,
        now: Instant,
        job: &Job,
        lane: LaneId,
        cost: CostId,
        has_credit: bool,
    ) -> Result<(), Reason> {
        // Each flow may hold as much of the queue as it leaves free, so that none fills it alone.
        let free = self.config.queue_limit.saturating_sub(self.queue.len());
        if self.queue[lane].len() as usize >= free {
            return Err(Reason::QueueFull);
        }
        let time_left = job.deadline.since(now);
        let wait = self.predict_wait(now, lane, cost);
        let limit = Span::from_micros(time_left.as_micros() / 100 * MAX_WAIT_PERCENT);
        // A wait of two service times is normal, however close the deadline is.
        let limit = limit.max(self.costs[cost].mean().times(2));
        let padded_wait =
            Span::from_micros(wait.as_micros().saturating_mul(WAIT_MARGIN_PERCENT) / 100);
        let is_wait_too_long = wait > limit && !has_credit;
        if is_wait_too_long || padded_wait + self.reserved_service_time(cost, time_left) > time_left
        {
            return Err(Reason::DeadlineTooClose);
        }
        Ok(())
    }

    /// The service time reserved for a job with `time_left` to its deadline: the kind's 99th
    /// percentile, at most half of `time_left`, and at least the median.
    fn reserved_service_time(&self, cost: CostId, time_left: Span) -> Span {
        let cost = &self.costs[cost];
        let half = Span::from_micros(time_left.as_micros() / 2);
        cost.p99().min(half).max(cost.median())
    }

    /// The expected wait of a job that joins `lane` now. `cost` is the cost of its kind.
    pub(crate) fn predict_wait(&mut self, now: Instant, lane: LaneId, cost: CostId) -> Span {
        if self.queue.len() == 0 && self.targets.has_free_slot() {
            return Span::ZERO;
        }
        let is_long = self.costs[cost].is_long();
        let mean = self.costs[cost].mean();
        let slots = f64::from(self.targets.usable_slots().max(1));
        let long_limit = f64::from(self.targets.long_limit());
        let (queue, costs) = (&self.queue, &self.costs);
        // A backlogged flow of a long kind can use the limit on long kinds, any other all slots.
        let wanted = |other: LaneId| {
            let other = &queue[other];
            let max_slots = if costs[other.cost()].is_long() { long_limit } else { slots };
            (other.len() > 0).then_some(max_slots)
        };
        let fair_share = self.usage.fair_share(now, slots, wanted);
        // With all slots in use, the first becomes free after about this time.
        let first_free_us = mean.as_micros() as f64 / slots;
        let virtual_wait_us = self.queue.virtual_wait(lane, mean).as_micros() as f64;
        let mut wait_us = virtual_wait_us / fair_share + first_free_us;
        if is_long {
            let long_work_us = self.waiting_long_work().as_micros() as f64;
            wait_us = wait_us.max(long_work_us / long_limit + first_free_us);
        }
        Span::from_micros(wait_us as u64)
    }

    /// The slot time of all waiting jobs of long kinds.
    fn waiting_long_work(&self) -> Span {
        let lanes = self.queue.backlogged().iter().map(|&lane| &self.queue[lane]);
        let long = lanes.filter(|lane| self.costs[lane.cost()].is_long());
        let work = long.map(|lane| self.costs[lane.cost()].mean().times(lane.len().into()));
        work.fold(Span::ZERO, |sum, work| sum + work)
    }
}
