//! Parsing of request keys, and the arbiter's journal.

use ebonypass_core::key::{
    self, Claim, GRANT_WINDOW_S, Journal, MAX_KEY_BYTES, RETENTION_S, Token, scan_key, scan_token,
};
use ebonypass_core::time::{Instant, Span};
use proptest::prelude::*;
use test_case::test_case;

fn at(second: u64) -> Instant {
    Instant::ZERO + Span::from_secs(second)
}

fn claim(key: u128, issued_s: u64, dispatch_id: u64) -> Claim {
    Claim { digest: key, issued_s, dispatch_id }
}

#[test_case("zurich-1-a.1f.120/7", Some(("zurich-1-a", 0x1f, 120)); "valid")]
#[test_case("zurich-1-a.1f.120/", None; "no nonce")]
#[test_case("zurich-1-a.1f.120", None; "no separator")]
#[test_case(".1f.120/7", None; "no entry")]
#[test_case("a.xyz.120/7", None; "bad incarnation")]
#[test_case("a.1f.-1/7", None; "bad issue")]
#[test_case("a.1f.120/7 8", None; "space")]
#[test_case("plain", None; "no token")]
fn scan_key_parts(text: &str, expected: Option<(&str, u64, u64)>) {
    let expected =
        expected.map(|(entry, incarnation, issued_s)| Token { entry, incarnation, issued_s });
    assert_eq!(scan_key(text), expected);
}

/// A key over the size limit must be rejected, so that it cannot take up memory.
#[test]
fn rejects_long_key() {
    assert_eq!(scan_key(&format!("a.1.1/{}", "7".repeat(MAX_KEY_BYTES))), None);
}

/// The reply to a second dispatch depends on how the first one ended.
#[test_case(None, key::Reply::Running; "running")]
#[test_case(Some(key::Execution::Ran), key::Reply::Ran; "ran")]
#[test_case(Some(key::Execution::Unknown), key::Reply::Unknown; "unknown")]
#[test_case(Some(key::Execution::NotRun), key::Reply::Granted; "not run")]
fn second_claim(status: Option<key::Execution>, expected: key::Reply) {
    let mut journal = Journal::new(10);
    let first = claim(1, 100, 1);
    assert_eq!(journal.claim(at(100), first), key::Reply::Granted);
    if let Some(status) = status {
        journal.record_execution(first, status);
    }
    assert_eq!(journal.claim(at(101), claim(1, 100, 2)), expected);
}

/// The retry of a claim whose reply was lost must not look like a repeated key.
#[test]
fn retried_claim() {
    let mut journal = Journal::new(10);
    assert_eq!(journal.claim(at(5), claim(1, 5, 1)), key::Reply::Granted);
    assert_eq!(journal.claim(at(6), claim(1, 5, 1)), key::Reply::Granted);
}

/// A late report of an earlier dispatch must not free a key that another dispatch holds.
#[test]
fn stale_report() {
    let mut journal = Journal::new(10);
    let (first, second) = (claim(1, 5, 1), claim(1, 5, 2));
    journal.claim(at(5), first);
    journal.record_execution(first, key::Execution::NotRun);
    assert_eq!(journal.claim(at(6), second), key::Reply::Granted);
    journal.record_execution(first, key::Execution::NotRun);
    assert_eq!(journal.claim(at(7), claim(1, 5, 3)), key::Reply::Running);
}

#[test_case(99, key::Reply::Expired; "issued in the future")]
#[test_case(100, key::Reply::Granted; "just issued")]
#[test_case(100 + GRANT_WINDOW_S - 1, key::Reply::Granted; "last second")]
#[test_case(100 + GRANT_WINDOW_S, key::Reply::Expired; "too old")]
fn key_age(now_s: u64, expected: key::Reply) {
    let mut journal = Journal::new(10);
    assert_eq!(journal.claim(at(now_s), claim(1, 100, 1)), expected);
}

/// A full journal must refuse new keys, and accept them again when old claims have expired.
#[test]
fn full_journal() {
    let mut journal = Journal::new(2);
    assert_eq!(journal.claim(at(0), claim(1, 0, 1)), key::Reply::Granted);
    assert_eq!(journal.claim(at(0), claim(2, 0, 1)), key::Reply::Granted);
    assert_eq!(journal.claim(at(0), claim(3, 0, 1)), key::Reply::Full);
    let later = RETENTION_S + 60;
    assert_eq!(journal.claim(at(later), claim(4, later, 1)), key::Reply::Granted);
    assert_eq!(journal.len(), 1);
}

#[derive(Debug, Clone)]
enum Step {
    Wait(u64),
    Claim { key: u8, dispatch_id: u64 },
    Report { key: u8, dispatch_id: u64, status: key::Execution },
}

fn step() -> impl Strategy<Value = Step> {
    let status = prop_oneof![
        Just(key::Execution::NotRun),
        Just(key::Execution::Ran),
        Just(key::Execution::Unknown)
    ];
    prop_oneof![
        (0_u64..400).prop_map(Step::Wait),
        (0_u8..4, 0_u64..3).prop_map(|(key, dispatch_id)| Step::Claim { key, dispatch_id }),
        (0_u8..4, 0_u64..3, status).prop_map(|(key, dispatch_id, status)| Step::Report {
            key,
            dispatch_id,
            status
        }),
    ]
}

proptest! {
    /// A key must not be granted to a second dispatch unless the first one reported that the
    /// request was not run. Guards at-most-once execution.
    #[test]
    fn single_grant(steps in prop::collection::vec(step(), 1..120), capacity in 1_usize..6) {
        let mut journal = Journal::new(capacity);
        let mut now_s = 0;
        let mut holders: [Option<u64>; 4] = [None; 4];
        for step in steps {
            match step {
                Step::Wait(seconds) => now_s += seconds,
                Step::Claim { key, dispatch_id } => {
                    let issued_s = 50 * u64::from(key);
                    let reply = journal.claim(at(now_s), claim(key.into(), issued_s, dispatch_id));
                    if reply == key::Reply::Granted {
                        let holder = &mut holders[usize::from(key)];
                        prop_assert!(holder.is_none() || *holder == Some(dispatch_id));
                        *holder = Some(dispatch_id);
                    }
                }
                Step::Report { key, dispatch_id, status } => {
                    journal.record_execution(
                        claim(key.into(), 50 * u64::from(key), dispatch_id),
                        status,
                    );
                    let holder = &mut holders[usize::from(key)];
                    if status == key::Execution::NotRun && *holder == Some(dispatch_id) {
                        *holder = None;
                    } else if *holder == Some(dispatch_id) {
                        // The key must not be granted to any dispatch again.
                        *holder = Some(u64::MAX);
                    }
                }
            }
        }
    }

    /// Scanning arbitrary text must not panic, and a scanned token must survive a round trip.
    #[test]
    fn arbitrary_token(text in ".{0,40}") {
        if let Some(token) = scan_token(&text) {
            let written = token.to_string();
            prop_assert_eq!(scan_token(&written), Some(token));
        }
        let _ = scan_key(&text);
    }
}
