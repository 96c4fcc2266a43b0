//! Replication of the store's objects between machines.
//!
//! Calls to the store are priced and its rate limits grow more slowly than the fleet, so most
//! machines poll another one; `ebonypass_core::relay` chooses which.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use ebonypass_core::era::{Era, Stamp};
use ebonypass_core::gossip::Peer;
use ebonypass_core::relay::{Fault, Selector, Step, View};
use ebonypass_core::time::{Instant, Span};
use ebonypass_node::clock;
use ebonypass_platform::object::{self, Kind};
use futures_lite::future;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};

use crate::body::Body;
use crate::gateway::Gateway;
use crate::listener::{Upload, empty_reply};
use crate::store::{Client, Error};
use crate::sync::Source;

/// How long a poll waits for newer objects.
const POLL_WAIT: Span = Span::from_millis(500);
/// Timeout of a poll. Short enough to detect an unresponsive peer and still call the store well
/// within the 2.5 s after which a leaving target must get no more requests.
const POLL_TIMEOUT: Duration = Duration::from_millis(850);
/// Path of a poll: this prefix, the kind's label, `/` and the stamp of the known copy.
const PATH_PREFIX: &str = "/mirror/";
/// Milliseconds for which the copy of the machine that replies has not been known to be current.
const COPY_AGE: HeaderName = HeaderName::from_static("copy-age-ms");
/// Machines between the machine that replies and the store.
const COPY_HOPS: HeaderName = HeaderName::from_static("copy-hops");
/// Era of the store that the copy of the machine that replies reflects; not sent for era 0.
const COPY_ERA: HeaderName = HeaderName::from_static("copy-era");

/// Evacuations that the machine that replies keeps in force although the restored store does not
/// list them: milliseconds and names, as JSON.
const COPY_KEPT: HeaderName = HeaderName::from_static("copy-kept");
/// Limit on the length of the names in [`COPY_KEPT`], well below the limit on a reply's head.
const MAX_KEPT_BYTES: usize = 2_000;

/// Status of the reply of a machine that has no copy yet.
const NO_COPY_YET: StatusCode = StatusCode::TOO_EARLY;

/// Query of a poll that is answered at once: the copy of the peer may not be current.
const NO_WAIT_QUERY: &str = "now";

/// Answers a peer's poll (long poll): replies once objects are newer than the peer's copy.
pub async fn handle_poll(gateway: Rc<Gateway>, request: Request<Upload>) -> Response<Body> {
    let Some((kind, known)) = scan_path(request.uri().path()) else {
        return empty_reply(StatusCode::NOT_FOUND);
    };
    let may_wait = request.uri().query() != Some(NO_WAIT_QUERY);
    let deadline = clock::now() + if may_wait { POLL_WAIT } else { Span::ZERO };
    loop {
        let changed = gateway.mirror_changed.listen();
        let wait_until = match poll_reply(&gateway, kind, known, deadline) {
            Ok(response) => return response,
            Err(wait_until) => wait_until,
        };
        future::or(changed, clock::sleep_until(wait_until)).await;
    }
}

/// The reply to a poll or, while there is nothing newer and the poll may wait, until when.
fn poll_reply(
    gateway: &Gateway,
    kind: Kind,
    known: Stamp,
    deadline: Instant,
) -> Result<Response<Body>, Instant> {
    let now = clock::now();
    let mut state = gateway.state();
    let era = state.era.era();
    let mirror = state.mirrors.entry(kind).or_default();
    if mirror.revision() == 0 {
        // A machine that has just started may get a copy soon.
        return if now < deadline { Err(deadline) } else { Ok(empty_reply(NO_COPY_YET)) };
    }
    if mirror.stamp().era != era {
        // This machine knows that the store was restored, and reads its list now.
        let reply = empty_reply(StatusCode::SERVICE_UNAVAILABLE);
        return if now < deadline { Err(deadline) } else { Ok(reply) };
    }
    if now >= mirror.expires_at() {
        return Ok(empty_reply(StatusCode::SERVICE_UNAVAILABLE));
    }
    let is_newer = mirror.stamp() > known;
    // A machine of a version that knows no eras gets the whole list each time, so each poll waits.
    let knows_eras = known.era != Era::default() || known.revision == 0 || era == known.era;
    let mut response = if mirror.has_changes_since(known) && is_newer && knows_eras {
        Response::new(Body::whole(mirror.encode_since(known)))
    } else if known.era <= era && now < deadline {
        return Err(deadline.min(mirror.expires_at()));
    } else if is_newer {
        Response::new(Body::whole(mirror.encode_since(known)))
    } else {
        empty_reply(StatusCode::NO_CONTENT)
    };
    let headers = response.headers_mut();
    headers.insert(COPY_AGE, HeaderValue::from(mirror.age(now).as_millis()));
    headers.insert(COPY_HOPS, HeaderValue::from(u16::from(mirror.hops())));
    if era != Era::default() {
        headers.insert(COPY_ERA, HeaderValue::from(era.number()));
    }
    if kind == Kind::Evacuation && known.revision == 0 {
        let kept = state.evacuations.kept(now);
        headers.extend(kept.and_then(encode_kept).map(|value| (COPY_KEPT, value)));
    }
    Ok(response)
}

/// Encodes evacuations that are kept for a time. None if the names are too long or no header text.
fn encode_kept((left, names): (Span, Vec<String>)) -> Option<HeaderValue> {
    let text = serde_json::to_string(&(left.as_millis(), names)).ok()?;
    (text.len() <= MAX_KEPT_BYTES).then(|| HeaderValue::from_str(&text).ok()).flatten()
}

fn scan_kept(headers: &HeaderMap) -> Option<(Span, Vec<String>)> {
    let text = headers.get(COPY_KEPT)?.to_str().ok()?;
    let (ms, names): (u32, Vec<String>) = serde_json::from_str(text).ok()?;
    Some((Span::from_millis(ms.into()), names))
}

fn scan_path(path: &str) -> Option<(Kind, Stamp)> {
    let (label, stamp) = path.strip_prefix(PATH_PREFIX)?.split_once('/')?;
    Some((Kind::from_label(label)?, stamp.parse().ok()?))
}

/// Polls peers for the objects of one kind.
#[derive(Debug)]
pub struct Poller {
    kind: Kind,
    client: Option<Client>,
}

impl Poller {
    /// Creates a poller without a connection.
    pub fn new(kind: Kind) -> Poller {
        Poller { kind, client: None }
    }

    /// Polls the machine at `address` for newer objects and applies them. Returns the age of its
    /// copy and the number of machines between it and the store.
    ///
    /// Errors: the peer did not answer, or has no current copy of the era that is followed here.
    pub async fn poll(&mut self, gateway: &Rc<Gateway>, address: IpAddr) -> Result<Origin, Error> {
        let peer = SocketAddr::new(address, gateway.settings.listen.mesh_port);
        let client = match self.client.take() {
            Some(client) if client.address() == peer => client,
            _ => Client::new(gateway.executor.clone(), peer),
        };
        let known = gateway.known_stamp(self.kind);
        let mut path = format!("{PATH_PREFIX}{}/{known}", self.kind.label());
        if known.revision > 0 && gateway.is_stale(self.kind) {
            path = format!("{path}?{NO_WAIT_QUERY}");
        }
        let reply = client.call(Method::GET, &path, Vec::new(), POLL_TIMEOUT).await.result?;
        let origin = scan_origin(reply.headers());
        let origin = origin.ok_or_else(|| Error::NoReply("the reply states no age".to_owned()))?;
        gateway.check_era(origin.era, Source::Peer(address))?;
        apply_reply(gateway, self.kind, known, origin.era, reply.body())?;
        if self.kind == Kind::Evacuation
            && known.revision == 0
            && let Some((left, names)) = scan_kept(reply.headers())
        {
            gateway.keep_evacuations(left, names);
        }
        self.client = Some(client);
        Ok(origin)
    }
}

/// How far a peer's copy is from the store.
#[derive(Debug, Clone, Copy)]
pub struct Origin {
    /// Time for which the copy has not been known to be current.
    pub age: Span,
    /// Machines between the peer and the store.
    pub hops: u8,
    /// Era of the store that the copy reflects.
    pub era: Era,
}

fn scan_origin(headers: &HeaderMap) -> Option<Origin> {
    let number = |name: HeaderName| headers.get(name)?.to_str().ok()?.parse::<u64>().ok();
    let hops = u8::try_from(number(COPY_HOPS)?).ok()?;
    let era = if headers.contains_key(COPY_ERA) { number(COPY_ERA)? } else { 0 };
    let age = Span::from_millis(number(COPY_AGE)?);
    Some(Origin { age, hops, era: Era::new(era) })
}

/// The fault of a peer whose poll failed.
pub fn fault(error: &Error) -> Fault {
    match error {
        Error::Refused(NO_COPY_YET) => Fault::Empty,
        Error::Refused(_) | Error::Outdated(_) => Fault::Stale,
        _ => Fault::Unreachable,
    }
}

/// The next step of a selector, given the live machines.
pub fn next_step(gateway: &Gateway, selector: &mut Selector) -> Step {
    let now = clock::now();
    let state = gateway.state();
    let own_region = Some(&gateway.settings.region);
    let is_in_region = |peer: &&Peer| gateway.settings.regions.get(&peer.centre) == own_region;
    let (region, elsewhere): (Vec<&Peer>, Vec<&Peer>) =
        state.membership.live_peers(now).partition(is_in_region);
    let own = state.membership.own();
    selector.next_step(now, &View { own, region: &region, elsewhere: &elsewhere })
}

/// Applies a peer's reply; an empty one means that nothing is newer than `known`.
fn apply_reply(
    gateway: &Gateway,
    kind: Kind,
    known: Stamp,
    era: Era,
    bytes: &[u8],
) -> Result<(), Error> {
    if bytes.is_empty() {
        // A copy of another era is not confirmed by it.
        let is_confirmed = known.revision > 0 && known.era == era;
        return if is_confirmed { Ok(()) } else { Err(Error::Outdated(era)) };
    }
    if let Some(changes) = object::scan_changes(bytes) {
        let stamp = Stamp::new(era, changes.revision);
        return gateway.apply_changes(kind, changes.events, stamp);
    }
    let page = object::scan_page(bytes);
    let page = page.ok_or_else(|| Error::NoReply("cannot decode the peer's reply".to_owned()))?;
    let objects = page.objects.into_iter().map(|object| (object.metadata.name.clone(), object));
    gateway.replace_objects(kind, objects.collect(), Stamp::new(era, page.revision))
}
