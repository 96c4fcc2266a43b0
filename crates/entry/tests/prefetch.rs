//! A target in another data centre gets one request ahead while its slots are in use.

mod fake;

use std::time::Duration;

use fake::{HEADERS, Target, World, call, run, wait_until};
use test_case::test_case;

/// A slot of a distant target would stay empty for the way there and back between two requests.
/// A target nearby gets no more than its slots.
#[test_case("zurich-2", 4; "distant")]
#[test_case("zurich-1", 3; "nearby")]
fn one_ahead(centre: &str, expected: usize) {
    let target = Target::echo(&format!("rounds-{centre}-01"));
    let world = World::new(&format!("one-ahead-{centre}"), &[&target], "");
    let address = world.address();
    // The cost of the kind is learned first, and the pool learns that nobody shares it.
    target.set_delay(Duration::from_millis(100));
    for _ in 0..10 {
        assert_eq!(run(address, b"x").summary(), "200 answered");
    }
    std::thread::sleep(Duration::from_millis(600));
    target.set_delay(Duration::from_millis(400));
    let before = target.runs().len();
    let headers = format!("{HEADERS}ebonypass-deadline-ms: 10000\r\n");
    let send = |_| {
        let headers = headers.clone();
        std::thread::spawn(move || {
            let got = call(address, "POST", "/v1/run/rounds/lookup", &headers, b"x");
            got.expect("reply").summary()
        })
    };
    let requests: Vec<_> = (0..6).map(send).collect();
    wait_until("full target", || target.runs().len() - before >= expected);
    std::thread::sleep(Duration::from_millis(150));
    assert_eq!(target.runs().len() - before, expected);
    for request in requests {
        assert_eq!(request.join().expect("thread"), "200 answered");
    }
}
