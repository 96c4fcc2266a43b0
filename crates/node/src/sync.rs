//! A helper that locks a mutex without regard to poisoning.

use std::sync::{Mutex, MutexGuard};

/// Locks `mutex` and ignores poisoning: after one panic every later request would panic as well.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
