//! The choice between targets, alone and in simulations with few slots, long work and cached
//! objects. The tests guard against requests for one object that go to changing targets, requests to
//! targets that fail or leave, and overload of cold (recently started) targets.

mod simulation;

use std::collections::{HashMap, HashSet};

use ebonypass_core::balancer::{
    self, Backlog, Balancer, Choice, Config, Query, Refusal, RegionSet, TargetSpec,
};
use ebonypass_core::id::ServiceId;
use ebonypass_core::time::{Instant, Span};
use simulation::{Placement, Simulation};
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
        cold_time_left: Span::ZERO,
        start_unix_ms: Some(1),
        sequence: 1,
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

fn target_name(balancer: &Balancer, choice: &Choice) -> String {
    balancer.target(choice.target).spec.id.clone()
}

/// An entry of another writer, put right by the next check-in, must leave nothing behind.
#[test]
fn a_target_whose_service_changes_for_a_moment() {
    let mut balancer = balancer();
    let (id, _) = balancer.upsert_target(at(0), spec("t-1", "za"));
    let stray = TargetSpec { service: "other".to_owned(), ..spec("t-1", "za") };
    assert_eq!(balancer.upsert_target(at(1), stray).0, id);
    assert_eq!(choose(&mut balancer, 1, 1), Err(Refusal::NoTarget));
    let other = balancer.service_id("other");
    assert!(balancer.choose(at(1), &query(other, 1)).is_ok());
    balancer.upsert_target(at(2), spec("t-1", "za"));
    assert_eq!(balancer.choose(at(2), &query(other, 1)), Err(Refusal::NoTarget));
    assert_eq!(choose(&mut balancer, 2, 1).unwrap().target, id);
    balancer
        .upsert_target(at(3), TargetSpec { is_leaving: true, sequence: 2, ..spec("t-1", "za") });
    assert_eq!(choose(&mut balancer, 3, 1), Err(Refusal::NoTarget));
    balancer.remove_target("t-1");
    assert_eq!(choose(&mut balancer, 4, 1), Err(Refusal::NoTarget));
}

/// A target that returns under its name in another data centre must not keep its former region:
/// routes bound to a region would reach it.
#[test]
fn a_target_that_returns_in_another_region() {
    let mut balancer = balancer();
    balancer.upsert_target(at(0), spec("t-1", "za"));
    balancer.remove_target("t-1");
    let moved = TargetSpec { start_unix_ms: Some(2), ..spec("t-1", "ga") };
    balancer.upsert_target(at(1), moved);
    let service = balancer.service_id("s");
    let zurich = balancer.region_set(&["zurich".to_owned()]);
    let bound = Query { allowed_regions: zurich, ..query(service, 1) };
    assert_eq!(balancer.choose(at(1), &bound), Err(Refusal::NoTarget));
    let geneva = balancer.region_set(&["geneva".to_owned()]);
    let bound = Query { allowed_regions: geneva, ..query(service, 1) };
    assert!(balancer.choose(at(1), &bound).is_ok());
}

#[test]
fn requests_for_an_object_go_to_the_same_target() {
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
    assert_eq!(used.len(), 4, "the objects are not spread over all targets");
}

#[test]
fn machines_of_a_region_choose_the_same_target() {
    let mut balancers = [balancer(), balancer()];
    for index in 0..6 {
        balancers[0].upsert_target(at(0), spec(&format!("t-{index}"), "za"));
        balancers[1].upsert_target(at(0), spec(&format!("t-{}", 5 - index), "za"));
    }
    for object in 0..50 {
        let [a, b] = balancers.each_mut().map(|balancer| {
            let choice = choose(balancer, 0, object).unwrap();
            target_name(balancer, &choice)
        });
        assert_eq!(a, b);
    }
}

/// Changes after which a target must get no requests.
#[test_case(|balancer| { balancer.upsert_target(at(1), TargetSpec { is_leaving: true, ..spec("t-1", "za") }); }; "it is leaving")]
#[test_case(|balancer| { balancer.remove_target("t-1"); }; "it is no longer listed")]
#[test_case(|balancer| balancer.set_evacuated_centres(["za".to_owned()].into()); "its data centre is evacuated")]
fn an_unusable_target_gets_no_requests(change: fn(&mut Balancer)) {
    let mut balancer = balancer();
    balancer.upsert_target(at(0), spec("t-1", "za"));
    assert!(choose(&mut balancer, 1, 1).is_ok());
    change(&mut balancer);
    assert_eq!(choose(&mut balancer, 2, 1), Err(Refusal::NoTarget));
}

/// A target is gone if its address no longer belongs to it. A new start time means that it has
/// restarted.
#[test]
fn a_gone_target_gets_no_requests_until_it_restarts() {
    let mut balancer = balancer();
    balancer.upsert_target(at(0), spec("t-1", "za"));
    let choice = choose(&mut balancer, 1, 1).unwrap();
    let attempt = balancer.start_attempt(at(1), &choice);
    balancer.finish_attempt(at(2), attempt, balancer::Outcome::Gone);
    balancer.upsert_target(at(3), spec("t-1", "za"));
    assert_eq!(choose(&mut balancer, 3, 1), Err(Refusal::NoTarget));
    balancer.upsert_target(at(4), TargetSpec { start_unix_ms: Some(2), ..spec("t-1", "za") });
    assert!(choose(&mut balancer, 4, 1).is_ok());
}

#[test]
fn only_allowed_regions_are_used() {
    let mut balancer = balancer();
    balancer.upsert_target(at(0), spec("t-far", "ga"));
    let service = balancer.service_id("s");
    let zurich = balancer.region_set(&["zurich".to_owned()]);
    let restricted = Query { allowed_regions: zurich, ..query(service, 1) };
    assert_eq!(balancer.choose(at(1), &restricted), Err(Refusal::NoTarget));
    balancer.upsert_target(at(1), spec("t-near", "za"));
    let choice = balancer.choose(at(2), &restricted).unwrap();
    assert_eq!(target_name(&balancer, &choice), "t-near");
    let unknown = balancer.region_set(&["rome".to_owned()]);
    assert!(balancer.choose(at(2), &Query { allowed_regions: unknown, ..restricted }).is_err());
}

#[test]
fn a_failed_target_is_avoided_and_later_retried() {
    let mut balancer = balancer();
    balancer.upsert_target(at(0), spec("t-1", "za"));
    balancer.upsert_target(at(0), spec("t-2", "za"));
    let first = choose(&mut balancer, 1, 1).unwrap();
    for ms in 2..5 {
        let attempt = balancer.start_attempt(at(ms), &first);
        balancer.finish_attempt(at(ms), attempt, balancer::Outcome::Unreachable);
    }
    assert_ne!(choose(&mut balancer, 6, 1).unwrap().target, first.target);
    assert_eq!(choose(&mut balancer, 60_000, 1).unwrap().target, first.target);
}

#[test]
fn a_request_that_would_be_late_is_refused_with_a_retry_time() {
    let mut balancer = balancer();
    let (id, _) = balancer.upsert_target(at(0), spec("t-1", "za"));
    balancer.record_load(
        at(1),
        id,
        balancer::Load { running: 3, waiting: 6, work_time_percent: 100 },
    );
    let service = balancer.service_id("s");
    let short = Query { time_left: Span::from_millis(300), ..query(service, 1) };
    let Err(Refusal::Full(Backlog { retry_after, .. })) = balancer.choose(at(1), &short) else {
        panic!("the request was not refused as full")
    };
    assert!(
        retry_after > Span::ZERO && retry_after < Span::from_secs(5),
        "implausible retry time {retry_after:?}"
    );
}

/// While slots are free, requests must not be refused because the time left is shorter than the
/// initial or average work time. Otherwise a route whose timeout is below the average would have
/// all its requests refused, although most of its work is shorter.
#[test_case(Span::from_millis(150), Span::from_millis(400); "time left below the initial work time")]
#[test_case(Span::from_millis(150), Span::from_millis(150); "latency objective equal to the timeout, the default")]
fn requests_are_accepted_while_slots_are_free(time_left: Span, latency_objective: Span) {
    let mut balancer = balancer();
    balancer.upsert_target(at(0), spec("t-1", "za"));
    let service = balancer.service_id("s");
    for round in 0..20 {
        let query = Query { time_left, latency_objective, ..query(service, round) };
        let choice = balancer.choose(at(round * 1_000), &query).unwrap();
        let attempt = balancer.start_attempt(at(round * 1_000), &choice);
        balancer.finish_attempt(at(round * 1_000 + 160), attempt, balancer::Outcome::Answered);
    }
}

#[test]
fn requests_are_refused_if_all_targets_are_full() {
    let mut balancer = balancer();
    let (id, _) = balancer.upsert_target(at(0), spec("t-1", "za"));
    balancer.record_load(
        at(1),
        id,
        balancer::Load { running: 3, waiting: 30, work_time_percent: 100 },
    );
    assert!(matches!(choose(&mut balancer, 1, 1), Err(Refusal::Full(_))));
}

/// Load reports come with replies, so a machine that refuses all requests gets no more of them. It
/// must not keep refusing because of old reports when the overload is over.
#[test]
fn load_reports_of_a_past_overload_expire() {
    let mut balancer = balancer();
    let (id, _) = balancer.upsert_target(at(0), spec("t-1", "za"));
    for ms in 0..500 {
        balancer.record_load(
            at(ms),
            id,
            balancer::Load { running: 3, waiting: 30, work_time_percent: 100 },
        );
    }
    assert!(matches!(choose(&mut balancer, 500, 1), Err(Refusal::Full(_))));
    assert!(choose(&mut balancer, 6_000, 1).is_ok());
}

/// Short requests of one route must not lower the work times that are expected for another.
/// Otherwise targets that do not cache the object would look fast, and its requests would go there
/// as soon as one request waits.
#[test]
fn work_times_are_learned_per_route() {
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
        balancer.finish_attempt(at(ms + 6), attempt, balancer::Outcome::Answered);
    }
    // Position 0 is the first target in the object's rendezvous order.
    assert_eq!(choose(&mut balancer, 400_000, 7).unwrap().position, 0);
}

/// The machines together must keep the limit on a cold target, although none of them knows how many
/// requests the others send.
#[test]
fn the_limit_on_a_cold_target_holds_across_machines() {
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
        // As a gateway sets it: a factor of 1.5 on the 2.7 requests a second of the service's settings,
        // and an allowance of 5.
        balancer.set_cold_limit("s", 9.05);
        balancer.upsert_target(
            at(0),
            TargetSpec { cold_time_left: Span::from_secs(3), ..spec("t-1", "za") },
        );
        for ms in (0..1_000).step_by(10) {
            // The time also numbers the objects, so that each request is for a different one.
            let Ok(choice) = choose(&mut balancer, ms, ms) else { continue };
            let attempt = balancer.start_attempt(at(ms), &choice);
            balancer.finish_attempt(at(ms + 1), attempt, balancer::Outcome::Cancelled);
            sent += 1;
        }
    }
    assert!(sent > 0 && sent <= 9, "{sent} requests to the cold target in a second");
}

/// Without caching, 12 targets of 3 slots can run 67 requests of 540 ms a second. Work takes 0.3 of
/// that time at a target that caches the object. Under 1.1 times this load, four fifths of the
/// requests must be answered within the latency objective; by free slots alone, less than half are.
#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn caching_raises_the_capacity(seed: u64) {
    let simulation = Simulation {
        machines: 4,
        targets: 12,
        objects: 72,
        requests_per_s: 73.0,
        work_ms: 540.0,
        latency_objective_ms: 400,
        duration_s: 60,
        seed,
    };
    let by_object = simulation.run(Placement::ByObject);
    let by_slots = simulation.run(Placement::BySlots);
    assert!(by_object.within_objective_ratio() > 0.8, "{by_object:?}");
    assert!(by_slots.within_objective_ratio() < 0.5, "{by_slots:?}");
    assert!(by_object.answered_ratio() > 0.97, "{by_object:?}");
}

/// The load is 1.6 times what the targets can run without caching. Requests that overflowed to
/// targets that do not cache their object once occupied slots for as long as several cached ones and
/// evicted other objects, so that the overload sustained itself. Less than one request in twenty may
/// run uncached.
#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn overload_does_not_evict_cached_objects(seed: u64) {
    let simulation = Simulation {
        machines: 11,
        targets: 12,
        objects: 72,
        requests_per_s: 107.0,
        work_ms: 540.0,
        latency_objective_ms: 400,
        duration_s: 60,
        seed,
    };
    let summary = simulation.run(Placement::ByObject);
    assert!(summary.uncached_ratio() < 0.05, "{summary:?}");
    assert!(summary.within_objective_ratio() > 0.8, "{summary:?}");
}

/// When targets are lost and the rest cannot cache two copies of each object, the first target in the
/// object's rendezvous order must serve its requests. When the first two were used equally, neither
/// had the object cached.
#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn scarce_cache_space_goes_to_the_first_target(seed: u64) {
    let simulation = Simulation {
        machines: 11,
        targets: 6,
        objects: 120,
        requests_per_s: 60.0,
        work_ms: 540.0,
        latency_objective_ms: 400,
        duration_s: 60,
        seed,
    };
    let summary = simulation.run(Placement::ByObject);
    assert!(summary.within_objective_ratio() > 0.7, "{summary:?}");
}
