//! A server reads a large body late, since its slots are taken. The request must not be broken off
//! around a planned stop of the machine.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::{Connection, request};
use crate::platform::{Machine, Settings, free_addresses};
use crate::server::{Behaviour, Server};
use crate::store::{Route, Store, config};
use crate::{Verdict, record};

const BODY_BYTES: usize = 360_000;
const DEADLINE_MS: u64 = 12_000;
/// How long the server reads nothing.
const PAUSE: Duration = Duration::from_millis(2_200);
const CLIENTS: usize = 6;

pub fn run(has_trouble: bool) -> Verdict {
    let store = Store::default();
    let behaviour = Behaviour {
        work: Duration::from_millis(2_000),
        answer_bytes: Some(5_000),
        wait_before_body: if has_trouble { PAUSE } else { Duration::ZERO },
        is_recorded: true,
    };
    let servers: Vec<Arc<Server>> =
        (1..=3).map(|index| Server::start(&format!("i-{index:04}"), behaviour)).collect();
    let routes = [Route { prefix: "/photo/", kind: "upload", timeout_ms: 10_000, service: "storefront" }];
    store.put("config", "main", &config(4, &routes), "{}");
    for server in &servers {
        let (spec, status) = server.entry("storefront", "zrh-a", 9);
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

    let front = machine.front();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            thread::spawn(move || {
                let id = format!("photo-{index}");
                let body = vec![b'p'; BODY_BYTES];
                let call = request("POST", "/photo/1", &id, DEADLINE_MS, index as u64, &body);
                let mut connection = Connection::open(front, Duration::from_secs(12)).ok()?;
                record::line(&format!("client sends {id}"));
                let status = connection.call(&call).map(|head| head.status);
                record::line(&format!("client got {status:?} for {id}"));
                Some((id, status.ok()))
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    machine.terminate();
    let answers: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok().flatten()).collect();
    // A server notices a moment later that its request was broken off.
    thread::sleep(Duration::from_millis(2_500));
    let arrivals: Vec<_> =
        servers.iter().flat_map(|server| server.arrivals.lock().unwrap().clone()).collect();
    let is_at_work = |id: &String| arrivals.iter().any(|arrival| arrival.id == *id);
    let broken_off = answers.iter().filter(|(id, status)| is_at_work(id) && *status != Some(200)).count();
    let reset = arrivals.iter().filter(|arrival| arrival.is_broken_off).count();
    record::line(&format!(
        "{} requests, {} reached a server, {broken_off} of them ended without the server's answer; servers saw {reset} broken off",
        answers.len(),
        arrivals.len()
    ));
    if answers.len() < CLIENTS || arrivals.is_empty() {
        return Err("too few requests reached a server".to_owned());
    }
    Ok(broken_off == 0)
}
