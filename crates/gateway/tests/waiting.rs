//! Requests that wait for a slot at a running gateway. Guards against urgent requests that queue
//! behind patient ones, and against waiting requests that are lost.

mod fake;

use std::thread;
use std::time::Duration;

use fake::{Behaviour, Gateway, Store, Target, config, request, send_request, wait_until};
use serde_json::json;

/// Slots of the fake target.
const SLOTS: usize = 3;
const PATIENT_COUNT: usize = 9;
const ROUTES: [(&str, &str, &str); 3] =
    [("/urgent/", "safe", "s"), ("/patient/", "unsafe", "s"), ("/photo/", "upload", "s")];

fn start(target: &Target, objective_of_patient_ms: u64) -> (Store, Gateway) {
    let store = Store::new();
    let mut policy = config(2, &ROUTES);
    let rows = policy["spec"]["routes"]["rows"].as_array_mut().unwrap();
    for (row, objective, priority) in [(0, 2_000, 0), (1, objective_of_patient_ms, 2)] {
        rows[row][4] = json!(60_000);
        rows[row][5] = json!(objective);
        rows[row][6] = json!(priority);
    }
    store.put("config", "main", policy);
    store.put("servers", &target.id, target.entry("s", "ready"));
    let gateway = Gateway::start(&store);
    gateway.wait_ready();
    wait_until("the target is known", || {
        gateway.log.lock().unwrap().iter().any(|line| line["event"] == 500)
    });
    (store, gateway)
}

fn encode(method: &str, path: &str, id: &str) -> Vec<u8> {
    let text = String::from_utf8(request(method, path, id, "")).unwrap();
    text.replace("X-Deadline-Ms: 3000", "X-Deadline-Ms: 60000").into_bytes()
}

/// Patient requests beyond the slots wait at the gateway, so the urgent one goes before them; all of
/// them are answered.
#[test]
fn urgent_first() {
    let target = Target::new("t-1", Behaviour::Normal(Duration::from_millis(700)));
    let (_store, gateway) = start(&target, 4_000);
    let callers = gateway.callers;
    let patient: Vec<_> = (0..PATIENT_COUNT)
        .map(|index| {
            thread::spawn(move || {
                let bytes = encode("POST", "/patient/a", &format!("patient-{index}"));
                send_request(callers, &bytes).map_or(0, |reply| reply.status())
            })
        })
        .collect();
    wait_until("all slots are taken", || target.count() >= SLOTS);
    let reply = send_request(callers, &encode("GET", "/urgent/a", "urgent")).unwrap();
    assert_eq!(reply.status(), 200, "{:?}", gateway.log_lines("urgent"));
    let statuses: Vec<u16> = patient.into_iter().map(|caller| caller.join().unwrap()).collect();
    let runs = target.runs.lock().unwrap();
    let position = runs.iter().position(|run| run.id == "urgent").unwrap();
    assert!(position < PATIENT_COUNT - 1, "{position} requests ran before the urgent one");
    assert_eq!(statuses, [200; PATIENT_COUNT]);
}

/// A stop answers what still waits, and says truly that it has not run.
#[test]
fn stop_while_waiting() {
    let target = Target::new("t-1", Behaviour::Normal(Duration::from_secs(9)));
    let (_store, mut gateway) = start(&target, 30_000);
    let callers = gateway.callers;
    let patient: Vec<_> = (0..PATIENT_COUNT)
        .map(|index| {
            thread::spawn(move || {
                let bytes = encode("POST", "/patient/a", &format!("patient-{index}"));
                send_request(callers, &bytes).map(|reply| reply.status())
            })
        })
        .collect();
    wait_until("all slots are taken", || target.count() >= SLOTS);
    gateway.signal("-TERM");
    wait_until("the process has ended", || gateway.has_ended());
    let statuses: Vec<Option<u16>> =
        patient.into_iter().map(|caller| caller.join().unwrap()).collect();
    let refused = statuses.iter().filter(|status| **status == Some(503)).count();
    let ran = target.runs.lock().unwrap().len();
    assert!(refused > 0, "no request waited: {statuses:?}");
    assert_eq!(refused + ran, PATIENT_COUNT, "{statuses:?}, {ran} ran");
}
