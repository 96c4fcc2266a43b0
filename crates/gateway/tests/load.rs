//! Load reports between gateways. Guards against datagrams that end or disturb a gateway, and
//! against reports that are sent or counted although no configuration asks for them.

mod fake;

use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use fake::{
    Behaviour, Gateway, ROUTES, Store, Target, config, request, send_request, start_gateway,
    wait_until,
};

const MESH_PORT: u16 = 7620;
const METRICS_PORT: u16 = 7621;
/// First byte of a load report.
const LOAD_REPORT: u8 = 0xF2;

fn metrics(gateway: &Gateway) -> String {
    let address = SocketAddr::new(gateway.callers.ip(), METRICS_PORT);
    let request = b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let reply = send_request(address, request).unwrap();
    String::from_utf8(reply.body).unwrap()
}

/// The value of the metric that starts with `name`, 0 without it.
fn value(gateway: &Gateway, name: &str) -> u64 {
    let text = metrics(gateway);
    let line = text.lines().find(|line| line.starts_with(name));
    line.and_then(|line| line.rsplit(' ').next()).map_or(0, |value| value.parse().unwrap())
}

#[test]
fn stray_datagrams() {
    let target = Target::new("t-1", Behaviour::Normal(Duration::ZERO));
    let (_store, gateway) = start_gateway(&[&target]);
    let socket = UdpSocket::bind((gateway.callers.ip(), 0)).unwrap();
    let mesh = SocketAddr::new(gateway.callers.ip(), MESH_PORT);
    let datagrams: [&[u8]; 5] =
        [&[LOAD_REPORT], &[LOAD_REPORT; 1_400], &[LOAD_REPORT, 1, 2, 3, 4, 1, 0], &[], &[0xFF; 9]];
    for datagram in datagrams {
        socket.send_to(datagram, mesh).unwrap();
    }
    wait_until("the reports are counted", || {
        value(&gateway, "ebonypass_load_reports_total{result=\"Off\"}") == 3
    });
    assert_eq!(value(&gateway, "ebonypass_load_reporters"), 0);
    let reply = send_request(gateway.callers, &request("GET", "/safe/a", "id-1", "")).unwrap();
    assert_eq!(reply.status(), 200);
}

/// Without a configuration that asks for it, gateways with demand send no reports.
#[test]
fn off_by_default() {
    let store = Store::new();
    store.put("config", "main", config(2, &ROUTES));
    let first = Gateway::start_as(&store, "vm-1");
    let second = Gateway::start_with_seeds(&store, "vm-2", &[&first]);
    wait_until("lookups return both machines", || {
        first.addresses().len() == 2 && second.addresses().len() == 2
    });
    for index in 0..200 {
        let id = format!("id-{index}");
        send_request(first.callers, &request("GET", "/safe/a", &id, ""));
        send_request(second.callers, &request("GET", "/safe/a", &id, ""));
    }
    std::thread::sleep(Duration::from_millis(1_200));
    for gateway in [&first, &second] {
        assert!(!metrics(gateway).contains("ebonypass_load_reports_total"), "{}", metrics(gateway));
    }
}

/// A route for uploads asks for shared load: gateways with demand hear each other.
#[test]
fn on_by_configuration() {
    let target = Target::new("t-1", Behaviour::Normal(Duration::from_millis(5)));
    let store = Store::new();
    let routes = [ROUTES[0], ROUTES[1], ("/photo/", "upload", "s")];
    store.put("config", "main", config(2, &routes));
    store.put("servers", &target.id, target.entry("s", "ready"));
    let first = Gateway::start_as(&store, "vm-1");
    let second = Gateway::start_with_seeds(&store, "vm-2", &[&first]);
    wait_until("lookups return both machines", || {
        first.addresses().len() == 2 && second.addresses().len() == 2
    });
    let mut index = 0;
    wait_until("both gateways count reports of the other", || {
        for gateway in [&first, &second] {
            index += 1;
            send_request(gateway.callers, &request("GET", "/safe/a", &format!("id-{index}"), ""));
        }
        [&first, &second]
            .iter()
            .all(|gateway| value(gateway, "ebonypass_load_reports_total{result=\"Received\"}") > 0)
    });
}
