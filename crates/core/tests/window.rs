//! Sliding windows and retry budgets. The tests guard against a budget that is exceeded within any
//! window.

use ebonypass_core::time::{Instant, Span};
use ebonypass_core::window::{self, RetryBudget};

fn at(ms: u64) -> Instant {
    Instant::ZERO + Span::from_millis(ms)
}

#[test]
fn old_events_expire() {
    let mut window = window::Sliding::new(Span::from_secs(1));
    window.record(at(0));
    window.record(at(600));
    assert_eq!(window.count(at(999)), 2);
    assert_eq!(window.count(at(1_000)), 1);
    assert_eq!(window.count(at(1_600)), 0);
}

#[test]
fn the_budget_is_a_share_of_requests_and_an_allowance() {
    let mut retry_budget = RetryBudget::new(Span::from_secs(10), 10, 2);
    for ms in 0..100 {
        retry_budget.record_request(at(ms));
    }
    let taken = (0..100).filter(|_| retry_budget.try_take(at(200))).count();
    assert_eq!(taken, 12);
    assert!(!retry_budget.try_take(at(9_000)), "retries earlier in the window were not counted");
    assert!(retry_budget.try_take(at(10_200)), "the allowance did not return after the window");
}

#[test]
fn no_window_exceeds_the_budget() {
    let mut retry_budget = RetryBudget::new(Span::from_secs(10), 20, 3);
    let mut taken: Vec<u64> = Vec::new();
    for ms in (0..60_000).step_by(50) {
        if ms % 200 == 0 {
            retry_budget.record_request(at(ms));
        }
        if retry_budget.try_take(at(ms)) {
            taken.push(ms);
        }
    }
    for (index, &start) in taken.iter().enumerate() {
        let count = taken[index..].iter().take_while(|&&ms| ms < start + 10_000).count();
        // 20 percent of the 50 requests in a window, and an allowance of three.
        assert!(count <= 13, "{count} retries in the window from {start} ms");
    }
}
