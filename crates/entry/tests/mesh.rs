//! Several entries together.

mod fake;

use std::time::{Duration, Instant};

use fake::{
    Cluster, Folder, HEADERS, POLICY, Store, Target, call, lookup, metric_sum, new_key, reply, run,
    run_log_with_key, wait_until,
};
use test_case::test_case;

const TWO: [(&str, &str); 2] = [("zurich-1-a", "zurich-1"), ("zurich-2-a", "zurich-2")];

/// Entries agree on the owner of a pool; others forward to it, once.
#[test]
fn forwarded_run() {
    let target = Target::echo("rounds-zurich-1-01");
    let mesh = Cluster::new("forwarded", &TWO, &[&target], "");
    let (owner, other) = mesh.owner();
    let first = |index| lookup(mesh.address(index)).json()["entries"][0]["name"].clone();
    assert_eq!(first(owner), first(other));
    let got = run(mesh.address(other), b"sheet 7");
    assert_eq!((got.summary().as_str(), got.body.as_slice()), ("200 answered", &b"sheet 7"[..]));
    assert_eq!(got.header("x-kept"), "yes");
    assert_eq!(metric_sum(mesh.admin(owner), "forwarded"), 1.0);
    assert_eq!(metric_sum(mesh.admin(other), "forwarded"), 0.0);
    assert_eq!(target.runs().len(), 1);
}

/// Replies that cross an entry are whole or visibly cut. Of a long one that is cut the caller sees
/// the connection end, or "unknown" if the cut overtakes the head on the way between the entries.
#[test_case(1_000, 900, &["502 unknown EP-3001"]; "short and cut")]
#[test_case(300_000, 290_000, &["", "502 unknown EP-3006"]; "long and cut")]
#[test_case(300_000, 300_000, &["200 answered"]; "long and whole")]
fn forwarded_reply(stated: usize, sent: usize, expected: &[&str]) {
    let target = Target::new("rounds-zurich-1-01", move |_| {
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {stated}\r\n\r\n");
        Some([head.into_bytes(), vec![b'x'; sent]].concat())
    });
    target.close_after_reply();
    let mesh = Cluster::new("forwarded-reply", &TWO, &[&target], "");
    let (_, other) = mesh.owner();
    let got = run_log_with_key(mesh.address(other), &new_key(mesh.address(other), "n1"));
    let summary = got.map(|got| got.summary()).unwrap_or_default();
    assert!(expected.contains(&summary.as_str()), "{summary}");
    assert_eq!(target.runs().len(), 1);
}

/// What a forwarded refusal says: the owner's reason, still "not run".
#[test]
fn forwarded_refusal() {
    let shed = Target::new("rounds-zurich-1-01", |_| Some(reply(503, "x-not-run: 1\r\n", b"")));
    let mesh = Cluster::new("forwarded-refusal", &TWO, &[&shed], "");
    let (_, other) = mesh.owner();
    let got = run(mesh.address(other), b"x");
    assert!(got.summary().starts_with("503 not-run EP-20"), "{}", got.summary());
}

/// A key runs once, whichever entries its attempts go to. Guards against two arbiters.
#[test]
fn one_key() {
    let target = Target::echo("rounds-zurich-1-01");
    let mesh = Cluster::new("one-key", &TWO, &[&target], "");
    let key = new_key(mesh.address(0), "n1");
    let first = run_log_with_key(mesh.address(1), &key).expect("reply");
    assert_eq!(first.summary(), "200 answered");
    for index in [0, 1, 0, 1] {
        let again = run_log_with_key(mesh.address(index), &key).expect("reply");
        assert_eq!(again.summary(), "409 unknown EP-3004");
        assert!(["ran", "running"].contains(&again.header("ebonypass-prior")), "{again:?}");
    }
    assert_eq!(target.runs().len(), 1);
}

/// Of many attempts at the same time with one key exactly one runs.
#[test]
fn racing_attempts() {
    let target = Target::echo("rounds-zurich-1-01");
    target.set_delay(Duration::from_millis(50));
    let mesh = Cluster::new("racing", &TWO, &[&target], "");
    let key = new_key(mesh.address(0), "n1");
    let attempts: Vec<_> = (0..16)
        .map(|attempt| {
            let (address, key) = (mesh.address(attempt % 2), key.clone());
            std::thread::spawn(move || run_log_with_key(address, &key).expect("reply").summary())
        })
        .collect();
    let results: Vec<String> =
        attempts.into_iter().map(|attempt| attempt.join().expect("thread")).collect();
    assert_eq!(results.iter().filter(|result| *result == "200 answered").count(), 1, "{results:?}");
    assert_eq!(target.runs().len(), 1);
}

/// A key whose first attempt was refused before running may run later.
#[test]
fn settled_key() {
    let target = Target::echo("rounds-zurich-1-01");
    let mesh = Cluster::new("settled", &TWO, &[], "");
    let key = new_key(mesh.address(0), "n1");
    let got = run_log_with_key(mesh.address(1), &key).expect("reply");
    assert_eq!(got.summary(), "503 not-run EP-2008");
    mesh.store.set_vms(vec![target.vm("live")]);
    wait_until("second attempt", || {
        let got = run_log_with_key(mesh.address(1), &key).expect("reply").summary();
        got == "200 answered"
    });
    assert_eq!(target.runs().len(), 1);
}

/// Without its arbiter a key is never granted.
#[test]
fn gone_arbiter() {
    let target = Target::echo("rounds-zurich-1-01");
    let mut mesh = Cluster::new("gone-arbiter", &TWO, &[&target], "[limits]\nleave_ms = 0\n");
    let key = new_key(mesh.address(0), "n1");
    let first = mesh.servers.remove(0);
    smol::block_on(first.stop());
    let got = run_log_with_key(mesh.address(0), &key).expect("reply");
    assert_eq!(got.summary(), "502 unknown EP-3003");
    assert!(target.runs().is_empty());
}

/// After an entry has died, the other one owns its pools and look-ups stop naming it.
#[test]
fn dead_owner() {
    let target = Target::echo("rounds-zurich-1-01");
    let mut mesh = Cluster::new("dead-owner", &TWO, &[&target], "[limits]\nleave_ms = 0\n");
    let (owner, _) = mesh.owner();
    let dead = mesh.servers.remove(owner);
    smol::block_on(dead.stop());
    let start = Instant::now();
    wait_until("other owner", || run(mesh.address(0), b"x").summary() == "200 answered");
    assert!(start.elapsed() < Duration::from_secs(4), "{:?}", start.elapsed());
    wait_until("look-up", || {
        let answer = lookup(mesh.address(0)).json();
        answer["entries"].as_array().expect("entries").len() == 1
    });
}

/// An entry that starts while the store is down takes the document of its peers, found by the
/// addresses in its settings.
#[test]
fn document_of_peers() {
    let folder = Folder::new("document");
    let store = Store::new();
    store.set_policy(7, POLICY);
    let first = folder.start("zurich-1-a", "zurich-1", store.address, "");
    wait_until("policy", || lookup(first.caller_address()).status == 200);
    store.set_outage(true);
    let text = folder.settings("zurich-2-a", "zurich-2", store.address, "");
    let seeds = format!("peers = [\"{}\"]\n[tls]", first.peer_address());
    let second = folder.start_text(&text.replace("[tls]", &seeds));
    assert_eq!(run(second.caller_address(), b"x").summary(), "503 not-run EP-2009");
    wait_until("document", || lookup(second.caller_address()).status == 200);
    assert_eq!(lookup(second.caller_address()).json()["version"], 7);
}

/// A newer document reaches each entry within seconds, and an older one never comes back.
#[test]
fn new_version() {
    let mesh = Cluster::new("new-version", &TWO, &[], "");
    let version = |index| lookup(mesh.address(index)).json()["version"].as_u64();
    mesh.store.set_policy(8, POLICY);
    let start = Instant::now();
    wait_until("version 8", || version(0) == Some(8) && version(1) == Some(8));
    assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
    mesh.store.set_policy(7, POLICY);
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!((version(0), version(1)), (Some(8), Some(8)));
}

/// A request body of a forwarded request arrives whole.
#[test]
fn large_body() {
    let target = Target::echo("rounds-zurich-1-01");
    let mesh = Cluster::new("large-body", &TWO, &[&target], "");
    let (_, other) = mesh.owner();
    let body = vec![b'x'; 1_000_000];
    let got = call(mesh.address(other), "POST", "/v1/run/rounds/lookup", HEADERS, &body);
    let got = got.expect("reply");
    assert_eq!(got.summary(), "200 answered");
    assert_eq!(got.body, body);
}
