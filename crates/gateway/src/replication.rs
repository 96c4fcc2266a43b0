//! Replication of the store's objects between machines.
//!
//! In each region one machine, the watcher, watches the store and the others poll it, because calls
//! to the store are priced and its rate limits grow more slowly than the fleet. A machine that has
//! no watcher to poll calls the store. One that the store refuses polls any peer that reaches the
//! store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ebonypass_core::gossip::Peer;
use ebonypass_core::time::{Instant, Span};
use ebonypass_node::clock;
use ebonypass_platform::object::{self, Kind};
use futures_lite::future;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use xxhash_rust::xxh3::xxh3_64;

use crate::body::Body;
use crate::gateway::Gateway;
use crate::listener::empty_reply;
use crate::store::{Client, Error};

/// How long a poll waits for newer objects.
const POLL_WAIT: Duration = Duration::from_millis(1_000);
/// Timeout of a poll. Short enough to detect an unresponsive peer and still call the store well
/// within the 2.5 s after which a leaving target must get no more requests.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_350);
/// How long a peer is not polled again after a failed poll.
const AVOID_TIME: Span = Span::from_secs(3);
/// Path of a poll: this prefix, the kind's label, `/` and the known revision.
const PATH_PREFIX: &str = "/mirror/";

/// Answers a peer's poll (long poll): replies once objects are newer than the peer's revision.
pub async fn handle_poll(gateway: Rc<Gateway>, request: Request<Incoming>) -> Response<Body> {
    let Some((kind, known_revision)) = scan_path(request.uri().path()) else {
        return empty_reply(StatusCode::NOT_FOUND);
    };
    let deadline = clock::now() + Span::from_micros(POLL_WAIT.as_micros() as u64);
    loop {
        let changed = gateway.mirror_changed.listen();
        if let Some(response) = poll_reply(&gateway, kind, known_revision, deadline) {
            return response;
        }
        let timer = clock::sleep_until(deadline);
        future::or(changed, timer).await;
    }
}

/// The reply to a poll, or none while there is nothing newer and the poll may still wait.
fn poll_reply(
    gateway: &Gateway,
    kind: Kind,
    known_revision: u64,
    deadline: Instant,
) -> Option<Response<Body>> {
    let state = gateway.state();
    let mirror = state.mirrors.get(&kind).filter(|mirror| mirror.revision > 0 && !mirror.is_stale);
    let Some(mirror) = mirror else { return Some(empty_reply(StatusCode::SERVICE_UNAVAILABLE)) };
    if mirror.revision > known_revision {
        return Some(Response::new(Body::whole(mirror.encode_since(known_revision))));
    }
    (clock::now() >= deadline).then(|| empty_reply(StatusCode::NO_CONTENT))
}

fn scan_path(path: &str) -> Option<(Kind, u64)> {
    let (label, revision) = path.strip_prefix(PATH_PREFIX)?.split_once('/')?;
    Some((Kind::from_label(label)?, revision.parse().ok()?))
}

/// Ranks the machines of a region; the lowest rank that reaches the store is the watcher.
fn rank(peer: &Peer) -> u64 {
    xxh3_64(peer.name.as_bytes())
}

/// Polls peers for the objects of one kind.
#[derive(Debug)]
pub struct Poller {
    kind: Kind,
    client: Option<Client>,
    avoided: Option<(SocketAddr, Instant)>,
}

impl Poller {
    /// Creates a poller without a connection.
    pub fn new(kind: Kind) -> Poller {
        Poller { kind, client: None, avoided: None }
    }

    /// The address of this region's watcher; none if that is this machine or it is avoided.
    pub fn watcher(&self, gateway: &Gateway) -> Option<SocketAddr> {
        let state = gateway.state();
        let region = &gateway.settings.region;
        let is_in_region =
            |peer: &&Peer| gateway.settings.regions.get(&peer.centre) == Some(region);
        let peers = state.membership.live_peers(clock::now()).filter(is_in_region);
        let peers = peers.filter(|peer| peer.heartbeat.store_up_ds > 0);
        let own = state.membership.own();
        let watcher = peers.chain([own]).min_by_key(|peer| rank(peer))?;
        let address = SocketAddr::new(watcher.address, gateway.settings.listen.mesh_port);
        (watcher.name != own.name && !self.is_avoided(address)).then_some(address)
    }

    /// How many live peers of the region rank before this machine as watcher, avoided ones left
    /// out.
    pub fn rank(&self, gateway: &Gateway) -> u64 {
        let own = rank(gateway.state().membership.own());
        self.count_in_region(gateway, |peer| rank(peer) < own)
    }

    /// The number of live machines of the region including this one, avoided ones left out.
    pub fn region_size(&self, gateway: &Gateway) -> u64 {
        self.count_in_region(gateway, |_| true) + 1
    }

    fn count_in_region(&self, gateway: &Gateway, is_counted: impl Fn(&Peer) -> bool) -> u64 {
        let state = gateway.state();
        let region = &gateway.settings.region;
        let port = gateway.settings.listen.mesh_port;
        let in_region = state.membership.live_peers(clock::now()).filter(|peer| {
            gateway.settings.regions.get(&peer.centre) == Some(region)
                && !self.is_avoided(SocketAddr::new(peer.address, port))
        });
        in_region.filter(|peer| is_counted(peer)).count() as u64
    }

    /// A peer of any region that reaches the store; the last one polled if possible, else a random
    /// one.
    pub fn peer_with_store(&self, gateway: &Gateway) -> Option<SocketAddr> {
        let state = gateway.state();
        let port = gateway.settings.listen.mesh_port;
        let peers =
            state.membership.live_peers(clock::now()).filter(|peer| peer.heartbeat.store_up_ds > 0);
        let peers: Vec<SocketAddr> = peers
            .map(|peer| SocketAddr::new(peer.address, port))
            .filter(|address| !self.is_avoided(*address))
            .collect();
        let last_polled = self.client.as_ref().map(Client::address);
        let last_polled = last_polled.filter(|address| peers.contains(address));
        last_polled.or_else(|| fastrand::choice(peers))
    }

    fn is_avoided(&self, address: SocketAddr) -> bool {
        self.avoided.is_some_and(|(other, until)| other == address && clock::now() < until)
    }

    /// Polls `peer` for newer objects and applies them.
    ///
    /// Errors: the peer did not answer or has no current copy. It is avoided for [`AVOID_TIME`].
    pub async fn poll(&mut self, gateway: &Rc<Gateway>, peer: SocketAddr) -> Result<(), Error> {
        let client = match self.client.take() {
            Some(client) if client.address() == peer => client,
            _ => Client::new(gateway.executor.clone(), peer),
        };
        let path = format!("{PATH_PREFIX}{}/{}", self.kind.label(), gateway.revision(self.kind));
        let reply = client.call(Method::GET, &path, Vec::new(), POLL_TIMEOUT).await;
        let result = reply.and_then(|bytes| apply_reply(gateway, self.kind, &bytes));
        match result {
            Ok(()) => self.client = Some(client),
            Err(_) => self.avoided = Some((peer, clock::now() + AVOID_TIME)),
        }
        result
    }
}

/// Applies a peer's reply; an empty one means that nothing is newer.
fn apply_reply(gateway: &Gateway, kind: Kind, bytes: &[u8]) -> Result<(), Error> {
    if bytes.is_empty() {
        return Ok(());
    }
    if let Some(changes) = object::scan_changes(bytes) {
        gateway.apply_changes(kind, changes.events, changes.revision);
        return Ok(());
    }
    let page = object::scan_page(bytes);
    let page = page.ok_or_else(|| Error::NoReply("cannot decode the peer's reply".to_owned()))?;
    let objects = page.objects.into_iter().map(|object| (object.metadata.name.clone(), object));
    gateway.replace_objects(kind, objects.collect(), page.revision);
    Ok(())
}
