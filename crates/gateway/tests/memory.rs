//! Memory of a gateway. Guards against growth that ends with the process being killed, which cuts
//! the requests in flight.

mod fake;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::Duration;

use fake::{
    Behaviour, Gateway, Message, ROUTES, Store, Target, config, request, send_request,
    start_gateway, wait_until,
};
use test_case::test_case;

/// Limit of the platform's smallest machines in kB, less a tenth to spare.
const MAX_RESIDENT_KB: u64 = (160 << 10) / 10 * 9;
/// Routes of the large configuration, about 115 KB.
const ROUTE_COUNT: usize = 1_400;
const VERSION_COUNT: u64 = 200;

fn resident_kb(gateway: &Gateway) -> u64 {
    let path = format!("/proc/{}/status", gateway.child.id());
    let text = std::fs::read_to_string(path).unwrap();
    let line = text.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// The path of a route that only this version has.
fn version_path(version: u64) -> String {
    format!("/version{version}/")
}

fn put_large_config(store: &Store, version: u64) {
    let paths: Vec<String> = (0..ROUTE_COUNT).map(|index| format!("/more{index}/")).collect();
    let own = version_path(version);
    let mut routes: Vec<(&str, &str, &str)> = ROUTES.to_vec();
    routes.extend(paths.iter().map(|path| (path.as_str(), "safe", "s")));
    routes.push((&own, "safe", "s"));
    store.put("config", "main", config(version, &routes));
}

/// Former versions of a large configuration must not be kept whole.
#[test]
fn many_large_configurations() {
    let target = Target::new("t-1", Behaviour::Normal(Duration::ZERO));
    let (store, gateway) = start_gateway(&[&target]);
    // One by one: versions that arrive together count as one change.
    for version in 3..3 + VERSION_COUNT {
        put_large_config(&store, version);
        let bytes = request("GET", &version_path(version), "id", "");
        let status = || send_request(gateway.callers, &bytes).map(|reply| reply.status());
        wait_until("the version is applied", || status() == Some(200));
    }
    let resident = resident_kb(&gateway);
    assert!(resident < MAX_RESIDENT_KB, "{resident} kB resident after {VERSION_COUNT} versions");
}

/// Bodies of callers, each within the limit of the configuration.
const BODY_BYTES: usize = 60 << 20;
/// Limit of the machine in kB, less a tenth to spare.
const MAX_RESIDENT_WITH_BODIES_KB: u64 = (260 << 10) / 10 * 9;

/// Large bodies must not be held all at once, and must not keep small requests out.
#[test_case(4; "four")]
#[test_case(16; "sixteen")]
fn large_bodies(count: usize) {
    let target = Target::new("t-1", Behaviour::Normal(Duration::from_millis(300)));
    let (store, gateway) = start_gateway(&[&target]);
    let mut large = config(3, &ROUTES);
    large["spec"]["limits"]["maxBodyBytes"] = (64 << 20).into();
    large["spec"]["routes"]["rows"][1][4] = 20_000.into();
    store.put("config", "main", large);
    wait_until("the configuration is active", || {
        gateway.log.lock().unwrap().iter().any(|line| line["version"] == 3)
    });
    let callers = gateway.callers;
    let uploads: Vec<_> = (0..count)
        .map(|index| {
            std::thread::spawn(move || {
                let head = format!(
                    "POST /once/a HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: id-{index}\r\nX-Deadline-Ms: 20000\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
                );
                let mut stream = TcpStream::connect(callers).unwrap();
                let sent = stream.write_all(head.as_bytes());
                let block = vec![b'x'; 1 << 20];
                // A refused body is not read, so the gateway may close the connection.
                if sent.is_ok() {
                    let _ = (0..BODY_BYTES >> 20).try_for_each(|_| stream.write_all(&block));
                }
                Message::read(&mut BufReader::new(stream)).map(|reply| reply.status())
            })
        })
        .collect();
    let is_running = || uploads.iter().any(|upload| !upload.is_finished());
    let mut small = 0;
    while is_running() {
        let bytes = request("POST", "/once/a", "small", "a small body");
        assert_eq!(send_request(callers, &bytes).unwrap().status(), 200);
        small += 1;
    }
    let statuses: Vec<Option<u16>> =
        uploads.into_iter().map(|upload| upload.join().unwrap()).collect();
    assert!(statuses.contains(&Some(200)), "{statuses:?}");
    assert!(small > 0);
    let resident = resident_kb(&gateway);
    assert!(resident < MAX_RESIDENT_WITH_BODIES_KB, "{resident} kB resident, {statuses:?}");
    let ran = target.runs.lock().unwrap().iter().filter(|run| run.id.starts_with("id-")).count();
    let answered = statuses.iter().filter(|status| **status == Some(200)).count();
    assert_eq!(ran, answered, "{statuses:?}");
}

/// The largest body that the platform permits.
const LARGEST_BODY_BYTES: usize = 67_108_864;

/// A single body of the largest permitted size must be served on the smallest machine, and must not
/// be copied whole on its way.
#[test_case(false; "announced")]
#[test_case(true; "chunked")]
fn largest_body(is_chunked: bool) {
    let target = Target::new("t-1", Behaviour::Normal(Duration::ZERO));
    let store = Store::new();
    let mut policy = config(2, &ROUTES);
    policy["spec"]["limits"]["maxBodyBytes"] = LARGEST_BODY_BYTES.into();
    policy["spec"]["routes"]["rows"][1][4] = 20_000.into();
    store.put("config", "main", policy);
    store.put("servers", &target.id, target.entry("s", "ready"));
    let gateway = Gateway::start_limited(&store, 160, 4_100);
    gateway.wait_ready();
    wait_until("the target is known", || {
        gateway.log.lock().unwrap().iter().any(|line| line["event"] == 500)
    });
    let framing = if is_chunked {
        "Transfer-Encoding: chunked".to_owned()
    } else {
        format!("Content-Length: {LARGEST_BODY_BYTES}")
    };
    let head = format!(
        "POST /once/a HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: large\r\nX-Deadline-Ms: 20000\r\n{framing}\r\n\r\n"
    );
    let mut stream = TcpStream::connect(gateway.callers).unwrap();
    stream.write_all(head.as_bytes()).unwrap();
    let block = vec![b'x'; 1 << 20];
    for _ in 0..LARGEST_BODY_BYTES >> 20 {
        if is_chunked {
            stream.write_all(b"100000\r\n").unwrap();
        }
        stream.write_all(&block).unwrap();
        if is_chunked {
            stream.write_all(b"\r\n").unwrap();
        }
    }
    if is_chunked {
        stream.write_all(b"0\r\n\r\n").unwrap();
    }
    let reply = Message::read(&mut BufReader::new(stream)).unwrap();
    assert_eq!(reply.status(), 200);
    let requests = target.requests.lock().unwrap();
    assert_eq!(requests.last().unwrap().body.len(), LARGEST_BODY_BYTES);
    let resident = resident_kb(&gateway);
    println!("{resident} kB resident");
    assert!(resident < MAX_RESIDENT_KB, "{resident} kB resident");
}
