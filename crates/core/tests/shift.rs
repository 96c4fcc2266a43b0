//! Planned shifts: size and interval of steps.

use ebonypass_core::id::{RegionId, ServiceId};
use ebonypass_core::policy::{Document, Region, Service, Shift, ShiftLimit};
use ebonypass_core::shift::{self, Plan};
use ebonypass_core::time::{Instant, Span};
use test_case::test_case;

const START: Instant = Instant::from_micros(1_000_000);
const INTERVAL: Span = Span::from_secs(30);
const DUE: Instant = Instant::from_micros(31_000_000);
const REGIONS: [&str; 3] = ["zurich", "geneva", "lugano"];

/// A document that shifts `percents` of the service's traffic from the first region to the others.
fn document(percents: &[u32]) -> Document {
    let shift_limit = ShiftLimit { max_step_percent: 10, step_interval: INTERVAL };
    let mut document = Document { shift_limit, ..Document::default() };
    for name in REGIONS {
        document.regions.push(Region { name: name.into(), seats: 4 });
    }
    let service = document.services.push(Service {
        name: "rounds".into(),
        members: Vec::new(),
        slots: 3,
        connections: 400,
        placement: Vec::new(),
        kinds: Vec::new(),
    });
    for (index, &percent) in percents.iter().enumerate() {
        let to = RegionId(1 + index as u16);
        document.shifts.push(Shift { service, from: RegionId(0), to, percent });
    }
    document
}

fn plan(percents: &[(usize, u32)]) -> Plan {
    let steps = percents.iter().map(|&(to, percent)| shift::Step {
        service: "rounds".into(),
        from: REGIONS[0].into(),
        to: REGIONS[to].into(),
        percent,
    });
    Plan { epoch: 1, steps: steps.collect() }
}

fn summary(changes: &[shift::Change]) -> Vec<(u16, u32, u16)> {
    changes.iter().map(|change| (change.to.0, change.after, change.receiving_region().0)).collect()
}

// A larger step would hit cold caches with too much traffic at once. Traffic that returns needs
// capacity in its own region.
#[test_case(&[], &[25], &[(1, 10, 1)]; "first step")]
#[test_case(&[(1, 20)], &[25], &[(1, 25, 1)]; "last step")]
#[test_case(&[(1, 25)], &[25], &[]; "complete")]
#[test_case(&[(1, 25)], &[], &[(1, 15, 0)]; "removed from the policy")]
#[test_case(&[(1, 50)], &[60, 10], &[(1, 60, 1)]; "one change at a time")]
#[test_case(&[(1, 60)], &[40, 60], &[(1, 50, 0)]; "reduction first")]
#[test_case(&[(1, 100)], &[100, 10], &[]; "at most 100 percent")]
fn step_size(active: &[(usize, u32)], policy: &[u32], changes: &[(u16, u32, u16)]) {
    let document = document(policy);
    let planner = shift::Planner::new(START, &plan(active), &document);
    let next = planner.next_changes(DUE, &document, false, |_| true);
    assert_eq!(summary(&next), changes);
}

// A step that is early, lacks credit or lacks measurements overloads a region.
#[test_case(START + Span::from_secs(29), false, true; "a new steward waits")]
#[test_case(DUE, true, true; "frozen")]
#[test_case(DUE, false, false; "no credit")]
fn no_step(now: Instant, is_frozen: bool, has_credit: bool) {
    let document = document(&[25]);
    let planner = shift::Planner::new(START, &plan(&[]), &document);
    assert_eq!(planner.next_changes(now, &document, is_frozen, |_| has_credit), []);
}

// Two steps within one interval amount to one step of twice the size.
#[test]
fn step_interval() {
    let document = document(&[25]);
    let mut planner = shift::Planner::new(START, &plan(&[]), &document);
    let mut now = START;
    let mut steps = Vec::new();
    for _ in 0..200 {
        now = now + Span::from_secs(1);
        let changes = planner.next_changes(now, &document, false, |_| true);
        if !changes.is_empty() {
            planner.confirm_written(now, &changes);
            steps.push((now.since(START).as_millis() / 1_000, changes[0].after));
        }
    }
    assert_eq!(steps, [(30, 10), (60, 20), (90, 25)]);
}

// The written plan must match the changes, or entries would route differently from the steward.
#[test]
fn written_plan() {
    let document = document(&[5]);
    let mut planner = shift::Planner::new(START, &plan(&[(2, 10)]), &document);
    let changes = [
        shift::Change {
            service: ServiceId(0),
            from: RegionId(0),
            to: RegionId(1),
            before: 0,
            after: 5,
        },
        shift::Change {
            service: ServiceId(0),
            from: RegionId(0),
            to: RegionId(2),
            before: 10,
            after: 0,
        },
    ];
    let written = planner.plan_with(7, &document, &changes);
    assert_eq!(written, Plan { epoch: 7, ..plan(&[(1, 5)]) });
    planner.confirm_written(DUE, &changes);
    assert_eq!(planner.percent(ServiceId(0), RegionId(0), RegionId(1)), 5);
}
