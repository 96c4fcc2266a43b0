//! IdleLimit in kept connections. It guards against work that is lost on connections that targets have
//! forgotten, and against connections that are opened anew for one target's crash.

use ebonypass_core::id::TargetId;
use ebonypass_core::idle_limit::IdleLimit;
use ebonypass_core::time::{Instant, Span};
use test_case::test_case;

const STATED: Span = Span::from_secs(9);
const QUICK: Span = Span::from_millis(40);

fn at(ms: u64) -> Instant {
    Instant::ZERO + Span::from_millis(ms)
}

/// Losses on kept connections: when, at which target, after how long an idle time, and how soon.
#[test_case(&[(0, 1, 400, 40), (500, 2, 600, 40)], 200; "two targets")]
#[test_case(&[(0, 1, 400, 40)], 9_000; "one loss")]
#[test_case(&[(0, 1, 400, 40), (500, 1, 600, 40)], 9_000; "one target twice")]
#[test_case(&[(0, 1, 400, 300), (500, 2, 600, 300)], 9_000; "losses of work that had begun")]
#[test_case(&[(0, 1, 400, 40), (4_000, 2, 600, 40)], 9_000; "losses far apart")]
#[test_case(&[(0, 1, 400, 40), (500, 2, 600, 40), (900, 3, 150, 40)], 75; "a shorter time")]
fn losses_limit_the_idle_time(losses: &[(u64, u32, u64, u64)], limit_ms: u64) {
    let mut idle_limit = IdleLimit::default();
    let mut end = 0;
    for &(ms, target, idle_ms, time_ms) in losses {
        let (idle, time) = (Span::from_millis(idle_ms), Span::from_millis(time_ms));
        idle_limit.record_loss(at(ms), TargetId(target), idle, time);
        end = ms;
    }
    assert_eq!(idle_limit.limit(at(end + 1), STATED), Span::from_millis(limit_ms));
}

#[test]
fn trust_returns() {
    let mut idle_limit = IdleLimit::default();
    let idle = Span::from_millis(400);
    assert!(!idle_limit.record_loss(at(0), TargetId(1), idle, QUICK));
    assert!(idle_limit.record_loss(at(100), TargetId(2), idle, QUICK));
    assert!(!idle_limit.record_loss(at(200), TargetId(3), idle, QUICK), "told once");
    assert!(idle_limit.limit(at(5_100), STATED) < STATED);
    assert_eq!(idle_limit.limit(at(5_300), STATED), STATED);
}
