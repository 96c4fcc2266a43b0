//! The choice between targets, and loads played against a model of them: few slots, long work, and
//! objects that a target has at hand. They guard against objects that move about, targets that fail
//! or leave and still get work, and cold targets that get too much.

mod played;

use std::collections::{HashMap, HashSet};

use ebonypass_core::balancer::{
    AttemptOutcome, Backlog, Balancer, Choice, Config, LoadReport, Query, Refusal, RegionSet,
    TargetSpec,
};
use ebonypass_core::id::ServiceId;
use ebonypass_core::time::{Instant, Span};
use played::{Placement, Play};
use test_case::test_case;

fn balancer() -> Balancer {
    let regions = [("za", "zurich"), ("ga", "geneva")];
    let regions: HashMap<String, String> =
        regions.into_iter().map(|(c, r)| (c.to_owned(), r.to_owned())).collect();
    Balancer::new(Config {
        machine: "vm-1".to_owned(),
        region: "zurich".to_owned(),
        centre_regions: regions,
    })
}

fn spec(id: &str, centre: &str) -> TargetSpec {
    TargetSpec {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        centre: centre.to_owned(),
        slots: 3,
        is_leaving: false,
        cold_for: Span::ZERO,
        start_unix_ms: Some(1),
    }
}

fn at(ms: u64) -> Instant {
    Instant::ZERO + Span::from_millis(ms)
}

fn query(service: ServiceId, object: u64) -> Query<'static> {
    Query {
        service,
        route: 1,
        object: Some(object),
        allowed_regions: RegionSet::ANY,
        tried: &[],
        latency_objective: Span::from_millis(400),
        time_left: Span::from_millis(2_000),
    }
}

fn choose(balancer: &mut Balancer, ms: u64, object: u64) -> Result<Choice, Refusal> {
    let service = balancer.service_id("s");
    balancer.choose(at(ms), &query(service, object))
}

fn name(balancer: &Balancer, choice: &Choice) -> String {
    balancer.target(choice.target).spec.id.clone()
}

#[test]
fn an_object_stays_at_its_target() {
    let mut balancer = balancer();
    for index in 0..4 {
        balancer.upsert_target(at(0), spec(&format!("t-{index}"), "za"));
    }
    let mut used = HashSet::new();
    for object in 0..40 {
        let first = choose(&mut balancer, 0, object).unwrap();
        let again = choose(&mut balancer, 5, object).unwrap();
        assert_eq!(first.target, again.target);
        used.insert(first.target);
    }
    assert_eq!(used.len(), 4, "objects spread over all targets");
}

#[test]
fn machines_of_a_region_agree() {
    let mut balancers = [balancer(), balancer()];
    for index in 0..6 {
        balancers[0].upsert_target(at(0), spec(&format!("t-{index}"), "za"));
        balancers[1].upsert_target(at(0), spec(&format!("t-{}", 5 - index), "za"));
    }
    for object in 0..50 {
        let [a, b] = balancers.each_mut().map(|balancer| {
            let choice = choose(balancer, 0, object).unwrap();
            name(balancer, &choice)
        });
        assert_eq!(a, b);
    }
}

/// Changes after which a target gets nothing.
#[test_case(|balancer| { balancer.upsert_target(at(1), TargetSpec { is_leaving: true, ..spec("t-1", "za") }); }; "it leaves")]
#[test_case(|balancer| { balancer.remove_target("t-1"); }; "it is gone")]
#[test_case(|balancer| balancer.set_evacuated_centres(["za".to_owned()].into()); "its data centre is evacuated")]
fn a_target_gets_nothing_more(change: fn(&mut Balancer)) {
    let mut balancer = balancer();
    balancer.upsert_target(at(0), spec("t-1", "za"));
    assert!(choose(&mut balancer, 1, 1).is_ok());
    change(&mut balancer);
    assert_eq!(choose(&mut balancer, 2, 1), Err(Refusal::NoTarget));
}

#[test]
fn a_misplaced_target_gets_nothing_until_it_starts_again() {
    let mut balancer = balancer();
    balancer.upsert_target(at(0), spec("t-1", "za"));
    let choice = choose(&mut balancer, 1, 1).unwrap();
    let attempt = balancer.start_attempt(at(1), &choice);
    balancer.finish_attempt(at(2), attempt, AttemptOutcome::Gone);
    balancer.upsert_target(at(3), spec("t-1", "za"));
    assert_eq!(choose(&mut balancer, 3, 1), Err(Refusal::NoTarget));
    balancer.upsert_target(at(4), TargetSpec { start_unix_ms: Some(2), ..spec("t-1", "za") });
    assert!(choose(&mut balancer, 4, 1).is_ok());
}

#[test]
fn homes_bind() {
    let mut balancer = balancer();
    balancer.upsert_target(at(0), spec("t-far", "ga"));
    let service = balancer.service_id("s");
    let homes = balancer.region_set(&["zurich".to_owned()]);
    let bound = Query { allowed_regions: homes, ..query(service, 1) };
    assert_eq!(balancer.choose(at(1), &bound), Err(Refusal::NoTarget));
    balancer.upsert_target(at(1), spec("t-near", "za"));
    let choice = balancer.choose(at(2), &bound).unwrap();
    assert_eq!(name(&balancer, &choice), "t-near");
    let nowhere = balancer.region_set(&["rome".to_owned()]);
    assert!(balancer.choose(at(2), &Query { allowed_regions: nowhere, ..bound }).is_err());
}

#[test]
fn a_failed_target_is_passed_over_and_tried_again() {
    let mut balancer = balancer();
    balancer.upsert_target(at(0), spec("t-1", "za"));
    balancer.upsert_target(at(0), spec("t-2", "za"));
    let first = choose(&mut balancer, 1, 1).unwrap();
    for ms in 2..5 {
        let attempt = balancer.start_attempt(at(ms), &first);
        balancer.finish_attempt(at(ms), attempt, AttemptOutcome::Unreachable);
    }
    assert_ne!(choose(&mut balancer, 6, 1).unwrap().target, first.target);
    assert_eq!(choose(&mut balancer, 60_000, 1).unwrap().target, first.target);
}

#[test]
fn work_that_cannot_be_done_in_time_is_refused_with_a_wait() {
    let mut balancer = balancer();
    let id = balancer.upsert_target(at(0), spec("t-1", "za"));
    balancer.record_load(at(1), id, LoadReport { running: 3, waiting: 6, work_time_percent: 100 });
    let service = balancer.service_id("s");
    let short = Query { time_left: Span::from_millis(300), ..query(service, 1) };
    let Err(Refusal::Full(Backlog { retry_after: wait, .. })) = balancer.choose(at(1), &short)
    else {
        panic!("not refused")
    };
    assert!(wait > Span::ZERO && wait < Span::from_secs(5), "{wait:?}");
}

/// A guess or an average of work times must not refuse requests while slots are free: with a shorter
/// timeout than the average, a route would be refused for good, although most of its work is shorter.
#[test_case(Span::from_millis(150), Span::from_millis(400); "less time than the first guess")]
#[test_case(Span::from_millis(150), Span::from_millis(150); "a route without a latency objective of its own")]
fn free_slots_are_used(time_left: Span, latency_objective: Span) {
    let mut balancer = balancer();
    balancer.upsert_target(at(0), spec("t-1", "za"));
    let service = balancer.service_id("s");
    for round in 0..20 {
        let query = Query { time_left, latency_objective, ..query(service, round) };
        let choice = balancer.choose(at(round * 1_000), &query).unwrap();
        let attempt = balancer.start_attempt(at(round * 1_000), &choice);
        balancer.finish_attempt(at(round * 1_000 + 160), attempt, AttemptOutcome::Answered);
    }
}

#[test]
fn a_service_whose_targets_are_all_full_is_not_without_targets() {
    let mut balancer = balancer();
    let id = balancer.upsert_target(at(0), spec("t-1", "za"));
    balancer.record_load(at(1), id, LoadReport { running: 3, waiting: 30, work_time_percent: 100 });
    assert!(matches!(choose(&mut balancer, 1, 1), Err(Refusal::Full(_))));
}

/// A machine that refuses all requests gets no more load reports. It must not go on to refuse by those
/// of an overload that is over.
#[test]
fn an_overload_is_forgotten() {
    let mut balancer = balancer();
    let id = balancer.upsert_target(at(0), spec("t-1", "za"));
    for ms in 0..500 {
        balancer.record_load(
            at(ms),
            id,
            LoadReport { running: 3, waiting: 30, work_time_percent: 100 },
        );
    }
    assert!(matches!(choose(&mut balancer, 500, 1), Err(Refusal::Full(_))));
    assert!(choose(&mut balancer, 6_000, 1).is_ok());
}

/// Short requests of another route must not make work at targets without the object look short: then
/// objects would move about as soon as one request waits.
#[test]
fn routes_do_not_blur_each_others_work() {
    let mut balancer = balancer();
    for index in 0..6 {
        balancer.upsert_target(at(0), spec(&format!("t-{index}"), "za"));
    }
    let service = balancer.service_id("s");
    for round in 0..400 {
        let ms = round * 1_000;
        let short = Query { route: 2, object: None, ..query(service, 0) };
        let choice = balancer.choose(at(ms), &short).unwrap();
        let attempt = balancer.start_attempt(at(ms), &choice);
        balancer.finish_attempt(at(ms + 6), attempt, AttemptOutcome::Answered);
    }
    assert_eq!(choose(&mut balancer, 400_000, 7).unwrap().position, 0);
}

/// The limit on a cold target holds over all machines, whatever each of them knows of the others.
#[test]
fn a_cold_target_gets_its_limit_from_all_machines_together() {
    let names: Vec<String> = (0..12).map(|index| format!("vm-{index}")).collect();
    let regions: HashMap<String, String> = [("za".to_owned(), "zurich".to_owned())].into();
    let mut sent = 0;
    for machine in &names {
        let config = Config {
            machine: machine.clone(),
            region: "zurich".to_owned(),
            centre_regions: regions.clone(),
        };
        let mut balancer = Balancer::new(config);
        balancer.set_live_machines(names.clone());
        // 2.7 a second, 1.5 times that and 5 more.
        balancer.set_cold_limit("s", 9.05);
        balancer
            .upsert_target(at(0), TargetSpec { cold_for: Span::from_secs(3), ..spec("t-1", "za") });
        for ms in (0..1_000).step_by(10) {
            let Ok(choice) = choose(&mut balancer, ms, ms) else { continue };
            let attempt = balancer.start_attempt(at(ms), &choice);
            balancer.finish_attempt(at(ms + 1), attempt, AttemptOutcome::Cancelled);
            sent += 1;
        }
    }
    assert!(sent > 0 && sent <= 9, "{sent} requests in a second");
}

/// Four machines, 12 targets of 3 slots, and 72 objects whose work takes 0.3 of the time at a target
/// that has them at hand: at 1.1 times the capacity that the targets have without that, four fifths
/// are answered within the latency objective, and a choice by free slots alone answers less than half of them.
#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn objects_at_hand_raise_the_capacity(seed: u64) {
    let play = Play {
        machines: 4,
        targets: 12,
        objects: 72,
        per_s: 73.0,
        work_ms: 540.0,
        aim_ms: 400,
        seconds: 60,
        seed,
    };
    let by_object = play.run(Placement::ByObject);
    let by_slots = play.run(Placement::BySlots);
    assert!(by_object.in_aim() > 0.8, "{by_object:?}");
    assert!(by_slots.in_aim() < 0.5, "{by_slots:?}");
    assert!(by_object.answered() > 0.97, "{by_object:?}");
}

/// A service that is offered 1.6 times what its targets do without objects at hand. Overflow to targets
/// that do not keep the object took the slots of several requests and displaced other objects, so
/// that the overload fed itself: at most one request in twenty may run without its object.
#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn overload_does_not_displace_objects(seed: u64) {
    let play = Play {
        machines: 11,
        targets: 12,
        objects: 72,
        per_s: 107.0,
        work_ms: 540.0,
        aim_ms: 400,
        seconds: 60,
        seed,
    };
    let result = play.run(Placement::ByObject);
    assert!(result.cold() < 0.05, "{result:?}");
    assert!(result.in_aim() > 0.8, "{result:?}");
}

/// Targets that are lost take their places for objects with them. When two targets an object are more
/// than the rest can keep, the first of the order has to do: with an even use of both, neither had
/// the object at hand.
#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn few_places_go_to_the_first_of_the_order(seed: u64) {
    let play = Play {
        machines: 11,
        targets: 6,
        objects: 120,
        per_s: 60.0,
        work_ms: 540.0,
        aim_ms: 400,
        seconds: 60,
        seed,
    };
    let result = play.run(Placement::ByObject);
    assert!(result.in_aim() > 0.7, "{result:?}");
}
