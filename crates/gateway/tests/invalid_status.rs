//! Targets that answer with a status that HTTP does not have, or that ends no request. Guards
//! against passing such a reply to the caller as an answer.

mod fake;

use std::time::Duration;

use fake::{Behaviour, Target, request, send_request, start_gateway};
use test_case::test_case;

/// A complete and signed reply with the status line `$line`.
macro_rules! reply {
    ($line:literal) => {
        Behaviour::Ends(concat!(
            $line,
            "\r\nX-Request-Id: {id}\r\nX-Server-Signature: 1.2\r\nContent-Length: 2\r\n\r\nok"
        ))
    };
}

#[test_case(reply!("HTTP/1.1 000 OK"); "000")]
#[test_case(reply!("HTTP/1.1 000"); "000 without a reason")]
#[test_case(reply!("HTTP/1.1 001 OK"); "001")]
#[test_case(reply!("HTTP/1.1 099 OK"); "099")]
#[test_case(reply!("HTTP/1.1 600 OK"); "600")]
#[test_case(reply!("HTTP/1.1 799 OK"); "799")]
#[test_case(reply!("HTTP/1.1 999 OK"); "999")]
#[test_case(reply!("HTTP/1.1 20 OK"); "two digits")]
#[test_case(reply!("HTTP/1.1 2000 OK"); "four digits")]
#[test_case(reply!("HTTP/1.1 abc OK"); "letters")]
#[test_case(reply!("HTTP/1.1 -20 OK"); "a sign")]
#[test_case(reply!("HTTP/1.1"); "no status")]
#[test_case(reply!("HTTP/1.1 101 Switching Protocols"); "101")]
#[test_case(reply!("HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x"); "101 with an upgrade")]
#[test_case(reply!("HTTP/1.1 103 Early Hints"); "only informational")]
fn invalid_status(behaviour: Behaviour) {
    let faulty = Target::new("t-1", behaviour);
    let (store, gateway) = start_gateway(&[&faulty]);
    // The request may have run, and the caller must be told nothing else.
    let reply = send_request(gateway.callers, &request("POST", "/once/a", "id-1", "x")).unwrap();
    assert_eq!(reply.status(), 502, "{reply:?}");
    assert_eq!(reply.header("x-server-signature"), None, "{reply:?}");
    // An idempotent request is answered by another target.
    let sound = Target::new("t-2", Behaviour::Normal(Duration::ZERO));
    store.put("servers", "t-2", sound.entry("s", "ready"));
    fake::wait_until("the second target answers", || {
        let reply = send_request(gateway.callers, &request("GET", "/safe/a", "id-2", "")).unwrap();
        assert!(matches!(reply.status(), 200 | 502 | 503), "{reply:?}");
        let has_signature = reply.header("x-server-signature").is_some();
        assert_eq!(reply.status() == 200, has_signature, "{reply:?}");
        reply.status() == 200 && reply.body == b"reply to id-2"
    });
}

/// A reason phrase is optional.
#[test]
fn no_reason() {
    let target = Target::new("t-1", reply!("HTTP/1.1 200"));
    let (_store, gateway) = start_gateway(&[&target]);
    let reply = send_request(gateway.callers, &request("POST", "/once/a", "id-1", "x")).unwrap();
    assert_eq!((reply.status(), reply.body.as_slice()), (200, b"ok".as_slice()));
}
