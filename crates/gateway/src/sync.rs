//! Keeps the local copy of the store's objects current, and applies changes to the gateway's state.

mod apply;
mod era;

use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ebonypass_core::era::{Era, Stamp};
use ebonypass_core::relay::{self, Contact, Fault, Selector, Step};
use ebonypass_core::time::{Instant, Span};
use ebonypass_node::clock;
use ebonypass_node::event::Event;
use ebonypass_platform::object::{self, Kind, Object};
use hyper::Method;
use serde_json::json;

use crate::gateway::Gateway;
use crate::metric::CallLabels;
use crate::mirror::Mirror;
use crate::replication::{Poller, fault, next_step};
use crate::store::{Client, Error};

pub use era::Hold;

/// Timeout of a list call.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a watch call waits for changes. With the margin below it bounds the time to detect an
/// unresponsive store, so that peers that poll this machine can still call the store before a
/// leaving target must get no more requests (2.5 s).
const WATCH_WAIT_MS: u64 = 1_100;
/// Time allowed for the reply to a watch call beyond its wait.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_millis(350);
/// A watch whose connection is closed after it has waited this long has been cut off by the store.
const MIN_CUT_WATCH: Span = Span::from_millis(200);
/// Delay before the next watch after changes of targets, so that changes close together cost one
/// call. Far below the 2.5 s after which a leaving target must get no more requests.
const BATCH_DELAY: Span = Span::from_millis(250);
/// Time between two checks for a machine to poll.
const POLL_INTERVAL: Span = Span::from_millis(100);
/// A list whose pages are of different eras is read again, this often in one call.
const MAX_LIST_STARTS: usize = 3;
/// Delay before a full list is read because the store no longer has the history.
const RELIST_DELAY: Span = Span::from_millis(20);

/// Synchronizes the objects of one kind, for the lifetime of the process.
pub struct Synchronizer {
    gateway: Rc<Gateway>,
    client: Client,
    poller: Poller,
    kind: Kind,
    selector: Selector,
    /// Time of the last failed store call.
    failed_at: Instant,
    /// Whether the last watch was cut off, so that the next one is not to wait.
    was_cut: bool,
    /// The source of the last update: a machine, or the store.
    source: Option<Source>,
}

/// Where an update came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The store.
    Store,
    /// The machine at this address.
    Peer(IpAddr),
}

impl Source {
    fn name(self) -> String {
        match self {
            Source::Store => "store".to_owned(),
            Source::Peer(address) => address.to_string(),
        }
    }

    const fn label(self) -> &'static str {
        match self {
            Source::Store => "store",
            Source::Peer(_) => "machine",
        }
    }
}

impl Synchronizer {
    /// Creates a synchronizer for `kind`.
    pub fn new(gateway: &Rc<Gateway>, kind: Kind) -> Synchronizer {
        let client = Client::new(gateway.executor.clone(), gateway.settings.store.address);
        let is_first_start = gateway.settings.is_first_start;
        let delay = if is_first_start { relay::FIRST_START_DELAY } else { relay::START_DELAY };
        Synchronizer {
            gateway: gateway.clone(),
            client,
            poller: Poller::new(kind),
            kind,
            selector: Selector::new(clock::now(), delay),
            failed_at: Instant::ZERO,
            was_cut: false,
            source: None,
        }
    }

    /// Polls other machines or calls the store, as the selector says.
    pub async fn run(mut self) {
        loop {
            if self.gateway.store_contact.get().answered_at() > self.failed_at {
                self.failed_at = Instant::MAX;
                self.selector.end_pause(clock::now());
            }
            match next_step(&self.gateway, &mut self.selector) {
                Step::CallStore => self.sync_with_store().await,
                Step::Poll(address) => self.poll_peer(address).await,
                Step::Wait => {
                    self.gateway.set_stale(self.kind);
                    clock::sleep(POLL_INTERVAL).await;
                }
            }
        }
    }

    /// Calls the store once.
    async fn sync_with_store(&mut self) {
        // The changes since a revision of another era are unknown: its number is assigned again.
        let is_known = self.gateway.known_stamp(self.kind).revision > 0;
        let start = clock::now();
        let mut result = if is_known { self.watch().await } else { self.list().await };
        if let Err(Error::HistoryGone) = result {
            self.gateway.log.record(Event::HistoryExpired, json!({ "kind": self.kind.label() }));
            clock::sleep(RELIST_DELAY).await;
            result = self.list().await;
        }
        match result {
            // A waiting watch may be cut off. Whether the store still answers shows at the next call.
            Err(Error::Closed(_)) if clock::now().since(start) >= MIN_CUT_WATCH => {
                self.was_cut = true;
            }
            Ok(()) => {
                self.selector.record_call();
                self.record_source(Source::Store, 0);
            }
            Err(error) => {
                self.record_failure(&error);
                self.failed_at = clock::now();
                let machines = self.gateway.live_machines_in_region();
                self.selector.record_failed_call(self.failed_at, machines, fastrand::f64());
            }
        }
    }

    async fn poll_peer(&mut self, address: IpAddr) {
        let result = self.poller.poll(&self.gateway, address).await;
        let now = clock::now();
        match result {
            Ok(origin) if self.selector.record_answer(now, address, origin.hops) => {
                self.gateway.set_current(self.kind, now, origin.age, origin.hops + 1);
                self.record_source(Source::Peer(address), origin.hops);
            }
            Ok(_) => {
                self.gateway.set_stale(self.kind);
            }
            Err(error) => {
                let fault = fault(&error);
                if fault != Fault::Empty {
                    let fields = json!({ "kind": self.kind.label(), "peer": address.to_string(), "error": error.to_string() });
                    self.gateway.log.record(Event::PeerUnresponsive, fields);
                }
                self.selector.record_fault(now, address, fault);
                self.gateway.set_stale(self.kind);
            }
        }
    }

    /// Logs a change of the source, which has `hops` machines between it and the store.
    fn record_source(&mut self, source: Source, hops: u8) {
        if self.source.replace(source) == Some(source) {
            return;
        }
        let revision = self.gateway.revision(self.kind);
        let fields = json!({ "kind": self.kind.label(), "source": source.name(), "hops": hops, "revision": revision });
        self.gateway.log.record(Event::SourceChanged, fields);
    }

    /// Calls the store and returns the era and the body of its reply.
    async fn get(&mut self, path: &str, timeout: Duration) -> Result<(Era, Bytes), Error> {
        let reply = self.client.call(Method::GET, path, Vec::new(), timeout).await;
        let result = self.gateway.check_reply(reply);
        let label = match &result {
            Ok(_) => "ok",
            Err(Error::NoReply(_)) => "silent",
            Err(Error::Closed(_)) => "closed",
            Err(Error::Refused(_)) => "refused",
            Err(Error::HistoryGone) => "gone",
            Err(Error::Conflict) => "conflict",
            Err(Error::Outdated(_)) => "outdated",
        };
        let labels = CallLabels { kind: self.kind.label(), result: label };
        self.gateway.metrics.store_calls.get_or_create(&labels).inc();
        result.map(|(era, response)| (era, response.into_body()))
    }

    async fn list(&mut self) -> Result<(), Error> {
        let start = clock::now();
        let mut objects = BTreeMap::new();
        let mut after = None;
        // Objects of the first page may change while the others are read. The watch continues from
        // the oldest page, so that it reports these changes.
        let mut revision = u64::MAX;
        let mut era = None;
        let mut starts = 1;
        let era = loop {
            let path = object::list_path(self.kind, after.as_deref());
            let (page_era, bytes) = self.get(&path, LIST_TIMEOUT).await?;
            if *era.get_or_insert(page_era) != page_era {
                if starts == MAX_LIST_STARTS {
                    return Err(Error::NoReply(
                        "the era changes while the list is read".to_owned(),
                    ));
                }
                // The pages read so far are of a state that the store has lost.
                starts += 1;
                objects.clear();
                (after, revision, era) = (None, u64::MAX, None);
                continue;
            }
            let page = object::scan_page(&bytes)
                .ok_or_else(|| Error::NoReply("cannot decode the list".to_owned()))?;
            self.gateway.record_unnamed(self.kind, page.unnamed);
            objects.extend(
                page.objects.into_iter().map(|object| (object.metadata.name.clone(), object)),
            );
            revision = revision.min(page.revision);
            match page.after {
                Some(name) => after = Some(name),
                None => break page_era,
            }
        };
        self.gateway.replace_objects(self.kind, objects, Stamp::new(era, revision))?;
        self.record_success(clock::now().since(start));
        Ok(())
    }

    /// Makes one watch call and applies its changes.
    async fn watch(&mut self) -> Result<(), Error> {
        let revision = self.gateway.revision(self.kind);
        // A copy that may not be current is confirmed at once.
        let is_uncertain = std::mem::take(&mut self.was_cut) || self.gateway.is_stale(self.kind);
        let wait_ms = if is_uncertain { 0 } else { WATCH_WAIT_MS };
        let path = object::watch_path(self.kind, revision, wait_ms);
        let timeout = Duration::from_millis(WATCH_WAIT_MS) + WATCH_TIMEOUT_MARGIN;
        let (era, bytes) = self.get(&path, timeout).await?;
        if !self.gateway.is_of_era(self.kind, era) {
            return Err(Error::HistoryGone);
        }
        let changes = object::scan_changes(&bytes)
            .ok_or_else(|| Error::NoReply("cannot decode the changes".to_owned()))?;
        self.gateway.record_unnamed(self.kind, changes.unnamed);
        let has_changes = !changes.events.is_empty();
        let stamp = Stamp::new(era, changes.revision);
        self.gateway.apply_changes(self.kind, changes.events, stamp)?;
        self.record_success(Span::ZERO);
        if has_changes && self.kind == Kind::Target {
            clock::sleep(BATCH_DELAY).await;
        }
        Ok(())
    }

    fn update_contacts(&self, update: impl Fn(&mut Contact)) {
        let contacts = [&self.gateway.store_contact, &self.gateway.target_contact];
        // Calls for other objects say nothing of how long entries of targets could be renewed.
        let count = if self.kind == Kind::Target { 2 } else { 1 };
        for cell in &contacts[..count] {
            let mut contact = cell.get();
            update(&mut contact);
            cell.set(contact);
        }
    }

    fn record_failure(&self, error: &Error) {
        self.update_contacts(Contact::record_failure);
        if self.gateway.set_stale(self.kind) {
            let fields = json!({ "kind": self.kind.label(), "error": error.to_string() });
            self.gateway.log.record(Event::StoreUnreachable, fields);
        }
    }

    /// Records an answer of the store after which the copy was current `age` ago.
    fn record_success(&self, age: Span) {
        let now = clock::now();
        self.update_contacts(|contact| contact.record_answer(now));
        if self.gateway.set_current(self.kind, now, age, 0) {
            self.gateway.log.record(Event::StoreReachable, json!({ "kind": self.kind.label() }));
        }
    }
}

impl Gateway {
    /// The store revision that the copy of `kind` reflects; 0 before the first list.
    pub fn revision(&self, kind: Kind) -> u64 {
        self.state().mirrors.get(&kind).map_or(0, Mirror::revision)
    }

    /// Records that the copy of `kind` was current `age` ago, by a source with `hops` machines
    /// between this one and the store. Returns whether the source had been lost before.
    fn set_current(&self, kind: Kind, now: Instant, age: Span, hops: u8) -> bool {
        let at = Instant::from_micros(now.as_micros().saturating_sub(age.as_micros()));
        self.state().mirrors.entry(kind).or_default().set_current(at, hops)
    }

    /// Whether the source of the copy of `kind` was lost.
    pub fn is_stale(&self, kind: Kind) -> bool {
        self.state().mirrors.get(&kind).is_some_and(Mirror::is_stale)
    }

    /// Records that the source of the copy of `kind` was lost. Returns whether there was one.
    fn set_stale(&self, kind: Kind) -> bool {
        let had_source = self.state().mirrors.entry(kind).or_default().set_stale(clock::now());
        if had_source {
            // Wakes polls of peers, which end when the copy expires.
            self.mirror_changed.notify(usize::MAX);
        }
        had_source
    }

    /// Logs objects of the store that are left out because not even their name can be read.
    fn record_unnamed(&self, kind: Kind, count: usize) {
        if count > 0 {
            let fields = json!({ "kind": kind.label(), "unnamed": count });
            self.log.record(Event::ObjectMalformed, fields);
        }
    }

    /// The number of live machines of this region, this one included.
    fn live_machines_in_region(&self) -> usize {
        let state = self.state();
        let region = Some(&self.settings.region);
        let peers = state.membership.live_peers(clock::now());
        peers.filter(|peer| self.settings.regions.get(&peer.centre) == region).count() + 1
    }

    /// Replaces all objects of `kind`, unless the list is older than the copy.
    ///
    /// Errors: the list is of another era than the one that this machine follows.
    pub fn replace_objects(
        &self,
        kind: Kind,
        objects: BTreeMap<String, Object>,
        stamp: Stamp,
    ) -> Result<(), Error> {
        let (difference, is_restored) = {
            let mut state = self.state();
            let era = state.era.era();
            let mirror = state.mirrors.entry(kind).or_default();
            if stamp.era != era {
                return Err(Error::Outdated(stamp.era));
            }
            let is_restored = mirror.is_other_era(stamp);
            if !is_restored && stamp.revision < mirror.revision() {
                return Ok(());
            }
            (mirror.replace(stamp, objects), is_restored)
        };
        if is_restored {
            self.apply_restored(kind, &difference);
        } else if kind == Kind::Target && self.has_seen_restore() {
            self.apply_restored_targets(&difference);
            self.apply(kind, &[], &difference.removed);
        } else {
            self.apply(kind, &difference.changed, &difference.removed);
        }
        self.mirror_changed.notify(usize::MAX);
        Ok(())
    }

    /// Applies changes of `kind`, unless they are older than the copy.
    ///
    /// Errors: the changes are of another era than the copy or the one that this machine follows.
    pub fn apply_changes(
        &self,
        kind: Kind,
        events: Vec<(Object, bool)>,
        stamp: Stamp,
    ) -> Result<(), Error> {
        let events: Vec<(Rc<Object>, bool)> =
            events.into_iter().map(|(object, is_deleted)| (Rc::new(object), is_deleted)).collect();
        {
            let mut state = self.state();
            let era = state.era.era();
            let mirror = state.mirrors.entry(kind).or_default();
            if stamp.era != era || mirror.is_other_era(stamp) {
                return Err(Error::Outdated(stamp.era));
            }
            if stamp.revision < mirror.revision() {
                return Ok(());
            }
            mirror.apply(stamp.revision, events.iter().cloned());
        }
        // The last change of each object counts.
        let last: HashMap<&str, &(Rc<Object>, bool)> =
            events.iter().map(|event| (event.0.metadata.name.as_str(), event)).collect();
        let (mut changed, mut removed) = (Vec::new(), Vec::new());
        for (object, is_deleted) in last.into_values() {
            (if *is_deleted { &mut removed } else { &mut changed }).push(object.clone());
        }
        if !changed.is_empty() || !removed.is_empty() {
            self.apply(kind, &changed, &removed);
            self.mirror_changed.notify(usize::MAX);
        }
        Ok(())
    }
}
