//! Start and stop of the process.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use ebonypass_core::time::Span;
use ebonypass_node::clock;
use ebonypass_node::event::Event;
use ebonypass_platform::object::{self, Kind};
use ebonypass_platform::registry;
use hyper::Method;
use serde_json::json;
use smol::{LocalExecutor, Timer};

use crate::front;
use crate::gateway::{Gateway, Phase};
use crate::mesh::Mesh;
use crate::relay;
use crate::request::{self, STOP_INTERVAL};
use crate::settings::Settings;
use crate::store::{Client, Error};
use crate::watch::Follower;

/// Time between two rounds of housekeeping.
const TIDY_INTERVAL: Duration = Duration::from_millis(200);
/// Time for a call about this machine's own entry.
const ENTRY_LIMIT: Duration = Duration::from_millis(1_500);
/// Bounds of the pause between two looks at the list of machines by one that knows no other.
const ENTRY_PAUSE: Span = Span::from_millis(700);
const ENTRY_PAUSE_LIMIT: Span = Span::from_secs(5);
/// Time after the request to stop during which requests are served as before: callers keep the
/// answer of a look-up for up to two seconds.
const LEAVE_TIME: Span = Span::from_millis(2_500);
/// Time before the kill at which the process ends.
const STOP_MARGIN: Span = Span::from_millis(250);

/// A running gateway.
#[derive(Debug)]
pub struct Server {
    gateway: Rc<Gateway>,
    mesh: Rc<Mesh>,
}

impl Server {
    /// Starts to serve.
    ///
    /// Errors: an address cannot be bound.
    pub fn start(
        settings: Settings,
        executor: Rc<LocalExecutor<'static>>,
    ) -> anyhow::Result<Server> {
        let listen = settings.listen.clone();
        let address = settings.address;
        let gateway = Gateway::new(settings, executor.clone());
        gateway.log.note(Event::Started, json!({ "address": address.to_string() }));
        let mesh = Mesh::new(&gateway).context("mesh port")?;
        let mesh = Rc::new(mesh);
        front::listen(&gateway, listen.callers, request::handle).context("callers' address")?;
        front::listen(&gateway, listen.lookups, front::look_up).context("look-up address")?;
        front::listen(&gateway, listen.readiness, front::check_ready)
            .context("readiness address")?;
        let metrics = SocketAddr::new(address, listen.metrics_port);
        front::listen(&gateway, metrics, front::show_metrics).context("metrics address")?;
        let peers = SocketAddr::new(address, listen.mesh_port);
        front::listen(&gateway, peers, relay::answer).context("mesh port")?;
        for kind in [Kind::Config, Kind::Target, Kind::Evacuation] {
            executor.spawn(Follower::new(&gateway, kind).run()).detach();
        }
        spawn_tasks(&executor, &gateway, &mesh);
        Ok(Server { gateway, mesh })
    }

    /// Leaves the directory, answers what is in hand, and ends.
    pub async fn stop(self) {
        let gateway = &self.gateway;
        let start = clock::now();
        gateway.phase.set(Phase::Leaving);
        let in_flight = gateway.in_flight.get();
        gateway.log.note(Event::Stopping, json!({ "in_flight": in_flight }));
        self.mesh.announce().await;
        let grace = Span::from_micros(gateway.settings.times.grace.as_micros() as u64);
        let end = start + (grace - STOP_MARGIN);
        let leave_end = (start + LEAVE_TIME).min(end);
        clock::sleep_until(leave_end).await;
        gateway.phase.set(Phase::Refusing);
        self.mesh.announce().await;
        gateway.phase.set(Phase::Closing);
        while clock::now() < end && (gateway.in_flight.get() > 0 || gateway.connections.get() > 0) {
            Timer::after(STOP_INTERVAL).await;
        }
        let left = gateway.in_flight.get();
        let event = if left > 0 { Event::StopTimeout } else { Event::Stopped };
        let ms = clock::now().since(start).as_millis();
        gateway.log.note(event, json!({ "in_flight": left, "ms": ms }));
        gateway.log.flush();
        // The writer's thread needs a moment to write the last lines.
        Timer::after(STOP_INTERVAL).await;
    }

    /// Notes that the settings may have changed; they are read again at the next start.
    pub fn reload(&self) {
        self.gateway.log.note(Event::Reloaded, json!({}));
    }
}

fn spawn_tasks(executor: &Rc<LocalExecutor<'static>>, gateway: &Rc<Gateway>, mesh: &Rc<Mesh>) {
    let log = gateway.clone();
    executor.spawn(async move { log.log.run().await }).detach();
    let receiver = mesh.clone();
    executor.spawn(async move { receiver.receive().await }).detach();
    let sender = mesh.clone();
    executor.spawn(async move { sender.run().await }).detach();
    let tidy = gateway.clone();
    executor
        .spawn(async move {
            loop {
                Timer::after(TIDY_INTERVAL).await;
                tidy.drop_missing();
                tidy.upstream.expire();
            }
        })
        .detach();
    let (gateway, mesh) = (gateway.clone(), mesh.clone());
    executor.spawn(async move { register(&gateway, &mesh).await }).detach();
}

/// Makes this machine known to others: greets the seeds, enters it into the store's list of machines
/// once it watches the store, and reads that list for as long as it knows no other machine. Each
/// machine that knows no other watches the store, so two groups never miss each other.
async fn register(gateway: &Rc<Gateway>, mesh: &Mesh) {
    let client = Client::new(gateway.executor.clone(), gateway.settings.store.address);
    let seeds = gateway.settings.seeds.iter().map(SocketAddr::ip).collect();
    mesh.greet(seeds).await;
    let mut is_entered = false;
    let mut pause = ENTRY_PAUSE;
    loop {
        if !is_entered && gateway.store_since.get().is_some() {
            is_entered = enter(gateway, &client).await;
        }
        let is_alone = gateway.state().members.live(clock::now()).next().is_none();
        if is_entered && is_alone {
            find_machines(gateway, mesh, &client).await;
            pause = pause.times(2).min(ENTRY_PAUSE_LIMIT);
        }
        clock::sleep(pause).await;
    }
}

/// Enters this machine into the store's list of machines. Returns whether it stands there.
async fn enter(gateway: &Gateway, client: &Client) -> bool {
    let name = gateway.settings.name.as_str();
    let body = object::new_object(name, registry::machine_spec(gateway.settings.address));
    let path = object::list_path(Kind::Machine, None);
    match client.call(Method::POST, &path, body, ENTRY_LIMIT).await {
        // An entry of an earlier process of this machine has the same address.
        Ok(_) | Err(Error::Conflict) => true,
        Err(error) => {
            note_call(gateway, &error);
            false
        }
    }
}

/// Greets the machines of the store's list.
async fn find_machines(gateway: &Gateway, mesh: &Mesh, client: &Client) {
    let path = object::list_path(Kind::Machine, None);
    match client.call(Method::GET, &path, Vec::new(), ENTRY_LIMIT).await {
        Ok(bytes) => {
            let page = object::scan_page(&bytes);
            let objects = page.map(|page| page.objects).unwrap_or_default();
            mesh.greet(objects.iter().filter_map(registry::scan_machine).collect()).await;
        }
        Err(error) => note_call(gateway, &error),
    }
}

/// Logs that a call about the list of machines failed.
fn note_call(gateway: &Gateway, error: &Error) {
    let fields = json!({ "kind": Kind::Machine.label(), "error": error.to_string() });
    gateway.log.note(Event::StoreUnreachable, fields);
}
