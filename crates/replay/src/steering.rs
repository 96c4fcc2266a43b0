//! The strategy `ebonypass`: drives the pools of `ebonypass-core` like the entries do.
//!
//! Module `shard` handles the ownership of pools, `forward` the forwarding to other regions. Not
//! modelled: planned shifts, seats below a link's cap, request keys, and two entries that both
//! consider themselves the owner of a pool.

use ebonypass_core::credit::{self, Granter};
use ebonypass_core::id::{CentreId, Key, RegionId, TargetId};
use ebonypass_core::outcome::{Outcome, Reason};
use ebonypass_core::policy::Document;
use ebonypass_core::pool::{
    Action, Attempt, Flow, Job, Load, Pool, Report, State, Ticket, Verdict,
};
use ebonypass_core::time::{Instant, Span};

use crate::event;
use crate::forward::{Message, owner_id};
use crate::link::Links;
use crate::shard::{Shard, TAKEOVER_DELAY};
use crate::strategy::{
    AttemptKey, Command, LoadReport, RequestId, RequestMetadata, Strategy, nearest_centre,
};

/// Upper bound of the attempt numbers of one ticket. Each ticket of a request gets its own range of
/// this size, so that attempt keys are unique.
const ATTEMPTS_PER_TICKET: u16 = 256;

/// All entries of a deployment.
#[derive(Debug)]
pub struct Entries<'a> {
    pub(crate) document: &'a Document,
    /// Shards by service and region.
    pub(crate) shards: Vec<Shard>,
    pub(crate) states: Vec<State>,
    pub(crate) alive: Vec<bool>,
    pub(crate) requests: Vec<Option<RequestState>>,
    pub(crate) messages: event::Queue<Message>,
    pub(crate) ticks: usize,
}

#[derive(Debug, Clone)]
pub(crate) struct RequestState {
    pub(crate) metadata: RequestMetadata,
    /// Index of the shard that received the request from the client.
    pub(crate) home_shard: usize,
    /// The region that the request was forwarded to, until the outcome is returned.
    pub(crate) forwarded_to: Option<RegionId>,
    /// All tickets of the request so far, with the index of the shard.
    pub(crate) tickets: Vec<(usize, Ticket)>,
}

impl<'a> Entries<'a> {
    /// Creates the entries for the policy `document`.
    pub fn new(document: &'a Document) -> Entries<'a> {
        let mut entries = Entries {
            document,
            shards: Vec::new(),
            states: vec![State::Ready; document.targets.len()],
            alive: vec![true; document.centres.len()],
            requests: Vec::new(),
            messages: event::Queue::new(),
            ticks: 0,
        };
        for (service, _) in document.services.iter() {
            for (region, _) in document.regions.iter() {
                let shard = entries.new_shard(service, region);
                entries.shards.push(shard);
            }
        }
        for shard in 0..entries.shards.len() {
            entries.shards[shard].pool = Some(entries.new_pool(shard, Instant::ZERO));
        }
        entries
    }

    pub(crate) fn request_state(&self, request: RequestId) -> Option<&RequestState> {
        self.requests.get(request.0 as usize)?.as_ref()
    }

    pub(crate) fn request_state_mut(&mut self, request: RequestId) -> Option<&mut RequestState> {
        self.requests.get_mut(request.0 as usize)?.as_mut()
    }

    /// Offers the request to the pool of `shard`.
    fn offer(
        &mut self,
        now: Instant,
        shard: usize,
        metadata: &RequestMetadata,
        deadline: Instant,
    ) -> Result<(), Reason> {
        let job = Job { flow: flow_of(metadata), deadline, idempotent: metadata.idempotent };
        let is_home =
            self.request_state(metadata.request).is_some_and(|state| state.home_shard == shard);
        let pool = self.shards[shard].pool.as_mut().ok_or(Reason::NoOwner)?;
        let ticket =
            if is_home { pool.offer(now, job)? } else { pool.offer_with_credit(now, job)? };
        self.shards[shard].tickets.insert(ticket, metadata.request);
        if let Some(state) = self.request_state_mut(metadata.request) {
            state.tickets.push((shard, ticket));
        }
        Ok(())
    }

    /// Executes the pending actions of the pool of `shard`.
    fn run_actions(&mut self, now: Instant, shard: usize, out: &mut Vec<Command>) {
        self.update_own_region_only(now, shard);
        while let Some(pool) = self.shards[shard].pool.as_mut()
            && let Some(action) = pool.next_action(now)
        {
            self.execute_action(now, shard, action, out);
        }
    }

    fn execute_action(
        &mut self,
        now: Instant,
        shard: usize,
        action: Action,
        out: &mut Vec<Command>,
    ) {
        match action {
            Action::Dispatch { ticket, attempt, target }
            | Action::Hedge { ticket, attempt, target } => {
                let Some(key) = self.attempt_key(shard, ticket, attempt) else { return };
                out.push(Command::Dispatch { key, target });
            }
            Action::Cancel { ticket, attempt, .. } => {
                let key = self.attempt_key(shard, ticket, attempt);
                out.extend(key.map(|key| Command::Cancel { key }));
            }
            Action::Refuse { ticket, reason } => {
                if let Some(&request) = self.shards[shard].tickets.get(&ticket) {
                    self.refuse(now, shard, request, reason, out);
                }
            }
            Action::Fail { ticket, .. } => {
                if let Some(&request) = self.shards[shard].tickets.get(&ticket) {
                    self.finish_request(shard, request, Outcome::Unknown, out);
                }
            }
        }
    }

    fn attempt_key(&self, shard: usize, ticket: Ticket, attempt: Attempt) -> Option<AttemptKey> {
        let request = *self.shards[shard].tickets.get(&ticket)?;
        let tickets = &self.request_state(request)?.tickets;
        let number = tickets.iter().rposition(|&entry| entry == (shard, ticket))? as u16;
        Some(AttemptKey { request, number: number * ATTEMPTS_PER_TICKET + u16::from(attempt.0) })
    }

    /// Handles the refusal of a request by the pool of `shard`: forwards it if possible, else ends it
    /// as not run.
    fn refuse(
        &mut self,
        now: Instant,
        shard: usize,
        request: RequestId,
        reason: Reason,
        out: &mut Vec<Command>,
    ) {
        let home_shard = self.request_state(request).map(|state| state.home_shard);
        let may_run_elsewhere = matches!(
            reason,
            Reason::DeadlineTooClose
                | Reason::QueueFull
                | Reason::NoTarget
                | Reason::NoOwner
                | Reason::Shed
        );
        if home_shard == Some(shard)
            && may_run_elsewhere
            && self.forward_request(now, request, None, out)
        {
            return;
        }
        self.finish_request(shard, request, Outcome::NotRun, out);
    }

    /// Sends the outcome to the client, or to the entry that forwarded the request.
    fn finish_request(
        &mut self,
        shard: usize,
        request: RequestId,
        outcome: Outcome,
        out: &mut Vec<Command>,
    ) {
        let Some(home_shard) = self.request_state(request).map(|state| state.home_shard) else {
            return;
        };
        if home_shard == shard {
            out.push(Command::Reply { request, outcome });
            return;
        }
        let owner = owner_id(self.shards[home_shard].region);
        self.shards[shard].granter.record_end(owner);
        out.push(Command::Return { request, outcome });
    }

    fn set_target(&mut self, now: Instant, target: TargetId, state: State, out: &mut Vec<Command>) {
        self.states[target.index()] = state;
        let (spec, shard) = (self.target_spec(target), self.shard_of_target(target));
        if let Some(pool) = self.shards[shard].pool.as_mut() {
            pool.set_target(now, target, spec);
            self.run_actions(now, shard, out);
        }
    }
}

fn flow_of(metadata: &RequestMetadata) -> Flow {
    Flow { member: metadata.member, kind: metadata.kind }
}

impl Strategy for Entries<'_> {
    fn paces_links(&self) -> bool {
        true
    }

    fn choose_entry(&mut self, metadata: &RequestMetadata, alive: &[bool]) -> Option<CentreId> {
        let nearest = nearest_centre(self.document, metadata.centre, alive)?;
        let shard =
            &self.shards[self.shard_index(metadata.service, self.document.region_of(nearest))];
        let has_owner = shard.pool.is_some() && alive[shard.owner.index()];
        Some(if has_owner { shard.owner } else { nearest })
    }

    fn handle_request(
        &mut self,
        now: Instant,
        centre: CentreId,
        metadata: &RequestMetadata,
        out: &mut Vec<Command>,
    ) {
        let home_shard = self.shard_index(metadata.service, self.document.region_of(centre));
        let index = metadata.request.0 as usize;
        if self.requests.len() <= index {
            self.requests.resize(index + 1, None);
        }
        self.requests[index] = Some(RequestState {
            metadata: *metadata,
            home_shard,
            forwarded_to: None,
            tickets: Vec::new(),
        });
        let shard = &mut self.shards[home_shard];
        if self.document.region_of(metadata.centre) != shard.region {
            shard.direct_until = shard.direct_until.max(metadata.deadline);
        }
        let pool = self.shards[home_shard].pool.as_mut();
        let home_wait = pool.map(|pool| pool.expected_wait(now, flow_of(metadata)));
        if home_wait.is_some() && self.forward_request(now, metadata.request, home_wait, out) {
            return;
        }
        match self.offer(now, home_shard, metadata, metadata.deadline) {
            Ok(()) => self.run_actions(now, home_shard, out),
            Err(reason) => self.refuse(now, home_shard, metadata.request, reason, out),
        }
    }

    fn handle_forwarded(
        &mut self,
        now: Instant,
        centre: CentreId,
        metadata: &RequestMetadata,
        out: &mut Vec<Command>,
    ) {
        let region = self.document.region_of(centre);
        let shard = self.shard_index(metadata.service, region);
        let Some(home_shard) = self.request_state(metadata.request).map(|state| state.home_shard)
        else {
            return;
        };
        let home_region = self.shards[home_shard].region;
        self.shards[shard].granter.record_start(owner_id(home_region));
        let return_delay = self.link_delay(region, home_region).unwrap_or(Span::ZERO);
        match self.offer(now, shard, metadata, metadata.deadline - return_delay) {
            Ok(()) => self.run_actions(now, shard, out),
            Err(_) => self.finish_request(shard, metadata.request, Outcome::NotRun, out),
        }
    }

    fn handle_returned(
        &mut self,
        _now: Instant,
        metadata: &RequestMetadata,
        outcome: Outcome,
        out: &mut Vec<Command>,
    ) {
        let request = metadata.request;
        let Some(state) = self.request_state_mut(request) else { return };
        let home_shard = state.home_shard;
        if let Some(region) = state.forwarded_to.take() {
            self.shards[home_shard].balances[region.index()].record_end();
        }
        out.push(Command::Reply { request, outcome });
    }

    fn handle_report(
        &mut self,
        now: Instant,
        key: AttemptKey,
        _target: TargetId,
        report: Report,
        out: &mut Vec<Command>,
    ) {
        let Some(state) = self.request_state(key.request) else { return };
        let (shard, ticket) = state.tickets[usize::from(key.number / ATTEMPTS_PER_TICKET)];
        let attempt = Attempt((key.number % ATTEMPTS_PER_TICKET) as u8);
        let Some(pool) = self.shards[shard].pool.as_mut() else { return };
        if pool.report(now, ticket, attempt, report) == Verdict::Settled {
            self.finish_request(shard, key.request, Outcome::Answered, out);
        }
        self.run_actions(now, shard, out);
    }

    fn handle_load(
        &mut self,
        now: Instant,
        target: TargetId,
        load: LoadReport,
        out: &mut Vec<Command>,
    ) {
        let shard = self.shard_of_target(target);
        if let Some(pool) = self.shards[shard].pool.as_mut() {
            pool.record_load(now, target, Load { busy: load.busy, queued: load.queued });
        }
        if load.is_leaving && self.states[target.index()] == State::Ready {
            self.set_target(now, target, State::Leaving, out);
        } else {
            self.run_actions(now, shard, out);
        }
    }

    fn handle_state(
        &mut self,
        now: Instant,
        target: TargetId,
        state: State,
        out: &mut Vec<Command>,
    ) {
        self.set_target(now, target, state, out);
    }

    fn handle_failure(&mut self, now: Instant, centre: CentreId) {
        self.alive[centre.index()] = false;
        for shard in self.shards.iter_mut().filter(|shard| shard.owner == centre) {
            shard.pool = None;
            shard.takeover_at = Some(now + TAKEOVER_DELAY);
            shard.tickets.clear();
            shard.granter = Granter::new();
            shard.balances.fill(credit::Balance::new());
        }
    }

    fn handle_recovery(&mut self, now: Instant, centre: CentreId) {
        self.alive[centre.index()] = true;
        let region = self.document.region_of(centre);
        let shards = self.shards.iter_mut();
        for shard in shards.filter(|shard| shard.region == region && shard.pool.is_none()) {
            shard.takeover_at.get_or_insert(now + TAKEOVER_DELAY);
        }
    }

    fn tick(&mut self, now: Instant, links: &Links, _out: &mut Vec<Command>) {
        self.ticks += 1;
        for shard in 0..self.shards.len() {
            self.request_credit(now, shard);
            self.update_backlogs(now, shard, links);
        }
    }

    fn wake(&mut self, now: Instant, out: &mut Vec<Command>) {
        self.handle_messages(now);
        self.take_over(now);
        for shard in 0..self.shards.len() {
            let wake_at = self.shards[shard].pool.as_ref().and_then(Pool::wake_at);
            if wake_at.is_some_and(|at| at <= now) {
                self.run_actions(now, shard, out);
            }
        }
    }

    fn wake_at(&self) -> Option<Instant> {
        let pools = self.shards.iter().filter_map(|shard| shard.pool.as_ref()?.wake_at());
        let takeovers = self.shards.iter().filter_map(|shard| shard.takeover_at);
        pools.chain(takeovers).chain(self.messages.next_at()).min()
    }
}
