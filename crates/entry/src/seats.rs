//! Carries out what [`ebonypass_core::seat`] decides: store calls, frames and loans.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ebonypass_core::object::{ReadReply, Versioned, WriteReply};
use ebonypass_core::seat::{Action, Seats};
use ebonypass_node::clock;
use ebonypass_node::event::{Event, note};
use ebonypass_node::store::{Error, Object, Store};
use ebonypass_node::sync::lock;
use ebonypass_node::target::Target;
use ebonypass_node::wire::Frame;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::Timer;

use crate::state::Entry;

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(50);

/// Keeps seats and loans.
pub(crate) async fn run<S: Store, T: Target>(entry: Arc<Entry<S, T>>) {
    let mut held = 0;
    loop {
        advance(&entry);
        borrow(&entry);
        let (seats, rate) = entry.egress.seats_and_rate(clock::now());
        entry.metrics.seats.set(seats as i64);
        entry.metrics.link_rate.set(rate as i64);
        if seats != held {
            let event = if seats > held { Event::SeatHeld } else { Event::SeatLost };
            note(event, format_args!("{seats} in force"));
            held = seats;
        }
        Timer::after(TICK).await;
    }
}

/// Starts the calls and sends the frames that are due.
pub(crate) fn advance<S: Store, T: Target>(entry: &Arc<Entry<S, T>>) {
    let Some(region) = entry.egress.region() else { return };
    loop {
        let now = clock::now();
        let peers = lock(&entry.peers);
        let entries = peers.ready_count(now, entry.view.load().as_deref(), &region);
        // Replies that a leaving process still has to send need its seats.
        let is_closing = entry.releasing_seats.load(Ordering::Relaxed);
        let action = entry.egress.next_seat_action(now, &peers.roster, entries, is_closing);
        let Some(action) = action else { return };
        match action {
            Action::Read => smol::spawn(read(entry.clone(), region.clone())).detach(),
            Action::Write { if_version, seats } => {
                smol::spawn(write(entry.clone(), region.clone(), if_version, seats)).detach();
            }
            Action::Send { to, message } => {
                if let Some(link) = peers.link(&to) {
                    link.send(Frame::Seat(message));
                }
            }
        }
    }
}

async fn read<S: Store, T: Target>(entry: Arc<Entry<S, T>>, region: String) {
    let read = read_object(&entry.store, &seat_key(&region)).await;
    let now = clock::now();
    entry.egress.update_seats(now, |holder| holder.handle_read(now, read));
    advance(&entry);
}

async fn write<S: Store, T: Target>(
    entry: Arc<Entry<S, T>>,
    region: String,
    if_version: u64,
    seats: Seats,
) {
    let reply = write_object(&entry.store, &seat_key(&region), &seats, if_version).await;
    let now = clock::now();
    entry.egress.update_seats(now, |holder| holder.handle_write(now, reply));
    advance(&entry);
}

/// Asks the next neighbour for rate, if some is missing.
fn borrow<S: Store, T: Target>(entry: &Entry<S, T>) {
    let Some(region) = entry.egress.region() else { return };
    let now = clock::now();
    let peers = lock(&entry.peers);
    let Some(lender) = peers.rotating_peer(now, entry.view.load().as_deref(), &region) else {
        return;
    };
    if let Some(borrow) = entry.egress.next_loan_request(now, &lender)
        && let Some(link) = peers.link(&lender)
    {
        link.send(Frame::Borrow(borrow));
    }
}

fn seat_key(region: &str) -> String {
    format!("seats/{region}")
}

/// Reads a JSON object for the decisions of the core. One that cannot be read counts as silent.
pub(crate) async fn read_object<V: DeserializeOwned>(
    store: &impl Store,
    key: &str,
) -> ReadReply<V> {
    match store.get(key).await {
        Ok(Object { version, value }) => match serde_json::from_slice(&value) {
            Ok(value) => ReadReply::Found(Versioned { version, value }),
            Err(error) => {
                note(Event::ObjectMalformed, format_args!("{key} version {version}: {error}"));
                ReadReply::NoReply
            }
        },
        Err(Error::Absent) => ReadReply::Absent,
        Err(_) => ReadReply::NoReply,
    }
}

/// Writes a JSON object for the decisions of the core.
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
