//! Drives the pools of `ebonypass-core` as the entries do.
//!
//! Module `post` holds the owners of pools, `spill` the work for other regions. Not modelled:
//! planned shifts, seats below a link's cap, request keys, and two entries that both believe to own
//! a pool.

use ebonypass_core::credit::{self, Granter};
use ebonypass_core::id::{CentreId, Key, RegionId, TargetId};
use ebonypass_core::outcome::{Outcome, Reason};
use ebonypass_core::policy::Document;
use ebonypass_core::pool::{
    Action, Attempt, Flow, Job, Load, Pool, Report, State, Ticket, Verdict,
};
use ebonypass_core::time::{Instant, Span};

use crate::agenda::Agenda;
use crate::link::Links;
use crate::post::{Post, TAKEOVER};
use crate::spill::{Frame, owner_of};
use crate::strategy::{
    AttemptKey, Command, Inquiry, LoadReport, RequestId, Strategy, nearest_centre,
};

/// Numbers of attempts of one ticket are below this, so that each ticket of a request has its own
/// range of attempt numbers.
const TICKET_STRIDE: u16 = 256;

/// All entries of a deployment.
#[derive(Debug)]
pub struct Steer<'a> {
    pub(crate) document: &'a Document,
    pub(crate) posts: Vec<Post>,
    pub(crate) states: Vec<State>,
    pub(crate) alive: Vec<bool>,
    pub(crate) records: Vec<Option<Record>>,
    pub(crate) frames: Agenda<Frame>,
    pub(crate) ticks: usize,
}

#[derive(Debug, Clone)]
pub(crate) struct Record {
    pub(crate) inquiry: Inquiry,
    pub(crate) home: usize,
    /// The region that it was forwarded to and has not come back from.
    pub(crate) away: Option<RegionId>,
    /// Every ticket it had, with its post.
    pub(crate) tickets: Vec<(usize, Ticket)>,
}

impl<'a> Steer<'a> {
    /// Entries that know the policy and have seen no request.
    pub fn new(document: &'a Document) -> Steer<'a> {
        let mut steer = Steer {
            document,
            posts: Vec::new(),
            states: vec![State::Ready; document.targets.len()],
            alive: vec![true; document.centres.len()],
            records: Vec::new(),
            frames: Agenda::new(),
            ticks: 0,
        };
        for (service, _) in document.services.iter() {
            for (region, _) in document.regions.iter() {
                let post = steer.new_post(service, region);
                steer.posts.push(post);
            }
        }
        for post in 0..steer.posts.len() {
            steer.posts[post].pool = Some(steer.new_pool(post, Instant::ZERO));
        }
        steer
    }

    pub(crate) fn record(&self, request: RequestId) -> Option<&Record> {
        self.records.get(request.0 as usize)?.as_ref()
    }

    pub(crate) fn record_mut(&mut self, request: RequestId) -> Option<&mut Record> {
        self.records.get_mut(request.0 as usize)?.as_mut()
    }

    /// Offers the request to the pool of `post`.
    fn offer(
        &mut self,
        now: Instant,
        post: usize,
        inquiry: &Inquiry,
        deadline: Instant,
    ) -> Result<(), Reason> {
        let job = Job { flow: flow_of(inquiry), deadline, idempotent: inquiry.idempotent };
        let is_home = self.record(inquiry.request).is_some_and(|record| record.home == post);
        let pool = self.posts[post].pool.as_mut().ok_or(Reason::NoOwner)?;
        let ticket =
            if is_home { pool.offer(now, job)? } else { pool.offer_with_credit(now, job)? };
        self.posts[post].tickets.insert(ticket, inquiry.request);
        if let Some(record) = self.record_mut(inquiry.request) {
            record.tickets.push((post, ticket));
        }
        Ok(())
    }

    /// Carries out what the pool of `post` has to say.
    fn drain(&mut self, now: Instant, post: usize, out: &mut Vec<Command>) {
        self.note_exclusive(now, post);
        while let Some(pool) = self.posts[post].pool.as_mut()
            && let Some(action) = pool.next_action(now)
        {
            self.act(now, post, action, out);
        }
    }

    fn act(&mut self, now: Instant, post: usize, action: Action, out: &mut Vec<Command>) {
        match action {
            Action::Dispatch { ticket, attempt, target }
            | Action::Hedge { ticket, attempt, target } => {
                let Some(key) = self.key(post, ticket, attempt) else { return };
                out.push(Command::Dispatch { key, target });
            }
            Action::Cancel { ticket, attempt, .. } => {
                let key = self.key(post, ticket, attempt);
                out.extend(key.map(|key| Command::Cancel { key }));
            }
            Action::Refuse { ticket, reason } => {
                if let Some(&request) = self.posts[post].tickets.get(&ticket) {
                    self.refuse(now, post, request, reason, out);
                }
            }
            Action::Fail { ticket, .. } => {
                if let Some(&request) = self.posts[post].tickets.get(&ticket) {
                    self.settle(post, request, Outcome::Unknown, out);
                }
            }
        }
    }

    fn key(&self, post: usize, ticket: Ticket, attempt: Attempt) -> Option<AttemptKey> {
        let request = *self.posts[post].tickets.get(&ticket)?;
        let tickets = &self.record(request)?.tickets;
        let number = tickets.iter().rposition(|&entry| entry == (post, ticket))? as u16;
        Some(AttemptKey { request, number: number * TICKET_STRIDE + u16::from(attempt.0) })
    }

    /// The pool of `post` will not run the request.
    fn refuse(
        &mut self,
        now: Instant,
        post: usize,
        request: RequestId,
        reason: Reason,
        out: &mut Vec<Command>,
    ) {
        let home = self.record(request).map(|record| record.home);
        let may_run_elsewhere = matches!(
            reason,
            Reason::DeadlineTooClose
                | Reason::QueueFull
                | Reason::NoTarget
                | Reason::NoOwner
                | Reason::Shed
        );
        if home == Some(post) && may_run_elsewhere && self.spill(now, request, None, out) {
            return;
        }
        self.settle(post, request, Outcome::NotRun, out);
    }

    /// Tells the client, or the entry that forwarded the request.
    fn settle(
        &mut self,
        post: usize,
        request: RequestId,
        outcome: Outcome,
        out: &mut Vec<Command>,
    ) {
        let Some(home) = self.record(request).map(|record| record.home) else { return };
        if home == post {
            out.push(Command::Finish { request, outcome });
            return;
        }
        let owner = owner_of(self.posts[home].region);
        self.posts[post].granter.end(owner);
        out.push(Command::Return { request, outcome });
    }

    fn set_target(&mut self, now: Instant, target: TargetId, state: State, out: &mut Vec<Command>) {
        self.states[target.index()] = state;
        let (spec, post) = (self.spec(target), self.post_of(target));
        if let Some(pool) = self.posts[post].pool.as_mut() {
            pool.set_target(now, target, spec);
            self.drain(now, post, out);
        }
    }
}

fn flow_of(inquiry: &Inquiry) -> Flow {
    Flow { member: inquiry.member, kind: inquiry.kind }
}

impl Strategy for Steer<'_> {
    fn paces_links(&self) -> bool {
        true
    }

    fn entry(&mut self, inquiry: &Inquiry, alive: &[bool]) -> Option<CentreId> {
        let nearest = nearest_centre(self.document, inquiry.centre, alive)?;
        let post = &self.posts[self.post(inquiry.service, self.document.region_of(nearest))];
        let has_owner = post.pool.is_some() && alive[post.owner.index()];
        Some(if has_owner { post.owner } else { nearest })
    }

    fn arrive(&mut self, now: Instant, at: CentreId, inquiry: &Inquiry, out: &mut Vec<Command>) {
        let home = self.post(inquiry.service, self.document.region_of(at));
        let index = inquiry.request.0 as usize;
        if self.records.len() <= index {
            self.records.resize(index + 1, None);
        }
        self.records[index] =
            Some(Record { inquiry: *inquiry, home, away: None, tickets: Vec::new() });
        let post = &mut self.posts[home];
        if self.document.region_of(inquiry.centre) != post.region {
            post.visited_until = post.visited_until.max(inquiry.deadline);
        }
        let pool = self.posts[home].pool.as_mut();
        let wait = pool.map(|pool| pool.expected_wait(now, flow_of(inquiry)));
        if wait.is_some() && self.spill(now, inquiry.request, wait, out) {
            return;
        }
        match self.offer(now, home, inquiry, inquiry.deadline) {
            Ok(()) => self.drain(now, home, out),
            Err(reason) => self.refuse(now, home, inquiry.request, reason, out),
        }
    }

    fn forwarded(&mut self, now: Instant, at: CentreId, inquiry: &Inquiry, out: &mut Vec<Command>) {
        let region = self.document.region_of(at);
        let post = self.post(inquiry.service, region);
        let Some(home) = self.record(inquiry.request).map(|record| record.home) else { return };
        let home_region = self.posts[home].region;
        self.posts[post].granter.start(owner_of(home_region));
        let back = self.delay(region, home_region).unwrap_or(Span::ZERO);
        match self.offer(now, post, inquiry, inquiry.deadline - back) {
            Ok(()) => self.drain(now, post, out),
            Err(_) => self.settle(post, inquiry.request, Outcome::NotRun, out),
        }
    }

    fn returned(
        &mut self,
        _now: Instant,
        inquiry: &Inquiry,
        outcome: Outcome,
        out: &mut Vec<Command>,
    ) {
        let request = inquiry.request;
        let Some(record) = self.record_mut(request) else { return };
        let home = record.home;
        if let Some(region) = record.away.take() {
            self.posts[home].wallets[region.index()].end();
        }
        out.push(Command::Finish { request, outcome });
    }

    fn report(
        &mut self,
        now: Instant,
        key: AttemptKey,
        _target: TargetId,
        report: Report,
        out: &mut Vec<Command>,
    ) {
        let Some(record) = self.record(key.request) else { return };
        let (post, ticket) = record.tickets[usize::from(key.number / TICKET_STRIDE)];
        let attempt = Attempt((key.number % TICKET_STRIDE) as u8);
        let Some(pool) = self.posts[post].pool.as_mut() else { return };
        if pool.report(now, ticket, attempt, report) == Verdict::Settled {
            self.settle(post, key.request, Outcome::Answered, out);
        }
        self.drain(now, post, out);
    }

    fn note_load(
        &mut self,
        now: Instant,
        target: TargetId,
        load: LoadReport,
        out: &mut Vec<Command>,
    ) {
        let post = self.post_of(target);
        if let Some(pool) = self.posts[post].pool.as_mut() {
            pool.record_load(now, target, Load { busy: load.busy, queued: load.queued });
        }
        if load.is_leaving && self.states[target.index()] == State::Ready {
            self.set_target(now, target, State::Leaving, out);
        } else {
            self.drain(now, post, out);
        }
    }

    fn note_state(&mut self, now: Instant, target: TargetId, state: State, out: &mut Vec<Command>) {
        self.set_target(now, target, state, out);
    }

    fn fail(&mut self, now: Instant, centre: CentreId) {
        self.alive[centre.index()] = false;
        for post in self.posts.iter_mut().filter(|post| post.owner == centre) {
            post.pool = None;
            post.takeover_at = Some(now + TAKEOVER);
            post.tickets.clear();
            post.granter = Granter::new();
            post.wallets.fill(credit::Balance::new());
        }
    }

    fn recover(&mut self, now: Instant, centre: CentreId) {
        self.alive[centre.index()] = true;
        let region = self.document.region_of(centre);
        let posts = self.posts.iter_mut();
        for post in posts.filter(|post| post.region == region && post.pool.is_none()) {
            post.takeover_at.get_or_insert(now + TAKEOVER);
        }
    }

    fn tick(&mut self, now: Instant, links: &Links, _out: &mut Vec<Command>) {
        self.ticks += 1;
        for post in 0..self.posts.len() {
            self.ask(now, post);
            self.note_backlog(now, post, links);
        }
    }

    fn wake(&mut self, now: Instant, out: &mut Vec<Command>) {
        self.take_frames(now);
        self.take_over(now);
        for post in 0..self.posts.len() {
            let wake_at = self.posts[post].pool.as_ref().and_then(Pool::wake_at);
            if wake_at.is_some_and(|at| at <= now) {
                self.drain(now, post, out);
            }
        }
    }

    fn wake_at(&self) -> Option<Instant> {
        let pools = self.posts.iter().filter_map(|post| post.pool.as_ref()?.wake_at());
        let takeovers = self.posts.iter().filter_map(|post| post.takeover_at);
        pools.chain(takeovers).chain(self.frames.next_at()).min()
    }
}
