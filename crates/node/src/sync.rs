//! Locks.

use std::sync::{Mutex, MutexGuard};

/// Locks `mutex`. A panic while it was held elsewhere is not passed on: the process would answer
/// nobody any more.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
