//! A target in another data centre is sent one request beyond its slots.

mod fake;

use std::time::Duration;

use fake::{HEADERS, Setup, Target, call, run, wait_until};
use test_case::test_case;

/// Without prefetch, a slot of a distant target would idle for a round trip between two requests. A
/// nearby target gets no more requests than it has slots.
#[test_case("zurich-2", 4; "distant")]
#[test_case("zurich-1", 3; "nearby")]
fn prefetch_one(centre: &str, expected: usize) {
    let target = Target::echo(&format!("rounds-{centre}-01"));
    let setup = Setup::new(&format!("one-ahead-{centre}"), &[&target], "");
    let address = setup.address();
    // Lets the pool learn the work time of the kind, and that no one else uses its slots.
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
            let reply = call(address, "POST", "/v1/run/rounds/lookup", &headers, b"x");
            reply.expect("reply").summary()
        })
    };
    let requests: Vec<_> = (0..6).map(send).collect();
    wait_until("the target is full", || target.runs().len() - before >= expected);
    std::thread::sleep(Duration::from_millis(150));
    assert_eq!(target.runs().len() - before, expected);
    for request in requests {
        assert_eq!(request.join().expect("thread"), "200 answered");
    }
}
