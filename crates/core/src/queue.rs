//! Start-time fair queueing over flows, in units of slot time.
//!
//! Each flow has a lane: its waiting jobs and a tag, the virtual time at which its next job
//! starts. The lane with the smallest tag has the next turn. A dispatch moves the tag on by the
//! expected slot time, and the report corrects it by the difference to the true one.

use rustc_hash::FxHashMap;

use crate::cost::CostId;
use crate::id::{Arena, Key, key};
use crate::job::JobId;
use crate::pool::Flow;
use crate::time::Span;

key! {
    /// A flow that the pool has seen.
    LaneId(u32)
}

const NO_JOB: JobId = JobId(u32::MAX);
const NOT_WAITING: u32 = u32::MAX;

/// The waiting jobs of one flow.
#[derive(Debug)]
pub(crate) struct Lane {
    cost: CostId,
    head: JobId,
    tail: JobId,
    len: u32,
    tag_us: u64,
    /// Position in the list of lanes with waiting jobs.
    waiting_at: u32,
}

impl Lane {
    /// What the flow's kind costs.
    pub(crate) fn cost(&self) -> CostId {
        self.cost
    }

    /// The job whose turn comes first.
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
    before: JobId,
    after: JobId,
}

/// The waiting jobs of all flows.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    lanes: Arena<LaneId, Lane>,
    by_flow: FxHashMap<Flow, LaneId>,
    waiting: Vec<LaneId>,
    links: Vec<Link>,
    now_us: u64,
    credit: Span,
    len: usize,
}

impl Queue {
    /// An empty queue with room for `room` jobs.
    pub(crate) fn with_capacity(room: usize) -> Queue {
        Queue { links: Vec::with_capacity(room), ..Queue::default() }
    }

    /// Sets how much slot time a flow that used less than its share may later take ahead of
    /// others. Without it, the bursts of a flow that keeps to its share wait behind a greedy one.
    pub(crate) fn set_credit(&mut self, credit: Span) {
        self.credit = credit;
    }

    /// The lane of `flow`, whose kind is `cost`.
    pub(crate) fn enter(&mut self, flow: Flow, cost: CostId) -> LaneId {
        if let Some(&id) = self.by_flow.get(&flow) {
            return id;
        }
        let (head, tail) = (NO_JOB, NO_JOB);
        let lane = Lane { cost, head, tail, len: 0, tag_us: 0, waiting_at: NOT_WAITING };
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

    /// The lanes with waiting jobs, in no order.
    pub(crate) fn waiting(&self) -> &[LaneId] {
        &self.waiting
    }

    /// The tag of a lane: the smallest has the next turn.
    pub(crate) fn tag(&self, id: LaneId) -> u64 {
        self.lanes[id].tag_us
    }

    /// The virtual time until a job that joins `id` now has its turn, if each of the lane's jobs
    /// costs `mean`.
    pub(crate) fn distance(&self, id: LaneId, mean: Span) -> Span {
        let lane = &self.lanes[id];
        let least = self.now_us.saturating_sub(self.credit.as_micros());
        let own = mean.times(lane.len.into()).as_micros();
        Span::from_micros((lane.tag_us.max(least) + own).saturating_sub(self.now_us))
    }

    /// Adds a job at the end of its lane.
    pub(crate) fn push_back(&mut self, id: LaneId, job: JobId) {
        let before = self.lanes[id].tail;
        self.link(job, Link { lane: id, before, after: NO_JOB });
    }

    /// Adds a job that has had its turn before at the front of its lane.
    pub(crate) fn push_front(&mut self, id: LaneId, job: JobId) {
        let after = self.lanes[id].head;
        self.link(job, Link { lane: id, before: NO_JOB, after });
    }

    /// Removes a waiting job.
    pub(crate) fn remove(&mut self, job: JobId) {
        let Link { lane, before, after } = self.links[job.index()];
        match before {
            NO_JOB => self.lanes[lane].head = after,
            _ => self.links[before.index()].after = after,
        }
        match after {
            NO_JOB => self.lanes[lane].tail = before,
            _ => self.links[after.index()].before = before,
        }
        self.len -= 1;
        self.lanes[lane].len -= 1;
        if self.lanes[lane].len == 0 {
            self.stop_waiting(lane);
        }
    }

    /// Removes the first job of a lane and charges the lane for it.
    pub(crate) fn pop(&mut self, id: LaneId, charge: Span) -> JobId {
        let job = self.lanes[id].head;
        self.remove(job);
        let lane = &mut self.lanes[id];
        self.now_us = self.now_us.max(lane.tag_us);
        lane.tag_us += charge.as_micros();
        job
    }

    /// Replaces the charge of an attempt by its true slot time.
    pub(crate) fn settle(&mut self, id: LaneId, charged: Span, actual: Span) {
        let tag_us = self.lanes[id].tag_us + actual.as_micros();
        self.lanes[id].tag_us = tag_us.saturating_sub(charged.as_micros());
    }

    fn link(&mut self, job: JobId, link: Link) {
        if job.index() >= self.links.len() {
            let empty = Link { lane: link.lane, before: NO_JOB, after: NO_JOB };
            self.links.resize(job.index() + 1, empty);
        }
        self.links[job.index()] = link;
        match link.before {
            NO_JOB => self.lanes[link.lane].head = job,
            before => self.links[before.index()].after = job,
        }
        match link.after {
            NO_JOB => self.lanes[link.lane].tail = job,
            after => self.links[after.index()].before = job,
        }
        self.len += 1;
        let lane = &mut self.lanes[link.lane];
        lane.len += 1;
        if lane.len == 1 {
            // A flow that was idle has a claim to few of the turns that it did not use.
            let least = self.now_us.saturating_sub(self.credit.as_micros());
            lane.tag_us = lane.tag_us.max(least);
            lane.waiting_at = self.waiting.len() as u32;
            self.waiting.push(link.lane);
        }
    }

    fn stop_waiting(&mut self, id: LaneId) {
        let place = std::mem::replace(&mut self.lanes[id].waiting_at, NOT_WAITING) as usize;
        self.waiting.swap_remove(place);
        if let Some(&moved) = self.waiting.get(place) {
            self.lanes[moved].waiting_at = place as u32;
        }
    }
}

impl std::ops::Index<LaneId> for Queue {
    type Output = Lane;

    fn index(&self, id: LaneId) -> &Lane {
        &self.lanes[id]
    }
}
