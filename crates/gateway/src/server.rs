//! Starts and gracefully stops the gateway.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use ebonypass_core::era::Era;
use ebonypass_core::time::Span;
use ebonypass_node::clock;
use ebonypass_node::event::Event;
use ebonypass_platform::object::{self, Kind};
use ebonypass_platform::registry;
use hyper::Method;
use serde_json::json;
use smol::{LocalExecutor, Timer};

use crate::allotment::Allotments;
use crate::gateway::{Gateway, Phase};
use crate::gossip::Gossip;
use crate::listener::{self, Purpose};
use crate::replication;
use crate::request::{self, STOP_POLL_INTERVAL};
use crate::settings::Settings;
use crate::store::{Client, Error};
use crate::sync::Synchronizer;

/// Time between two housekeeping runs.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two log lines about what a limit refused or closed.
const TALLY_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a call to the store's list of machines.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after which the seeds are asked for heartbeats a second time.
const SEED_REPEAT_DELAY: Span = Span::from_millis(150);
/// Bounds of the interval at which a machine without live peers reads the store's list of machines.
const MIN_DISCOVERY_INTERVAL: Span = Span::from_millis(700);
const MAX_DISCOVERY_INTERVAL: Span = Span::from_secs(5);
/// How long requests are still served after the stop signal: callers cache a lookup reply for up to
/// 2 s.
const LEAVE_DURATION: Span = Span::from_millis(2_500);
/// The process exits this long before the end of the grace period, when it would be killed.
const KILL_MARGIN: Span = Span::from_millis(250);
/// Requests in flight get their final replies this long before the process exits.
const FINAL_REPLY_TIME: Span = Span::from_millis(200);

/// A running gateway.
#[derive(Debug)]
pub struct Server {
    gateway: Rc<Gateway>,
    gossip: Rc<Gossip>,
}

impl Server {
    /// Opens the listeners and starts all background tasks.
    ///
    /// Errors: an address cannot be bound.
    pub fn start(
        settings: Settings,
        executor: Rc<LocalExecutor<'static>>,
    ) -> anyhow::Result<Server> {
        let listen = settings.listen.clone();
        let address = settings.address;
        let gateway = Gateway::new(settings, executor.clone());
        gateway.log.record(Event::Started, json!({ "address": address.to_string() }));
        let gossip = Gossip::new(&gateway).context("cannot bind the UDP mesh port")?;
        let gossip = Rc::new(gossip);
        listener::listen(&gateway, Purpose::Callers, listen.callers, request::handle)
            .context("cannot listen for callers")?;
        listener::listen(&gateway, Purpose::Lookups, listen.lookups, listener::handle_lookup)
            .context("cannot listen for lookups")?;
        listener::listen(
            &gateway,
            Purpose::Readiness,
            listen.readiness,
            listener::handle_readiness,
        )
        .context("cannot listen for readiness checks")?;
        let metrics = SocketAddr::new(address, listen.metrics_port);
        listener::listen(&gateway, Purpose::Metrics, metrics, listener::handle_metrics)
            .context("cannot listen for metrics requests")?;
        let peers = SocketAddr::new(address, listen.mesh_port);
        listener::listen(&gateway, Purpose::Mesh, peers, replication::handle_poll)
            .context("cannot listen on the TCP mesh port")?;
        for kind in [Kind::Config, Kind::Target, Kind::Evacuation] {
            executor.spawn(Synchronizer::new(&gateway, kind).run()).detach();
        }
        spawn_tasks(&executor, &gateway, &gossip);
        Ok(Server { gateway, gossip })
    }

    /// Leaves the directory, finishes requests in flight within the grace period, and stops.
    pub async fn stop(self) {
        let gateway = &self.gateway;
        let start = clock::now();
        gateway.phase.set(Phase::Leaving);
        let in_flight = gateway.in_flight.get();
        gateway.log.record(Event::Stopping, json!({ "in_flight": in_flight }));
        self.gossip.announce_leaving().await;
        let grace = Span::from_micros(gateway.settings.times.grace.as_micros() as u64);
        let end = start + (grace - KILL_MARGIN);
        gateway.cutoff.set(start + (grace - KILL_MARGIN - FINAL_REPLY_TIME));
        gateway.cutoff_set.notify(usize::MAX);
        let leave_end = (start + LEAVE_DURATION).min(end);
        clock::sleep_until(leave_end).await;
        gateway.phase.set(Phase::Refusing);
        self.gossip.announce_leaving().await;
        gateway.phase.set(Phase::Closing);
        while clock::now() < end && (gateway.in_flight.get() > 0 || gateway.connections.count() > 0)
        {
            Timer::after(STOP_POLL_INTERVAL).await;
        }
        let left = gateway.in_flight.get();
        let event = if left > 0 { Event::StopTimeout } else { Event::Stopped };
        let ms = clock::now().since(start).as_millis();
        gateway.log.record(event, json!({ "in_flight": left, "ms": ms }));
        gateway.log.flush();
        // Gives the writer thread time to write the last lines.
        Timer::after(STOP_POLL_INTERVAL).await;
    }

    /// Logs a reload request. Changed settings take effect at the next start only.
    pub fn reload(&self) {
        self.gateway.log.record(Event::Reloaded, json!({}));
    }
}

fn spawn_tasks(executor: &Rc<LocalExecutor<'static>>, gateway: &Rc<Gateway>, gossip: &Rc<Gossip>) {
    let logger = gateway.clone();
    executor.spawn(async move { logger.log.run_flush_loop().await }).detach();
    let reporter = gateway.clone();
    executor
        .spawn(async move {
            loop {
                Timer::after(TALLY_INTERVAL).await;
                reporter.tally.report(&reporter.log, &reporter.metrics);
            }
        })
        .detach();
    let receiver = gossip.clone();
    executor.spawn(async move { receiver.receive().await }).detach();
    let sender = gossip.clone();
    executor.spawn(async move { sender.run_heartbeats().await }).detach();
    let (quota_gateway, quota_gossip) = (gateway.clone(), gossip.clone());
    executor.spawn(async move { Allotments::run(&quota_gateway, &quota_gossip).await }).detach();
    let housekeeper = gateway.clone();
    executor
        .spawn(async move {
            loop {
                Timer::after(HOUSEKEEPING_INTERVAL).await;
                housekeeper.end_holds();
                housekeeper.drop_unlisted();
                housekeeper.pool.close_expired();
                let head_timeout = housekeeper.state().limits.head_timeout;
                housekeeper.connections.close_slow_heads(head_timeout);
            }
        })
        .detach();
    let (gateway, gossip) = (gateway.clone(), gossip.clone());
    executor.spawn(async move { join_fleet(&gateway, &gossip).await }).detach();
}

/// Makes this machine known to the fleet: contacts the seeds, registers in the store's list of
/// machines once the store answers it, and reads that list while it has no live peer. A machine
/// without peers always watches the store itself and so is listed there, which lets separated
/// groups find each other. A restored store may have lost the entry, which is then written again.
async fn join_fleet(gateway: &Rc<Gateway>, gossip: &Gossip) {
    let client = Client::new(gateway.executor.clone(), gateway.settings.store.address);
    let seeds: Vec<IpAddr> = gateway.settings.seeds.iter().map(SocketAddr::ip).collect();
    gossip.request_heartbeats(seeds.clone()).await;
    // Seeds that have just started themselves know more by then.
    clock::sleep(SEED_REPEAT_DELAY).await;
    gossip.request_heartbeats(seeds).await;
    let mut registered_era = None;
    let mut interval = MIN_DISCOVERY_INTERVAL;
    loop {
        if registered_era.is_some_and(|era| era != gateway.era()) {
            // No other machine writes the entry, so this one does even if it polls a peer by now.
            let era = register_machine(gateway, &client).await;
            interval = match era {
                Some(_) => MIN_DISCOVERY_INTERVAL,
                None => interval.times(2).min(MAX_DISCOVERY_INTERVAL),
            };
            registered_era = era.or(registered_era);
        } else if registered_era.is_none() && gateway.reaches_store() {
            registered_era = register_machine(gateway, &client).await;
        }
        let is_alone = gateway.state().membership.live_peers(clock::now()).next().is_none();
        if registered_era.is_some() && is_alone {
            discover_machines(gateway, gossip, &client).await;
            interval = interval.times(2).min(MAX_DISCOVERY_INTERVAL);
        }
        clock::sleep(interval).await;
    }
}

/// Adds this machine to the store's list of machines. Returns the era in which it is listed.
async fn register_machine(gateway: &Gateway, client: &Client) -> Option<Era> {
    let name = gateway.settings.name.as_str();
    let body = object::encode_new_object(name, registry::machine_spec(gateway.settings.address));
    let path = object::list_path(Kind::Machine, None);
    let reply = client.call(Method::POST, &path, body, REGISTRATION_TIMEOUT).await;
    let era = reply.era;
    match gateway.check_reply(reply) {
        // A conflict is with this machine's own entry, from an earlier process or a call whose
        // reply was lost. The address is the same.
        Ok(_) | Err(Error::Conflict) => era,
        Err(error) => {
            record_store_error(gateway, &error);
            None
        }
    }
}

/// Contacts all machines of the store's list.
async fn discover_machines(gateway: &Gateway, gossip: &Gossip, client: &Client) {
    let path = object::list_path(Kind::Machine, None);
    let reply = client.call(Method::GET, &path, Vec::new(), REGISTRATION_TIMEOUT).await;
    match gateway.check_reply(reply) {
        Ok((_, reply)) => {
            let page = object::scan_page(reply.body());
            let objects = page.map(|page| page.objects).unwrap_or_default();
            gossip
                .request_heartbeats(objects.iter().filter_map(registry::scan_machine).collect())
                .await;
        }
        Err(error) => record_store_error(gateway, &error),
    }
}

/// Logs a failed call to the store's list of machines.
fn record_store_error(gateway: &Gateway, error: &Error) {
    let fields = json!({ "kind": Kind::Machine.label(), "error": error.to_string() });
    gateway.log.record(Event::StoreUnreachable, fields);
}
