//! Drives the pools of `ebonypass-core` as the entries do.
//!
//! One entry of a region owns the pool of a service there (docs/design.md, D1). Work that the home
//! pool refuses goes to another region only against credit (D7). Not modelled: planned shifts,
//! seats below a link's cap, request keys, and two entries that both believe to own a pool.

use ebonypass_core::credit::{CREDIT, Granter, Place, Remote, Wallet, choose_place};
use ebonypass_core::id::{CentreId, EntryId, Key, RegionId, ServiceId, TargetId};
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

/// A region whose replies wait this long for the link grants no more than it holds, so that the
/// replies it owes stay within their deadlines. Credit is renewed every 100 ms; with a shorter
/// backlog the link would run idle between two grants.
const BACKLOG_HOLD: Span = Span::from_millis(100);

/// A region whose replies wait this long grants nothing.
const BACKLOG_STOP: Span = Span::from_millis(250);

/// Planned shifts are not modelled, so no request is rolled into one.
const NO_SHIFT_ROLL: u32 = 0;

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
    frames: Agenda<Frame>,
    ticks: usize,
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
    /// Credit granted to the owners in other regions.
    granter: Granter,
    /// Credit granted by each other region.
    wallets: Vec<Wallet>,
    /// Until when the pool may hold work of clients of other regions that came here directly.
    visited_until: Instant,
    /// How long replies to each other region wait for the link.
    backlogs: Vec<Span>,
}

/// A message between the owners of a service's pools in two regions.
#[derive(Debug, Clone, Copy)]
enum Frame {
    /// `from` asks the owner of `post` for credit.
    Need { post: usize, from: usize, round: u64 },
    /// `from` grants credit to the owner of `post`.
    Credit { post: usize, from: usize, round: u64, count: u32 },
}

#[derive(Debug, Clone)]
struct Record {
    inquiry: Inquiry,
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

    fn new_post(&self, service: ServiceId, region: RegionId) -> Post {
        let centres = self.centres(region);
        Post {
            service,
            region,
            targets: pool_targets(self.document, service, region),
            pool: None,
            owner: centres[service.index() % centres.len()],
            takeover_at: None,
            tickets: FxHashMap::default(),
            granter: Granter::new(),
            wallets: vec![Wallet::new(); self.document.regions.len()],
            visited_until: Instant::ZERO,
            backlogs: vec![Span::ZERO; self.document.regions.len()],
        }
    }

    fn new_pool(&self, post: usize, now: Instant) -> Pool {
        let mut pool = Pool::new(Config::default());
        for &target in &self.posts[post].targets {
            pool.set_target(now, target, self.spec(target));
            let is_distant = self.document.targets[target].centre != self.posts[post].owner;
            pool.set_prefetch(now, target, is_distant);
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
        let ticket = if is_home { pool.offer(now, job)? } else { pool.offer_granted(now, job)? };
        self.posts[post].tickets.insert(ticket, inquiry.request);
        if let Some(record) = self.record_mut(inquiry.request) {
            record.tickets.push((post, ticket));
        }
        Ok(())
    }

    /// Tells the pool of `post` whether it serves its own region only.
    fn note_exclusive(&mut self, now: Instant, post: usize) {
        let Post { granter, visited_until, pool, .. } = &mut self.posts[post];
        let is_exclusive = now >= *visited_until && !granter.is_lending(now);
        if let Some(pool) = pool {
            pool.set_exclusive(now, is_exclusive);
        }
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

    /// Forwards the request to another region if that is better than `home_wait` at home, nothing
    /// if the home pool does not run it. Tells whether it did.
    fn spill(
        &mut self,
        now: Instant,
        request: RequestId,
        home_wait: Option<Span>,
        out: &mut Vec<Command>,
    ) -> bool {
        let Some(record) = self.record(request) else { return false };
        let (home, deadline) = (record.home, record.inquiry.deadline);
        let remotes = self.remotes(now, home, deadline);
        let Place::Remote(region) = choose_place(NO_SHIFT_ROLL, home_wait, &remotes) else {
            return false;
        };
        if !self.posts[home].wallets[region.index()].take(now) {
            return false;
        }
        let to = self.posts[self.post(self.posts[home].service, region)].owner;
        if let Some(record) = self.record_mut(request) {
            record.away = Some(region);
        }
        out.push(Command::Forward { request, to });
        true
    }

    /// The other regions, those with the most unused credit first.
    fn remotes(&self, now: Instant, home: usize, deadline: Instant) -> Vec<Remote> {
        let post = &self.posts[home];
        let remote = |region: RegionId| {
            let round_trip = self.delay(post.region, region)?.times(2);
            let left = post.wallets[region.index()].left(now);
            let is_in_time = now + round_trip < deadline;
            Some(Remote { region, percent: 0, left, is_in_time, round_trip })
        };
        let regions = self.document.regions.iter().map(|(region, _)| region);
        let mut remotes: Vec<Remote> = regions.filter_map(remote).collect();
        remotes.sort_by_key(|remote| std::cmp::Reverse(remote.left));
        remotes
    }

    /// Asks the pools of the service in the other regions for credit.
    fn ask(&mut self, now: Instant, from: usize) {
        if self.posts[from].pool.is_none() {
            return;
        }
        let (service, region) = (self.posts[from].service, self.posts[from].region);
        for (other, _) in self.document.regions.iter() {
            let Some(delay) = self.delay(region, other) else { continue };
            let round = self.posts[from].wallets[other.index()].ask(now);
            let post = self.post(service, other);
            self.frames.add(now + delay, Frame::Need { post, from, round });
        }
    }

    /// Notes how long replies from the region of `post` to the others wait for their links.
    fn note_backlog(&mut self, now: Instant, post: usize, links: &Links) {
        let region = self.posts[post].region;
        for (other, _) in self.document.regions.iter() {
            self.posts[post].backlogs[other.index()] = links.backlog(now, region, other);
        }
    }

    /// Answers a question for credit of the owner of the pool `from`.
    fn grant(&mut self, now: Instant, post: usize, from: usize, round: u64) {
        let to = self.posts[from].region;
        let Some(delay) = self.delay(self.posts[post].region, to) else { return };
        let Some(free) = self.posts[post].pool.as_ref().map(|pool| pool.free_slots(now)) else {
            return;
        };
        let wanted = self.wanted(post, to, free);
        let count = self.posts[post].granter.grant(now, owner_of(to), wanted, free);
        self.frames.add(now + delay, Frame::Credit { post: from, from: post, round, count });
    }

    /// The most that the owner in `to` may hold of the pool of `post`, which has `free` slots: what
    /// it holds and a share of the free slots. A region that uses its credit gets a larger share.
    fn wanted(&self, post: usize, to: RegionId, free: u32) -> u32 {
        let Post { region, granter, backlogs, .. } = &self.posts[post];
        let regions = self.document.regions.iter().map(|(other, _)| other);
        let others: Vec<RegionId> =
            regions.filter(|&other| self.delay(*region, other).is_some()).collect();
        let held = |other: RegionId| granter.running(owner_of(other));
        let weights: u32 = others.iter().map(|&other| held(other) + 1).sum();
        let share = |other: RegionId| free * (held(other) + 1) / weights;
        let rest = free - others.iter().map(|&other| share(other)).sum::<u32>();
        let is_turn = others[self.ticks % others.len()] == to;
        let share = share(to) + if is_turn { rest } else { 0 };
        match backlogs[to.index()] {
            backlog if backlog > BACKLOG_STOP => 0,
            backlog if backlog > BACKLOG_HOLD => held(to),
            _ => held(to) + share,
        }
    }

    fn take_frames(&mut self, now: Instant) {
        while self.frames.next_at().is_some_and(|at| at <= now)
            && let Some((_, frame)) = self.frames.take()
        {
            match frame {
                Frame::Need { post, from, round } => self.grant(now, post, from, round),
                Frame::Credit { post, from, round, count } => {
                    let region = self.posts[from].region;
                    self.posts[post].wallets[region.index()].note_credit(round, count, CREDIT);
                }
            }
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

/// The owner of a service's pool in `region`, as the other owners know it.
fn owner_of(region: RegionId) -> EntryId {
    EntryId::from_index(region.index())
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
            self.posts[home].wallets[region.index()].put();
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
            post.granter = Granter::new();
            post.wallets.fill(Wallet::new());
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
