//! Requests, request keys and policy documents with two entries.

mod fake;

use std::time::{Duration, Instant};

use fake::{
    Cluster, Folder, HEADERS, POLICY, Store, Target, call, lookup, metric_sum, new_key, reply, run,
    run_log_with_key, wait_until,
};
use test_case::test_case;

const ENTRIES: [(&str, &str); 2] = [("zurich-1-a", "zurich-1"), ("zurich-2-a", "zurich-2")];

/// The entries agree on the owner of a pool, and the other one forwards each request to it once.
#[test]
fn forwarded_run() {
    let target = Target::echo("rounds-zurich-1-01");
    let cluster = Cluster::new("forwarded", &ENTRIES, &[&target], "");
    let (owner, other) = cluster.owner();
    let first = |index| lookup(cluster.address(index)).json()["entries"][0]["name"].clone();
    assert_eq!(first(owner), first(other));
    let reply = run(cluster.address(other), b"sheet 7");
    assert_eq!(
        (reply.summary().as_str(), reply.body.as_slice()),
        ("200 answered", &b"sheet 7"[..])
    );
    assert_eq!(reply.header("x-kept"), "yes");
    assert_eq!(metric_sum(cluster.admin(owner), "forwarded"), 1.0);
    assert_eq!(metric_sum(cluster.admin(other), "forwarded"), 0.0);
    assert_eq!(target.runs().len(), 1);
}

/// A forwarded reply is complete or recognisably truncated. If a long reply is truncated, the
/// caller sees the connection close, or "unknown" if the stream between the entries fails before
/// the reply's head has arrived.
#[test_case(1_000, 900, &["502 unknown EP-3001"]; "short and truncated")]
#[test_case(300_000, 290_000, &["", "502 unknown EP-3006"]; "long and truncated")]
#[test_case(300_000, 300_000, &["200 answered"]; "long and complete")]
fn forwarded_reply(content_length: usize, sent: usize, expected: &[&str]) {
    let target = Target::new("rounds-zurich-1-01", move |_| {
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {content_length}\r\n\r\n");
        Some([head.into_bytes(), vec![b'x'; sent]].concat())
    });
    target.close_after_reply();
    let cluster = Cluster::new("forwarded-reply", &ENTRIES, &[&target], "");
    let (_, other) = cluster.owner();
    let reply = run_log_with_key(cluster.address(other), &new_key(cluster.address(other), "n1"));
    let summary = reply.map(|reply| reply.summary()).unwrap_or_default();
    assert!(expected.contains(&summary.as_str()), "{summary}");
    assert_eq!(target.runs().len(), 1);
}

/// A caller gets the owner's refusal of a forwarded request with its reason, as "not run".
#[test]
fn forwarded_refusal() {
    let target = Target::new("rounds-zurich-1-01", |_| Some(reply(503, "x-not-run: 1\r\n", b"")));
    let cluster = Cluster::new("forwarded-refusal", &ENTRIES, &[&target], "");
    let (_, other) = cluster.owner();
    let reply = run(cluster.address(other), b"x");
    assert!(reply.summary().starts_with("503 not-run EP-20"), "{}", reply.summary());
}

/// A request key runs once, whichever entries its attempts go to. Guards against a key with two
/// arbiters.
#[test]
fn repeated_key() {
    let target = Target::echo("rounds-zurich-1-01");
    let cluster = Cluster::new("repeated-key", &ENTRIES, &[&target], "");
    let key = new_key(cluster.address(0), "n1");
    let first = run_log_with_key(cluster.address(1), &key).expect("reply");
    assert_eq!(first.summary(), "200 answered");
    for index in [0, 1, 0, 1] {
        let repeated = run_log_with_key(cluster.address(index), &key).expect("reply");
        assert_eq!(repeated.summary(), "409 unknown EP-3004");
        assert!(["ran", "running"].contains(&repeated.header("ebonypass-prior")), "{repeated:?}");
    }
    assert_eq!(target.runs().len(), 1);
}

/// Of many concurrent attempts with one request key exactly one runs.
#[test]
fn concurrent_attempts() {
    let target = Target::echo("rounds-zurich-1-01");
    target.set_delay(Duration::from_millis(50));
    let cluster = Cluster::new("concurrent-attempts", &ENTRIES, &[&target], "");
    let key = new_key(cluster.address(0), "n1");
    let attempts: Vec<_> = (0..16)
        .map(|attempt| {
            let (address, key) = (cluster.address(attempt % 2), key.clone());
            std::thread::spawn(move || run_log_with_key(address, &key).expect("reply").summary())
        })
        .collect();
    let results: Vec<String> =
        attempts.into_iter().map(|attempt| attempt.join().expect("thread")).collect();
    assert_eq!(results.iter().filter(|result| *result == "200 answered").count(), 1, "{results:?}");
    assert_eq!(target.runs().len(), 1);
}

/// A request key whose first attempt was refused before it ran may run in a later attempt.
#[test]
fn refused_key() {
    let target = Target::echo("rounds-zurich-1-01");
    let cluster = Cluster::new("refused-key", &ENTRIES, &[], "");
    let key = new_key(cluster.address(0), "n1");
    let reply = run_log_with_key(cluster.address(1), &key).expect("reply");
    assert_eq!(reply.summary(), "503 not-run EP-2008");
    cluster.store.set_vms(vec![target.vm("live")]);
    wait_until("answer to a later attempt", || {
        let reply = run_log_with_key(cluster.address(1), &key).expect("reply").summary();
        reply == "200 answered"
    });
    assert_eq!(target.runs().len(), 1);
}

/// A request is not run while the arbiter of its key is down.
#[test]
fn stopped_arbiter() {
    let target = Target::echo("rounds-zurich-1-01");
    let mut cluster =
        Cluster::new("stopped-arbiter", &ENTRIES, &[&target], "[limits]\nleave_ms = 0\n");
    let key = new_key(cluster.address(0), "n1");
    let arbiter = cluster.servers.remove(0);
    smol::block_on(arbiter.stop());
    let reply = run_log_with_key(cluster.address(0), &key).expect("reply");
    assert_eq!(reply.summary(), "502 unknown EP-3003");
    assert!(target.runs().is_empty());
}

/// After the owner of a pool has stopped, the other entry owns the pool, and look-ups no longer
/// name the stopped one.
#[test]
fn stopped_owner() {
    let target = Target::echo("rounds-zurich-1-01");
    let mut cluster =
        Cluster::new("stopped-owner", &ENTRIES, &[&target], "[limits]\nleave_ms = 0\n");
    let (owner, _) = cluster.owner();
    let stopped = cluster.servers.remove(owner);
    smol::block_on(stopped.stop());
    let start = Instant::now();
    wait_until("answer from the new owner", || {
        run(cluster.address(0), b"x").summary() == "200 answered"
    });
    assert!(start.elapsed() < Duration::from_secs(4), "{:?}", start.elapsed());
    wait_until("look-up that names one entry", || {
        let body = lookup(cluster.address(0)).json();
        body["entries"].as_array().expect("entries").len() == 1
    });
}

/// An entry that starts while the store is down fetches the policy document from a peer at an
/// address in its settings.
#[test]
fn document_from_peer() {
    let folder = Folder::new("document");
    let store = Store::new();
    store.set_policy(7, POLICY);
    let first = folder.start("zurich-1-a", "zurich-1", store.address, "");
    wait_until("policy at the first entry", || lookup(first.caller_address()).status == 200);
    store.set_outage(true);
    let text = folder.settings("zurich-2-a", "zurich-2", store.address, "");
    let seeds = format!("peers = [\"{}\"]\n[tls]", first.peer_address());
    let second = folder.start_text(&text.replace("[tls]", &seeds));
    assert_eq!(run(second.caller_address(), b"x").summary(), "503 not-run EP-2009");
    wait_until("policy at the second entry", || lookup(second.caller_address()).status == 200);
    assert_eq!(lookup(second.caller_address()).json()["version"], 7);
}

/// A newer document reaches each entry within 3 s, and an older one does not replace it.
#[test]
fn new_version() {
    let cluster = Cluster::new("new-version", &ENTRIES, &[], "");
    let version = |index| lookup(cluster.address(index)).json()["version"].as_u64();
    cluster.store.set_policy(8, POLICY);
    let start = Instant::now();
    wait_until("version 8 at both entries", || version(0) == Some(8) && version(1) == Some(8));
    assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
    cluster.store.set_policy(7, POLICY);
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!((version(0), version(1)), (Some(8), Some(8)));
}

/// A large body of a forwarded request and of its reply arrives complete.
#[test]
fn large_body() {
    let target = Target::echo("rounds-zurich-1-01");
    let cluster = Cluster::new("large-body", &ENTRIES, &[&target], "");
    let (_, other) = cluster.owner();
    let body = vec![b'x'; 1_000_000];
    let reply = call(cluster.address(other), "POST", "/v1/run/rounds/lookup", HEADERS, &body);
    let reply = reply.expect("reply");
    assert_eq!(reply.summary(), "200 answered");
    assert_eq!(reply.body, body);
}
