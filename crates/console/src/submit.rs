//! Takes a document into the store and finds out what became of it.

use std::time::Instant as SystemInstant;

use ebonypass_core::object::{Held, Read, Reply};
use ebonypass_core::submission::{Author, Envelope, Settled, Step, Submission};
use ebonypass_core::time::Instant;
use ebonypass_node::store::{Error, Http, POLICY_KEY, Store};
use smol::Timer;

/// Submits `text`, made from version `base`, and waits until the result is known or 30 s are over.
pub(crate) async fn submit(store: &Http, author: Author, text: String, base: u64) -> Settled {
    let start = SystemInstant::now();
    let now = || Instant::from_micros(start.elapsed().as_micros() as u64);
    let mut submission = Submission::new(author, text).with_base(base);
    loop {
        match submission.next_step(now()) {
            Step::Read => {
                let read = read(store).await;
                submission.note_read(now(), read);
            }
            Step::Write { if_version, envelope } => {
                let reply = write(store, if_version, &envelope).await;
                submission.note_write(now(), reply);
            }
            Step::Wait(at) => {
                Timer::after(std::time::Duration::from_micros(at.since(now()).as_micros())).await;
            }
            Step::Settled(settled) => return settled,
        }
    }
}

async fn read(store: &Http) -> Read<Envelope> {
    match store.get(POLICY_KEY).await {
        Ok(object) => match serde_json::from_slice(&object.value) {
            Ok(value) => Read::Found(Held { version: object.version, value }),
            Err(_) => Read::Silent,
        },
        Err(Error::Absent) => Read::Absent,
        Err(_) => Read::Silent,
    }
}

async fn write(store: &Http, if_version: u64, envelope: &Envelope) -> Reply {
    let value = serde_json::to_vec(envelope).expect("an envelope is JSON");
    match store.put(POLICY_KEY, value, if_version).await {
        Ok(version) => Reply::Written(version),
        Err(Error::Conflict { current }) => Reply::Conflict(current),
        Err(_) => Reply::Silent,
    }
}

/// What an operator reads about the result.
pub(crate) fn message(settled: &Settled) -> String {
    match settled {
        Settled::Accepted => "The document was accepted.".to_owned(),
        Settled::Refused { winner } => format!(
            "The document was not accepted: {} submitted another one first (submission {}). \
             Reload to see it; reloading discards this draft.",
            winner.operator, winner.submission
        ),
        Settled::Unreachable => {
            "The store could not be reached. Nothing was submitted; try again later.".to_owned()
        }
        Settled::Unknown => "It is not known whether the document was accepted. Do not submit \
                             again before the status page shows the store's version."
            .to_owned(),
    }
}
