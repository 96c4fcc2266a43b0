//! A fake of the platform's store with configurable faults.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::{Message, TEST_TIMEOUT};

fn response(era: Option<u64>, status: &str, body: &[u8]) -> Vec<u8> {
    let era = era.map_or(String::new(), |era| format!("Store-Era: {era}\r\n"));
    let head = format!("HTTP/1.1 {status}\r\n{era}Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend(body);
    bytes
}

/// What a store held at one time.
#[derive(Debug, Clone)]
pub struct Snapshot {
    objects: BTreeMap<(String, String), Value>,
    events: Vec<(u64, String, Value, bool)>,
    compacted_revision: u64,
    revision: u64,
}

/// How the store answers calls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Mode {
    Normal,
    /// Calls get no reply.
    Silent,
    /// Calls get this error status.
    ErrorStatus(u16),
    /// Writes are applied but get no reply.
    LosesReplies,
    /// The connection of a watch is closed after it has waited this long.
    CutsWatches(Duration),
    /// Calls for objects of this kind get status 503.
    RefusesKind(&'static str),
}

struct State {
    objects: BTreeMap<(String, String), Value>,
    events: Vec<(u64, String, Value, bool)>,
    /// Changes up to this revision have been compacted.
    compacted_revision: u64,
    revision: u64,
    /// Number of restores; none for a store that does not state it.
    era: Option<u64>,
    /// Calls for objects of this kind are answered with this era instead.
    late_era: Option<(&'static str, u64)>,
    mode: Mode,
    /// Delay of each page of a list but the first.
    page_delay: Duration,
    /// Texts that stand for `"@text-INDEX"` in what the store sends.
    texts: Vec<String>,
    /// Request lines of all calls.
    calls: Vec<String>,
}

impl State {
    fn response(&self, kind: &str, body: &Value) -> Vec<u8> {
        let mut body = body.to_string();
        for (index, text) in self.texts.iter().enumerate() {
            body = body.replace(&format!("\"@text-{index}\""), text);
        }
        let late_era = self.late_era.filter(|(other, _)| *other == kind).map(|(_, era)| era);
        response(late_era.or(self.era), "200 OK", body.as_bytes())
    }
}

/// The fake store, listening on a local port.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    page_size: usize,
}

impl Store {
    pub fn new() -> Store {
        Store::with_page_size(500)
    }

    /// A store whose lists come in pages of `page_size` objects.
    pub fn with_page_size(page_size: usize) -> Store {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let state = State {
            objects: BTreeMap::new(),
            events: Vec::new(),
            compacted_revision: 0,
            revision: 1,
            era: None,
            late_era: None,
            mode: Mode::Normal,
            page_delay: Duration::ZERO,
            texts: Vec::new(),
            calls: Vec::new(),
        };
        let store =
            Store { address, state: Arc::new((Mutex::new(state), Condvar::new())), page_size };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        store
    }

    /// A handle to the same store that is reached at another address.
    pub fn at(&self, address: SocketAddr) -> Store {
        Store { address, ..self.clone() }
    }

    pub fn set_mode(&self, mode: Mode) {
        self.state.0.lock().unwrap().mode = mode;
        self.state.1.notify_all();
    }

    pub fn set_page_delay(&self, delay: Duration) {
        self.state.0.lock().unwrap().page_delay = delay;
    }

    pub fn put(&self, kind: &str, name: &str, mut object: Value) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        object["metadata"] = json!({ "name": name, "revision": revision, "createdRev": revision, "finalizers": [], "deleting": false });
        state.objects.insert((kind.to_owned(), name.to_owned()), object.clone());
        state.events.push((revision, kind.to_owned(), object, false));
        self.state.1.notify_all();
    }

    /// Puts a target's entry whose version is written as `text`, which need not be valid JSON.
    pub fn put_odd_entry(&self, name: &str, mut entry: Value, text: &str) {
        let mut state = self.state.0.lock().unwrap();
        entry["spec"]["info"]["version"] = json!(format!("@text-{}", state.texts.len()));
        state.texts.push(text.to_owned());
        drop(state);
        self.put("servers", name, entry);
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        if let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) {
            state.events.push((revision, kind.to_owned(), object, true));
        }
        self.state.1.notify_all();
    }

    /// Sets the era that all responses state.
    pub fn set_era(&self, era: u64) {
        self.state.0.lock().unwrap().era = Some(era);
    }

    /// Responses state no era.
    pub fn clear_era(&self) {
        self.state.0.lock().unwrap().era = None;
    }

    /// Calls for objects of a kind are answered with an era that the store has left.
    pub fn set_late_era(&self, late_era: Option<(&'static str, u64)>) {
        self.state.0.lock().unwrap().late_era = late_era;
        self.state.1.notify_all();
    }

    pub fn snapshot(&self) -> Snapshot {
        let state = self.state.0.lock().unwrap();
        Snapshot {
            objects: state.objects.clone(),
            events: state.events.clone(),
            compacted_revision: state.compacted_revision,
            revision: state.revision,
        }
    }

    /// Restores a snapshot. All later writes are lost, and the era is one higher.
    pub fn restore(&self, snapshot: &Snapshot) {
        let mut state = self.state.0.lock().unwrap();
        let snapshot = snapshot.clone();
        state.objects = snapshot.objects;
        state.events = snapshot.events;
        state.compacted_revision = snapshot.compacted_revision;
        state.revision = snapshot.revision;
        state.era = Some(state.era.unwrap_or_default() + 1);
        self.state.1.notify_all();
    }

    /// Drops the history, so that watches of earlier revisions fail with 410.
    pub fn compact(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.compacted_revision = state.revision;
        state.events.clear();
        self.state.1.notify_all();
    }

    /// The number of watch calls, or else of list calls, for a kind.
    pub fn reads(&self, kind: &str, is_watch: bool) -> usize {
        let path = format!("GET /ebonypass/objects/{kind}");
        let state = self.state.0.lock().unwrap();
        let reads = state.calls.iter().filter(|line| line.starts_with(&path));
        reads.filter(|line| line.contains("watch=") == is_watch).count()
    }

    /// The number of all calls.
    pub fn calls(&self) -> usize {
        self.state.0.lock().unwrap().calls.len()
    }

    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.state.0.lock().unwrap();
        let keys = state.objects.keys().filter(|(other, _)| other == kind);
        keys.map(|(_, name)| name.clone()).collect()
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        while let Some(call) = Message::read(&mut reader) {
            let Some(bytes) = self.reply_to(&call) else {
                if matches!(self.state.0.lock().unwrap().mode, Mode::CutsWatches(_)) {
                    return;
                }
                // Sends no reply; the caller's own timeout ends the call.
                thread::sleep(TEST_TIMEOUT);
                return;
            };
            if writer.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn reply_to(&self, call: &Message) -> Option<Vec<u8>> {
        let era = {
            let mut state = self.state.0.lock().unwrap();
            state.calls.push(call.first.clone());
            state.era
        };
        let mut words = call.first.split(' ');
        let (method, target) = (words.next()?, words.next()?);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
        };
        let kind = path.strip_prefix("/ebonypass/objects/")?.to_owned();
        match self.state.0.lock().unwrap().mode {
            Mode::Normal => {}
            Mode::Silent => return None,
            Mode::ErrorStatus(status) => {
                return Some(response(era, &format!("{status} Refused"), b""));
            }
            Mode::LosesReplies | Mode::CutsWatches(_) => {}
            Mode::RefusesKind(refused) if refused == kind => {
                return Some(response(era, "503 Refused", b""));
            }
            Mode::RefusesKind(_) => {}
        }
        if method == "POST" {
            let object: Value = serde_json::from_slice(&call.body).ok()?;
            let name = object["metadata"]["name"].as_str()?.to_owned();
            if self.names(&kind).contains(&name) {
                return Some(response(era, "409 Conflict", b"{}"));
            }
            self.put(&kind, &name, object);
            if self.state.0.lock().unwrap().mode == Mode::LosesReplies {
                return None;
            }
            return Some(response(era, "201 Created", b"{}"));
        }
        match field("watch") {
            Some(from) => {
                let wait = field("waitMs")?.parse().ok()?;
                self.watch(&kind, from.parse().ok()?, Duration::from_millis(wait))
            }
            None => Some(self.list(&kind, field("after"))),
        }
    }

    fn list(&self, kind: &str, after: Option<String>) -> Vec<u8> {
        if after.is_some() {
            let delay = self.state.0.lock().unwrap().page_delay;
            thread::sleep(delay);
        }
        let state = self.state.0.lock().unwrap();
        let after = after.unwrap_or_default();
        let objects = state.objects.iter().filter(|((k, name), _)| k == kind && *name > after);
        let items: Vec<&Value> = objects.map(|(_, object)| object).collect();
        let more = items.len() > self.page_size;
        let items = &items[..items.len().min(self.page_size)];
        let page = json!({ "items": items, "hasMore": more, "currentRev": state.revision });
        state.response(kind, &page)
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration) -> Option<Vec<u8>> {
        let start = Instant::now();
        let end = start + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            let mut wake_at = end;
            match state.mode {
                Mode::Normal | Mode::LosesReplies | Mode::RefusesKind(_) => {}
                Mode::CutsWatches(after) if start.elapsed() < after => wake_at = start + after,
                _ => return None,
            }
            if from < state.compacted_revision || from > state.revision {
                return Some(response(state.era, "410 Gone", b"{}"));
            }
            let events = state.events.iter().filter(|(rev, k, ..)| *rev > from && k == kind);
            let events: Vec<Value> = events
                .map(|(_, _, object, deleted)| json!({ "object": object, "deleted": deleted }))
                .collect();
            let left = end.min(wake_at).saturating_duration_since(Instant::now());
            if !events.is_empty() || Instant::now() >= end {
                let body = json!({ "events": events, "currentRev": state.revision });
                return Some(state.response(kind, &body));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}
