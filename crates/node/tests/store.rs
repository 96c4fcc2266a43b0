//! The store client, against a scripted server.

mod fake;

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use ebonypass_node::store::{Error, Http, Lifecycle, Object, Role, Store, scan_items, scan_vms};
use fake::{Server, Step, reply};
use test_case::test_case;

const TIMEOUT: Duration = Duration::from_millis(200);

fn client(address: SocketAddr) -> Http {
    Http::new(address).with_timeout(TIMEOUT)
}

fn serve_once(step: Step) -> Server {
    Server::start(vec![vec![step]])
}

fn object_reply(version: u64) -> Step {
    Step::Reply(reply("200 OK", &format!("x-version: {version}\r\n"), "text"))
}

fn status_reply(status: &str) -> Step {
    Step::Reply(reply(status, "", ""))
}

fn closed_port() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").expect("bind").local_addr().expect("address")
}

/// The result of a `put` for each behaviour of the store. Guards against a lost reply that is
/// reported as "not written", after which an operator would submit twice.
#[test_case(object_reply(8), Ok(8); "written")]
#[test_case(Step::Reply(reply("412 Precondition Failed", "x-version: 9\r\n", "")), Err("conflict 9"); "conflict")]
#[test_case(status_reply("400 Bad Request"), Err("refused 400"); "refused")]
#[test_case(status_reply("503 Service Unavailable"), Err("uncertain"); "outage")]
#[test_case(status_reply("200 OK"), Err("uncertain"); "no version")]
#[test_case(Step::CloseAfterRequest, Err("uncertain"); "lost reply")]
#[test_case(Step::NoReply, Err("uncertain"); "no answer")]
#[test_case(Step::ReplyAndClose(b"HTTP/1.1 200 OK\r\nx-ver".to_vec()), Err("uncertain"); "cut head")]
fn put_outcomes(step: Step, expected: Result<u64, &str>) {
    let store = client(serve_once(step).address);
    let result = smol::block_on(store.put("policy/current", b"text".to_vec(), 7));
    assert_eq!(result.map_err(|error| error_name(&error)), expected.map_err(str::to_owned));
}

/// The result of a `get` for each behaviour of the store.
#[test_case(object_reply(8), Ok(8); "found")]
#[test_case(status_reply("404 Not Found"), Err("absent"); "absent")]
#[test_case(status_reply("503 Service Unavailable"), Err("unreachable"); "outage")]
#[test_case(status_reply("200 OK"), Err("malformed"); "no version")]
#[test_case(Step::CloseAfterRequest, Err("unreachable"); "closed")]
#[test_case(Step::NoReply, Err("unreachable"); "no answer")]
#[test_case(Step::ReplyAndClose(b"HTTP/1.1 200 OK\r\nx-version: 8\r\ncontent-length: 4\r\n\r\nte".to_vec()), Err("unreachable"); "cut body")]
fn get_outcomes(step: Step, expected: Result<u64, &str>) {
    let store = client(serve_once(step).address);
    let result = smol::block_on(store.get("policy/current"));
    assert_eq!(
        result.map(|object| object.version).map_err(|error| error_name(&error)),
        expected.map_err(str::to_owned)
    );
}

/// The result of a `watch` for each behaviour of the store. Guards against an old version that is
/// accepted after a newer one.
#[test_case(object_reply(8), Ok(Some(8)); "newer")]
#[test_case(status_reply("304 Not Modified"), Ok(None); "time-out")]
#[test_case(object_reply(7), Err("malformed"); "same")]
#[test_case(object_reply(3), Err("malformed"); "older")]
#[test_case(Step::DelayedReply(Duration::from_millis(300), reply("200 OK", "x-version: 8\r\n", "text")), Ok(Some(8)); "within wait")]
fn watch_outcomes(step: Step, expected: Result<Option<u64>, &str>) {
    let store = client(serve_once(step).address);
    let wait = Duration::from_millis(200);
    let result = smol::block_on(store.watch("policy/current", 7, wait));
    assert_eq!(
        result
            .map(|object| object.map(|object| object.version))
            .map_err(|error| error_name(&error)),
        expected.map_err(str::to_owned)
    );
}

/// After a refused connection nothing can have been written, so the error is not `Uncertain`.
#[test]
fn refused_connection() {
    let store = client(closed_port());
    let put = smol::block_on(store.put("policy/current", Vec::new(), 0));
    assert_eq!(put.map_err(|error| error_name(&error)), Err("unreachable".to_owned()));
}

/// The request of a `put`: request line, header and body.
#[test]
fn put_request() {
    let server = serve_once(object_reply(8));
    smol::block_on(client(server.address).put("policy/current", b"text".to_vec(), 7)).expect("put");
    let request = server.requests().remove(0);
    assert!(request.starts_with("PUT /objects/policy/current HTTP/1.1\r\n"), "{request}");
    assert!(request.to_lowercase().contains("x-if-version: 7\r\n"), "{request}");
    assert!(request.ends_with("\r\n\r\ntext"), "{request}");
}

/// A large value is sent at once, without a wait for `100 Continue`.
#[test]
fn put_large() {
    let server = serve_once(object_reply(8));
    let value = vec![b'x'; 900_000];
    smol::block_on(client(server.address).put("policy/current", value, 7)).expect("put");
    assert!(!server.requests()[0].to_lowercase().contains("expect:"));
}

/// Values and keys that the store would refuse are rejected without being sent.
#[test]
fn refused_locally() {
    let server = serve_once(object_reply(8));
    let store = client(server.address);
    let large = smol::block_on(store.put("policy/current", vec![0; 1_000_001], 7));
    assert_eq!(large, Err(Error::TooLarge(1_000_001)));
    for key in ["policy/../x", "a b", "a?x=1", "a//b"] {
        let result = smol::block_on(store.get(key));
        assert_eq!(result, Err(Error::InvalidKey(key.to_owned())));
    }
    assert!(server.requests().is_empty());
}

/// The example listing and VM list of section 5.4 of docs/design.md can be parsed.
#[test]
fn documented_lists() {
    let items = scan_items(br#"{"objects":[{"key":"policy/current","version":7}]}"#).expect("list");
    assert_eq!((items[0].key.as_str(), items[0].version), ("policy/current", 7));
    let vms = scan_vms(
        br#"{"vms":[{"name":"zurich-1-a","role":"entry","data_centre":"zurich-1","address":"127.0.0.1:7000","peer":"127.0.0.1:7100","state":"live"},{"name":"rounds-zurich-1-01","role":"target","service":"rounds","data_centre":"zurich-1","address":"127.0.0.1:9001","slots":3,"state":"leaving"}]}"#,
    )
    .expect("vms");
    assert_eq!((vms[0].role, vms[0].state), (Role::Entry, Lifecycle::Live));
    assert_eq!(
        (vms[1].role, vms[1].state, vms[1].slots),
        (Role::Target, Lifecycle::Leaving, Some(3))
    );
}

/// `get` returns the version and the value unchanged.
#[test]
fn get_value() {
    let store = client(serve_once(object_reply(8)).address);
    let object = smol::block_on(store.get("policy/current")).expect("get");
    assert_eq!(object, Object { version: 8, value: b"text".to_vec() });
}

proptest::proptest! {
    /// Arbitrary bytes give an error or a list, never a panic.
    #[test]
    fn arbitrary_bytes(bytes: Vec<u8>) {
        let _ = scan_items(&bytes);
        let _ = scan_vms(&bytes);
    }
}

fn error_name(error: &Error) -> String {
    match error {
        Error::Conflict { current } => format!("conflict {current}"),
        Error::NotFound => "absent".to_owned(),
        Error::Unreachable(_) => "unreachable".to_owned(),
        Error::Uncertain(_) => "uncertain".to_owned(),
        Error::Refused(status) => format!("refused {status}"),
        Error::Malformed(_) => "malformed".to_owned(),
        Error::TooLarge(_) => "too large".to_owned(),
        Error::InvalidKey(_) => "bad key".to_owned(),
    }
}
