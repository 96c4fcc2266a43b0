//! The platform's store, with one listener for each machine so that it can turn some away.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::record;

#[derive(Debug)]
struct Event {
    revision: u64,
    kind: String,
    object: String,
    is_deleted: bool,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), String>,
    events: Vec<Event>,
}

/// The store.
#[derive(Debug, Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

/// How one machine reaches the store.
#[derive(Debug)]
pub struct Path {
    pub address: SocketAddr,
    /// Whether the machine's calls get no answer.
    pub is_silent: AtomicBool,
    /// Milliseconds since the start at which it was called last.
    called_ms: AtomicU64,
}

impl Path {
    /// Whether the machine has called the store within `span`.
    pub fn is_in_use(&self, span: Duration) -> bool {
        let called = self.called_ms.load(Ordering::SeqCst);
        called > 0 && (record::now() * 1e3) as u64 - called < span.as_millis() as u64
    }
}

impl Store {
    /// Opens a listener for one machine.
    pub fn open_path(&self) -> Arc<Path> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let path = Arc::new(Path {
            address: listener.local_addr().unwrap(),
            is_silent: AtomicBool::new(false),
            called_ms: AtomicU64::new(0),
        });
        let (store, shared_path) = (self.clone(), path.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, path) = (store.clone(), shared_path.clone());
                thread::spawn(move || store.serve(stream, &path));
            }
        });
        path
    }

    /// Writes an object with the given `spec` and `status`. The return is the ack.
    pub fn put(&self, kind: &str, name: &str, spec: &str, status: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let object = format!(
            r#"{{"metadata":{{"name":"{name}","revision":{revision},"createdRev":{revision},"finalizers":[],"deleting":false}},"spec":{spec},"status":{status}}}"#
        );
        state.objects.insert((kind.to_owned(), name.to_owned()), object.clone());
        state.events.push(Event { revision, kind: kind.to_owned(), object, is_deleted: false });
        self.shared.1.notify_all();
    }

    /// Removes an object. The return is the ack.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.shared.0.lock().unwrap();
        let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else { return };
        state.revision += 1;
        let revision = state.revision;
        state.events.push(Event { revision, kind: kind.to_owned(), object, is_deleted: true });
        self.shared.1.notify_all();
    }

    fn serve(&self, stream: TcpStream, path: &Path) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        loop {
            let (mut first, mut length) = (String::new(), 0);
            if reader.read_line(&mut first).unwrap_or(0) == 0 {
                return;
            }
            loop {
                let mut line = String::new();
                if reader.read_line(&mut line).unwrap_or(0) == 0 {
                    return;
                }
                let line = line.trim().to_ascii_lowercase();
                if line.is_empty() {
                    break;
                }
                if let Some(text) = line.strip_prefix("content-length:") {
                    length = text.trim().parse().unwrap_or(0);
                }
            }
            let mut body = vec![0; length];
            if reader.read_exact(&mut body).is_err() {
                return;
            }
            path.called_ms.store((record::now() * 1e3) as u64, Ordering::SeqCst);
            let (status, answer) = self.answer(&first, &String::from_utf8_lossy(&body));
            if path.is_silent.load(Ordering::SeqCst) {
                // The caller's own time-out ends the call.
                thread::sleep(Duration::from_secs(30));
                return;
            }
            let head = format!(
                "HTTP/1.1 {status} Store\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: {}\r\n\r\n",
                answer.len()
            );
            if writer.write_all((head + &answer).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, first: &str, body: &str) -> (u16, String) {
        let mut words = first.split(' ');
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let kind = path.rsplit('/').next().unwrap_or("").to_owned();
        let number = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.into_iter().find(|(key, _)| *key == name)?.1.parse::<u64>().ok()
        };
        if method == "POST" {
            let name = body.split(r#""name":""#).nth(1).and_then(|text| text.split('"').next());
            let spec = body.split_once(r#""spec":"#).map(|(_, text)| &text[..text.len() - 1]);
            let (Some(name), Some(spec)) = (name, spec) else { return (400, "{}".to_owned()) };
            let key = (kind.clone(), name.to_owned());
            let known = self.shared.0.lock().unwrap().objects.get(&key).cloned();
            if let Some(object) = known {
                return (409, object);
            }
            self.put(&kind, name, spec, "{}");
            return (201, "{}".to_owned());
        }
        let mut state = self.shared.0.lock().unwrap();
        let Some(known) = number("watch") else {
            let objects = state.objects.iter().filter(|((other, _), _)| *other == kind);
            let items: Vec<&str> = objects.map(|(_, object)| object.as_str()).collect();
            let answer = format!(
                r#"{{"items":[{}],"hasMore":false,"currentRev":{}}}"#,
                items.join(","),
                state.revision
            );
            return (200, answer);
        };
        let end = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        loop {
            let changes = state.events.iter().filter(|event| event.revision > known && event.kind == kind);
            let changes: Vec<String> = changes
                .map(|event| format!(r#"{{"object":{},"deleted":{}}}"#, event.object, event.is_deleted))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() {
                let answer =
                    format!(r#"{{"events":[{}],"currentRev":{}}}"#, changes.join(","), state.revision);
                return (200, answer);
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

/// A route of a configuration.
#[derive(Debug, Clone, Copy)]
pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub timeout_ms: u64,
    pub service: &'static str,
}

/// The `spec` of a configuration.
pub fn config(version: u64, routes: &[Route]) -> String {
    let rows = routes.iter().map(|route| {
        let Route { prefix, kind, timeout_ms, service } = route;
        format!(r#"["r{prefix}","review.example","{prefix}","{kind}",{timeout_ms},600,1,"{service}",2,true,[],null]"#)
    });
    let rows: Vec<String> = rows.collect();
    let mut services: Vec<&str> = routes.iter().map(|route| route.service).collect();
    services.sort_unstable();
    services.dedup();
    let services: Vec<String> = services
        .iter()
        .map(|name| format!(r#"["{name}","/health",1410,"h1",false,3.0,2.7]"#))
        .collect();
    format!(
        r#"{{"version":"r{version}","routes":{{"columns":["name","host","pathPrefix","routeType","timeoutMs","targetLatencyMs","priority","service","maxAttempts","sessionAffinity","allowedRegions","weightedBackends"],"rows":[{}]}},"services":{{"columns":["name","healthCheckPath","maxConnections","protocol","tls","coldStartS","coldPerS"],"rows":[{}]}},"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        rows.join(","),
        services.join(",")
    )
}
