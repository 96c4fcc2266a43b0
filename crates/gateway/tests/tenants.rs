//! Tenants at a running gateway. Guards against requests served without a key or with a wrong one,
//! requests attributed to a tenant that the caller chose, requests outside the home regions, and
//! keys that leave the machine.

mod fake;

use std::io::{BufReader, Write};
use std::net::{TcpStream, UdpSocket};
use std::sync::mpsc::channel;
use std::time::Duration;

use ebonypass_core::gossip;
use fake::{
    Behaviour, Gateway, Message, ROUTES, Store, TEST_TIMEOUT, Target, config, request,
    send_request, start_gateway, unique_address, wait_until,
};
use serde_json::{Value, json};
use test_case::test_case;

const NORMAL: Behaviour = Behaviour::Normal(Duration::ZERO);
/// Starts each key, so that none can be in a log line, a metric or a copy unnoticed.
const SECRET: &str = "hush";

/// A configuration with the usual routes, a public one, and one whose home region is Zurich.
fn with_tenants(version: u64, rows: &Value) -> Value {
    let routes = [ROUTES[0], ROUTES[1], ("/open/", "safe", "s"), ("/zurich/", "safe", "s")];
    let mut config = config(version, &routes);
    let table = &mut config["spec"]["routes"];
    table["columns"].as_array_mut().unwrap().push("public".into());
    for (index, row) in table["rows"].as_array_mut().unwrap().iter_mut().enumerate() {
        row.as_array_mut().unwrap().push((index == 2).into());
    }
    table["rows"][3][10] = json!(["zurich"]);
    config["spec"]["tenants"] = json!({
        "columns": ["name", "apiKeys", "allowedRegions", "priority"],
        "rows": rows,
    });
    config
}

fn rows() -> Value {
    json!([
        ["acme", ["hush-1", "hush-2"], null, 3],
        ["bolt", ["hush-3"], [], null],
        ["cove", ["hush-4"], ["geneva"], null],
        ["dune", ["hush-5"], ["zurich"], null],
    ])
}

/// A gateway with tenants.
fn start(targets: &[&Target]) -> (Store, Gateway) {
    let (store, gateway) = start_gateway(targets);
    install(&store, &gateway, 3, &rows());
    (store, gateway)
}

/// Puts a configuration into the store, and waits until it is in force.
fn install(store: &Store, gateway: &Gateway, version: u64, rows: &Value) {
    store.put("config", "main", with_tenants(version, rows));
    wait_version(gateway, version);
}

fn wait_version(gateway: &Gateway, version: u64) {
    wait_until("the configuration is in force", || {
        let log = gateway.log.lock().unwrap();
        log.iter().any(|line| line["event"] == 200 && line["version"] == version)
    });
}

/// A request with further header lines.
fn with_lines(method: &str, path: &str, id: &str, lines: &str) -> Vec<u8> {
    let text = String::from_utf8(request(method, path, id, "")).unwrap();
    text.replacen("\r\n", &format!("\r\n{lines}"), 1).into_bytes()
}

fn send(gateway: &Gateway, path: &str, id: &str, lines: &str) -> Message {
    send_request(gateway.callers, &with_lines("GET", path, id, lines)).unwrap()
}

fn key(key: &str) -> String {
    format!("Authorization: Token {key}\r\n")
}

fn get(address: std::net::SocketAddr, path: &str) -> String {
    let text = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    String::from_utf8(send_request(address, text.as_bytes()).unwrap().body).unwrap()
}

fn metrics(gateway: &Gateway) -> String {
    let mut address = gateway.callers;
    address.set_port(7621);
    get(address, "/metrics")
}

#[test_case("Authorization: Token hush-1\r\n", Some("acme"); "a key")]
#[test_case("authorization: tOKEN   hush-3  \r\n", Some("bolt"); "odd spacing and case")]
#[test_case("Authorization: Token hush-2\r\nX-Tenant: bolt\r\nX-Tenant: cove\r\n", Some("acme"); "a tenant that the caller chose")]
#[test_case("Authorization: Token hush-1\r\nConnection: x-tenant, authorization\r\n", Some("acme"); "headers listed as hop by hop")]
#[test_case("", None; "no key")]
#[test_case("X-Tenant: acme\r\n", None; "a tenant without a key")]
#[test_case("Authorization: Token hush-9\r\n", None; "an unknown key")]
#[test_case("Authorization: Basic hush-1\r\n", None; "another scheme")]
#[test_case("Authorization: Token\r\n", None; "an empty key")]
#[test_case("Authorization: Token\thush-1\r\n", None; "a tab")]
#[test_case("Authorization: Token hush-1\r\nAuthorization: Token hush-1\r\n", None; "two headers")]
#[test_case("Authorization: Token hush-1\r\nAuthorization:\r\n", None; "a second, empty header")]
fn keys(lines: &str, tenant: Option<&str>) {
    let target = Target::new("t-1", NORMAL);
    let (_store, gateway) = start(&[&target]);
    let reply = send(&gateway, "/safe/a", "id-1", lines);
    let requests = target.requests.lock().unwrap().clone();
    match tenant {
        Some(tenant) => {
            assert_eq!(reply.status(), 200);
            let names: Vec<&(String, String)> = requests[0]
                .headers
                .iter()
                .filter(|(name, _)| {
                    ["x-tenant", "authorization"].contains(&&*name.to_ascii_lowercase())
                })
                .collect();
            assert_eq!(names.len(), 1, "{names:?}");
            assert_eq!(requests[0].header("x-tenant"), Some(tenant));
        }
        None => {
            assert_eq!(reply.status(), 401);
            assert_eq!(reply.header("www-authenticate"), Some("Token"));
            assert!(reply.body.is_empty() && requests.is_empty());
            wait_until("the rejection is logged", || !gateway.log_lines("id-1").is_empty());
            assert_eq!(gateway.log_lines("id-1")[0]["code"], 2021);
        }
    }
}

/// A key that is no text cannot be sent by [`send`].
#[test]
fn key_of_bytes() {
    let target = Target::new("t-1", NORMAL);
    let (_store, gateway) = start(&[&target]);
    let mut bytes = with_lines("GET", "/safe/a", "id-1", "Authorization: Token @\r\n");
    let at = bytes.iter().position(|&byte| byte == b'@').unwrap();
    bytes[at] = 0xff;
    assert_eq!(send_request(gateway.callers, &bytes).unwrap().status(), 401);
    assert_eq!(target.count(), 0);
}

/// Public routes serve everybody, but name a tenant only for its key.
#[test]
fn public_route() {
    let target = Target::new("t-1", NORMAL);
    let (_store, gateway) = start(&[&target]);
    let cases = [
        (key("hush-3"), Some("bolt")),
        (String::new(), None),
        (key("hush-9"), None),
        ("Authorization: Basic hush-1\r\n".to_owned(), None),
        (key("hush-1") + &key("hush-1"), None),
    ];
    for (index, (lines, tenant)) in cases.iter().enumerate() {
        let lines = format!("{lines}X-Tenant: cove\r\n");
        assert_eq!(send(&gateway, "/open/a", &format!("id-{index}"), &lines).status(), 200);
        let seen = target.requests.lock().unwrap()[index].clone();
        assert_eq!(seen.header("x-tenant"), *tenant, "case {index}");
        assert_eq!(seen.header("authorization"), None, "case {index}");
    }
}

/// Without the table both headers belong to the caller and its target.
#[test]
fn without_tenants() {
    let target = Target::new("t-1", NORMAL);
    let (_store, gateway) = start_gateway(&[&target]);
    let lines = "Authorization: Token x\r\nX-Tenant: cove\r\n";
    assert_eq!(send(&gateway, "/safe/a", "id-1", lines).status(), 200);
    let seen = target.requests.lock().unwrap()[0].clone();
    assert_eq!(seen.header("authorization"), Some("Token x"));
    assert_eq!(seen.header("x-tenant"), Some("cove"));
    assert!(!metrics(&gateway).contains("ebonypass_tenant_requests_total{"));
}

/// The order of the checks: a body is not read, and a route is found, before the key is looked at.
#[test]
fn order_of_checks() {
    let target = Target::new("t-1", NORMAL);
    let (_store, gateway) = start(&[&target]);
    assert_eq!(send(&gateway, "/nowhere/", "id-1", "").status(), 404);
    let head = "POST /once/a HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: id-2\r\n";
    let long = format!("{head}Content-Length: 70000\r\n\r\n");
    assert_eq!(send_request(gateway.callers, long.as_bytes()).unwrap().status(), 401);
    let long = format!("{head}{}Content-Length: 70000\r\n\r\n", key("hush-1"));
    assert_eq!(send_request(gateway.callers, long.as_bytes()).unwrap().status(), 413);
    // The body never comes.
    let stalled = format!("{head}Content-Length: 5\r\n\r\n");
    assert_eq!(send_request(gateway.callers, stalled.as_bytes()).unwrap().status(), 401);
    assert_eq!(target.count(), 0);
}

/// A machine without a configuration cannot tell whether a key is known.
#[test]
fn without_configuration() {
    let store = Store::new();
    let gateway = Gateway::start(&store);
    wait_until("the gateway listens", || TcpStream::connect(gateway.callers).is_ok());
    for lines in [String::new(), key("hush-1")] {
        assert_eq!(send(&gateway, "/safe/a", "id-1", &lines).status(), 503);
    }
}

/// Keys come and go with versions, also for a connection that stays open.
#[test]
fn kept_connection() {
    let target = Target::new("t-1", NORMAL);
    let (store, gateway) = start(&[&target]);
    let mut stream = BufReader::new(TcpStream::connect(gateway.callers).unwrap());
    stream.get_ref().set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let mut send = |id: &str, name: &str| {
        let bytes = with_lines("GET", "/safe/a", id, &key(name));
        stream.get_mut().write_all(&bytes).unwrap();
        Message::read(&mut stream).unwrap().status()
    };
    assert_eq!([send("id-1", "hush-1"), send("id-2", "hush-7")], [200, 401]);
    install(&store, &gateway, 4, &json!([["acme", ["hush-2"]], ["eden", ["hush-7"]]]));
    let statuses = [send("id-3", "hush-1"), send("id-4", "hush-2"), send("id-5", "hush-7")];
    assert_eq!(statuses, [401, 200, 200]);
    let tenants: Vec<Option<String>> = target
        .requests
        .lock()
        .unwrap()
        .iter()
        .map(|request| request.header("x-tenant").map(str::to_owned))
        .collect();
    assert_eq!(tenants, ["acme", "acme", "eden"].map(|name| Some(name.to_owned())));
}

/// Sends the head of a request, changes the configuration, and then sends the body.
fn send_across_change(
    path: &str,
    lines: &str,
    change: impl FnOnce(&Gateway),
    gateway: &Gateway,
) -> u16 {
    let mut stream = TcpStream::connect(gateway.callers).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: id-w\r\n{lines}Content-Length: 2\r\n\r\na"
    );
    stream.write_all(text.as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(100));
    change(gateway);
    stream.write_all(b"b").unwrap();
    Message::read(&mut BufReader::new(stream)).unwrap().status()
}

/// The key of a request that waits is checked again before it is sent. A key may have moved to
/// another tenant.
#[test_case("/once/a", json!([["acme", ["hush-2"]]]), 401, None; "a key that is gone")]
#[test_case("/once/a", json!([["eden", ["hush-1"]]]), 200, Some("eden"); "a key that has moved")]
#[test_case("/once/a", json!([["acme", ["hush-1"]]]), 200, Some("acme"); "a key that stays")]
#[test_case("/once/a", json!([["acme", ["hush-1"], ["geneva"]]]), 503, None; "a home that has moved")]
#[test_case("/open/a", json!([["acme", ["hush-2"]]]), 200, None; "a key that is gone, on a public route")]
fn waiting_request(path: &str, rows: Value, status: u16, tenant: Option<&str>) {
    let target = Target::new("t-1", NORMAL);
    let (store, gateway) = start(&[&target]);
    let change = |gateway: &Gateway| install(&store, gateway, 4, &rows);
    assert_eq!(send_across_change(path, &key("hush-1"), change, &gateway), status);
    let requests = target.requests.lock().unwrap().clone();
    assert_eq!(requests.len(), usize::from(status == 200));
    if status == 200 {
        assert_eq!(requests[0].header("x-tenant"), tenant);
        assert_eq!(requests[0].header("authorization"), None);
    }
}

/// A request that arrived before the configuration had tenants needs a key from then on.
#[test_case("hush-1", 200; "a known key")]
#[test_case("hush-9", 401; "an unknown key")]
fn first_tenants(name: &str, status: u16) {
    let target = Target::new("t-1", NORMAL);
    let (store, gateway) = start_gateway(&[&target]);
    let change = |gateway: &Gateway| install(&store, gateway, 3, &rows());
    let lines = format!("{}X-Tenant: cove\r\n", key(name));
    assert_eq!(send_across_change("/once/a", &lines, change, &gateway), status);
    if status == 200 {
        let seen = target.requests.lock().unwrap()[0].clone();
        assert_eq!(seen.header("x-tenant"), Some("acme"));
        assert_eq!(seen.header("authorization"), None);
    }
}

/// A 500 reply that takes about 0.7 s.
const SLOW_FAILURE: Behaviour = Behaviour::Trickles(
    "HTTP/1.1 500 Error\r\nX-Request-Id: {id}\r\nX-Server-Signature: 1.2\r\nContent-Length: 0\r\n\r\n",
    "",
    Duration::from_millis(8),
);

/// A request whose key is gone is not sent again. As a target may have run it, the caller gets the
/// reply of the target and no 401.
#[test_case("hush-1", 2; "a key that stays")]
#[test_case("hush-2", 1; "a key that is gone")]
fn key_between_attempts(left: &str, expected: usize) {
    let targets = ["t-1", "t-2"].map(|id| Target::new(id, SLOW_FAILURE));
    let (store, gateway) = start(&targets.each_ref());
    std::thread::sleep(fake::WARM_UP);
    let callers = gateway.callers;
    let bytes = with_lines("GET", "/safe/a", "id-1", &key("hush-1"));
    let reply = std::thread::spawn(move || send_request(callers, &bytes).unwrap());
    let count = || targets[0].count() + targets[1].count();
    wait_until("a target has the request", || count() == 1);
    install(&store, &gateway, 4, &json!([["acme", [left]]]));
    assert_eq!(reply.join().unwrap().status(), 500);
    assert_eq!(count(), expected);
}

/// A request may run only in the home regions of its route and of its tenant.
#[test]
fn home_regions() {
    let zurich = Target::new("t-z", NORMAL);
    let geneva = Target::new("t-g", NORMAL);
    let (store, gateway) = start_gateway(&[&zurich]);
    let mut entry = geneva.entry("s", "ready");
    entry["spec"]["info"]["zone"] = "gva-a".into();
    store.put("servers", "t-g", entry);
    install(&store, &gateway, 3, &rows());
    wait_until("both targets are known", || {
        let log = gateway.log.lock().unwrap();
        log.iter().filter(|line| line["event"] == 500).count() >= 2
    });
    let cases = [
        ("/safe/", "hush-4", 200, [0, 1]),
        ("/safe/", "hush-5", 200, [1, 0]),
        ("/zurich/", "hush-1", 200, [1, 0]),
        ("/zurich/", "hush-5", 200, [1, 0]),
        ("/zurich/", "hush-4", 503, [0, 0]),
    ];
    for (case, (path, name, status, expected)) in cases.into_iter().enumerate() {
        let before = [zurich.count(), geneva.count()];
        for index in 0..4 {
            let id = format!("id-{case}-{index}");
            let text = String::from_utf8(with_lines("GET", path, &id, &key(name))).unwrap();
            let text = text.replace("Key=7", &format!("Key={index}"));
            let reply = send_request(gateway.callers, text.as_bytes()).unwrap();
            assert_eq!(reply.status(), status, "case {case}");
        }
        let counts = [zurich.count() - before[0], geneva.count() - before[1]];
        assert_eq!(counts, expected.map(|count| count * 4), "case {case}");
    }
}

/// A faulty entry affects only itself, and its line names no key.
#[test]
fn faulty_entries() {
    let target = Target::new("t-1", NORMAL);
    let (store, gateway) = start_gateway(&[&target]);
    let rows = json!([
        ["acme", ["hush-1", "hush-2", ""]],
        ["bolt", ["hush-2", "hush-3"]],
        ["acme", ["hush-4"]],
        ["", ["hush-5"]],
        "hush-6",
        ["dune", ["hush-7"], ["mars"]],
        ["eden", ["hush-8"], "hush-9"],
        ["fern", ["hush-10"], ["zurich"]],
    ]);
    install(&store, &gateway, 3, &rows);
    let status = |name: &str| send(&gateway, "/safe/a", "id-1", &key(name)).status();
    let names = ["hush-1", "hush-2", "hush-3", "hush-4", "hush-5", "hush-7", "hush-8", "hush-10"];
    let expected = [200, 401, 200, 401, 401, 503, 401, 200];
    assert_eq!(names.map(status), expected);
    store.put("evacuations", "none", json!({ "spec": {} }));
    wait_until("a later change is logged", || {
        gateway.log.lock().unwrap().iter().any(|line| line["event"] == 206)
    });
    let log = gateway.log.lock().unwrap();
    let lines = log.iter().filter(|line| line["event"] == 209);
    let lines: Vec<(u64, &str)> = lines
        .map(|line| (line["row"].as_u64().unwrap(), line["tenant"].as_str().unwrap()))
        .collect();
    let expected = [
        (0, "acme"),
        (0, "acme"),
        (1, "bolt"),
        (2, "acme"),
        (3, ""),
        (4, ""),
        (5, "dune"),
        (6, "eden"),
    ];
    assert_eq!(lines, expected);
}

/// A value that is no table refuses the version: without its tenants everybody would be served.
#[test]
fn no_table() {
    let target = Target::new("t-1", NORMAL);
    let (store, gateway) = start(&[&target]);
    let mut faulty = with_tenants(4, &rows());
    faulty["spec"]["tenants"] = json!("hush-1");
    store.put("config", "main", faulty);
    wait_until("the version is refused", || {
        gateway.log.lock().unwrap().iter().any(|line| line["event"] == 201)
    });
    assert_eq!(send(&gateway, "/safe/a", "id-1", "").status(), 401);
    assert_eq!(send(&gateway, "/safe/a", "id-2", &key("hush-1")).status(), 200);
    assert!(!format!("{:?}", gateway.log.lock().unwrap()).contains(SECRET));
}

/// No key leaves the machine: in a copy for another machine, a log line, a metric, or a reply. The
/// copy still lets the other machine recognise the keys.
#[test]
fn keys_stay() {
    let target = Target::new("t-1", NORMAL);
    let (store, gateway) = start(&[&target]);
    let other = Gateway::start_with_seeds(&store, "vm-2", &[&gateway]);
    other.wait_ready();
    wait_version(&other, 3);
    store.put("config", "main", with_tenants(4, &rows()));
    for gateway in [&gateway, &other] {
        wait_version(gateway, 4);
    }
    wait_until("one of them copies the configuration from the other one", || {
        let mut logs = [&gateway, &other].into_iter().map(|gateway| gateway.log.lock().unwrap());
        let is_copied = |line: &Value| {
            line["event"] == 207 && line["kind"] == "config" && line["source"] != "store"
        };
        logs.any(|log| log.iter().any(is_copied))
    });
    wait_until("the other machine knows the target", || {
        other.log.lock().unwrap().iter().any(|line| line["event"] == 500)
    });
    for (index, gateway) in [&gateway, &other].into_iter().enumerate() {
        for (number, lines) in
            [key("hush-1"), key("hush-99"), key("hush-1") + &key("hush-3")].iter().enumerate()
        {
            let id = format!("id-{index}-{number}");
            let reply = send(gateway, "/safe/a", &id, lines);
            assert_eq!(reply.status(), if number == 0 { 200 } else { 401 });
            assert!(!format!("{reply:?}").contains(SECRET));
        }
        let mut mesh = gateway.callers;
        mesh.set_port(7620);
        for path in ["/mirror/config/0", "/mirror/config/1?now", "/mirror/config/2?now"] {
            let copy = get(mesh, path);
            assert!(copy.contains("sha256") && copy.contains("acme"), "{copy}");
            assert!(!copy.contains(SECRET), "{copy}");
        }
        let text = metrics(gateway);
        assert!(!text.contains(SECRET), "{text}");
        let answered =
            "ebonypass_tenant_requests_total{tenant=\"acme\",ending=\"Answered\",code=\"0\"} 1";
        assert!(text.contains(answered), "{text}");
        assert!(text.contains("code=\"2021\"} 2"), "{text}");
        wait_until("the rejections are logged", || {
            !gateway.log_lines(&format!("id-{index}-2")).is_empty()
        });
        assert!(!format!("{:?}", gateway.log.lock().unwrap()).contains(SECRET));
    }
    for seen in target.requests.lock().unwrap().iter() {
        assert!(!format!("{seen:?}").contains(SECRET));
    }
}

/// Operators find out from the lines whose requests are refused, and with which priority.
#[test]
fn tenant_lines() {
    let (_store, gateway) = start(&[]);
    let cases = [
        ("hush-1", "/safe/a", Some(("acme", 3))),
        ("hush-3", "/safe/a", Some(("bolt", 1))),
        ("hush-9", "/open/a", None),
    ];
    for (index, (name, path, expected)) in cases.into_iter().enumerate() {
        let id = format!("id-{index}");
        assert_eq!(send(&gateway, path, &id, &key(name)).status(), 503);
        wait_until("the refusal is logged", || !gateway.log_lines(&id).is_empty());
        let line = &gateway.log_lines(&id)[0];
        let found = line["tenant"].as_str().zip(line["priority"].as_u64());
        assert_eq!(found, expected, "{line}");
    }
}

/// Requests without a key must not fill the log. The metrics count each of them.
#[test]
fn many_rejections() {
    let target = Target::new("t-1", NORMAL);
    let (_store, gateway) = start(&[&target]);
    let statuses = send_many(&gateway, 400, "hush-9", "/safe/a");
    assert!(statuses.iter().all(|status| *status == 401));
    assert!(metrics(&gateway).contains("code=\"2021\"} 400"));
    std::thread::sleep(Duration::from_millis(600));
    let log = gateway.log.lock().unwrap();
    let lines = log.iter().filter(|line| line["code"] == 2021).count();
    assert!((1..200).contains(&lines), "{lines} lines");
}

/// Sends `count` requests on one connection, and returns their statuses.
fn send_many(gateway: &Gateway, count: usize, name: &str, path: &str) -> Vec<u16> {
    let mut stream = BufReader::new(TcpStream::connect(gateway.callers).unwrap());
    stream.get_ref().set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let mut send = |index: usize| {
        let bytes = with_lines("GET", path, &format!("id-{index}"), &key(name));
        let text = String::from_utf8(bytes).unwrap().replace("Key=7", &format!("Key={index}"));
        stream.get_mut().write_all(text.as_bytes()).unwrap();
        Message::read(&mut stream).unwrap().status()
    };
    (0..count).map(&mut send).collect()
}

/// Requests without a key must not earn retries: whoever sends them would decide how many requests
/// targets in trouble get.
#[test]
fn rejections_earn_no_retries() {
    // So many that each sheds few requests: after some, a target counts as too slow to be used.
    let targets: Vec<Target> =
        (0..40).map(|index| Target::new(&format!("t-{index}"), Behaviour::Sheds)).collect();
    let (_store, gateway) = start(&targets.iter().collect::<Vec<_>>());
    std::thread::sleep(fake::WARM_UP);
    assert!(send_many(&gateway, 800, "hush-9", "/safe/a").iter().all(|status| *status == 401));
    assert!(send_many(&gateway, 150, "hush-1", "/safe/a").iter().all(|status| *status == 503));
    let attempts: usize = targets.iter().map(Target::count).sum();
    // A machine alone may send 0.6 * 62 retries and 0.15 for each of the 150 requests, 59 in all.
    // For 950 requests there is no limit below one for each of the 150.
    assert!((170..=215).contains(&attempts), "{attempts} attempts");
}

/// Requests without a key must not raise the demand by which machines are chosen. The test takes the
/// part of a seed, to which a machine without neighbours sends its heartbeats.
#[test]
fn rejections_are_no_demand() {
    let seed = UdpSocket::bind((unique_address(), 7620)).unwrap();
    seed.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let store = Store::new();
    store.put("config", "main", with_tenants(2, &rows()));
    let target = Target::new("t-1", NORMAL);
    store.put("servers", "t-1", target.entry("s", "ready"));
    let seeds = [seed.local_addr().unwrap()];
    let gateway = Gateway::start_process(unique_address(), &store, "vm-1", &seeds, false);
    gateway.wait_ready();
    wait_until("the target is known", || {
        gateway.log.lock().unwrap().iter().any(|line| line["event"] == 500)
    });
    // The highest of the demands that were sent from the start of the requests until a second after.
    let demand_of = |name: &str| {
        let (end_sender, end) = channel();
        let receiver = seed.try_clone().unwrap();
        let heartbeats = std::thread::spawn(move || {
            let mut demand = 0;
            while end.try_recv().is_err() {
                let mut bytes = [0; 2_048];
                let (length, _) = receiver.recv_from(&mut bytes).unwrap();
                let message: gossip::Message = postcard::from_bytes(&bytes[..length]).unwrap();
                demand = message.peers[0].heartbeat.demand.max(demand);
            }
            demand
        });
        send_many(&gateway, 300, name, "/safe/a");
        std::thread::sleep(Duration::from_secs(1));
        end_sender.send(()).unwrap();
        heartbeats.join().unwrap()
    };
    assert_eq!(demand_of("hush-9"), 0);
    assert!(demand_of("hush-1") > 10);
}
