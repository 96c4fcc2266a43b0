//! Targets that turn the gateway away with 503 and `Retry-After`. Guards against requests that reach
//! them before the time is over, and against callers that wait although no target takes requests.

mod fake;

use std::thread;
use std::time::{Duration, Instant};

use fake::{Behaviour, Gateway, Message, Target, request, send_request, start_gateway, wait_until};
use test_case::test_case;

const NORMAL: Behaviour = Behaviour::Normal(Duration::ZERO);
const TWO_SECONDS: Behaviour =
    Behaviour::Says("503 Busy", "X-Not-Executed: 1\r\nRetry-After: 2\r\n");
/// Requests that may reach a target between half a second after it turned the gateway away and the
/// end of the time.
const MAX_LATE: usize = 2;

fn send(gateway: &Gateway, method: &str, path: &str) -> Message {
    send_request(gateway.callers, &request(method, path, "id", "")).unwrap()
}

/// Sends requests from several callers at once for `time`. Returns how many got 200 and how many
/// got 503.
fn play(gateway: &Gateway, time: Duration) -> (usize, usize) {
    let callers = gateway.callers;
    let end = Instant::now() + time;
    let clients: Vec<_> = (0..12)
        .map(|_| {
            thread::spawn(move || {
                let (mut answered, mut refused) = (0, 0);
                while Instant::now() < end {
                    let reply = send_request(callers, &request("GET", "/safe/a", "id", ""));
                    match reply.map(|reply| reply.status()) {
                        Some(200) => answered += 1,
                        Some(503) => refused += 1,
                        other => panic!("{other:?}"),
                    }
                    thread::sleep(Duration::from_millis(20));
                }
                (answered, refused)
            })
        })
        .collect();
    let counts = clients.into_iter().map(|client| client.join().unwrap());
    counts.fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1))
}

#[test]
fn one_target_of_two() {
    let (busy, other) = (Target::new("t-1", NORMAL), Target::new("t-2", NORMAL));
    let (_store, gateway) = start_gateway(&[&busy, &other]);
    busy.set_behaviour(TWO_SECONDS);
    wait_until("the busy target gets a request", || {
        send(&gateway, "GET", "/safe/a");
        busy.count() > 0
    });
    thread::sleep(Duration::from_millis(500));
    let before = busy.count();
    let (answered, _) = play(&gateway, Duration::from_millis(1_300));
    let late = busy.count() - before;
    assert!(late <= MAX_LATE, "{late} requests before the time is over");
    assert!(answered > 100, "{answered} answered by the other target");
    busy.set_behaviour(NORMAL);
    wait_until("the target is used again", || {
        send(&gateway, "GET", "/safe/a");
        busy.count() > before + late
    });
}

/// Callers are told at once, and when it is worthwhile to return.
#[test]
fn all_targets() {
    let targets = [Target::new("t-1", TWO_SECONDS), Target::new("t-2", TWO_SECONDS)];
    let (_store, gateway) = start_gateway(&[&targets[0], &targets[1]]);
    wait_until("all have turned the gateway away", || {
        send(&gateway, "POST", "/once/a");
        targets.iter().all(|target| target.count() > 0)
    });
    thread::sleep(Duration::from_millis(500));
    let before: usize = targets.iter().map(Target::count).sum();
    let start = Instant::now();
    let reply = send(&gateway, "POST", "/once/a");
    assert_eq!(reply.status(), 503);
    assert!(start.elapsed() < Duration::from_millis(200), "took {:?}", start.elapsed());
    let wait: f64 = reply.header("retry-after").unwrap().parse().unwrap();
    assert!((0.9..=4.0).contains(&wait), "Retry-After {wait}");
    let (answered, refused) = play(&gateway, Duration::from_millis(1_200));
    assert!(answered == 0 && refused > 100, "{answered} answered, {refused} refused");
    let late = targets.iter().map(Target::count).sum::<usize>() - before;
    assert!(late <= MAX_LATE * targets.len(), "{late} requests before the time is over");
}

#[test_case("Retry-After: soon\r\n"; "a word")]
#[test_case("Retry-After: -3\r\n"; "negative")]
#[test_case("Retry-After: 0\r\n"; "zero")]
#[test_case("Retry-After: Thu, 01 Jan 1970 00:00:07 GMT\r\n"; "a date in the past")]
#[test_case(""; "nothing")]
fn no_time(lines: &'static str) {
    let lines: &'static str = Box::leak(format!("X-Not-Executed: 1\r\n{lines}").into_boxed_str());
    let target = Target::new("t-1", Behaviour::Says("503 Busy", lines));
    let (_store, gateway) = start_gateway(&[&target]);
    for _ in 0..3 {
        assert_eq!(send(&gateway, "POST", "/once/a").status(), 503);
    }
    assert_eq!(target.count(), 3, "the target stays in use");
}

/// 503 promises a caller that its request has not run. A target that does not say so may have run
/// it.
#[test]
fn a_refusal_that_may_have_run() {
    let target = Target::new("t-1", Behaviour::Says("503 Busy", "Retry-After: 1\r\n"));
    let (_store, gateway) = start_gateway(&[&target]);
    assert_eq!(send(&gateway, "POST", "/once/a").status(), 502);
    assert_eq!(send(&gateway, "POST", "/once/a").status(), 503);
    assert_eq!(target.count(), 1);
}
