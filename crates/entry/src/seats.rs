//! Executes the actions of [`ebonypass_core::seat`], which are store calls and messages to peers,
//! and requests loans.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ebonypass_core::object::{ReadReply, Versioned, WriteReply};
use ebonypass_core::seat::{Action, Seats};
use ebonypass_node::clock;
use ebonypass_node::event::{Event, emit};
use ebonypass_node::store::{Error, Object, Store};
use ebonypass_node::sync::lock;
use ebonypass_node::target::Target;
use ebonypass_node::wire::Frame;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::Timer;

use crate::state::Entry;

/// Time between two checks for actions that are due.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Acquires, renews and releases seats, and requests loans when the rate does not meet the demand.
pub(crate) async fn run<S: Store, T: Target>(entry: Arc<Entry<S, T>>) {
    let mut previous_seats = 0;
    loop {
        run_due_actions(&entry);
        send_loan_request(&entry);
        let (seats, rate) = entry.egress.seats_and_rate(clock::now());
        entry.metrics.seats.set(seats as i64);
        entry.metrics.link_rate.set(rate as i64);
        if seats != previous_seats {
            let event = if seats > previous_seats { Event::SeatAcquired } else { Event::SeatLost };
            emit(event, format_args!("{seats} seats in force"));
            previous_seats = seats;
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Starts the store calls and sends the messages that are due.
pub(crate) fn run_due_actions<S: Store, T: Target>(entry: &Arc<Entry<S, T>>) {
    let Some(region) = entry.egress.region() else { return };
    loop {
        let now = clock::now();
        let peers = lock(&entry.peers);
        let entries = peers.ready_count(now, entry.view.load().as_deref(), &region);
        // A leaving process keeps its seats until it has sent its last reply.
        let is_releasing = entry.releasing_seats.load(Ordering::Relaxed);
        let action = entry.egress.next_seat_action(now, &peers.roster, entries, is_releasing);
        let Some(action) = action else { return };
        match action {
            Action::Read => smol::spawn(read_seats(entry.clone(), region.clone())).detach(),
            Action::Write { if_version, seats } => {
                smol::spawn(write_seats(entry.clone(), region.clone(), if_version, seats)).detach();
            }
            Action::Send { to, message } => {
                if let Some(link) = peers.link(&to) {
                    link.send(Frame::SeatVote(message));
                }
            }
        }
    }
}

async fn read_seats<S: Store, T: Target>(entry: Arc<Entry<S, T>>, region: String) {
    let reply = read_object(&entry.store, &seats_key(&region)).await;
    let now = clock::now();
    entry.egress.update_seats(now, |holder| holder.handle_read(now, reply));
    run_due_actions(&entry);
}

async fn write_seats<S: Store, T: Target>(
    entry: Arc<Entry<S, T>>,
    region: String,
    if_version: u64,
    seats: Seats,
) {
    let reply = write_object(&entry.store, &seats_key(&region), &seats, if_version).await;
    let now = clock::now();
    entry.egress.update_seats(now, |holder| holder.handle_write(now, reply));
    run_due_actions(&entry);
}

/// Requests a loan from another entry of the region if the demand for a link exceeds its rate.
fn send_loan_request<S: Store, T: Target>(entry: &Entry<S, T>) {
    let Some(region) = entry.egress.region() else { return };
    let now = clock::now();
    let peers = lock(&entry.peers);
    let Some(lender) = peers.rotating_peer(now, entry.view.load().as_deref(), &region) else {
        return;
    };
    if let Some(request) = entry.egress.next_loan_request(now, &lender)
        && let Some(link) = peers.link(&lender)
    {
        link.send(Frame::RateRequest(request));
    }
}

fn seats_key(region: &str) -> String {
    format!("seats/{region}")
}

/// Reads a JSON object from the store. An object that is not valid JSON for `V` is logged and
/// treated like a missing reply.
pub(crate) async fn read_object<V: DeserializeOwned>(
    store: &impl Store,
    key: &str,
) -> ReadReply<V> {
    match store.get(key).await {
        Ok(Object { version, value }) => match serde_json::from_slice(&value) {
            Ok(value) => ReadReply::Found(Versioned { version, value }),
            Err(error) => {
                emit(Event::ObjectMalformed, format_args!("{key} version {version}: {error}"));
                ReadReply::NoReply
            }
        },
        Err(Error::NotFound) => ReadReply::Absent,
        Err(_) => ReadReply::NoReply,
    }
}

/// Writes a JSON object to the store if its version there is still `if_version`.
pub(crate) async fn write_object(
    store: &impl Store,
    key: &str,
    value: &impl Serialize,
    if_version: u64,
) -> WriteReply {
    let Ok(value) = serde_json::to_vec(value) else { return WriteReply::NoReply };
    match store.put(key, value, if_version).await {
        Ok(version) => WriteReply::Written(version),
        Err(Error::Conflict { current }) => WriteReply::Conflict(current),
        Err(_) => WriteReply::NoReply,
    }
}
