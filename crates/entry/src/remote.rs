//! Requests to and from other regions, against credit.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ebonypass_core::credit::{
    self, CREDIT_LIFETIME, Credit, Destination, Granter, RemoteRegion, choose_destination,
};
use ebonypass_core::id::{EntryId, RegionId, ServiceId};
use ebonypass_core::lease::Fence;
use ebonypass_core::object::ReadReply;
use ebonypass_core::roster::Process;
use ebonypass_core::shift::Plan;
use ebonypass_core::time::{Instant, Span};
use ebonypass_node::clock;
use ebonypass_node::store::{PLAN_KEY, Store};
use ebonypass_node::sync::lock;
use ebonypass_node::target::Target;
use ebonypass_node::wire::Frame;
use smol::Timer;

use crate::seats::read_object;
use crate::state::Entry;
use crate::view::View;

/// Time between credit requests: a lost one must not cost the whole credit lifetime.
const CREDIT_REQUEST_INTERVAL: Duration = Duration::from_millis(400);

/// How long credit is requested after it was last needed.
const CREDIT_DEMAND_TIMEOUT: Span = Span::from_secs(5);

/// Concurrent requests for which credit is requested at one pool.
const REQUESTED_CREDIT: u32 = 64;

/// Time between reads of the shift plan.
const PLAN_READ_INTERVAL: Duration = Duration::from_secs(2);

/// A request leaves its region only if its deadline allows this many one-way link delays: one
/// there, one back, and two for the work.
const MIN_LINK_DELAYS: u64 = 4;

/// The credit that this entry has received from and granted to other regions, and the shift plan.
#[derive(Default)]
pub(crate) struct Ledger {
    accounts: Mutex<Vec<Account>>,
    granters: Mutex<HashMap<String, Granter>>,
    plan: Mutex<(Fence, Plan)>,
}

/// Credit at one pool of another region. Uses names, since ids change with the policy document.
#[derive(Debug)]
struct Account {
    service: String,
    region: String,
    balance: credit::Balance,
    needed_until: Instant,
}

/// The account of `service` in `region`, created at its first use.
fn account<'a>(accounts: &'a mut Vec<Account>, service: &str, region: &str) -> &'a mut Account {
    let is_match = |account: &Account| account.service == service && account.region == region;
    let index = accounts.iter().position(is_match).unwrap_or(accounts.len());
    if index == accounts.len() {
        accounts.push(Account {
            service: service.to_owned(),
            region: region.to_owned(),
            balance: credit::Balance::new(),
            needed_until: Instant::ZERO,
        });
    }
    &mut accounts[index]
}

/// A request for which a destination is chosen.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Query {
    pub(crate) service: ServiceId,
    /// The region of the clients and of this entry.
    pub(crate) home: RegionId,
    pub(crate) deadline: Instant,
    /// The expected wait in the home region; none if it cannot reply in time.
    pub(crate) home_wait: Option<Span>,
}

impl Ledger {
    /// Chooses the destination of a request, and takes credit if it is remote. `can_send_to` tells
    /// whether the link to a region may be used.
    pub(crate) fn choose(
        &self,
        now: Instant,
        view: &View,
        query: Query,
        can_send_to: impl Fn(&str) -> bool,
    ) -> Destination {
        let document = &view.document;
        let service = document.services[query.service].name.as_str();
        let home = document.regions[query.home].name.as_str();
        let time_left = query.deadline.since(now);
        let mut accounts = lock(&self.accounts);
        let plan = lock(&self.plan);
        let mut remotes: Vec<RemoteRegion> = Vec::new();
        for link in document.links.iter().filter(|link| link.from == query.home) {
            let region = document.regions[link.to].name.as_str();
            let percent = planned_percent(&plan.1, service, home, region);
            let account = account(&mut accounts, service, region);
            let round_trip = link.delay.times(2);
            // Credit takes a round trip to arrive, so it is requested as soon as there is a wait.
            if percent > 0 || query.home_wait.is_none_or(|wait| wait > Span::ZERO) {
                account.needed_until = now + CREDIT_DEMAND_TIMEOUT;
            }
            let is_in_time = time_left >= link.delay.times(MIN_LINK_DELAYS) && can_send_to(region);
            let available = account.balance.available(now);
            remotes.push(RemoteRegion {
                region: link.to,
                percent,
                available,
                is_in_time,
                round_trip,
            });
        }
        let destination = choose_destination(fastrand::u32(..100), query.home_wait, &remotes);
        if let Destination::Remote(region) = destination {
            let region = &document.regions[region].name;
            if !account(&mut accounts, service, region).balance.try_start(now) {
                return Destination::Refused;
            }
        }
        destination
    }

    /// Whether another region has credit or requests in flight at the local pool of `service`.
    pub(crate) fn has_outstanding_credit(&self, now: Instant, service: &str) -> bool {
        lock(&self.granters).get(service).is_some_and(|granter| granter.has_outstanding(now))
    }

    /// Records that a request in another region has ended.
    pub(crate) fn end_request(&self, service: &str, region: &str) {
        account(&mut lock(&self.accounts), service, region).balance.record_end();
    }

    /// Updates the plan. One with an older steward's epoch is rejected (fencing).
    pub(crate) fn accept_plan(&self, plan: Plan) {
        let mut current = lock(&self.plan);
        if current.0.accept(plan.epoch) {
            current.1 = plan;
        }
    }

    /// The highest steward epoch seen.
    pub(crate) fn epoch(&self) -> u64 {
        lock(&self.plan).0.epoch()
    }
}

fn planned_percent(plan: &Plan, service: &str, from: &str, to: &str) -> u32 {
    let steps = plan.steps.iter();
    let step = steps.filter(|step| step.service == service && step.from == from && step.to == to);
    step.map(|step| step.percent).sum()
}

/// Requests credit where it is needed.
pub(crate) async fn request_credit<S: Store, T: Target>(entry: Arc<Entry<S, T>>) {
    loop {
        send_credit_requests(&entry);
        Timer::after(CREDIT_REQUEST_INTERVAL).await;
    }
}

fn send_credit_requests<S: Store, T: Target>(entry: &Entry<S, T>) {
    let Ok(view) = entry.view() else { return };
    let now = clock::now();
    let peers = lock(&entry.peers);
    for account in lock(&entry.ledger.accounts).iter_mut() {
        let service = view.document.service(&account.service);
        let region = view.document.region(&account.region);
        let (Some(service), Some(region)) = (service, region) else { continue };
        let owner = peers.roster.owner(now, view.pool_key(service, region));
        let link = owner.and_then(|owner| peers.link_of(owner));
        if let Some(link) = link.filter(|_| now < account.needed_until) {
            let round = account.balance.request(now);
            let service = account.service.clone();
            link.send(Frame::CreditRequest(credit::Request {
                round,
                service,
                count: REQUESTED_CREDIT,
            }));
        }
    }
}

/// Grants a credit request from the local pool, if this entry owns it.
pub(crate) fn grant_credit<S: Store, T: Target>(
    entry: &Entry<S, T>,
    from: &Process,
    request: &credit::Request,
) -> Option<Credit> {
    let view = entry.view().ok()?;
    let region = view.region_of(&entry.settings.data_centre)?;
    let service = view.document.service(&request.service)?;
    let now = clock::now();
    let peers = lock(&entry.peers);
    if !peers.is_owner(now, view.pool_key(service, region)) {
        return None;
    }
    let requester = peers.roster.entry(&from.name)?;
    drop(peers);
    let driver = entry.pool(&request.service);
    let free = driver.free_slots();
    let mut granters = lock(&entry.ledger.granters);
    let granter = granters.entry(request.service.clone()).or_default();
    let count = granter.grant(now, requester, request.count, free);
    if count > 0 {
        driver.set_shared(true);
    }
    let region = view.document.regions[region].name.clone();
    Some(Credit {
        round: request.round,
        service: request.service.clone(),
        region,
        count,
        lifetime: CREDIT_LIFETIME,
    })
}

/// Handles the reply to a credit request.
pub(crate) fn handle_credit<S: Store, T: Target>(entry: &Entry<S, T>, credit: &Credit) {
    let mut accounts = lock(&entry.ledger.accounts);
    let is_match = |account: &&mut Account| {
        account.service == credit.service && account.region == credit.region
    };
    if let Some(account) = accounts.iter_mut().find(is_match) {
        account.balance.handle_credit(credit.round, credit.count, credit.lifetime);
    }
}

/// Counts a request that another region runs here against credit as running until dropped.
pub(crate) struct Inbound<'a, S, T: Target> {
    entry: &'a Entry<S, T>,
    service: String,
    from: EntryId,
}

impl<'a, S: Store, T: Target> Inbound<'a, S, T> {
    /// Records that a request of `from` has started.
    pub(crate) fn new(entry: &'a Entry<S, T>, from: &Process, service: &str) -> Option<Self> {
        let from = lock(&entry.peers).roster.entry(&from.name)?;
        let mut granters = lock(&entry.ledger.granters);
        granters.entry(service.to_owned()).or_default().record_start(from);
        Some(Inbound { entry, service: service.to_owned(), from })
    }
}

impl<S, T: Target> Drop for Inbound<'_, S, T> {
    fn drop(&mut self) {
        if let Some(granter) = lock(&self.entry.ledger.granters).get_mut(&self.service) {
            granter.record_end(self.from);
        }
    }
}

/// Reads the steward's plan regularly, if the policy has shifts or a plan was seen.
pub(crate) async fn follow_plan<S: Store, T: Target>(entry: Arc<Entry<S, T>>) {
    loop {
        let has_shifts = entry.view().is_ok_and(|view| !view.document.shifts.is_empty());
        if (has_shifts || entry.ledger.epoch() > 0)
            && let ReadReply::Found(plan) = read_object::<Plan>(&entry.store, PLAN_KEY).await
        {
            entry.ledger.accept_plan(plan.value);
        }
        Timer::after(PLAN_READ_INTERVAL).await;
    }
}
