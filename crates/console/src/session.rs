//! Log-in, sessions and their secrets.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use subtle::ConstantTimeEq;

use crate::draft::Draft;
use crate::settings::Operator;

/// Sessions that are kept at once. The one that was idle longest ends when another begins.
const MAX_SESSIONS: usize = 64;

/// Bytes of a random secret.
const SECRET_BYTES: usize = 32;

/// What an operator edits.
#[derive(Debug, Clone)]
pub(crate) struct Work {
    /// The draft.
    pub(crate) draft: Draft,
    /// The store's version from which it was made, 0 if the store had none; none if the store
    /// could not be read, and then nothing can be submitted.
    pub(crate) base: Option<u64>,
    /// Counts changes, so that a form of an older draft is refused.
    pub(crate) revision: u64,
    /// What the operator should know about the base.
    pub(crate) notice: String,
}

/// A logged-in operator.
#[derive(Debug, Clone)]
pub(crate) struct Session {
    /// The operator's name.
    pub(crate) operator: String,
    /// The value that each form must carry.
    pub(crate) csrf: String,
    /// What the operator edits.
    pub(crate) work: Work,
    used: Instant,
}

/// All sessions, by the secret in their cookie.
#[derive(Debug)]
pub(crate) struct Sessions {
    idle: Duration,
    all: Mutex<HashMap<String, Session>>,
}

impl Sessions {
    /// No sessions; each will end after `idle` without a request.
    pub(crate) fn new(idle: Duration) -> Sessions {
        Sessions { idle, all: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Session>> {
        let mut all = self.all.lock().expect("no request panics while it holds the sessions");
        all.retain(|_, session| session.used.elapsed() < self.idle);
        all
    }

    /// Begins a session and returns the secret of its cookie.
    pub(crate) fn begin(&self, operator: String, work: Work) -> Option<String> {
        let (secret, csrf) = (new_secret()?, new_secret()?);
        let mut all = self.lock();
        if all.len() >= MAX_SESSIONS {
            let oldest = all.iter().min_by_key(|(_, session)| session.used);
            let oldest = oldest.map(|(secret, _)| secret.clone())?;
            all.remove(&oldest);
        }
        all.insert(secret.clone(), Session { operator, csrf, work, used: Instant::now() });
        Some(secret)
    }

    /// A copy of the session of `secret`.
    pub(crate) fn get(&self, secret: &str) -> Option<Session> {
        let mut all = self.lock();
        let session = all.get_mut(secret)?;
        session.used = Instant::now();
        Some(session.clone())
    }

    /// Replaces the work of a session if it still has the revision `from`.
    pub(crate) fn replace(&self, secret: &str, from: u64, work: Work) -> bool {
        let mut all = self.lock();
        let Some(session) = all.get_mut(secret).filter(|one| one.work.revision == from) else {
            return false;
        };
        session.work = Work { revision: from + 1, ..work };
        true
    }

    /// Ends a session.
    pub(crate) fn end(&self, secret: &str) {
        self.lock().remove(secret);
    }
}

/// The operator whose token is `token`. Every token is compared, each in a time that does not
/// depend on where the first difference lies.
pub(crate) fn authenticate<'o>(operators: &'o [Operator], token: &str) -> Option<&'o Operator> {
    let mut found = None;
    for operator in operators {
        if is_equal(&operator.token, token) {
            found = Some(operator);
        }
    }
    found
}

/// Compares two secrets in a time that depends on their lengths only.
pub(crate) fn is_equal(left: &str, right: &str) -> bool {
    bool::from(left.as_bytes().ct_eq(right.as_bytes()))
}

/// A random secret in hexadecimal digits; none when the system has no random numbers.
pub(crate) fn new_secret() -> Option<String> {
    let mut bytes = [0; SECRET_BYTES];
    getrandom::fill(&mut bytes).ok()?;
    Some(bytes.iter().map(|byte| format!("{byte:02x}")).collect())
}
