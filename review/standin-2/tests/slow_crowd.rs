//! Many clients read large answers slowly. The process must stay within the machine's memory, or the
//! platform ends it and all requests that it holds are lost.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Connection, request};
use crate::platform::{Machine, Settings, free_addresses};
use crate::server::{Behaviour, Server};
use crate::socket::fix_receive_buffer;
use crate::store::{Route, Store, config};
use crate::{Verdict, record};

const ANSWER_BYTES: usize = 540_000;
const MEMORY_MB: u64 = 160;
/// Below the 1,280 connections that the process takes at this memory.
const SLOW_CLIENTS: usize = 1_100;
/// A slow client reads this much in each interval; less than 1 Mbit/s.
const PIECE_BYTES: usize = 16 << 10;
const INTERVAL: Duration = Duration::from_millis(150);
const ORDINARY_CLIENTS: usize = 20;
/// LOST: more than three.
const ALLOWED: usize = 3;

pub fn run(has_trouble: bool) -> Verdict {
    let store = Store::default();
    let behaviour = Behaviour {
        work: Duration::from_millis(300),
        answer_bytes: None,
        wait_before_body: Duration::ZERO,
        is_recorded: false,
    };
    let servers: Vec<Arc<Server>> =
        (1..=6).map(|index| Server::start(&format!("i-{index:04}"), behaviour)).collect();
    let routes = [
        Route { prefix: "/archive/", kind: "download", timeout_ms: 30_000, service: "arsiv-iade" },
        Route { prefix: "/quote/", kind: "safe", timeout_ms: 1_500, service: "teklif-sorgu" },
    ];
    store.put("config", "main", &config(4, &routes), "{}");
    for (index, server) in servers.iter().enumerate() {
        let (service, slots) = if index < 3 { ("arsiv-iade", 400) } else { ("teklif-sorgu", 20) };
        let (spec, status) = server.entry(service, "zrh-a", slots);
        store.put("servers", &server.name, &spec, &status);
    }
    let ports: Vec<u16> = servers.iter().map(|server| server.address.port()).collect();
    let addresses = free_addresses(1)?;
    let settings = Settings {
        name: "edge-zrh-a-1".to_owned(),
        zone: "zrh-a",
        seeds: vec![addresses[0].clone()],
        store: store.open_path().address,
        memory_mb: MEMORY_MB,
    };
    let mut machine = Machine::start(&addresses[0], &settings)?;
    machine.wait_ready()?;
    thread::sleep(Duration::from_secs(2));
    let front = machine.front();

    let is_over = Arc::new(AtomicBool::new(false));
    let (answered, lost) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let mut clients = Vec::new();
    for index in 0..ORDINARY_CLIENTS {
        let (is_over, answered, lost) = (is_over.clone(), answered.clone(), lost.clone());
        clients.push(thread::spawn(move || ordinary(front, index, &is_over, &answered, &lost)));
    }
    let slow_over = is_over.clone();
    let slow = thread::spawn(move || read_slowly(front, has_trouble, &slow_over));

    // The platform ends a process that exceeds its memory.
    let limit = MEMORY_MB << 20;
    let (mut peak, mut is_ended) = ((0, 0), false);
    let end = Instant::now() + Duration::from_secs(25);
    while Instant::now() < end && !is_ended {
        if let Some((resident, unread)) = machine.memory(&ports) {
            if resident + unread > peak.0 + peak.1 {
                peak = (resident, unread);
            }
            if resident + unread > limit {
                record::line(&format!("the platform ends the process: {resident} bytes resident and {unread} unread, {limit} allowed"));
                machine.kill();
                is_ended = true;
            }
        }
        is_ended |= machine.has_ended();
        thread::sleep(Duration::from_millis(50));
    }
    thread::sleep(Duration::from_millis(500));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let (whole, cut) = slow.join().map_err(|_| "the slow clients failed".to_owned())?;
    let quotes = servers[3..].iter().map(|server| server.arrivals.lock().unwrap().len()).sum::<usize>();
    let (answered, lost) = (answered.load(Ordering::SeqCst), lost.load(Ordering::SeqCst));
    record::line(&format!("peak: {} kB resident, {} kB unread, {} kB allowed", peak.0 >> 10, peak.1 >> 10, limit >> 10));
    record::line(&format!("large answers: {whole} whole, {cut} not"));
    record::line(&format!("ordinary requests on kept connections: {quotes} run, {answered} answered, {lost} without an answer (allowed {ALLOWED}); the process has {}ended", if is_ended { "" } else { "not " }));
    if answered < 100 {
        return Err("too few ordinary requests were answered".to_owned());
    }
    Ok(!is_ended && lost <= ALLOWED)
}

/// Sends small requests on a kept connection until the process has ended.
fn ordinary(front: SocketAddr, index: usize, is_over: &AtomicBool, answered: &AtomicUsize, lost: &AtomicUsize) {
    let Ok(mut connection) = Connection::open(front, Duration::from_secs(5)) else { return };
    let mut count = 0;
    while !is_over.load(Ordering::SeqCst) {
        count += 1;
        let id = format!("quote-{index}-{count}");
        match connection.call(&request("GET", "/quote/400", &id, 4_000, index as u64, b"")) {
            Ok(head) if head.closes => return,
            Ok(_) => {
                answered.fetch_add(1, Ordering::SeqCst);
            }
            Err(error) => {
                // The first request on the connection was answered, so it is a kept one.
                if count > 1 {
                    lost.fetch_add(1, Ordering::SeqCst);
                }
                record::line(&format!("{id} ends without an answer: {error}"));
                return;
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
}

struct Reader {
    stream: TcpStream,
    received: usize,
    is_done: bool,
}

/// Opens connections one after the other, and reads from all of them. Returns how many answers were
/// whole, and how many were not.
fn read_slowly(front: SocketAddr, has_trouble: bool, is_over: &AtomicBool) -> (usize, usize) {
    let mut readers: Vec<Reader> = Vec::new();
    let mut bytes = vec![0; PIECE_BYTES];
    let mut refused = 0;
    let mut opened = 0;
    while !is_over.load(Ordering::SeqCst) {
        let round = Instant::now();
        for _ in 0..40 {
            if opened == SLOW_CLIENTS {
                break;
            }
            opened += 1;
            let path = format!("/archive/{ANSWER_BYTES}");
            let call = request("GET", &path, &format!("archive-{opened}"), 30_000, opened as u64 % 40, b"");
            let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1));
            match stream.and_then(|mut stream| stream.write_all(&call).map(|()| stream)) {
                Ok(stream) if stream.set_nonblocking(true).and_then(|()| fix_receive_buffer(&stream)).is_ok() => {
                    readers.push(Reader { stream, received: 0, is_done: false });
                }
                _ => refused += 1,
            }
        }
        for reader in readers.iter_mut().filter(|reader| !reader.is_done) {
            loop {
                match reader.stream.read(&mut bytes) {
                    Ok(count) if count > 0 => reader.received += count,
                    Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                    _ => reader.is_done = true,
                }
                reader.is_done |= reader.received >= ANSWER_BYTES;
                if has_trouble || reader.is_done {
                    break;
                }
            }
        }
        if opened == SLOW_CLIENTS && readers.iter().all(|reader| reader.is_done) {
            break;
        }
        let interval = if has_trouble { INTERVAL } else { Duration::from_millis(20) };
        // Without the disruption the connections are opened at the same rate.
        let pace = if opened < SLOW_CLIENTS { INTERVAL } else { interval };
        let mut left = pace.saturating_sub(round.elapsed());
        while !has_trouble && left > Duration::from_millis(20) {
            thread::sleep(Duration::from_millis(10));
            for reader in readers.iter_mut().filter(|reader| !reader.is_done) {
                while let Ok(count) = reader.stream.read(&mut bytes) {
                    reader.received += count;
                    reader.is_done = count == 0 || reader.received >= ANSWER_BYTES;
                    if reader.is_done {
                        break;
                    }
                }
            }
            left = pace.saturating_sub(round.elapsed());
        }
        thread::sleep(left);
    }
    let whole = readers.iter().filter(|reader| reader.received >= ANSWER_BYTES).count();
    (whole, readers.len() - whole + refused)
}
