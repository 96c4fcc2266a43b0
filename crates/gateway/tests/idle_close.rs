//! Kept connections that reach their idle limit. Guards against a connection that looks open after
//! the gateway has stopped serving it: a request sent on it would get no reply.

mod fake;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use fake::{
    Behaviour, Gateway, Message, ROUTES, Store, TEST_TIMEOUT, Target, config, request, wait_until,
};

/// Connections, each of which sends its second request a little later than the one before.
const CONNECTION_COUNT: u64 = 30;
const STEP: Duration = Duration::from_millis(20);
const IDLE_LIMIT: Duration = Duration::from_millis(500);
/// Requests may cross the close of their connection.
const MAX_CROSSING: usize = 3;

#[test]
fn idle_limit() {
    let target = Target::new("t-1", Behaviour::Normal(Duration::ZERO));
    let store = Store::new();
    let mut policy = config(2, &ROUTES);
    policy["spec"]["limits"]["idleTimeoutMs"] = (IDLE_LIMIT.as_millis() as u64).into();
    store.put("config", "main", policy);
    store.put("servers", &target.id, target.entry("s", "ready"));
    let gateway = Gateway::start(&store);
    gateway.wait_ready();
    wait_until("the target is known", || {
        gateway.log.lock().unwrap().iter().any(|line| line["event"] == 500)
    });
    let callers = gateway.callers;
    let connections: Vec<_> = (0..CONNECTION_COUNT)
        .map(|index| {
            let pause = IDLE_LIMIT - 2 * STEP + STEP * index as u32;
            // One after the other: the target has few slots.
            let mut stream = TcpStream::connect(callers).unwrap();
            stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
            let first = call(&mut stream, &format!("first-{index}")).unwrap();
            assert_eq!(first.status(), 200);
            thread::spawn(move || is_lost(stream, index, pause))
        })
        .collect();
    let lost: usize = connections.into_iter().map(|call| usize::from(call.join().unwrap())).sum();
    assert!(lost <= MAX_CROSSING, "{lost} of {CONNECTION_COUNT} requests got no reply");
}

/// Sends a second request after a pause. Returns whether the connection was open and the request got
/// no reply.
fn is_lost(mut stream: TcpStream, index: u64, pause: Duration) -> bool {
    thread::sleep(pause);
    stream.set_nonblocking(true).unwrap();
    let is_closed = matches!(stream.peek(&mut [0]), Ok(0));
    stream.set_nonblocking(false).unwrap();
    !is_closed && call(&mut stream, &format!("second-{index}")).is_none()
}

fn call(stream: &mut TcpStream, id: &str) -> Option<Message> {
    stream.write_all(&request("POST", "/once/a", id, "x")).ok()?;
    Message::read(&mut BufReader::new(stream.try_clone().unwrap()))
}
