//! Route lookup and the weighted split. The tests guard against requests that reach a service that
//! their route does not name.

use ebonypass_core::rotation;
use ebonypass_core::route::{self, Route, WeightedService};
use ebonypass_core::time::Span;
use test_case::test_case;

fn route(host: &str, prefix: &str, services: &[(&str, u32)]) -> Route {
    let weighted =
        |&(service, weight): &(&str, u32)| WeightedService { service: service.to_owned(), weight };
    Route {
        name: prefix.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        idempotent: true,
        timeout: Span::from_secs(1),
        latency_objective: Span::from_millis(300),
        priority: 0,
        attempt_limit: 2,
        has_affinity: true,
        is_public: false,
        allowed_regions: Vec::new(),
        services: services.iter().map(weighted).collect(),
    }
}

#[test_case("a.example", "/x/y/1", Some("/x/y/"); "the longest prefix wins")]
#[test_case("a.example", "/x/z", Some("/x/"); "other paths match the shorter prefix")]
#[test_case("a.example", "/x", None; "a path without the slash does not match")]
#[test_case("a.example", "/q/", None; "no prefix matches")]
#[test_case("b.example", "/x/y/1", None; "routes of another host do not match")]
fn a_path_matches_its_longest_prefix(host: &str, path: &str, expected: Option<&str>) {
    let services = [("s", 1)];
    let routes = [route("a.example", "/x/", &services), route("a.example", "/x/y/", &services)];
    let mut table = route::Table::new(routes);
    assert_eq!(table.find(host, path).map(|entry| entry.route.name.as_str()), expected);
}

#[test]
fn routes_without_services_are_omitted() {
    let mut table =
        route::Table::new([route("a.example", "/x/", &[]), route("a.example", "/y/", &[("s", 0)])]);
    assert!(table.find("a.example", "/x/").is_none());
    assert!(table.find("a.example", "/y/").is_none());
}

#[test_case(&[90, 10], 100; "nine to one")]
#[test_case(&[1, 1, 1], 30; "equal weights")]
#[test_case(&[0, 5], 20; "weight zero gets no requests")]
#[test_case(&[333, 667], 1_000; "uneven weights")]
fn each_service_gets_its_share_after_every_request(weights: &[u32], requests: usize) {
    let mut rotation = rotation::RoundRobin::new(weights.to_vec()).unwrap();
    let mut counts = vec![0; weights.len()];
    for done in 1..=requests {
        counts[rotation.next_index()] += 1;
        let total: u32 = weights.iter().sum();
        for (count, weight) in counts.iter().zip(weights) {
            let expected = done as f64 * f64::from(*weight) / f64::from(total);
            assert!(
                (f64::from(*count) - expected).abs() <= 1.0,
                "{counts:?} after {done} requests"
            );
        }
    }
}
