//! Start-time fair queueing over flows, in units of slot time.
//!
//! Each flow has a lane: its waiting jobs and a start tag, the virtual time at which its next job
//! starts. The lane with the smallest start tag is served next. A dispatch advances the tag by the
//! expected slot time; the report of the attempt replaces that by the measured one.

use rustc_hash::FxHashMap;

use crate::cost::CostId;
use crate::id::{Arena, Key, key};
use crate::job::JobId;
use crate::pool::Flow;
use crate::time::Span;

key! {
    /// The lane of a flow that the pool has seen.
    LaneId(u32)
}

const NO_JOB: JobId = JobId(u32::MAX);
const NOT_BACKLOGGED: u32 = u32::MAX;

/// The waiting jobs of one flow.
#[derive(Debug)]
pub(crate) struct Lane {
    cost: CostId,
    head: JobId,
    tail: JobId,
    len: u32,
    start_tag_us: u64,
    /// Position in [`Queue::backlogged`], or `NOT_BACKLOGGED`.
    backlog_index: u32,
}

impl Lane {
    /// The cost of the flow's kind.
    pub(crate) fn cost(&self) -> CostId {
        self.cost
    }

    /// The first waiting job, `NO_JOB` if there is none.
    pub(crate) fn head(&self) -> JobId {
        self.head
    }

    /// The number of waiting jobs.
    pub(crate) fn len(&self) -> u32 {
        self.len
    }
}

#[derive(Debug, Clone, Copy)]
struct Link {
    lane: LaneId,
    previous: JobId,
    next: JobId,
}

/// The waiting jobs of all flows.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    lanes: Arena<LaneId, Lane>,
    by_flow: FxHashMap<Flow, LaneId>,
    backlogged: Vec<LaneId>,
    links: Vec<Link>,
    virtual_time_us: u64,
    burst_allowance: Span,
    len: usize,
}

impl Queue {
    /// An empty queue with capacity for `capacity` jobs.
    pub(crate) fn with_capacity(capacity: usize) -> Queue {
        Queue { links: Vec::with_capacity(capacity), ..Queue::default() }
    }

    /// Sets how much slot time a flow that used less than its share may later take ahead of
    /// others. Without it, bursts of a flow within its share wait behind an overloading one.
    pub(crate) fn set_burst_allowance(&mut self, burst_allowance: Span) {
        self.burst_allowance = burst_allowance;
    }

    /// The lane of `flow`, created with `cost`, the cost of its kind, if the flow is new.
    pub(crate) fn get_or_insert(&mut self, flow: Flow, cost: CostId) -> LaneId {
        if let Some(&id) = self.by_flow.get(&flow) {
            return id;
        }
        let (head, tail) = (NO_JOB, NO_JOB);
        let lane =
            Lane { cost, head, tail, len: 0, start_tag_us: 0, backlog_index: NOT_BACKLOGGED };
        let id = self.lanes.push(lane);
        self.by_flow.insert(flow, id);
        id
    }

    /// The lane of a flow that was seen before.
    pub(crate) fn find(&self, flow: Flow) -> Option<LaneId> {
        self.by_flow.get(&flow).copied()
    }

    /// The number of waiting jobs.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// The lanes with waiting jobs, in no particular order.
    pub(crate) fn backlogged(&self) -> &[LaneId] {
        &self.backlogged
    }

    /// The start tag of a lane in microseconds of virtual time. The smallest is served next.
    pub(crate) fn start_tag(&self, id: LaneId) -> u64 {
        self.lanes[id].start_tag_us
    }

    /// The virtual time until a job that joins lane `id` now is served, if each of the lane's jobs
    /// costs `mean`.
    pub(crate) fn virtual_wait(&self, id: LaneId, mean: Span) -> Span {
        let lane = &self.lanes[id];
        let min_start_tag_us =
            self.virtual_time_us.saturating_sub(self.burst_allowance.as_micros());
        let lane_work_us = mean.times(lane.len.into()).as_micros();
        Span::from_micros(
            (lane.start_tag_us.max(min_start_tag_us) + lane_work_us)
                .saturating_sub(self.virtual_time_us),
        )
    }

    /// Adds a job at the end of its lane.
    pub(crate) fn push_back(&mut self, id: LaneId, job: JobId) {
        let previous = self.lanes[id].tail;
        self.link(job, Link { lane: id, previous, next: NO_JOB });
    }

    /// Adds a job that was dispatched before at the front of its lane.
    pub(crate) fn push_front(&mut self, id: LaneId, job: JobId) {
        let next = self.lanes[id].head;
        self.link(job, Link { lane: id, previous: NO_JOB, next });
    }

    /// Removes a waiting job.
    pub(crate) fn remove(&mut self, job: JobId) {
        let Link { lane, previous, next } = self.links[job.index()];
        match previous {
            NO_JOB => self.lanes[lane].head = next,
            _ => self.links[previous.index()].next = next,
        }
        match next {
            NO_JOB => self.lanes[lane].tail = previous,
            _ => self.links[next.index()].previous = previous,
        }
        self.len -= 1;
        self.lanes[lane].len -= 1;
        if self.lanes[lane].len == 0 {
            self.remove_backlogged(lane);
        }
    }

    /// Removes the first job of a lane and advances the lane's start tag by `charge`.
    pub(crate) fn pop(&mut self, id: LaneId, charge: Span) -> JobId {
        let job = self.lanes[id].head;
        self.remove(job);
        let lane = &mut self.lanes[id];
        self.virtual_time_us = self.virtual_time_us.max(lane.start_tag_us);
        lane.start_tag_us += charge.as_micros();
        job
    }

    /// Replaces the charge of an attempt by its measured slot time.
    pub(crate) fn correct_charge(&mut self, id: LaneId, charged: Span, actual: Span) {
        let start_tag_us = self.lanes[id].start_tag_us + actual.as_micros();
        self.lanes[id].start_tag_us = start_tag_us.saturating_sub(charged.as_micros());
    }

    fn link(&mut self, job: JobId, link: Link) {
        if job.index() >= self.links.len() {
            let empty = Link { lane: link.lane, previous: NO_JOB, next: NO_JOB };
            self.links.resize(job.index() + 1, empty);
        }
        self.links[job.index()] = link;
        match link.previous {
            NO_JOB => self.lanes[link.lane].head = job,
            previous => self.links[previous.index()].next = job,
        }
        match link.next {
            NO_JOB => self.lanes[link.lane].tail = job,
            next => self.links[next.index()].previous = job,
        }
        self.len += 1;
        let lane = &mut self.lanes[link.lane];
        lane.len += 1;
        if lane.len == 1 {
            // A flow that was idle keeps only the burst allowance of the share that it did not use.
            let min_start_tag_us =
                self.virtual_time_us.saturating_sub(self.burst_allowance.as_micros());
            lane.start_tag_us = lane.start_tag_us.max(min_start_tag_us);
            lane.backlog_index = self.backlogged.len() as u32;
            self.backlogged.push(link.lane);
        }
    }

    fn remove_backlogged(&mut self, id: LaneId) {
        let backlog_index =
            std::mem::replace(&mut self.lanes[id].backlog_index, NOT_BACKLOGGED) as usize;
        self.backlogged.swap_remove(backlog_index);
        if let Some(&moved) = self.backlogged.get(backlog_index) {
            self.lanes[moved].backlog_index = backlog_index as u32;
        }
    }
}

impl std::ops::Index<LaneId> for Queue {
    type Output = Lane;

    fn index(&self, id: LaneId) -> &Lane {
        &self.lanes[id]
    }
}
