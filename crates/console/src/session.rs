//! Authentication of operators, and their sessions.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use subtle::ConstantTimeEq;

use crate::draft::Draft;
use crate::settings::Operator;

/// The maximum number of sessions. When it is reached, a new session evicts the one that was idle
/// longest.
const MAX_SESSIONS: usize = 64;

/// Length of a random secret in bytes.
const SECRET_BYTES: usize = 32;

/// The draft that an operator edits and the version that it is based on.
#[derive(Debug, Clone)]
pub(crate) struct Workspace {
    /// The draft.
    pub(crate) draft: Draft,
    /// The store's version that the draft is based on; 0 if the store had no document. `None` if
    /// the store or its document could not be read; the draft cannot be submitted then.
    pub(crate) base_version: Option<u64>,
    /// Incremented by each change, so that a form that was rendered before the last change is
    /// refused.
    pub(crate) revision: u64,
    /// A message for the operator about the origin of the draft.
    pub(crate) notice: String,
}

/// A logged-in operator.
#[derive(Debug, Clone)]
pub(crate) struct Session {
    /// The operator's name.
    pub(crate) operator: String,
    /// The CSRF token that each form of the session must contain.
    pub(crate) csrf_token: String,
    /// The operator's draft.
    pub(crate) workspace: Workspace,
    /// The time of the last request.
    last_used: Instant,
}

/// All sessions by ID, which is the random secret in the session cookie.
#[derive(Debug)]
pub(crate) struct Sessions {
    idle_timeout: Duration,
    by_id: Mutex<HashMap<String, Session>>,
}

impl Sessions {
    /// Creates an empty table of sessions. Each session ends after `idle_timeout` without a
    /// request.
    pub(crate) fn new(idle_timeout: Duration) -> Sessions {
        Sessions { idle_timeout, by_id: Mutex::default() }
    }

    /// Locks the table and removes expired sessions.
    fn lock(&self) -> MutexGuard<'_, HashMap<String, Session>> {
        let mut sessions =
            self.by_id.lock().expect("no request panics while it holds the sessions");
        sessions.retain(|_, session| session.last_used.elapsed() < self.idle_timeout);
        sessions
    }

    /// Creates a session and returns its ID; `None` if the system has no random numbers.
    pub(crate) fn create(&self, operator: String, workspace: Workspace) -> Option<String> {
        let (id, csrf_token) = (new_secret()?, new_secret()?);
        let mut sessions = self.lock();
        if sessions.len() >= MAX_SESSIONS {
            let oldest = sessions.iter().min_by_key(|(_, session)| session.last_used);
            let oldest = oldest.map(|(id, _)| id.clone())?;
            sessions.remove(&oldest);
        }
        sessions.insert(
            id.clone(),
            Session { operator, csrf_token, workspace, last_used: Instant::now() },
        );
        Some(id)
    }

    /// Returns a copy of a session and restarts its idle timeout.
    pub(crate) fn get(&self, id: &str) -> Option<Session> {
        let mut sessions = self.lock();
        let session = sessions.get_mut(id)?;
        session.last_used = Instant::now();
        Some(session.clone())
    }

    /// Replaces the workspace of a session if its revision is still `expected_revision`. Returns
    /// whether it was replaced.
    pub(crate) fn replace_workspace(
        &self,
        id: &str,
        expected_revision: u64,
        workspace: Workspace,
    ) -> bool {
        let mut sessions = self.lock();
        let Some(session) =
            sessions.get_mut(id).filter(|session| session.workspace.revision == expected_revision)
        else {
            return false;
        };
        session.workspace = Workspace { revision: expected_revision + 1, ..workspace };
        true
    }

    /// Ends a session.
    pub(crate) fn remove(&self, id: &str) {
        self.lock().remove(id);
    }
}

/// Returns the operator with `token`. All tokens are compared, each in constant time, so that the
/// time does not reveal how much of a token matches.
pub(crate) fn authenticate<'o>(operators: &'o [Operator], token: &str) -> Option<&'o Operator> {
    let mut matching = None;
    for operator in operators {
        if constant_time_eq(&operator.token, token) {
            matching = Some(operator);
        }
    }
    matching
}

/// Compares two secrets in constant time; only their lengths affect it.
pub(crate) fn constant_time_eq(left: &str, right: &str) -> bool {
    bool::from(left.as_bytes().ct_eq(right.as_bytes()))
}

/// Returns a random secret as hexadecimal digits; `None` if the system has no random numbers.
pub(crate) fn new_secret() -> Option<String> {
    let mut bytes = [0; SECRET_BYTES];
    getrandom::fill(&mut bytes).ok()?;
    Some(bytes.iter().map(|byte| format!("{byte:02x}")).collect())
}
