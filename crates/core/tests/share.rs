//! Lending of link rate between two processes.

use ebonypass_core::id::RegionId;
use ebonypass_core::pacer::Rate;
use ebonypass_core::policy::{Document, Link, Region};
use ebonypass_core::roster::{Incarnation, Process};
use ebonypass_core::share::{self, ActiveSeats, Loan, MAX_LOAN_LIFETIME};
use ebonypass_core::time::{Instant, Span};
use test_case::test_case;

const START: Instant = Instant::from_micros(1_000_000);
const ONE_SEAT: ActiveSeats = ActiveSeats { seats: 1, until: Instant::from_micros(11_000_000) };
const NO_SEATS: ActiveSeats = ActiveSeats { seats: 0, until: Instant::MAX };

fn process(name: &str) -> Process {
    Process { name: name.into(), incarnation: Incarnation(1) }
}

fn share() -> share::Allocation {
    let mut share = share::Allocation::new();
    share.set_links([("geneva".to_owned(), 1_000)]);
    share
}

fn request(round: u64, bytes_per_s: u64) -> share::Request {
    share::Request { round, to: "geneva".into(), bytes_per_s }
}

fn loan(round: u64, bytes_per_s: u64) -> Loan {
    Loan { round, to: "geneva".into(), bytes_per_s, lifetime: MAX_LOAN_LIFETIME }
}

fn rate(share: &share::Allocation, now: Instant, active_seats: ActiveSeats) -> u64 {
    share.rate(now, 0, active_seats).0.bytes_per_s
}

// The seats of all processes and their bursts must leave 1% of the cap free.
#[test]
fn cap_split() {
    let mut document = Document::default();
    let from = document.regions.push(Region { name: "zurich".into(), seats: 4 });
    let to = document.regions.push(Region { name: "geneva".into(), seats: 4 });
    document.links.push(Link { from, to, cap_mbit: 4_000, delay: Span::from_millis(20) });
    let mut share = share::Allocation::new();
    share.update_links(&document, RegionId(0), 4);
    let (rate, until) = share.rate(START, 0, ActiveSeats { seats: 4, ..ONE_SEAT });
    // 4,000 Mbit/s are 500,000,000 bytes per second: 96% of them, and a burst of 3% over 100 ms.
    assert_eq!(rate, Rate { bytes_per_s: 480_000_000, burst_bytes: 1_500_000 });
    assert_eq!(until, ONE_SEAT.until);
}

// A lender lends its spare rate, and on a busy link a fair share, so that no borrower starves.
#[test_case(0, 700, 700; "idle lender")]
#[test_case(400, 700, 600; "spare rate")]
#[test_case(1_000, 700, 500; "busy lender")]
#[test_case(1_000, 200, 200; "small request")]
fn loan_size(demand: u64, requested: u64, lent: u64) {
    let mut lender = share();
    let loan =
        lender.handle_loan_request(START, &process("b"), &request(1, requested), ONE_SEAT, demand);
    assert_eq!(loan.map(|loan| loan.bytes_per_s), Some(lent));
    assert_eq!(rate(&lender, START, ONE_SEAT), 1_000 - lent);
    assert_eq!(rate(&lender, lender.lent_until(), ONE_SEAT), 1_000);
}

// A retried request must not lend twice, and an outdated one must not lend at all.
#[test]
fn retried_request() {
    let mut lender = share();
    let first = lender.handle_loan_request(START, &process("b"), &request(2, 400), ONE_SEAT, 0);
    assert_eq!(
        lender.handle_loan_request(START, &process("b"), &request(2, 400), ONE_SEAT, 0),
        first
    );
    assert_eq!(
        lender.handle_loan_request(START, &process("b"), &request(1, 400), ONE_SEAT, 0),
        None
    );
    assert_eq!(rate(&lender, START, ONE_SEAT), 600);
    lender.handle_loan_request(START, &process("c"), &request(1, 400), ONE_SEAT, 0);
    assert_eq!(rate(&lender, START, ONE_SEAT), 200);
}

// Without seats, or with seats that expire soon, no loan is given.
#[test_case(NO_SEATS; "no seat")]
#[test_case(ActiveSeats { seats: 1, until: Instant::from_micros(1_400_000) }; "expires soon")]
fn no_active_seats(active_seats: ActiveSeats) {
    let mut lender = share();
    assert_eq!(
        lender.handle_loan_request(START, &process("b"), &request(1, 400), active_seats, 0),
        None
    );
}

// A loan counts once and from its request. A loan that was not requested does not count.
#[test]
fn loan_use() {
    let mut borrower = share();
    borrower.handle_loan("a", &loan(1, 400));
    assert_eq!(rate(&borrower, START, NO_SEATS), 0);
    let first = borrower.request_loan(START, "a", 0, 400).round;
    let second = borrower.request_loan(START + Span::from_secs(1), "a", 0, 400).round;
    borrower.handle_loan("a", &loan(second, 300));
    borrower.handle_loan("a", &loan(second, 300));
    borrower.handle_loan("a", &loan(first, 400));
    let end = START + Span::from_secs(1) + MAX_LOAN_LIFETIME;
    assert_eq!(borrower.rate(START, 0, NO_SEATS).1, end);
    assert_eq!(rate(&borrower, end - Span::from_micros(1), NO_SEATS), 300);
    assert_eq!(rate(&borrower, end, NO_SEATS), 0);
}
