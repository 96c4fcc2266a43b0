//! Malformed bytes on every socket that a gateway opens. Guards against messages that end the process
//! or make it forget what it knows.

mod fake;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::time::Duration;

use ebonypass_core::gossip::{Heartbeat, Kind, Membership, Peer};
use ebonypass_core::time::Instant;
use fake::{Behaviour, Gateway, ROUTES, Target, config, request, send_request, start_gateway};

/// Messages sent to each socket.
const MESSAGE_COUNT: usize = 300;
const MESH_PORT: u16 = 7620;
const METRICS_PORT: u16 = 7621;

/// A seeded generator.
struct Random(u64);

impl Random {
    fn below(&mut self, limit: usize) -> usize {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.0 >> 33) as usize % limit
    }

    /// Changes, cuts or repeats parts of a message.
    fn mutate(&mut self, message: &[u8]) -> Vec<u8> {
        let mut bytes = message.to_vec();
        for _ in 0..=self.below(6) {
            let at = self.below(bytes.len().max(1));
            match self.below(4) {
                0 if !bytes.is_empty() => bytes[at] = self.below(256) as u8,
                1 => bytes.truncate(at),
                2 => bytes.extend_from_within(at.min(bytes.len())..),
                _ => bytes.insert(at.min(bytes.len()), self.below(256) as u8),
            }
        }
        bytes
    }
}

fn assert_serves(gateway: &mut Gateway, id: &str) {
    assert!(!gateway.has_ended(), "the process has ended");
    let reply = send_request(gateway.callers, &request("GET", "/safe/a", id, "")).unwrap();
    assert_eq!(reply.status(), 200);
}

/// Machines exchange heartbeats over UDP.
#[test]
fn heartbeats() {
    let target = Target::new("t-1", Behaviour::Normal(Duration::ZERO));
    let (_store, mut gateway) = start_gateway(&[&target]);
    let peer = |index: u8| Peer {
        name: format!("vm-x-{index}"),
        address: [127, 0, 0, index].into(),
        centre: "zrh-a".to_owned(),
        strength: 2,
        heartbeat: Heartbeat { is_ready: false, ..Heartbeat::at_start(1 << 40) },
    };
    let mut membership = Membership::new(Instant::ZERO, peer(250));
    for index in 251..255 {
        let other = Membership::new(Instant::ZERO, peer(index));
        let message = other.message(Instant::ZERO, Kind::Gossip, |_| 0);
        membership.handle_message(Instant::ZERO, message);
    }
    let message = membership.message(Instant::ZERO, Kind::Reply, |_| 0);
    let bytes = postcard::to_stdvec(&message).unwrap();
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let to = SocketAddr::new(gateway.callers.ip(), MESH_PORT);
    let mut random = Random(11);
    for _ in 0..MESSAGE_COUNT {
        socket.send_to(&random.mutate(&bytes), to).unwrap();
    }
    assert_serves(&mut gateway, "id-1");
    assert!(!gateway.addresses().is_empty(), "the machine has left the directory");
}

/// Callers, look-ups, readiness checks, metrics and polls of other machines are HTTP.
#[test]
fn requests() {
    let target = Target::new("t-1", Behaviour::Normal(Duration::ZERO));
    let (_store, mut gateway) = start_gateway(&[&target]);
    let ip = gateway.callers.ip();
    let at = |port| SocketAddr::new(ip, port);
    let addresses =
        [gateway.callers, gateway.lookups, gateway.readiness, at(MESH_PORT), at(METRICS_PORT)];
    let poll = b"GET /mirror/target/0?now HTTP/1.1\r\nHost: x\r\n\r\n".to_vec();
    let messages = [request("POST", "/once/a", "id-1", "0123456789"), poll];
    let mut random = Random(12);
    for address in addresses {
        for index in 0..MESSAGE_COUNT / 5 {
            let mut stream = TcpStream::connect(address).unwrap();
            let bytes = random.mutate(&messages[index % messages.len()]);
            // The gateway may close the connection at any byte.
            let _ = stream.write_all(&bytes);
            let _ = stream.set_read_timeout(Some(Duration::from_millis(5)));
            let _ = stream.read(&mut [0; 256]);
        }
    }
    assert_serves(&mut gateway, "id-last");
}

/// The store hands out what any writer wrote.
#[test]
fn objects_of_the_store() {
    let target = Target::new("t-1", Behaviour::Normal(Duration::ZERO));
    let (store, mut gateway) = start_gateway(&[&target]);
    let mut random = Random(13);
    let entry = target.entry("s", "ready").to_string().into_bytes();
    let policy = config(3, &ROUTES).to_string().into_bytes();
    for (kind, name, text) in [("servers", "x", entry), ("config", "main", policy)] {
        let mut count = 0;
        while count < 40 {
            let bytes = random.mutate(&text);
            // The store itself accepts only JSON.
            let Ok(object) = serde_json::from_slice::<serde_json::Value>(&bytes) else { continue };
            if object.is_object() && !is_usable(kind, &object) {
                store.put(kind, &format!("{name}-{count}"), object);
            }
            count += 1;
        }
    }
    std::thread::sleep(Duration::from_millis(600));
    assert_serves(&mut gateway, "id-1");
}

/// Whether a mutated object is still the original one in what matters.
fn is_usable(kind: &str, object: &serde_json::Value) -> bool {
    match kind {
        "servers" => {
            object["spec"]["info"]["service"] == "s" && object["status"]["state"] == "ready"
        }
        _ => object["spec"]["version"].is_string(),
    }
}
