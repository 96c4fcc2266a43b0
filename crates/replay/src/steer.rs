//! Drives the pools of `ebonypass-core` as the entries do.
//!
//! One entry of a region owns the pool of a service there (docs/design.md, D1). Work that the home
//! pool refuses goes to another region only against credit (D7). Not modelled: planned shifts,
//! seats below a link's cap, request keys, and two entries that both believe to own a pool.

use ebonypass_core::id::{CentreId, Key, RegionId, ServiceId, TargetId};
use ebonypass_core::outcome::{Outcome, Reason};
use ebonypass_core::policy::Document;
use ebonypass_core::pool::{
    Action, Attempt, Config, Flow, Job, Load, Pool, Report, Spec, State, Ticket, Verdict,
};
use ebonypass_core::time::{Instant, Span};
use rustc_hash::FxHashMap;

use crate::agenda::Agenda;
use crate::link::Links;
use crate::strategy::{
    AttemptKey, Command, Inquiry, LoadReport, RequestId, Strategy, nearest_centre, pool_targets,
};

/// Time after which another entry owns the pools of a dead one (docs/design.md, section 8).
const TAKEOVER: Span = Span::from_secs(2);

/// Lifetime of a grant of credit (docs/design.md, section 6).
const CREDIT_LIFE: Span = Span::from_secs(1);

/// A region whose replies wait this long for the link grants no more than it holds, so that the
/// replies it owes stay within their deadlines. Credit is renewed every 100 ms; with a shorter
/// backlog the link would run idle between two grants.
const BACKLOG_HOLD: Span = Span::from_millis(100);

/// A region whose replies wait this long grants nothing.
const BACKLOG_STOP: Span = Span::from_millis(250);

/// Numbers of attempts of one ticket are below this, so that each ticket of a request has its own
/// range of attempt numbers.
const TICKET_STRIDE: u16 = 256;

/// All entries of a deployment.
#[derive(Debug)]
pub struct Steer<'a> {
    document: &'a Document,
    posts: Vec<Post>,
    states: Vec<State>,
    alive: Vec<bool>,
    records: Vec<Option<Record>>,
    grants: Agenda<Grant>,
    ticks: usize,
    spills_early: bool,
}

/// The owner of a pool and what it knows.
#[derive(Debug)]
struct Post {
    service: ServiceId,
    region: RegionId,
    targets: Vec<TargetId>,
    pool: Option<Pool>,
    owner: CentreId,
    takeover_at: Option<Instant>,
    tickets: FxHashMap<Ticket, RequestId>,
    /// How long the latest dispatched job of each flow had waited for its slot.
    waits: FxHashMap<Flow, Span>,
    /// Jobs held for entries of each other region.
    foreign: Vec<u32>,
    /// Requests at each other region.
    outstanding: Vec<u32>,
    /// What each other region granted.
    credits: Vec<Credit>,
}

#[derive(Debug, Clone, Copy)]
struct Credit {
    count: u32,
    until: Instant,
}

/// A message that gives credit to the owner of `post`.
#[derive(Debug, Clone, Copy)]
struct Grant {
    post: usize,
    from: RegionId,
    credit: Credit,
}

#[derive(Debug, Clone)]
struct Record {
    inquiry: Inquiry,
    /// When it reached the entry.
    entered: Instant,
    home: usize,
    /// The region that it was forwarded to and has not come back from.
    away: Option<RegionId>,
    /// Every ticket it had, with its post.
    tickets: Vec<(usize, Ticket)>,
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
            grants: Agenda::new(),
            ticks: 0,
            spills_early: false,
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

    /// Entries that also use credit when the wait at home is longer than the way to the other
    /// region and back, and not only when the home pool refuses.
    pub fn with_early_spill(self) -> Steer<'a> {
        Steer { spills_early: true, ..self }
    }

    fn new_post(&self, service: ServiceId, region: RegionId) -> Post {
        let centres = self.centres(region);
        let none = Credit { count: 0, until: Instant::ZERO };
        Post {
            service,
            region,
            targets: pool_targets(self.document, service, region),
            pool: None,
            owner: centres[service.index() % centres.len()],
            takeover_at: None,
            tickets: FxHashMap::default(),
            waits: FxHashMap::default(),
            foreign: vec![0; self.document.regions.len()],
            outstanding: vec![0; self.document.regions.len()],
            credits: vec![none; self.document.regions.len()],
        }
    }

    fn new_pool(&self, post: usize, now: Instant) -> Pool {
        let mut pool = Pool::new(Config::default());
        for &target in &self.posts[post].targets {
            pool.set_target(now, target, self.spec(target));
        }
        pool
    }

    fn spec(&self, target: TargetId) -> Spec {
        let slots = self.document.targets[target].slots;
        Spec { slots, state: self.states[target.index()] }
    }

    fn centres(&self, region: RegionId) -> Vec<CentreId> {
        let centres = self.document.centres.iter();
        centres.filter(|(_, centre)| centre.region == region).map(|(key, _)| key).collect()
    }

    fn post(&self, service: ServiceId, region: RegionId) -> usize {
        service.index() * self.document.regions.len() + region.index()
    }

    fn post_of(&self, target: TargetId) -> usize {
        let spec = &self.document.targets[target];
        self.post(spec.service, self.document.region_of(spec.centre))
    }

    fn delay(&self, from: RegionId, to: RegionId) -> Option<Span> {
        self.document.link(from, to).map(|link| link.delay)
    }

    fn record(&self, request: RequestId) -> Option<&Record> {
        self.records.get(request.0 as usize)?.as_ref()
    }

    fn record_mut(&mut self, request: RequestId) -> Option<&mut Record> {
        self.records.get_mut(request.0 as usize)?.as_mut()
    }

    /// Whether a request that joins the queue of its home pool would wait longer than the way to
    /// the region with the most unused credit and back.
    fn is_nearer_elsewhere(&self, now: Instant, home: usize, inquiry: &Inquiry) -> bool {
        let post = &self.posts[home];
        if !self.spills_early || post.pool.as_ref().is_none_or(|pool| pool.queued() == 0) {
            return false;
        }
        let Some(&wait) = post.waits.get(&flow_of(inquiry)) else { return false };
        let region = self.region_with_credit(now, home, inquiry.deadline);
        let delay = region.and_then(|region| self.delay(post.region, region));
        delay.is_some_and(|delay| wait > delay.times(2))
    }

    /// Notes how long a job waited before its first dispatch from its home pool.
    fn note_wait(&mut self, now: Instant, post: usize, request: RequestId) {
        let Some(record) = self.record(request).filter(|record| record.home == post) else {
            return;
        };
        let (flow, wait) = (flow_of(&record.inquiry), now.since(record.entered));
        self.posts[post].waits.insert(flow, wait);
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
        let pool = self.posts[post].pool.as_mut().ok_or(Reason::NoOwner)?;
        let ticket = pool.offer(now, job)?;
        self.posts[post].tickets.insert(ticket, inquiry.request);
        if let Some(record) = self.record_mut(inquiry.request) {
            record.tickets.push((post, ticket));
        }
        Ok(())
    }

    /// Carries out what the pool of `post` has to say.
    fn drain(&mut self, now: Instant, post: usize, out: &mut Vec<Command>) {
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
                if attempt == Attempt(0) {
                    self.note_wait(now, post, key.request);
                }
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
        if home == Some(post) && self.spill(now, request, reason, out) {
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
        let region = self.posts[home].region;
        let held = &mut self.posts[post].foreign[region.index()];
        *held = held.saturating_sub(1);
        out.push(Command::Return { request, outcome });
    }

    /// Forwards the request to the region with the most unused credit. Tells whether it did.
    fn spill(
        &mut self,
        now: Instant,
        request: RequestId,
        reason: Reason,
        out: &mut Vec<Command>,
    ) -> bool {
        let may_run_elsewhere = matches!(
            reason,
            Reason::DeadlineTooClose
                | Reason::QueueFull
                | Reason::NoTarget
                | Reason::NoOwner
                | Reason::Shed
        );
        let Some(record) = self.record(request).filter(|_| may_run_elsewhere) else {
            return false;
        };
        let (home, deadline) = (record.home, record.inquiry.deadline);
        let Some(region) = self.region_with_credit(now, home, deadline) else { return false };
        let to = self.posts[self.post(self.posts[home].service, region)].owner;
        self.posts[home].outstanding[region.index()] += 1;
        if let Some(record) = self.record_mut(request) {
            record.away = Some(region);
        }
        out.push(Command::Forward { request, to });
        true
    }

    fn region_with_credit(&self, now: Instant, home: usize, deadline: Instant) -> Option<RegionId> {
        let post = &self.posts[home];
        let mut best = None;
        for (region, _) in self.document.regions.iter() {
            let Some(delay) = self.delay(post.region, region) else { continue };
            let credit = post.credits[region.index()];
            let unused = credit.count.saturating_sub(post.outstanding[region.index()]);
            let is_near = now + delay.times(2) < deadline;
            if credit.until > now && is_near && unused > best.map_or(0, |(most, _)| most) {
                best = Some((unused, region));
            }
        }
        best.map(|(_, region)| region)
    }

    /// Sends credit for the pool of `post` to the other regions.
    fn grant(&mut self, now: Instant, post: usize, links: &Links) {
        let Some(pool) = &self.posts[post].pool else { return };
        let free = pool.free_slots(now) as usize;
        let (service, region) = (self.posts[post].service, self.posts[post].region);
        let others: Vec<(RegionId, Span)> = self
            .document
            .regions
            .iter()
            .filter_map(|(other, _)| Some((other, self.delay(region, other)?)))
            .collect();
        // A region that uses its credit gets more of the free slots than one that does not.
        let held = |other: RegionId| self.posts[post].foreign[other.index()];
        let weights: usize = others.iter().map(|&(other, _)| held(other) as usize + 1).sum();
        let share = |other: RegionId| free * (held(other) as usize + 1) / weights;
        let rest = free - others.iter().map(|&(other, _)| share(other)).sum::<usize>();
        for (index, &(other, delay)) in others.iter().enumerate() {
            let is_turn = index == self.ticks % others.len();
            let share = share(other) + if is_turn { rest } else { 0 };
            let held = held(other);
            let backlog = links.backlog(now, region, other);
            let count = if backlog > BACKLOG_STOP {
                0
            } else if backlog > BACKLOG_HOLD {
                held
            } else {
                held + share as u32
            };
            let credit = Credit { count, until: now + CREDIT_LIFE };
            let grant = Grant { post: self.post(service, other), from: region, credit };
            self.grants.add(now + delay, grant);
        }
    }

    fn take_grants(&mut self, now: Instant) {
        while self.grants.next_at().is_some_and(|at| at <= now)
            && let Some((_, grant)) = self.grants.take()
        {
            self.posts[grant.post].credits[grant.from.index()] = grant.credit;
        }
    }

    /// Gives pools without an owner to the next entry alive.
    fn take_over(&mut self, now: Instant) {
        for index in 0..self.posts.len() {
            if self.posts[index].takeover_at.is_none_or(|at| at > now) {
                continue;
            }
            self.posts[index].takeover_at = None;
            let centres = self.centres(self.posts[index].region);
            let alive = centres.into_iter().find(|centre| self.alive[centre.index()]);
            if let Some(owner) = alive {
                self.posts[index].owner = owner;
                self.posts[index].pool = Some(self.new_pool(index, now));
            }
        }
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
            Some(Record { inquiry: *inquiry, entered: now, home, away: None, tickets: Vec::new() });
        if self.is_nearer_elsewhere(now, home, inquiry)
            && self.spill(now, inquiry.request, Reason::DeadlineTooClose, out)
        {
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
        self.posts[post].foreign[home_region.index()] += 1;
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
            let outstanding = &mut self.posts[home].outstanding[region.index()];
            *outstanding = outstanding.saturating_sub(1);
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
            pool.note_load(now, target, Load { busy: load.busy, queued: load.queued });
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
            post.waits.clear();
            post.foreign.fill(0);
            post.outstanding.fill(0);
            post.credits.fill(Credit { count: 0, until: Instant::ZERO });
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
            self.grant(now, post, links);
        }
    }

    fn wake(&mut self, now: Instant, out: &mut Vec<Command>) {
        self.take_grants(now);
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
        pools.chain(takeovers).chain(self.grants.next_at()).min()
    }
}
