//! Objects of the store, passed on between machines.
//!
//! In each region one machine watches the store and the others follow it, since the store's calls
//! are priced and its rates grow more slowly than the fleet. A machine that cannot follow another
//! asks the store, and one that the store turns away asks any machine that the store answers.

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
use crate::front::plain;
use crate::gateway::Gateway;
use crate::store::{Client, Error};

/// Time that a question for newer objects waits for them.
const WAIT: Duration = Duration::from_millis(1_000);
/// Time within which a question is answered. A machine that has gone silent is noticed so soon that
/// the store can still be asked well within the time for a leaving target, 2.5 s.
const ASK_LIMIT: Duration = Duration::from_millis(1_350);
/// A machine that did not answer is not followed for this time.
const AVOID: Span = Span::from_secs(3);
/// The path of a question: this, the label of the kind, and the revision that is known.
const PATH: &str = "/mirror/";

/// Answers a question for objects newer than a revision, as soon as there are some.
pub async fn answer(gateway: Rc<Gateway>, request: Request<Incoming>) -> Response<Body> {
    let Some((kind, known)) = scan_path(request.uri().path()) else {
        return plain(StatusCode::NOT_FOUND);
    };
    let end = clock::now() + Span::from_micros(WAIT.as_micros() as u64);
    loop {
        let changed = gateway.mirrored.listen();
        if let Some(response) = answer_now(&gateway, kind, known, end) {
            return response;
        }
        let timer = clock::sleep_until(end);
        future::or(changed, timer).await;
    }
}

/// The answer to a question, or none while there is nothing to say.
fn answer_now(gateway: &Gateway, kind: Kind, known: u64, end: Instant) -> Option<Response<Body>> {
    let state = gateway.state();
    let mirror = state.mirrors.get(&kind).filter(|mirror| mirror.revision > 0 && !mirror.is_lost);
    let Some(mirror) = mirror else { return Some(plain(StatusCode::SERVICE_UNAVAILABLE)) };
    if mirror.revision > known {
        return Some(Response::new(Body::whole(mirror.bytes_since(known))));
    }
    (clock::now() >= end).then(|| plain(StatusCode::NO_CONTENT))
}

fn scan_path(path: &str) -> Option<(Kind, u64)> {
    let (label, revision) = path.strip_prefix(PATH)?.split_once('/')?;
    Some((Kind::from_label(label)?, revision.parse().ok()?))
}

/// The order in which the machines of a region watch the store.
fn rank(peer: &Peer) -> u64 {
    xxh3_64(peer.name.as_bytes())
}

/// Follows other machines for the objects of one kind.
#[derive(Debug)]
pub struct Follow {
    kind: Kind,
    client: Option<Client>,
    avoided: Option<(SocketAddr, Instant)>,
}

impl Follow {
    /// Follows nobody yet.
    pub fn new(kind: Kind) -> Follow {
        Follow { kind, client: None, avoided: None }
    }

    /// The machine that watches the store for this one's region, if it is another one.
    pub fn watcher(&self, gateway: &Gateway) -> Option<SocketAddr> {
        let state = gateway.state();
        let region = &gateway.settings.region;
        let is_near = |peer: &&Peer| gateway.settings.regions.get(&peer.centre) == Some(region);
        let peers = state.members.live_peers(clock::now()).filter(is_near);
        let peers = peers.filter(|peer| peer.heartbeat.store_up_ds > 0);
        let own = state.members.own();
        let first = peers.chain([own]).min_by_key(|peer| rank(peer))?;
        let address = SocketAddr::new(first.address, gateway.settings.listen.mesh_port);
        (first.name != own.name && !self.avoids(address)).then_some(address)
    }

    /// The number of live machines of the region that go before this one in watching the store.
    pub fn rank(&self, gateway: &Gateway) -> u64 {
        let own = rank(gateway.state().members.own());
        self.count_near(gateway, |peer| rank(peer) < own)
    }

    /// The number of live machines of the region, this one included.
    pub fn near_count(&self, gateway: &Gateway) -> u64 {
        self.count_near(gateway, |_| true) + 1
    }

    fn count_near(&self, gateway: &Gateway, counts: impl Fn(&Peer) -> bool) -> u64 {
        let state = gateway.state();
        let region = &gateway.settings.region;
        let port = gateway.settings.listen.mesh_port;
        let near = state.members.live_peers(clock::now()).filter(|peer| {
            gateway.settings.regions.get(&peer.centre) == Some(region)
                && !self.avoids(SocketAddr::new(peer.address, port))
        });
        near.filter(|peer| counts(peer)).count() as u64
    }

    /// Any machine that the store answers.
    pub fn informed(&self, gateway: &Gateway) -> Option<SocketAddr> {
        let state = gateway.state();
        let port = gateway.settings.listen.mesh_port;
        let peers =
            state.members.live_peers(clock::now()).filter(|peer| peer.heartbeat.store_up_ds > 0);
        let peers: Vec<SocketAddr> = peers
            .map(|peer| SocketAddr::new(peer.address, port))
            .filter(|address| !self.avoids(*address))
            .collect();
        let before = self.client.as_ref().map(Client::address);
        let before = before.filter(|address| peers.contains(address));
        before.or_else(|| fastrand::choice(peers))
    }

    fn avoids(&self, address: SocketAddr) -> bool {
        self.avoided.is_some_and(|(other, until)| other == address && clock::now() < until)
    }

    /// Asks the machine at `peer` for newer objects and waits for them for a while.
    ///
    /// Errors: it did not answer, or does not know; it is avoided for a while.
    pub async fn ask(&mut self, gateway: &Rc<Gateway>, peer: SocketAddr) -> Result<(), Error> {
        let client = match self.client.take() {
            Some(client) if client.address() == peer => client,
            _ => Client::new(gateway.executor.clone(), peer),
        };
        let path = format!("{PATH}{}/{}", self.kind.label(), gateway.revision(self.kind));
        let answer = client.call(Method::GET, &path, Vec::new(), ASK_LIMIT).await;
        let result = answer.and_then(|bytes| take(gateway, self.kind, &bytes));
        match result {
            Ok(()) => self.client = Some(client),
            Err(_) => self.avoided = Some((peer, clock::now() + AVOID)),
        }
        result
    }
}

/// Takes in a peer's answer.
fn take(gateway: &Gateway, kind: Kind, bytes: &[u8]) -> Result<(), Error> {
    if bytes.is_empty() {
        return Ok(());
    }
    if let Some(changes) = object::scan_changes(bytes) {
        gateway.take_changes(kind, changes.events, changes.revision);
        return Ok(());
    }
    let page = object::scan_page(bytes);
    let page = page.ok_or_else(|| Error::Silent("the peer's answer is not readable".to_owned()))?;
    let objects = page.objects.into_iter().map(|object| (object.metadata.name.clone(), object));
    gateway.take_list(kind, objects.collect(), page.revision);
    Ok(())
}
