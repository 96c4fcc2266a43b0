//! Executes the actions of [`ebonypass_core::version`]: watches the policy document in the store,
//! fetches it from peers and puts it in force.

use std::sync::Arc;
use std::time::Duration;

use ebonypass_core::id::EntryId;
use ebonypass_core::scan::{MAX_DOCUMENT_BYTES, scan_document};
use ebonypass_core::submission::Envelope;
use ebonypass_core::time::Span;
use ebonypass_core::version::{self, Action, FETCH_TIMEOUT, Source};
use ebonypass_node::clock;
use ebonypass_node::event::{Event, emit};
use ebonypass_node::peer::Link;
use ebonypass_node::store::{Error, Object, POLICY_KEY, Store};
use ebonypass_node::sync::lock;
use ebonypass_node::target::Target;
use ebonypass_node::wire::Frame;
use futures_lite::future;
use smol::Timer;

use crate::state::Entry;
use crate::tasks::refresh_targets;
use crate::view::{ParsedDocument, View};

/// Time between two checks for actions that are due.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Keeps the policy document up to date.
pub(crate) async fn run<S: Store, T: Target>(entry: Arc<Entry<S, T>>) {
    loop {
        lock(&entry.peers).update_watcher(clock::now());
        run_due_actions(&entry);
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Starts the calls that are due, and puts a newer document in force.
pub(crate) fn run_due_actions<S: Store, T: Target>(entry: &Arc<Entry<S, T>>) {
    loop {
        let action = lock(&entry.peers).follower.next_action(clock::now());
        match action {
            Some(Action::Watch { after, wait }) => {
                smol::spawn(watch_store(entry.clone(), after, wait)).detach();
            }
            Some(Action::Fetch { peer, version }) => {
                smol::spawn(fetch_from_peer(entry.clone(), peer, version)).detach();
            }
            Some(Action::Apply { version }) => apply(entry, version),
            None => return,
        }
    }
}

async fn watch_store<S: Store, T: Target>(entry: Arc<Entry<S, T>>, after: u64, wait: Span) {
    let result = entry.store.watch(POLICY_KEY, after, clock::duration(wait)).await;
    entry.record_store_call(result.is_ok() || result == Err(Error::NotFound));
    match result {
        Ok(Some(object)) => {
            let parsed = smol::unblock(move || scan_object(&object)).await;
            handle_document(&entry, Source::Store, parsed);
        }
        Ok(None) | Err(Error::NotFound) => {
            lock(&entry.peers).follower.handle_store_unchanged(clock::now());
        }
        Err(_) => lock(&entry.peers).follower.handle_store_failure(clock::now()),
    }
    run_due_actions(&entry);
}

async fn fetch_from_peer<S: Store, T: Target>(
    entry: Arc<Entry<S, T>>,
    peer: EntryId,
    version: u64,
) {
    let link = lock(&entry.peers).link_of(peer);
    let reply = async { request_document(&*link?, version).await };
    let timeout = async {
        Timer::after(clock::duration(FETCH_TIMEOUT)).await;
        None
    };
    match future::or(reply, timeout).await {
        Some((version, text)) => {
            let parsed = smol::unblock(move || scan_text(version, text)).await;
            handle_document(&entry, Source::Peer(peer), parsed);
        }
        None => lock(&entry.peers).follower.handle_fetch_failure(clock::now(), peer),
    }
    run_due_actions(&entry);
}

/// Fetches the document of at least `version` from a peer. None if the peer has no such document,
/// or its reply is lost or malformed.
async fn request_document(link: &Link, version: u64) -> Option<(u64, String)> {
    let mut exchange =
        link.open_stream(&Frame::PolicyFetch(version::Request { version })).await.ok()?;
    let Ok(Frame::PolicyDocument { version, length }) = exchange.read().await else { return None };
    if version == 0 || length as usize > MAX_DOCUMENT_BYTES {
        return None;
    }
    let text = exchange.read_body(length as usize).await.ok()?;
    Some((version, String::from_utf8(text).ok()?))
}

fn handle_document<S: Store, T: Target>(
    entry: &Entry<S, T>,
    source: Source,
    (version, parsed): (u64, Result<ParsedDocument, String>),
) {
    let mut peers = lock(&entry.peers);
    match parsed {
        Ok(parsed) => {
            let parsed = Arc::new(parsed);
            peers.follower.handle_document(clock::now(), source, version, parsed);
        }
        Err(fault) => {
            peers.follower.handle_invalid_document(clock::now(), source, version);
            emit(Event::PolicyRefused, format_args!("version {version}: {fault}"));
        }
    }
}

/// Parses the value of `policy/current`. Returns its version, and the document or its first fault.
fn scan_object(object: &Object) -> (u64, Result<ParsedDocument, String>) {
    let envelope: Result<Envelope, _> = serde_json::from_slice(&object.value);
    match envelope {
        Ok(envelope) => scan_text(object.version, envelope.text),
        Err(error) => (object.version, Err(error.to_string())),
    }
}

fn scan_text(version: u64, text: String) -> (u64, Result<ParsedDocument, String>) {
    match scan_document(&text) {
        Ok(document) => (version, Ok(ParsedDocument { document, text })),
        Err(faults) => (version, Err(faults[0].to_string())),
    }
}

/// Puts the follower's current document in force.
fn apply<S: Store, T: Target>(entry: &Arc<Entry<S, T>>, version: u64) {
    let mut peers = lock(&entry.peers);
    let Some(current) = peers.follower.current() else { return };
    let view = View::new(current.version, &current.value, &mut lock(&entry.names));
    peers.roster.resolve_regions(&view.document);
    if let Some(region) = view.region_of(&entry.settings.data_centre) {
        let region = &view.document.regions[region].name;
        entry.egress.update_links(clock::now(), &entry.process, &view.document, region);
    }
    entry.view.store(Some(Arc::new(view)));
    drop(peers);
    entry.metrics.policy_version.set(version as i64);
    emit(Event::PolicyApplied, format_args!("version {version}"));
    refresh_targets(entry);
}
