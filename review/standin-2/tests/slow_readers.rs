//! Clients read nothing of a large answer for a while. Their answers must not be cut.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::{Connection, request};
use crate::platform::{Machine, Settings, free_addresses};
use crate::server::{Behaviour, Server};
use crate::store::{Route, Store, config};
use crate::{Verdict, record};

const ANSWER_BYTES: usize = 540_000;
const DEADLINE_MS: u64 = 4_000;
/// How long a client reads nothing.
const PAUSE: Duration = Duration::from_millis(2_200);
const CLIENTS: usize = 8;
/// LOST: more than three.
const ALLOWED: usize = 3;

pub fn run(has_trouble: bool) -> Verdict {
    let store = Store::default();
    let behaviour = Behaviour {
        work: Duration::from_millis(700),
        answer_bytes: None,
        wait_before_body: Duration::ZERO,
        is_recorded: true,
    };
    let servers: Vec<Arc<Server>> =
        (1..=3).map(|index| Server::start(&format!("i-{index:04}"), behaviour)).collect();
    let routes = [Route { prefix: "/archive/", kind: "download", timeout_ms: 4_000, service: "arsiv-iade" }];
    store.put("config", "main", &config(4, &routes), "{}");
    for server in &servers {
        let (spec, status) = server.entry("arsiv-iade", "zrh-a", 6);
        store.put("servers", &server.name, &spec, &status);
    }
    let addresses = free_addresses(1)?;
    let settings = Settings {
        name: "edge-zrh-a-1".to_owned(),
        zone: "zrh-a",
        seeds: vec![addresses[0].clone()],
        store: store.open_path().address,
        memory_mb: 260,
    };
    let machine = Machine::start(&addresses[0], &settings)?;
    machine.wait_ready()?;
    thread::sleep(Duration::from_secs(6));

    record::line("in calm");
    let calm = read_all(machine.front(), "calm", has_trouble, || {});
    record::line("around SIGTERM");
    let around = read_all(machine.front(), "term", has_trouble, || machine.terminate());
    let (Some(calm), Some(around)) = (calm, around) else {
        return Err("a client got no answer of a server".to_owned());
    };
    record::line(&format!(
        "answers that ended before they were complete: {calm} of {CLIENTS} in calm (allowed {ALLOWED}), {around} of {CLIENTS} around SIGTERM (allowed 0)"
    ));
    Ok(calm <= ALLOWED && around == 0)
}

/// Each client sends a small request, and then one with a large answer on the same connection.
/// Returns how many large answers were cut; none if a client got no answer at all.
fn read_all(front: SocketAddr, phase: &'static str, has_trouble: bool, sent: impl FnOnce()) -> Option<usize> {
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| thread::spawn(move || read_one(front, phase, index, has_trouble)))
        .collect();
    thread::sleep(Duration::from_millis(1_300));
    sent();
    let results: Vec<Option<bool>> = clients.into_iter().map(|client| client.join().ok().flatten()).collect();
    let whole: Option<Vec<bool>> = results.into_iter().collect();
    Some(whole?.into_iter().filter(|is_whole| !is_whole).count())
}

/// Whether the large answer arrived as a whole.
fn read_one(front: SocketAddr, phase: &str, index: usize, has_trouble: bool) -> Option<bool> {
    let id = format!("{phase}-{index}");
    let mut connection = Connection::open(front, Duration::from_secs(8)).ok()?;
    let small = request("GET", "/archive/10", &format!("{id}-small"), DEADLINE_MS, index as u64, b"");
    connection.call(&small).ok()?;
    thread::sleep(Duration::from_millis(200));
    let path = format!("/archive/{ANSWER_BYTES}");
    connection.send(&request("GET", &path, &id, DEADLINE_MS, index as u64, b"")).ok()?;
    record::line(&format!("client sends {id} on a kept connection"));
    let head = connection.head().ok()?;
    let received = connection.piece(16 << 10).ok()?;
    if has_trouble {
        thread::sleep(PAUSE);
    }
    let received = connection.body(head.length, received);
    record::line(&format!("client got {} for {id}: {received} of {} bytes", head.status, head.length));
    (head.status == 200 && head.length == ANSWER_BYTES).then_some(received == head.length)
}
