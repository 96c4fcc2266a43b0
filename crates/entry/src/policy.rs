//! Carries out what [`ebonypass_core::version`] decides about the policy document.

use std::sync::Arc;
use std::time::Duration;

use ebonypass_core::id::EntryId;
use ebonypass_core::scan::{MAX_DOCUMENT_BYTES, scan_document};
use ebonypass_core::submission::Envelope;
use ebonypass_core::time::Span;
use ebonypass_core::version::{self, Action, FETCH_TIMEOUT, Source};
use ebonypass_node::clock;
use ebonypass_node::event::{Event, note};
use ebonypass_node::peer::Link;
use ebonypass_node::store::{Error, Object, POLICY_KEY, Store};
use ebonypass_node::sync::lock;
use ebonypass_node::target::Target;
use ebonypass_node::wire::Frame;
use futures_lite::future;
use smol::Timer;

use crate::state::Entry;
use crate::tasks::refresh_targets;
use crate::view::{Parsed, View};

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(50);

/// Follows the policy document.
pub(crate) async fn follow<S: Store, T: Target>(entry: Arc<Entry<S, T>>) {
    loop {
        lock(&entry.members).choose_watcher(clock::now());
        advance(&entry);
        Timer::after(TICK).await;
    }
}

/// Starts the calls that are due, and puts a new document in force.
pub(crate) fn advance<S: Store, T: Target>(entry: &Arc<Entry<S, T>>) {
    loop {
        let action = lock(&entry.members).follower.next_action(clock::now());
        match action {
            Some(Action::Watch { after, wait }) => {
                smol::spawn(watch(entry.clone(), after, wait)).detach();
            }
            Some(Action::Fetch { peer, version }) => {
                smol::spawn(fetch(entry.clone(), peer, version)).detach();
            }
            Some(Action::Apply { version }) => apply(entry, version),
            None => return,
        }
    }
}

async fn watch<S: Store, T: Target>(entry: Arc<Entry<S, T>>, after: u64, wait: Span) {
    let watched = entry.store.watch(POLICY_KEY, after, clock::duration(wait)).await;
    entry.note_store(watched.is_ok() || watched == Err(Error::Absent));
    match watched {
        Ok(Some(object)) => {
            let parsed = smol::unblock(move || scan_object(&object)).await;
            note_parsed(&entry, Source::Store, parsed);
        }
        Ok(None) | Err(Error::Absent) => {
            lock(&entry.members).follower.handle_store_unchanged(clock::now());
        }
        Err(_) => lock(&entry.members).follower.handle_store_failure(clock::now()),
    }
    advance(&entry);
}

async fn fetch<S: Store, T: Target>(entry: Arc<Entry<S, T>>, peer: EntryId, version: u64) {
    let link = lock(&entry.members).link_of(peer);
    let call = async { ask(&*link?, version).await };
    let timer = async {
        Timer::after(clock::duration(FETCH_TIMEOUT)).await;
        None
    };
    match future::or(call, timer).await {
        Some((version, text)) => {
            let parsed = smol::unblock(move || scan_text(version, text)).await;
            note_parsed(&entry, Source::Peer(peer), parsed);
        }
        None => lock(&entry.members).follower.handle_fetch_failure(clock::now(), peer),
    }
    advance(&entry);
}

/// Asks a peer for its document; none if it has none of use.
async fn ask(link: &Link, version: u64) -> Option<(u64, String)> {
    let mut exchange = link.open(&Frame::Fetch(version::Request { version })).await.ok()?;
    let Ok(Frame::Document { version, length }) = exchange.read().await else { return None };
    if version == 0 || length as usize > MAX_DOCUMENT_BYTES {
        return None;
    }
    let text = exchange.read_body(length as usize).await.ok()?;
    Some((version, String::from_utf8(text).ok()?))
}

fn note_parsed<S: Store, T: Target>(
    entry: &Entry<S, T>,
    source: Source,
    (version, parsed): (u64, Result<Parsed, String>),
) {
    let mut members = lock(&entry.members);
    match parsed {
        Ok(parsed) => {
            let parsed = Arc::new(parsed);
            members.follower.handle_document(clock::now(), source, version, parsed);
        }
        Err(fault) => {
            members.follower.handle_invalid_document(clock::now(), source, version);
            note(Event::PolicyFaulty, format_args!("version {version}: {fault}"));
        }
    }
}

/// The document in the value of `policy/current`, or its first fault.
fn scan_object(object: &Object) -> (u64, Result<Parsed, String>) {
    let envelope: Result<Envelope, _> = serde_json::from_slice(&object.value);
    match envelope {
        Ok(envelope) => scan_text(object.version, envelope.text),
        Err(error) => (object.version, Err(error.to_string())),
    }
}

fn scan_text(version: u64, text: String) -> (u64, Result<Parsed, String>) {
    match scan_document(&text) {
        Ok(document) => (version, Ok(Parsed { document, text })),
        Err(faults) => (version, Err(faults[0].to_string())),
    }
}

fn apply<S: Store, T: Target>(entry: &Arc<Entry<S, T>>, version: u64) {
    let mut members = lock(&entry.members);
    let Some(held) = members.follower.current() else { return };
    let view = View::new(held.version, &held.value, &mut lock(&entry.names));
    members.roster.resolve_regions(&view.document);
    if let Some(region) = view.region_of(&entry.settings.data_centre) {
        let region = &view.document.regions[region].name;
        entry.border.resolve(clock::now(), &entry.process, &view.document, region);
    }
    entry.view.store(Some(Arc::new(view)));
    drop(members);
    entry.gauges.policy_version.set(version as i64);
    note(Event::PolicyApplied, format_args!("version {version}"));
    refresh_targets(entry);
}
