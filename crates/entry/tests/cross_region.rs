//! Requests between regions: seats, credit, shift plans and link rates.

mod fake;

use std::time::{Duration, Instant};

use fake::{
    Cluster, HEADERS, POLICY, Target, call, lookup, metric_sum, new_key, reply, run, wait_until,
};

const REGIONS: [(&str, &str); 2] = [("zurich-1-a", "zurich-1"), ("geneva-1-a", "geneva-1")];

/// The policy with a shift of half of Zurich's traffic to Geneva, one step per second.
fn policy_with_shift() -> String {
    let shift = "[[service.kind]]\nname = \"log\"\nidempotent = false\ndeadline_ms = 1000\n\n\
                 [[service.shift]]\nfrom = \"zurich\"\nto = \"geneva\"\npercent = 50\n";
    let kind = "[[service.kind]]\nname = \"log\"\nidempotent = false\ndeadline_ms = 1000\n";
    let text = POLICY.replace(kind, shift);
    format!("schema = 1\n\n[shift]\nmax_step_percent = 25\nstep_interval_s = 1\n{}", &text[11..])
}

fn run_with_long_deadline(address: std::net::SocketAddr) -> Option<fake::Reply> {
    let headers = format!("{HEADERS}ebonypass-deadline-ms: 20000\r\n");
    call(address, "POST", "/v1/run/rounds/lookup", &headers, b"x")
}

/// Each seat has one holder, and the entries of a region share its seats evenly.
#[test]
fn shared_seats() {
    let entries = [("zurich-1-a", "zurich-1"), ("zurich-2-a", "zurich-2")];
    let cluster = Cluster::new("shared-seats", &entries, &[], "");
    wait_until("two seats each", || {
        (0..2).all(|index| metric_sum(cluster.admin(index), "seats") == 2.0)
    });
    let (_, seats) = cluster.store.object("seats/zurich").expect("seats");
    let holders = seats["seats"].as_array().expect("seats").iter();
    let holders: Vec<&str> = holders.filter_map(|seat| seat["holder"].as_str()).collect();
    assert_eq!(holders.len(), 4, "{holders:?}");
    assert_eq!(holders.iter().filter(|holder| holder.starts_with("zurich-1-a.")).count(), 2);
    // 96% of 4,000 Mbit/s, in bytes, over both entries.
    let rates: f64 = (0..2).map(|index| metric_sum(cluster.admin(index), "link_rate_bytes")).sum();
    assert_eq!(rates, 480_000_000.0);
}

/// While the store is down, the holders extend each other's seats (docs/design.md, D6).
#[test]
fn seats_without_store() {
    let entries = [("zurich-1-a", "zurich-1"), ("zurich-2-a", "zurich-2")];
    let cluster = Cluster::new("seats-outage", &entries, &[], "");
    let have_seats = || (0..2).all(|index| metric_sum(cluster.admin(index), "seats") == 2.0);
    wait_until("two seats each", have_seats);
    // A holder sends extension requests to the holders that it last read; it reads every 3 s.
    std::thread::sleep(Duration::from_secs(4));
    cluster.store.set_outage(true);
    // A lease lasts 10 s.
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(14) {
        assert!(have_seats(), "after {:?}", start.elapsed());
        std::thread::sleep(Duration::from_millis(100));
    }
}

/// The only entry of a region takes all seats and, being a majority by itself, keeps them while the
/// store is down.
#[test]
fn single_holder() {
    let cluster = Cluster::new("lone-holder", &REGIONS, &[], "");
    let seats = || metric_sum(cluster.admin(0), "seats");
    wait_until("seats", || seats() == 4.0);
    cluster.store.set_outage(true);
    std::thread::sleep(Duration::from_secs(12));
    assert_eq!(seats(), 4.0);
}

/// The steward applies a shift in steps, and the planned percentage is served in the other region.
#[test]
fn planned_shift() {
    let (home, remote) = (Target::echo("rounds-zurich-1-01"), Target::echo("rounds-geneva-1-01"));
    let cluster = Cluster::new("planned", &REGIONS, &[&home, &remote], "");
    cluster.store.set_policy(8, &policy_with_shift());
    let address = cluster.address(0);
    let planned = || {
        let (_, plan) = cluster.store.object("plan/current")?;
        plan["steps"][0]["percent"].as_u64()
    };
    wait_until("first step", || planned() == Some(25));
    wait_until("second step", || planned() == Some(50));
    // Entries read the plan every 2 s.
    std::thread::sleep(Duration::from_millis(2_200));
    wait_until("requests run in the other region", || {
        assert_eq!(run(address, b"x").summary(), "200 answered");
        remote.runs().len() > 5
    });
    let (before_home, before_remote) = (home.runs().len(), remote.runs().len());
    for _ in 0..200 {
        assert_eq!(run(address, b"x").summary(), "200 answered");
    }
    let moved = remote.runs().len() - before_remote;
    assert!((60..=140).contains(&moved), "{moved} of 200 requests moved; the plan is 50%");
    assert!(home.runs().len() > before_home);
}

/// Only one entry is the steward.
#[test]
fn one_steward() {
    let cluster = Cluster::new("one-steward", &REGIONS, &[], "");
    let stewards = || (0..2).map(|index| metric_sum(cluster.admin(index), "steward")).sum::<f64>();
    wait_until("there is a steward", || stewards() == 1.0);
    for _ in 0..20 {
        assert!(stewards() <= 1.0);
        std::thread::sleep(Duration::from_millis(20));
    }
    let (_, lease) = cluster.store.object("lease/steward").expect("lease");
    assert_eq!(lease["epoch"], 1);
}

/// A stopping steward releases its lease, and the next one has a higher epoch.
#[test]
fn next_steward() {
    let mut cluster = Cluster::new("next-steward", &REGIONS, &[], "[limits]\nleave_ms = 500\n");
    let is_steward = |cluster: &Cluster, index| metric_sum(cluster.admin(index), "steward") == 1.0;
    wait_until("there is a steward", || is_steward(&cluster, 0) || is_steward(&cluster, 1));
    let first = usize::from(is_steward(&cluster, 1));
    let stopping = cluster.servers.remove(first);
    smol::block_on(stopping.stop());
    wait_until("next steward", || is_steward(&cluster, 0));
    let (_, lease) = cluster.store.object("lease/steward").expect("lease");
    assert!(lease["epoch"].as_u64() > Some(1), "{lease}");
}

/// Requests that the home region cannot serve go to a region with credit. Until there is credit,
/// they are refused as not run.
#[test]
fn overflow_to_remote_region() {
    let remote = Target::echo("rounds-geneva-1-01");
    let cluster = Cluster::new("spilled", &REGIONS, &[&remote], "");
    let address = cluster.address(0);
    assert_eq!(run(address, b"x").summary(), "503 not-run EP-2008");
    wait_until("there is credit", || run(address, b"x").summary() == "200 answered");
    assert_eq!(metric_sum(cluster.admin(1), "forwarded"), 1.0);
    // Non-idempotent work too; the arbiter of its key is an entry of the home region.
    let reply = fake::run_log_with_key(address, &new_key(address, "n1")).expect("reply");
    assert_eq!(reply.summary(), "200 answered");
}

/// Without a free slot there is no credit, and no request is sent (rule P2).
#[test]
fn no_credit_without_free_slots() {
    let remote = Target::echo("rounds-geneva-1-01");
    remote.set_delay(Duration::from_secs(4));
    let cluster = Cluster::new("full-region", &REGIONS, &[&remote], "");
    let (home, geneva) = (cluster.address(0), cluster.address(1));
    let in_flight: Vec<_> =
        (0..6).map(|_| std::thread::spawn(move || run_with_long_deadline(geneva))).collect();
    wait_until("a request is in flight at the target", || !remote.runs().is_empty());
    std::thread::sleep(Duration::from_millis(300));
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(2) {
        assert_eq!(run(home, b"x").summary(), "503 not-run EP-2008");
        std::thread::sleep(Duration::from_millis(50));
    }
    drop(in_flight);
}

/// Replies stay within the cap of their link (rule P1), and use at least half of it.
#[test]
fn link_rate_limit() {
    let body = vec![b'x'; 100_000];
    let remote = Target::new("rounds-geneva-1-01", move |_| Some(reply(200, "", &body)));
    let cluster = Cluster::new("paced", &REGIONS, &[&remote], "");
    // 16 Mbit/s are 2,000,000 bytes a second in each direction.
    cluster.store.set_policy(8, &POLICY.replace("cap_mbit = 4000", "cap_mbit = 16"));
    wait_until("version 8", || lookup(cluster.address(1)).json()["version"] == 8);
    let address = cluster.address(0);
    wait_until("there is credit", || {
        run_with_long_deadline(address).is_some_and(|reply| reply.status == 200)
    });
    let start = Instant::now();
    let until = start + Duration::from_secs(4);
    let callers: Vec<_> = (0..4)
        .map(|_| {
            std::thread::spawn(move || {
                let mut bytes = 0;
                while Instant::now() < until {
                    let reply = run_with_long_deadline(address).filter(|reply| reply.status == 200);
                    bytes += reply.map_or(0, |reply| reply.body.len());
                }
                bytes
            })
        })
        .collect();
    let bytes: usize = callers.into_iter().map(|caller| caller.join().expect("thread")).sum();
    let rate = bytes as f64 / start.elapsed().as_secs_f64();
    assert!(rate <= 2_000_000.0, "{rate} bytes a second");
    assert!(rate >= 1_000_000.0, "{rate} bytes a second");
}

/// A stopping entry keeps its seats until its replies to other regions are sent, then releases them
/// (rule P7).
#[test]
fn stop_with_remote_requests() {
    let remote = Target::new("rounds-geneva-1-01", |_| Some(reply(200, "", &vec![b'x'; 200_000])));
    let limits = "[limits]\nleave_ms = 300\n";
    let mut cluster = Cluster::new("stop-work", &REGIONS, &[&remote], limits);
    let address = cluster.address(0);
    wait_until("there is credit", || {
        run_with_long_deadline(address).is_some_and(|reply| reply.status == 200)
    });
    remote.set_delay(Duration::from_millis(1_500));
    let before = remote.runs().len();
    let request = std::thread::spawn(move || run_with_long_deadline(address));
    wait_until("a request is in flight", || remote.runs().len() > before);
    smol::block_on(cluster.servers.remove(1).stop());
    let reply = request.join().expect("thread").expect("reply");
    assert_eq!((reply.summary().as_str(), reply.body.len()), ("200 answered", 200_000));
    let (_, seats) = cluster.store.object("seats/geneva").expect("seats");
    let free = |seat: &serde_json::Value| seat["holder"].as_str().is_none_or(str::is_empty);
    assert!(seats["seats"].as_array().expect("seats").iter().all(free), "{seats}");
}
