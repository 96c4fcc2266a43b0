//! The platform's store, with the ways in which it misbehaves.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::{Message, PATIENCE};

fn reply(status: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend(body);
    bytes
}

/// What the store does with calls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Mood {
    Sound,
    /// Calls get no answer.
    Silent,
    /// Calls get this status.
    Refuses(u16),
    /// Writes are done and get no answer.
    LosesAnswers,
}

struct Shelf {
    objects: BTreeMap<(String, String), Value>,
    events: Vec<(u64, String, Value, bool)>,
    /// Changes up to this revision are forgotten.
    forgotten: u64,
    revision: u64,
    mood: Mood,
    /// First lines of the calls so far.
    calls: Vec<String>,
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shelf: Arc<(Mutex<Shelf>, Condvar)>,
    page: usize,
}

impl Store {
    pub fn new() -> Store {
        Store::with_page(500)
    }

    /// A store whose lists come in pages of `page` objects.
    pub fn with_page(page: usize) -> Store {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let shelf = Shelf {
            objects: BTreeMap::new(),
            events: Vec::new(),
            forgotten: 0,
            revision: 1,
            mood: Mood::Sound,
            calls: Vec::new(),
        };
        let store = Store { address, shelf: Arc::new((Mutex::new(shelf), Condvar::new())), page };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        store
    }

    /// This store as it is reached at `address`.
    pub fn at(&self, address: SocketAddr) -> Store {
        Store { address, ..self.clone() }
    }

    pub fn set_mood(&self, mood: Mood) {
        self.shelf.0.lock().unwrap().mood = mood;
        self.shelf.1.notify_all();
    }

    pub fn put(&self, kind: &str, name: &str, mut object: Value) {
        let mut shelf = self.shelf.0.lock().unwrap();
        shelf.revision += 1;
        let revision = shelf.revision;
        object["metadata"] = json!({ "name": name, "revision": revision, "createdRev": revision, "finalizers": [], "deleting": false });
        shelf.objects.insert((kind.to_owned(), name.to_owned()), object.clone());
        shelf.events.push((revision, kind.to_owned(), object, false));
        self.shelf.1.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut shelf = self.shelf.0.lock().unwrap();
        shelf.revision += 1;
        let revision = shelf.revision;
        if let Some(object) = shelf.objects.remove(&(kind.to_owned(), name.to_owned())) {
            shelf.events.push((revision, kind.to_owned(), object, true));
        }
        self.shelf.1.notify_all();
    }

    /// Forgets the history, so that watches from before end with 410.
    pub fn compact(&self) {
        let mut shelf = self.shelf.0.lock().unwrap();
        shelf.forgotten = shelf.revision;
        shelf.events.clear();
        self.shelf.1.notify_all();
    }

    /// Reads of a kind so far: watches, or else lists.
    pub fn reads(&self, kind: &str, are_watches: bool) -> usize {
        let path = format!("GET /ebonypass/objects/{kind}");
        let shelf = self.shelf.0.lock().unwrap();
        let reads = shelf.calls.iter().filter(|line| line.starts_with(&path));
        reads.filter(|line| line.contains("watch=") == are_watches).count()
    }

    /// All calls so far.
    pub fn calls(&self) -> usize {
        self.shelf.0.lock().unwrap().calls.len()
    }

    pub fn names(&self, kind: &str) -> Vec<String> {
        let shelf = self.shelf.0.lock().unwrap();
        let keys = shelf.objects.keys().filter(|(other, _)| other == kind);
        keys.map(|(_, name)| name.clone()).collect()
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        while let Some(call) = Message::read(&mut reader) {
            let Some(bytes) = self.answer(&call) else {
                // Silence: the caller's own time-out ends the call.
                thread::sleep(PATIENCE);
                return;
            };
            if writer.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> Option<Vec<u8>> {
        self.shelf.0.lock().unwrap().calls.push(call.first.clone());
        let mut words = call.first.split(' ');
        let (method, target) = (words.next()?, words.next()?);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
        };
        let kind = path.strip_prefix("/ebonypass/objects/")?.to_owned();
        match self.shelf.0.lock().unwrap().mood {
            Mood::Sound => {}
            Mood::Silent => return None,
            Mood::Refuses(status) => return Some(reply(&format!("{status} Refused"), b"")),
            Mood::LosesAnswers => {}
        }
        if method == "POST" {
            let object: Value = serde_json::from_slice(&call.body).ok()?;
            let name = object["metadata"]["name"].as_str()?.to_owned();
            if self.names(&kind).contains(&name) {
                return Some(reply("409 Conflict", b"{}"));
            }
            self.put(&kind, &name, object);
            if self.shelf.0.lock().unwrap().mood == Mood::LosesAnswers {
                return None;
            }
            return Some(reply("201 Created", b"{}"));
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
        let shelf = self.shelf.0.lock().unwrap();
        let after = after.unwrap_or_default();
        let objects = shelf.objects.iter().filter(|((k, name), _)| k == kind && *name > after);
        let items: Vec<&Value> = objects.map(|(_, object)| object).collect();
        let more = items.len() > self.page;
        let items = &items[..items.len().min(self.page)];
        let page = json!({ "items": items, "hasMore": more, "currentRev": shelf.revision });
        reply("200 OK", page.to_string().as_bytes())
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration) -> Option<Vec<u8>> {
        let end = Instant::now() + wait;
        let mut shelf = self.shelf.0.lock().unwrap();
        loop {
            if !matches!(shelf.mood, Mood::Sound | Mood::LosesAnswers) {
                return None;
            }
            if from < shelf.forgotten {
                return Some(reply("410 Gone", b"{}"));
            }
            let events = shelf.events.iter().filter(|(rev, k, ..)| *rev > from && k == kind);
            let events: Vec<Value> = events
                .map(|(_, _, object, deleted)| json!({ "object": object, "deleted": deleted }))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = json!({ "events": events, "currentRev": shelf.revision });
                return Some(reply("200 OK", body.to_string().as_bytes()));
            }
            shelf = self.shelf.1.wait_timeout(shelf, left).unwrap().0;
        }
    }
}
