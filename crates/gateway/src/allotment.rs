//! Quotas of tenants: connects the decisions of `core::allotment` with requests and datagrams.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use ebonypass_core::allotment::{
    Allotment, Limit, MAX_WAIT, Member, Message, POLL_INTERVAL, REPLY_BYTE, REQUEST_BYTE, Verdict,
    tenant_hash,
};
use ebonypass_core::time::{Instant, Span};
use ebonypass_node::clock;
use ebonypass_node::event::Event;
use event_listener::Event as Signal;
use futures_lite::future;
use serde_json::{Map, Value, json};

use crate::gateway::Gateway;
use crate::gossip::Gossip;
use crate::metric::QuotaLabels;
use crate::settings::Settings;

/// Tenants with a metric label of their own.
const MAX_LABELS: usize = 200;
/// The label of all others.
const OTHER_LABEL: &str = "other";
/// Time between two log lines about rejected requests.
const SUMMARY_INTERVAL: Span = Span::from_secs(10);
/// Tenants that such a line names.
const MAX_SUMMARY_TENANTS: usize = 10;
/// Time that a request is told to wait whose deadline passes before there is an answer.
const RETRY_AFTER_DEADLINE: Span = Span::from_millis(250);

/// The quotas of all tenants on this machine.
#[derive(Debug)]
pub struct Allotments {
    state: RefCell<Allotment>,
    /// Notified when the requests of a tenant that wait should ask again.
    signals: RefCell<BTreeMap<u32, Rc<Signal>>>,
    /// Notified when there are messages to be sent.
    has_messages: Signal,
    /// Metric labels, by the hashes of the tenants' names.
    labels: RefCell<BTreeMap<u32, String>>,
    /// Requests rejected since the last log line.
    rejected: RefCell<BTreeMap<u32, u64>>,
    takeovers_logged: Cell<u64>,
    was_isolated: Cell<bool>,
}

/// Forgets a request that waits, if it is dropped before the decision.
struct Waiting<'a> {
    allotments: &'a Allotments,
    tenant: u32,
    is_decided: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.is_decided {
            self.allotments.state.borrow_mut().abandon(self.tenant);
        }
    }
}

/// Whether a datagram holds a message about quotas.
pub fn is_quota_datagram(bytes: &[u8]) -> bool {
    matches!(bytes.first(), Some(&REQUEST_BYTE | &REPLY_BYTE))
}

impl Allotments {
    /// Creates the quotas of a process that starts now, without limits.
    pub fn new(settings: &Settings) -> Allotments {
        let has_peers = settings.seeds.iter().any(|seed| seed.ip() != settings.address);
        let tolerance = settings.quota.tolerance();
        let state = Allotment::new(clock::now(), settings.address, tolerance, has_peers);
        Allotments {
            state: RefCell::new(state),
            signals: RefCell::default(),
            has_messages: Signal::new(),
            labels: RefCell::default(),
            rejected: RefCell::default(),
            takeovers_logged: Cell::new(0),
            was_isolated: Cell::new(false),
        }
    }

    /// Replaces the limits, by the tenants' names. Called when a configuration takes effect.
    pub fn set_limits(&self, limits: impl IntoIterator<Item = (String, Limit)>) {
        let limits: BTreeMap<String, Limit> = limits.into_iter().collect();
        let names = limits.keys().take(MAX_LABELS);
        *self.labels.borrow_mut() = names.map(|name| (tenant_hash(name), name.clone())).collect();
        let limits = limits.iter().map(|(name, limit)| (tenant_hash(name), *limit));
        self.update(|state, now| state.set_limits(now, limits));
    }

    /// Waits until a request of `tenant`, named by [`tenant_hash`], may be sent, but not after
    /// `deadline`.
    ///
    /// Errors: the tenant is beyond its quota; the time after which its caller may try again.
    pub async fn admit(gateway: &Gateway, tenant: u32, deadline: Instant) -> Result<(), Span> {
        let allotments = &gateway.allotments;
        let since = clock::now();
        let mut verdict = allotments.update(|state, now| state.try_take(now, tenant));
        let mut waiting = Waiting { allotments, tenant, is_decided: verdict != Verdict::Wait };
        if !waiting.is_decided {
            gateway.metrics.quota_waits.inc();
        }
        let end = deadline.min(since + MAX_WAIT);
        loop {
            let retry_after = match verdict {
                Verdict::Granted => return Ok(()),
                Verdict::Denied(retry_after) => retry_after,
                Verdict::Wait if clock::now() >= deadline => RETRY_AFTER_DEADLINE,
                Verdict::Wait => {
                    let signal = allotments.signal(tenant);
                    future::or(clock::sleep_until(end), signal.listen()).await;
                    verdict = allotments.update(|state, now| state.retry(now, tenant, since));
                    waiting.is_decided = verdict != Verdict::Wait;
                    continue;
                }
            };
            allotments.record_rejection(gateway, tenant);
            return Err(retry_after);
        }
    }

    /// Returns the token of a request that did not run.
    pub fn give_back(&self, tenant: u32) {
        self.state.borrow_mut().give_back(tenant);
    }

    /// Changes the state, and wakes the tasks that the change concerns.
    fn update<T>(&self, change: impl FnOnce(&mut Allotment, Instant) -> T) -> T {
        let mut state = self.state.borrow_mut();
        let result = change(&mut state, clock::now());
        let signals = self.signals.borrow();
        for signal in state.take_news().iter().filter_map(|tenant| signals.get(tenant)) {
            signal.notify(usize::MAX);
        }
        if state.has_messages() {
            self.has_messages.notify(1);
        }
        result
    }

    fn signal(&self, tenant: u32) -> Rc<Signal> {
        self.signals.borrow_mut().entry(tenant).or_default().clone()
    }

    fn label(&self, tenant: u32) -> QuotaLabels {
        let labels = self.labels.borrow();
        let name = labels.get(&tenant).map_or(OTHER_LABEL, String::as_str);
        QuotaLabels { tenant: name.to_owned() }
    }

    fn record_rejection(&self, gateway: &Gateway, tenant: u32) {
        gateway.metrics.quota_rejections.get_or_create(&self.label(tenant)).inc();
        *self.rejected.borrow_mut().entry(tenant).or_default() += 1;
    }

    /// Records that a datagram of the machine `from` has arrived.
    pub fn record_contact(&self, from: IpAddr) {
        self.update(|state, now| state.record_contact(now, from));
    }

    /// Processes a datagram about quotas from the machine `from`.
    ///
    /// Errors: it cannot be decoded.
    pub fn handle_datagram(&self, from: IpAddr, bytes: &[u8]) -> postcard::Result<()> {
        let message: Message = postcard::from_bytes(bytes.get(1..).unwrap_or_default())?;
        self.update(|state, now| {
            state.record_contact(now, from);
            state.handle_message(now, from, message);
        });
        Ok(())
    }

    /// Sets the gauges to current values.
    pub fn update_gauges(&self, gateway: &Gateway) {
        let state = self.state.borrow();
        let metrics = &gateway.metrics;
        // Quotas that this machine no longer owns have no value.
        metrics.quota_usage.clear();
        for (tenant, usage) in state.usage() {
            metrics.quota_usage.get_or_create(&self.label(tenant)).set(usage);
        }
        metrics.quota_isolated.set(i64::from(state.is_isolated(clock::now())));
    }

    /// Tells the quotas which machines are known. Called once in each round of heartbeats.
    pub fn update_fleet(&self, gateway: &Gateway) {
        let now = clock::now();
        let members: Vec<Member> = {
            let state = gateway.state();
            let peers = state.membership.known_peers(now);
            let machines = peers.chain([(state.membership.own(), Span::ZERO)]);
            let member = |(peer, silence): (&ebonypass_core::gossip::Peer, Span)| Member {
                address: peer.address,
                strength: peer.strength,
                demand: peer.heartbeat.demand,
                is_ready: peer.heartbeat.is_ready,
                silence,
            };
            machines.map(member).collect()
        };
        self.update(|state, now| state.set_fleet(now, &members));
    }

    /// Logs what has changed since the last call.
    fn record_summary(&self, gateway: &Gateway) {
        let rejected = std::mem::take(&mut *self.rejected.borrow_mut());
        let takeovers = self.state.borrow().takeovers();
        let new_takeovers = takeovers - self.takeovers_logged.replace(takeovers);
        if new_takeovers > 0 {
            gateway.metrics.quota_takeovers.inc_by(new_takeovers);
            gateway.log.record(Event::QuotaTakenOver, json!({ "count": new_takeovers }));
        }
        if rejected.is_empty() {
            return;
        }
        let total: u64 = rejected.values().sum();
        let mut tenants: Vec<(u32, u64)> = rejected.into_iter().collect();
        tenants.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        let named = tenants.into_iter().take(MAX_SUMMARY_TENANTS);
        let named: Map<String, Value> =
            named.map(|(tenant, count)| (self.label(tenant).tenant, count.into())).collect();
        let fields = json!({ "rejected": total, "tenants": named });
        gateway.log.record(Event::QuotaExhausted, fields);
    }

    fn record_contact_change(&self, gateway: &Gateway) {
        let is_isolated = self.state.borrow().is_isolated(clock::now());
        if self.was_isolated.replace(is_isolated) != is_isolated {
            let event = match is_isolated {
                true => Event::QuotaContactLost,
                false => Event::QuotaContactRestored,
            };
            gateway.log.record(event, json!({}));
        }
    }

    /// Handles time-outs and sends messages, for the lifetime of the process.
    pub async fn run(gateway: &Gateway, gossip: &Gossip) {
        let allotments = &gateway.allotments;
        let mut next_poll = clock::now();
        let mut next_summary = clock::now() + SUMMARY_INTERVAL;
        loop {
            let has_messages = allotments.has_messages.listen();
            let (is_pending, has_limits) = {
                let state = allotments.state.borrow();
                (state.has_messages(), state.has_limits())
            };
            match (is_pending, has_limits) {
                // Messages were added while others were being sent.
                (true, _) => {}
                (false, true) => future::or(clock::sleep_until(next_poll), has_messages).await,
                (false, false) => has_messages.await,
            }
            let now = clock::now();
            if now >= next_poll {
                next_poll = now + POLL_INTERVAL;
                allotments.update(|state, now| state.poll(now));
                allotments.record_contact_change(gateway);
            }
            if now >= next_summary {
                next_summary = now + SUMMARY_INTERVAL;
                allotments.record_summary(gateway);
            }
            let messages = allotments.state.borrow_mut().take_messages();
            for (to, message) in messages {
                let mut bytes = vec![message.first_byte()];
                let Ok(content) = postcard::to_stdvec(&message) else { continue };
                bytes.extend(content);
                gateway.metrics.quota_sent.inc_by(bytes.len() as u64);
                let to = SocketAddr::new(to, gateway.settings.listen.mesh_port);
                gossip.send_bytes(&bytes, to).await;
            }
        }
    }
}
