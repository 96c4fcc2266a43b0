//! Liveness of entries and rendezvous hashing.

use std::collections::HashMap;

use ebonypass_core::id::{EntryId, RegionId, ServiceId};
use ebonypass_core::policy::{Centre, Document, Region, Service};
use ebonypass_core::roster::{
    HEARTBEAT_TIMEOUT, Heartbeat, HeartbeatOutcome, INCARNATION_TIMEOUT, Incarnation, ListedVm,
    PoolKey, Process, Roster,
};
use ebonypass_core::time::{Instant, Span};
use test_case::test_case;

const START: Instant = Instant::from_micros(1_000_000);

fn heartbeat(name: &str, incarnation: u64, sequence: u64) -> Heartbeat {
    Heartbeat {
        process: Process { name: name.into(), incarnation: Incarnation(incarnation) },
        sequence,
        data_centre: "zurich-1".into(),
        leaving: false,
        version: 1,
        steward_epoch: 0,
        draining: Vec::new(),
        pools: Vec::new(),
    }
}

fn document(services: u16) -> Document {
    let mut document = Document::default();
    let region = document.regions.push(Region { name: "zurich".into(), seats: 4 });
    document.centres.push(Centre { name: "zurich-1".into(), region });
    for number in 0..services {
        document.services.push(Service {
            name: format!("service-{number}"),
            members: Vec::new(),
            slots: 1,
            connections: 1,
            placement: Vec::new(),
            kinds: Vec::new(),
        });
    }
    document
}

/// The roster of entry 0 after heartbeats of `count` entries, in an order given by `step`.
fn roster(document: &Document, count: u64, step: u64) -> Roster {
    let mut roster = Roster::new("entry-0", "zurich-1");
    for number in 0..count {
        let name = format!("entry-{}", number * step % count);
        roster.handle_heartbeat(START, &heartbeat(&name, 1, 1));
    }
    roster.resolve_regions(document);
    roster
}

fn owners(roster: &Roster, document: &Document, now: Instant) -> HashMap<u16, String> {
    let owner = |service| {
        let pool = PoolKey::new(document, ServiceId(service), RegionId(0));
        let owner = roster.owner(now, pool).expect("the pool has an owner");
        (service, roster.name(owner).to_owned())
    };
    (0..document.services.len() as u16).map(owner).collect()
}

// A delayed heartbeat must not revive a dead entry or hide a restarted one.
#[test_case(5, 7, 5, 8, true; "next sequence")]
#[test_case(5, 7, 5, 7, false; "duplicate")]
#[test_case(5, 7, 5, 6, false; "old sequence")]
#[test_case(5, 7, 4, 9, false; "old incarnation")]
#[test_case(5, 7, 6, 1, true; "restart")]
fn stale_heartbeats(
    incarnation: u64,
    sequence: u64,
    next: u64,
    next_sequence: u64,
    is_accepted: bool,
) {
    let mut roster = Roster::new("entry-0", "zurich-1");
    roster.handle_heartbeat(START, &heartbeat("entry-1", incarnation, sequence));
    let outcome = roster.handle_heartbeat(START, &heartbeat("entry-1", next, next_sequence));
    assert_eq!(matches!(outcome, HeartbeatOutcome::Accepted(_)), is_accepted);
}

// A wall clock that was set back gives a lower incarnation. The entry must not stay hidden.
#[test]
fn clock_back() {
    let mut roster = Roster::new("entry-0", "zurich-1");
    roster.handle_heartbeat(START, &heartbeat("entry-1", 9, 1));
    let late = START + INCARNATION_TIMEOUT;
    assert_eq!(
        roster.handle_heartbeat(late, &heartbeat("entry-1", 3, 1)),
        HeartbeatOutcome::Accepted(EntryId(1))
    );
    assert_eq!(roster.incarnation(EntryId(1)), Some(Incarnation(3)));
}

// An entry that stopped sending heartbeats must lose its pools.
#[test]
fn heartbeat_timeout() {
    let mut roster = Roster::new("entry-0", "zurich-1");
    roster.handle_heartbeat(START, &heartbeat("entry-1", 1, 1));
    let last = START + HEARTBEAT_TIMEOUT - Span::from_micros(1);
    assert!(roster.is_live(last, EntryId(1)));
    assert!(!roster.is_live(START + HEARTBEAT_TIMEOUT, EntryId(1)));
    assert!(roster.is_live(START + HEARTBEAT_TIMEOUT, roster.local_entry()));
}

// A leaving entry must get no new pools, whichever source reports it first.
#[test_case(true, false; "own flag")]
#[test_case(false, true; "vm list")]
fn leaving_entry(flag: bool, listed: bool) {
    let document = document(32);
    let mut roster = roster(&document, 4, 1);
    roster.handle_heartbeat(START, &Heartbeat { leaving: flag, ..heartbeat("entry-2", 1, 2) });
    let list = [ListedVm { name: "entry-2", data_centre: "zurich-1", leaving: listed }];
    roster.handle_vm_list(START, list);
    assert!(owners(&roster, &document, START).values().all(|owner| owner != "entry-2"));
    assert!(roster.is_live(START, roster.entry("entry-2").unwrap()));
}

// Processes that learned of the entries in different orders must agree on each owner.
#[test]
fn same_owners() {
    let document = document(200);
    let one = roster(&document, 11, 1);
    let other = roster(&document, 11, 7);
    assert_eq!(owners(&one, &document, START), owners(&other, &document, START));
}

// A membership change must move only the pools of the entry that left.
#[test]
fn minimal_disruption() {
    let document = document(400);
    let mut roster = roster(&document, 12, 1);
    let before = owners(&roster, &document, START);
    roster.handle_heartbeat(START, &Heartbeat { leaving: true, ..heartbeat("entry-5", 1, 2) });
    let after = owners(&roster, &document, START);
    let mut moved = 0;
    for (service, owner) in before {
        if owner == "entry-5" {
            moved += 1;
        } else {
            assert_eq!(after[&service], owner);
        }
    }
    // 400 pools over 12 entries: 33 each on average.
    assert!((10..=70).contains(&moved), "{moved}");
}

// A policy document that lists services in another order must not move pools.
#[test]
fn document_order() {
    let first = document(2);
    let mut second = Document { services: Default::default(), ..first.clone() };
    second.services.push(first.services[ServiceId(1)].clone());
    let old = PoolKey::new(&first, ServiceId(1), RegionId(0));
    assert_eq!(old, PoolKey::new(&second, ServiceId(0), RegionId(0)));
}

// A data centre with one watcher would miss changes while that watcher is down.
#[test]
fn two_watchers() {
    let mut roster = Roster::new("entry-0", "zurich-1");
    assert_eq!(roster.watchers(START, "zurich-1"), [Some(roster.local_entry()), None]);
    for number in 1..6 {
        roster.handle_heartbeat(START, &heartbeat(&format!("entry-{number}"), 1, 1));
    }
    let [first, second] = roster.watchers(START, "zurich-1");
    assert!(first.is_some() && second.is_some() && first != second);
    assert_eq!(roster.watchers(START, "zurich-2"), [None, None]);
}

// The time since the last VM list must not count as absence.
#[test]
fn confirmed_absence() {
    let mut roster = Roster::new("entry-0", "zurich-1");
    let listed = [ListedVm { name: "entry-1", data_centre: "zurich-1", leaving: false }];
    assert!(roster.handle_vm_list(START, listed));
    assert_eq!(roster.absence(EntryId(1)), None);
    roster.handle_vm_list(START, []);
    assert_eq!(roster.absence(EntryId(1)), Some(Span::ZERO));
    roster.handle_vm_list(START + Span::from_secs(4), []);
    assert_eq!(roster.absence(EntryId(1)), Some(Span::from_secs(4)));
    roster.handle_vm_list(START + Span::from_secs(5), listed);
    assert_eq!(roster.absence(EntryId(1)), None);
}

// If one process had two texts, it would count as two holders of one lease.
#[test_case("zurich-1-a.k3f9", true; "typical")]
#[test_case("zurich-1-a.0", true; "zero")]
#[test_case("zurich-1-a.3w5e11264sgsf", true; "largest")]
#[test_case("zurich-1-a.3w5e11264sgsg", false; "too large")]
#[test_case("zurich-1-a.K3F9", false; "capitals")]
#[test_case("zurich-1-a.+k3", false; "sign")]
#[test_case("zurich-1-a.0k3", false; "leading zero")]
#[test_case("zurich-1-a.", false; "no incarnation")]
#[test_case("zurich-1-a", false; "no dot")]
#[test_case(".k3f9", false; "no name")]
fn process_text(text: &str, valid: bool) {
    let process: Result<Process, _> = text.parse();
    assert_eq!(
        process.map(|process| process.to_string()),
        valid.then(|| text.into()).ok_or(ebonypass_core::roster::ParseProcessError)
    );
}
