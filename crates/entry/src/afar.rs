//! Work for and from other regions, against credit.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use ebonypass_core::credit::{
    self, CREDIT_LIFETIME, Credit, Destination, Granter, RemoteRegion, choose_destination,
};
use ebonypass_core::id::{RegionId, ServiceId};
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

/// Time between two questions for credit: a lost one must not cost the whole lifetime.
const ASK_INTERVAL: Duration = Duration::from_millis(400);

/// How long credit is asked for after it was last wanted.
const WANT_TIME: Span = Span::from_secs(5);

/// Concurrent requests that are asked for at one pool.
const ASK_COUNT: u32 = 64;

/// Time between two readings of the plan.
const PLAN_INTERVAL: Duration = Duration::from_secs(2);

/// Ways between regions that a request's deadline has to leave time for: there, back, and as much
/// again for the work.
const WAYS: u64 = 4;

/// What an entry has granted to and got from other regions.
#[derive(Default)]
pub(crate) struct Afar {
    accounts: Mutex<Vec<Account>>,
    granters: Mutex<HashMap<String, Granter>>,
    plan: Mutex<(Fence, Plan)>,
}

/// Credit at one pool of another region, under names since keys change with the document.
#[derive(Debug)]
struct Account {
    service: String,
    region: String,
    wallet: credit::Balance,
    wanted_until: Instant,
}

/// The account of `service` in `region`, made at its first use.
fn account<'a>(accounts: &'a mut Vec<Account>, service: &str, region: &str) -> &'a mut Account {
    let is_it = |account: &Account| account.service == service && account.region == region;
    let index = accounts.iter().position(is_it).unwrap_or(accounts.len());
    if index == accounts.len() {
        accounts.push(Account {
            service: service.to_owned(),
            region: region.to_owned(),
            wallet: credit::Balance::new(),
            wanted_until: Instant::ZERO,
        });
    }
    &mut accounts[index]
}

/// A request that looks for a place.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Search {
    pub(crate) service: ServiceId,
    /// The region of the clients and of this entry.
    pub(crate) home: RegionId,
    pub(crate) deadline: Instant,
    /// The expected wait in the home region; none if it cannot answer in time.
    pub(crate) home_wait: Option<Span>,
}

impl Afar {
    /// The place of a request. Credit for a remote place is taken. `is_open` tells whether anything
    /// may be sent to a region.
    pub(crate) fn choose(
        &self,
        now: Instant,
        view: &View,
        search: Search,
        is_open: impl Fn(&str) -> bool,
    ) -> Destination {
        let document = &view.document;
        let service = document.services[search.service].name.as_str();
        let home = document.regions[search.home].name.as_str();
        let left = search.deadline.since(now);
        let mut accounts = lock(&self.accounts);
        let plan = lock(&self.plan);
        let mut remotes: Vec<RemoteRegion> = Vec::new();
        for link in document.links.iter().filter(|link| link.from == search.home) {
            let region = document.regions[link.to].name.as_str();
            let percent = percent(&plan.1, service, home, region);
            let account = account(&mut accounts, service, region);
            let round_trip = link.delay.times(2);
            // Credit takes a round trip to come, so it is asked for when a wait first shows.
            if percent > 0 || search.home_wait.is_none_or(|wait| wait > Span::ZERO) {
                account.wanted_until = now + WANT_TIME;
            }
            let is_in_time = left >= link.delay.times(WAYS) && is_open(region);
            let available = account.wallet.available(now);
            remotes.push(RemoteRegion {
                region: link.to,
                percent,
                available,
                is_in_time,
                round_trip,
            });
        }
        let place = choose_destination(fastrand::u32(..100), search.home_wait, &remotes);
        if let Destination::Remote(region) = place {
            let region = &document.regions[region].name;
            if !account(&mut accounts, service, region).wallet.try_start(now) {
                return Destination::Refused;
            }
        }
        place
    }

    /// Whether another region has credit or requests at the own pool of `service`.
    pub(crate) fn is_lending(&self, now: Instant, service: &str) -> bool {
        lock(&self.granters).get(service).is_some_and(|granter| granter.has_outstanding(now))
    }

    /// Takes in that a request at another region has ended.
    pub(crate) fn put(&self, service: &str, region: &str) {
        account(&mut lock(&self.accounts), service, region).wallet.end();
    }

    /// Takes in a plan. One of an older steward is refused.
    pub(crate) fn note_plan(&self, plan: Plan) {
        let mut known = lock(&self.plan);
        if known.0.admit(plan.epoch) {
            known.1 = plan;
        }
    }

    /// The highest epoch of a steward that was seen.
    pub(crate) fn epoch(&self) -> u64 {
        lock(&self.plan).0.epoch()
    }
}

fn percent(plan: &Plan, service: &str, from: &str, to: &str) -> u32 {
    let steps = plan.steps.iter();
    let step = steps.filter(|step| step.service == service && step.from == from && step.to == to);
    step.map(|step| step.percent).sum()
}

/// Asks for credit where it is wanted.
pub(crate) async fn ask<S: Store, T: Target>(entry: Arc<Entry<S, T>>) {
    loop {
        ask_once(&entry);
        Timer::after(ASK_INTERVAL).await;
    }
}

fn ask_once<S: Store, T: Target>(entry: &Entry<S, T>) {
    let Ok(view) = entry.view() else { return };
    let now = clock::now();
    let members = lock(&entry.members);
    for account in lock(&entry.afar.accounts).iter_mut() {
        let service = view.document.service(&account.service);
        let region = view.document.region(&account.region);
        let (Some(service), Some(region)) = (service, region) else { continue };
        let owner = members.roster.owner(now, view.pool(service, region));
        let link = owner.and_then(|owner| members.link_of(owner));
        if let Some(link) = link.filter(|_| now < account.wanted_until) {
            let round = account.wallet.request(now);
            let service = account.service.clone();
            link.send(Frame::Need(credit::Request { round, service, count: ASK_COUNT }));
        }
    }
}

/// Answers a question for credit out of the own pool, if this entry owns it.
pub(crate) fn grant<S: Store, T: Target>(
    entry: &Entry<S, T>,
    from: &Process,
    need: &credit::Request,
) -> Option<Credit> {
    let view = entry.view().ok()?;
    let region = view.region_of(&entry.settings.data_centre)?;
    let service = view.document.service(&need.service)?;
    let now = clock::now();
    let members = lock(&entry.members);
    if !members.is_owner(now, view.pool(service, region)) {
        return None;
    }
    let to = members.roster.entry(&from.name)?;
    drop(members);
    let driver = entry.pool(&need.service);
    let free = driver.free_slots();
    let mut granters = lock(&entry.afar.granters);
    let granter = granters.entry(need.service.clone()).or_default();
    let count = granter.grant(now, to, need.count, free);
    if count > 0 {
        driver.set_shared(true);
    }
    let region = view.document.regions[region].name.clone();
    Some(Credit {
        round: need.round,
        service: need.service.clone(),
        region,
        count,
        lifetime: CREDIT_LIFETIME,
    })
}

/// Takes in the answer to a question for credit.
pub(crate) fn note_credit<S: Store, T: Target>(entry: &Entry<S, T>, credit: &Credit) {
    let mut accounts = lock(&entry.afar.accounts);
    let is_it = |account: &&mut Account| {
        account.service == credit.service && account.region == credit.region
    };
    if let Some(account) = accounts.iter_mut().find(is_it) {
        account.wallet.handle_credit(credit.round, credit.count, credit.lifetime);
    }
}

/// A request that another region runs here against credit. Its end is told when it is dropped.
pub(crate) struct Visit<'a, S, T: Target> {
    entry: &'a Entry<S, T>,
    service: String,
    from: ebonypass_core::id::EntryId,
}

impl<'a, S: Store, T: Target> Visit<'a, S, T> {
    /// Takes in that a request of `from` has started.
    pub(crate) fn new(entry: &'a Entry<S, T>, from: &Process, service: &str) -> Option<Self> {
        let from = lock(&entry.members).roster.entry(&from.name)?;
        let mut granters = lock(&entry.afar.granters);
        granters.entry(service.to_owned()).or_default().start(from);
        Some(Visit { entry, service: service.to_owned(), from })
    }
}

impl<S, T: Target> Drop for Visit<'_, S, T> {
    fn drop(&mut self) {
        if let Some(granter) = lock(&self.entry.afar.granters).get_mut(&self.service) {
            granter.end(self.from);
        }
    }
}

/// Follows the plan of the steward, if the policy has shifts or a plan was seen.
pub(crate) async fn follow_plan<S: Store, T: Target>(entry: Arc<Entry<S, T>>) {
    loop {
        let has_shifts = entry.view().is_ok_and(|view| !view.document.shifts.is_empty());
        if (has_shifts || entry.afar.epoch() > 0)
            && let ReadReply::Found(held) = read_object::<Plan>(&entry.store, PLAN_KEY).await
        {
            entry.afar.note_plan(held.value);
        }
        Timer::after(PLAN_INTERVAL).await;
    }
}
