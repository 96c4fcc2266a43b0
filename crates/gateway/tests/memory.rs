//! Memory of a gateway. Guards against growth that ends with the process being killed, which cuts
//! the requests in flight.

mod fake;

use std::time::Duration;

use fake::{
    Behaviour, Gateway, ROUTES, Store, Target, config, request, send_request, start_gateway,
    wait_until,
};

/// Limit of the platform's smallest machines in kB, less a tenth to spare.
const MAX_RESIDENT_KB: u64 = (160 << 10) / 10 * 9;
/// Routes of the large configuration, about 115 KB.
const ROUTE_COUNT: usize = 1_400;
const VERSION_COUNT: u64 = 200;

fn resident_kb(gateway: &Gateway) -> u64 {
    let path = format!("/proc/{}/status", gateway.child.id());
    let text = std::fs::read_to_string(path).unwrap();
    let line = text.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// The path of a route that only this version has.
fn version_path(version: u64) -> String {
    format!("/version{version}/")
}

fn put_large_config(store: &Store, version: u64) {
    let paths: Vec<String> = (0..ROUTE_COUNT).map(|index| format!("/more{index}/")).collect();
    let own = version_path(version);
    let mut routes: Vec<(&str, &str, &str)> = ROUTES.to_vec();
    routes.extend(paths.iter().map(|path| (path.as_str(), "safe", "s")));
    routes.push((&own, "safe", "s"));
    store.put("config", "main", config(version, &routes));
}

/// Former versions of a large configuration must not be kept whole.
#[test]
fn many_large_configurations() {
    let target = Target::new("t-1", Behaviour::Normal(Duration::ZERO));
    let (store, gateway) = start_gateway(&[&target]);
    // One by one: versions that arrive together count as one change.
    for version in 3..3 + VERSION_COUNT {
        put_large_config(&store, version);
        let bytes = request("GET", &version_path(version), "id", "");
        let status = || send_request(gateway.callers, &bytes).map(|reply| reply.status());
        wait_until("the version is applied", || status() == Some(200));
    }
    let resident = resident_kb(&gateway);
    assert!(resident < MAX_RESIDENT_KB, "{resident} kB resident after {VERSION_COUNT} versions");
}
