//! Stop requests and signals.

use std::time::Duration;

use ebonypass_node::stop::{Stop, wait_for_signal};
use futures_lite::future;

/// A stop request reaches every clone, and waiting after the request returns at once.
#[test]
fn trigger_reaches_clones() {
    let (trigger, stop) = Stop::new();
    let other = stop.clone();
    assert!(!other.is_requested());
    trigger.request_stop();
    trigger.request_stop();
    assert!(stop.is_requested());
    smol::block_on(future::zip(stop.requested(), other.requested()));
}

/// SIGTERM ends the wait instead of the process.
#[test]
fn sigterm_ends_wait() {
    let wait = smol::spawn(wait_for_signal());
    smol::block_on(async {
        smol::Timer::after(Duration::from_millis(50)).await;
        signal_hook::low_level::raise(signal_hook::consts::SIGTERM).expect("raise");
        wait.await.expect("signal");
    });
}
