//! Resource use of a gateway: CPU time while idle and per request, and memory.
//!
//! One gateway and three targets on loopback; run with `cargo bench -p ebonypass-gateway`.

#[path = "../tests/fake/mod.rs"]
mod fake;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use fake::{Behaviour, Gateway, Message, Target, request, start_gateway};

/// Time over which the idle gateway is measured.
const IDLE_DURATION: Duration = Duration::from_secs(10);
/// Number of callers, each with one connection, and requests sent by each.
const CALLER_COUNT: usize = 4;
const REQUESTS_PER_CALLER: usize = 2_500;
/// Unit of CPU time in `/proc/PID/stat` (`USER_HZ` on Linux).
const TICK: Duration = Duration::from_millis(10);

/// CPU time that the gateway has used.
fn cpu_time(gateway: &Gateway) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", gateway.child.id())).unwrap();
    // The program name is in parentheses and may contain spaces. The CPU times are the 12th and
    // 13th field after it.
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
    let ticks: u32 =
        [fields[11], fields[12]].iter().map(|field| field.parse::<u32>().unwrap()).sum();
    TICK * ticks
}

/// Resident memory of the gateway in KB.
fn memory_kb(gateway: &Gateway) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", gateway.child.id())).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

fn send_requests(gateway: &Gateway, number: usize) {
    let mut stream = BufReader::new(TcpStream::connect(gateway.callers).unwrap());
    for index in 0..REQUESTS_PER_CALLER {
        let id = format!("{number}-{index}");
        stream.get_mut().write_all(&request("GET", "/safe/a", &id, "")).unwrap();
        assert_eq!(Message::read(&mut stream).unwrap().status(), 200);
    }
}

fn main() {
    let targets =
        ["t-1", "t-2", "t-3"].map(|name| Target::new(name, Behaviour::Normal(Duration::ZERO)));
    let (_store, gateway) = start_gateway(&targets.each_ref());
    let before = cpu_time(&gateway);
    thread::sleep(IDLE_DURATION);
    let idle = cpu_time(&gateway) - before;
    println!("idle: {:.2}% of a core", idle.as_secs_f64() / IDLE_DURATION.as_secs_f64() * 100.0);
    println!("idle: {} KB resident", memory_kb(&gateway));
    let before = cpu_time(&gateway);
    thread::scope(|scope| {
        for number in 0..CALLER_COUNT {
            let gateway = &gateway;
            scope.spawn(move || send_requests(gateway, number));
        }
    });
    let count = (CALLER_COUNT * REQUESTS_PER_CALLER) as u32;
    let used = cpu_time(&gateway) - before;
    println!("loaded: {} us of a core for each of {count} requests", (used / count).as_micros());
    println!("loaded: {} KB resident", memory_kb(&gateway));
}
