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

/// Length of a random secret (session ID, CSRF token or submission id) in bytes. Its text has twice
/// as many hexadecimal digits.
const SECRET_BYTES: usize = 32;

/// A draft of the policy document and the state needed to edit and submit it.
#[derive(Debug, Clone)]
pub(crate) struct Workspace {
    pub(crate) draft: Draft,
    /// The version of the document in the store from which the draft was made; 0 if there was none.
    /// `None` if the store or its document could not be read; the draft cannot be submitted then.
    pub(crate) base_version: Option<u64>,
    /// Number of changes since the log-in, independent of the store's version. Each form contains
    /// it, so that a form that was rendered before the last change is refused.
    pub(crate) revision: u64,
    /// Tells the operator which version the draft was made from, or why it starts empty.
    pub(crate) notice: String,
}

/// A logged-in operator.
#[derive(Debug, Clone)]
pub(crate) struct Session {
    pub(crate) operator: String,
    /// The CSRF token that each form of the session must contain.
    pub(crate) csrf_token: String,
    pub(crate) workspace: Workspace,
    /// When the session was created or last requested; its idle timeout runs from then.
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
    fn lock_unexpired(&self) -> MutexGuard<'_, HashMap<String, Session>> {
        let mut sessions =
            self.by_id.lock().expect("no request panics while it holds the sessions");
        sessions.retain(|_, session| session.last_used.elapsed() < self.idle_timeout);
        sessions
    }

    /// Creates a session and returns its ID; `None` if the system's random number generator fails.
    pub(crate) fn create(&self, operator: String, workspace: Workspace) -> Option<String> {
        let (id, csrf_token) = (new_secret()?, new_secret()?);
        let mut sessions = self.lock_unexpired();
        if sessions.len() >= MAX_SESSIONS {
            let least_recent = sessions.iter().min_by_key(|(_, session)| session.last_used);
            let least_recent = least_recent.map(|(id, _)| id.clone())?;
            sessions.remove(&least_recent);
        }
        sessions.insert(
            id.clone(),
            Session { operator, csrf_token, workspace, last_used: Instant::now() },
        );
        Some(id)
    }

    /// Returns a copy of a session and restarts its idle timeout.
    pub(crate) fn get(&self, id: &str) -> Option<Session> {
        let mut sessions = self.lock_unexpired();
        let session = sessions.get_mut(id)?;
        session.last_used = Instant::now();
        Some(session.clone())
    }

    /// Replaces the workspace of a session if its revision is still `expected_revision`, and sets
    /// the next revision in the new workspace. Returns whether it was replaced.
    pub(crate) fn replace_workspace(
        &self,
        id: &str,
        expected_revision: u64,
        workspace: Workspace,
    ) -> bool {
        let mut sessions = self.lock_unexpired();
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
        self.lock_unexpired().remove(id);
    }
}

/// Returns the operator with `token`. Compares it with every operator's token by
/// [`constant_time_eq`], so that the time does not reveal how much of a token matches.
pub(crate) fn authenticate<'o>(operators: &'o [Operator], token: &str) -> Option<&'o Operator> {
    let mut matching = None;
    for operator in operators {
        if constant_time_eq(&operator.token, token) {
            matching = Some(operator);
        }
    }
    matching
}

/// Compares two secrets. For equal lengths, the time does not depend on their content; secrets of
/// different lengths are told apart at once.
pub(crate) fn constant_time_eq(left: &str, right: &str) -> bool {
    bool::from(left.as_bytes().ct_eq(right.as_bytes()))
}

/// Returns [`SECRET_BYTES`] random bytes as hexadecimal digits; `None` if the system's random
/// number generator fails.
pub(crate) fn new_secret() -> Option<String> {
    let mut bytes = [0; SECRET_BYTES];
    getrandom::fill(&mut bytes).ok()?;
    Some(bytes.iter().map(|byte| format!("{byte:02x}")).collect())
}
