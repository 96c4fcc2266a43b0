//! Entries of servers in the store that other writers or late calls have changed.

use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};

use super::*;

/// `drainMs` of the site, in seconds.
const DRAIN_S: f64 = 2.5;
/// How much longer than `drainMs` the server serves before it exits.
const LITTLE_LONGER_S: f64 = 0.8;
const ZONES: [&str; 6] = ["zrh-a", "zrh-b", "gva-a", "gva-b", "lug-a", "lug-b"];
const SWAPS_HOST: &str = "jepu9.example";
const SWAPS_PATH: &str = "/puka111/log";
const ROUNDS_HOST: &str = "hulo84.example";
const ROUNDS_PATH: &str = "/leny950/2f";

type Attempts = Arc<Mutex<Vec<Attempt>>>;

/// A small deployment with traffic on two routes.
struct Deployment {
    store: Store,
    swaps: Vec<Server>,
    attempts: Attempts,
    clients: Vec<JoinHandle<()>>,
}

impl Deployment {
    /// Starts everything; clients send from second 8 until `end`.
    fn start(end: f64) -> Deployment {
        let store = Store::start();
        let routes = [
            Route(SWAPS_HOST, "/puka111/", "unsafe", 3_000, 600, "swaps"),
            Route(ROUNDS_HOST, "/leny950/", "safe", 1_200, 400, "rounds"),
        ];
        put_config(&store, 7, &routes);
        let start = |service: &str, work_ms: u64, index: usize| {
            let id = format!("i-{service}-{index:02x}");
            Server::start(&store, &id, service, ZONES[index % ZONES.len()], work_ms)
        };
        let swaps: Vec<Server> = (0..6).map(|index| start("swaps", 710, index)).collect();
        let _rounds: Vec<Server> = (0..6).map(|index| start("rounds", 300, index)).collect();
        let machines = start_machines(&store, &["zrh-a", "zrh-b"], SMALL_SITE);
        sleep_until(8.0);
        let fronts = machines[0].resolve();
        if fronts.len() != machines.len() {
            cannot_run("the directory does not name all machines");
        }
        let attempts = Attempts::default();
        let mut clients = Vec::new();
        for (index, front) in fronts.iter().cycle().take(16).copied().enumerate() {
            let attempts = attempts.clone();
            clients.push(thread::spawn(move || {
                let mut client = Client::new();
                while now() < end {
                    let attempt = if index % 4 == 3 {
                        client.send(front, "GET", ROUNDS_HOST, ROUNDS_PATH, 3_000, b"")
                    } else {
                        client.send(front, "POST", SWAPS_HOST, SWAPS_PATH, 4_000, &[b'x'; 300])
                    };
                    attempts.lock().unwrap().push(attempt);
                    sleep_ms(60);
                }
            }));
        }
        Deployment { store, swaps, attempts, clients }
    }

    /// Waits for the clients and returns what they saw.
    fn finish(self) -> Vec<Attempt> {
        for client in self.clients {
            let _ = client.join();
        }
        let attempts = self.attempts.lock().unwrap().clone();
        record(&summary(&attempts));
        let served = attempts.iter().filter(|attempt| matches!(attempt.end, End::Answer(200, ..)));
        if served.count() < 50 {
            cannot_run("too few requests were served");
        }
        attempts
    }
}

/// DRAIN: whether requests reached `server` later than `drainMs` after the store acknowledged, at
/// `drained`, that it is draining.
fn check_drain(server: &Server, drained: f64, attempts: &[Attempt]) -> bool {
    let arrivals = server.arrivals.lock().unwrap().clone();
    let late: Vec<&Arrival> =
        arrivals.iter().filter(|arrival| arrival.at > drained + DRAIN_S).collect();
    let ids: Vec<&str> = late.iter().map(|arrival| arrival.request.as_str()).collect();
    record(&format!("reached {} later than drainMs after the ack: {} ({})", server.id, ids.len(), ids.join(" ")));
    let unanswered = |attempt: &&Attempt| {
        let has_answer = matches!(attempt.end, End::Answer(_, Some(_), _));
        ids.contains(&attempt.id.as_str()) && attempt.path == SWAPS_PATH && !has_answer
    };
    let unanswered: Vec<&Attempt> = attempts.iter().filter(unanswered).collect();
    let ids: Vec<&str> = unanswered.iter().map(|attempt| attempt.id.as_str()).collect();
    record(&format!("of these non-idempotent and without a server's answer: {} ({})", ids.len(), ids.join(" ")));
    !late.is_empty()
}

/// Lets `server` report that it is draining, serve on and exit. Returns the time of the ack.
fn leave(server: &Server, store: &Store) -> f64 {
    let drained = server.drain(store);
    record(&format!("the store has acknowledged at {drained:.3} that {} is draining", server.id));
    sleep_until(drained + DRAIN_S + LITTLE_LONGER_S);
    server.end(store);
    drained
}

/// DRAIN: another writer replaces the entry of a server by one of a service that no page or
/// configuration names. The server's next check-in puts its entry right. Later the server drains.
pub fn stray_entry() -> bool {
    let deployment = Deployment::start(20.0);
    let (server, store) = (deployment.swaps[0].clone(), deployment.store.clone());
    sleep_until(10.0);
    if has_trouble() {
        let spec = server.spec().replace("\"swaps\"", "\"nosuch7\"");
        let (_, status) = store.get("servers", &server.id).expect("the entry");
        store.put("servers", &server.id, &spec, &status);
        record(&format!("another writer replaces the entry of {}: {spec} {status}", server.id));
    }
    sleep_until(14.0);
    let drained = leave(&server, &store);
    check_drain(&server, drained, &deployment.finish())
}

/// DRAIN: a check-in of a server is held up on its way to the store, and executed after the server
/// has reported that it is draining.
pub fn late_check_in() -> bool {
    let deployment = Deployment::start(20.0);
    let (server, store) = (deployment.swaps[0].clone(), deployment.store.clone());
    sleep_until(10.0);
    let held_up = server.next_status();
    record(&format!("server {} sends a check-in that is held up: {held_up}", server.id));
    sleep_until(12.4);
    let (late_server, late_store) = (server.clone(), store.clone());
    let late = thread::spawn(move || {
        // 5.1 s after it was sent, and soon after a check-in, so that the next one is 1.4 s away.
        sleep_until(15.1);
        if has_trouble() {
            late_store.put_status("servers", &late_server.id, &held_up);
            record(&format!("the store executes the check-in of {}: {held_up}", late_server.id));
        }
    });
    let drained = leave(&server, &store);
    let _ = late.join();
    check_drain(&server, drained, &deployment.finish())
}

/// DRAIN: another writer creates an entry with a text that is no Unicode. Later a server drains.
pub fn unreadable_entry() -> bool {
    let deployment = Deployment::start(20.0);
    let (server, store) = (deployment.swaps[0].clone(), deployment.store.clone());
    sleep_until(10.0);
    if has_trouble() {
        let spec = "{\"address\":\"127.0.0.1:9\",\"info\":{\"service\":\"swaps\",\"version\":\"v1\\ud83d\",\"zone\":\"zrh-a\",\"slots\":3}}";
        let status = "{\"state\":\"ready\",\"sequence\":1,\"coldRemainingMs\":0}";
        store.put("servers", "i-stray-00", spec, status);
        record(&format!("another writer creates the entry i-stray-00: {spec} {status}"));
    }
    sleep_until(14.0);
    let drained = leave(&server, &store);
    check_drain(&server, drained, &deployment.finish())
}

/// ROUTE: another writer replaces the entry of a server of one service by an entry of another
/// service in which a field is missing. Such an entry names no server to use.
pub fn incomplete_entry() -> bool {
    let deployment = Deployment::start(16.0);
    let (server, store) = (deployment.swaps[0].clone(), deployment.store.clone());
    sleep_until(10.0);
    if has_trouble() {
        let spec = server.spec().replace("\"swaps\"", "\"rounds\"");
        let status = "{\"state\":\"ready\",\"coldRemainingMs\":0}";
        store.put("servers", &server.id, &spec, status);
        record(&format!("another writer replaces the entry of {}: {spec} {status}", server.id));
    }
    deployment.finish();
    let arrivals = server.arrivals.lock().unwrap().clone();
    let foreign = arrivals.iter().filter(|arrival| arrival.path == ROUNDS_PATH && arrival.has_run);
    let foreign: Vec<&str> = foreign.map(|arrival| arrival.request.as_str()).collect();
    record(&format!("requests for rounds that {} of swaps ran: {} ({})", server.id, foreign.len(), foreign.join(" ")));
    !foreign.is_empty()
}
