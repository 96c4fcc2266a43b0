//! Submits policy documents through the store.

use std::time::Instant as StdInstant;

use ebonypass_core::object::{ReadReply, Versioned, WriteReply};
use ebonypass_core::submission::{self, Envelope, Outcome, Step, Submission};
use ebonypass_core::time::{Instant, Span};

use crate::store::{Error, POLICY_KEY, Store};

/// Creates the id of a submission by `operator`, with 128 random bits.
pub fn new_id(operator: impl Into<String>) -> submission::Id {
    let submission = format!("{:016x}{:016x}", fastrand::u64(..), fastrand::u64(..));
    submission::Id { submission, operator: operator.into() }
}

/// Reads the policy object.
///
/// Errors: those of the store, and [`Error::Malformed`] if the value is not an envelope.
pub async fn read_policy(store: &impl Store) -> Result<Versioned<Envelope>, Error> {
    let object = store.get(POLICY_KEY).await?;
    let value = serde_json::from_slice(&object.value)
        .map_err(|error| Error::Malformed(error.to_string()))?;
    Ok(Versioned { version: object.version, value })
}

/// Runs `submission` until it is settled. Gives up after about 30 s if the store is down.
pub async fn submit(store: &impl Store, mut submission: Submission) -> Outcome {
    let start = StdInstant::now();
    let now = || Instant::from_micros(start.elapsed().as_micros() as u64);
    loop {
        match submission.next_step(now()) {
            Step::Read => {
                let read = read(store).await;
                submission.handle_read(now(), read);
            }
            Step::Write { if_version, envelope } => {
                let reply = write(store, if_version, &envelope).await;
                submission.handle_write(now(), reply);
            }
            Step::Wait(at) => sleep(at.since(now())).await,
            Step::Done(settled) => return settled,
        }
    }
}

async fn read(store: &impl Store) -> ReadReply<Envelope> {
    match read_policy(store).await {
        Ok(held) => ReadReply::Found(held),
        Err(Error::NotFound) => ReadReply::Absent,
        Err(_) => ReadReply::NoReply,
    }
}

async fn write(store: &impl Store, if_version: u64, envelope: &Envelope) -> WriteReply {
    let Ok(value) = serde_json::to_vec(envelope) else { return WriteReply::NoReply };
    match store.put(POLICY_KEY, value, if_version).await {
        Ok(version) => WriteReply::Written(version),
        Err(Error::Conflict { current }) => WriteReply::Conflict(current),
        Err(_) => WriteReply::NoReply,
    }
}

async fn sleep(span: Span) {
    smol::Timer::after(std::time::Duration::from_micros(span.as_micros())).await;
}
