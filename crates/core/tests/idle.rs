//! Limits on the idle time of kept connections. The tests guard against requests lost on
//! connections that targets have already closed, and against giving up kept connections because one
//! target crashed.

use ebonypass_core::id::TargetId;
use ebonypass_core::idle;
use ebonypass_core::time::{Instant, Span};
use test_case::test_case;

const STATED_LIMIT: Span = Span::from_secs(9);
const QUICK_LOSS: Span = Span::from_millis(40);

fn at(ms: u64) -> Instant {
    Instant::ZERO + Span::from_millis(ms)
}

/// Losses on kept connections: time, target, idle time and time until the loss.
#[test_case(&[(0, 1, 400, 40), (500, 2, 600, 40)], 200; "losses at two targets")]
#[test_case(&[(0, 1, 400, 40)], 9_000; "a single loss")]
#[test_case(&[(0, 1, 400, 40), (500, 1, 600, 40)], 9_000; "two losses at one target")]
#[test_case(&[(0, 1, 400, 300), (500, 2, 600, 300)], 9_000; "losses after the work had started")]
#[test_case(&[(0, 1, 400, 40), (4_000, 2, 600, 40)], 9_000; "losses far apart")]
#[test_case(&[(0, 1, 400, 40), (500, 2, 600, 40), (900, 3, 150, 40)], 75; "a third loss after a shorter idle time")]
fn losses_reduce_the_idle_limit(losses: &[(u64, u32, u64, u64)], limit_ms: u64) {
    let mut limit = idle::Limit::default();
    let mut end = 0;
    for &(ms, target, idle_ms, time_ms) in losses {
        let (idle, time) = (Span::from_millis(idle_ms), Span::from_millis(time_ms));
        limit.record_loss(at(ms), TargetId(target), idle, time);
        end = ms;
    }
    assert_eq!(limit.limit(at(end + 1), STATED_LIMIT), Span::from_millis(limit_ms));
}

#[test]
fn the_stated_limit_applies_again_later() {
    let mut limit = idle::Limit::default();
    let idle = Span::from_millis(400);
    assert!(!limit.record_loss(at(0), TargetId(1), idle, QUICK_LOSS));
    assert!(limit.record_loss(at(100), TargetId(2), idle, QUICK_LOSS));
    assert!(
        !limit.record_loss(at(200), TargetId(3), idle, QUICK_LOSS),
        "the reduction was reported twice"
    );
    assert!(limit.limit(at(5_100), STATED_LIMIT) < STATED_LIMIT);
    assert_eq!(limit.limit(at(5_300), STATED_LIMIT), STATED_LIMIT);
}
