//! Simulates the platform's object store and VM list.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use futures_lite::future::or;
use serde::{Deserialize, Serialize};
use serde_json::json;
use smol::Timer;
use smol::channel::{Receiver, Sender, bounded};
use trillium::{Conn, Handler};
use trillium_router::{Router, RouterConnExt};

use crate::server::{
    bad_request, close_without_reply, query_value, read_json, reply_json, wait_for_disconnect,
};
use crate::vm::{History, List};

/// The platform's limit on the size of a value.
pub const MAX_VALUE_BYTES: u64 = 1_000_000;

/// The longest time that a watch waits, whatever its `wait_ms`.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

/// The header that carries an object's version.
const VERSION_HEADER: &str = "x-version";

/// Faults that `POST /fault` sets. Omitted fields are reset to "no fault".
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Delay of each call in milliseconds.
    pub delay_ms: u64,
    /// Whether the store replies 503 to each call.
    pub outage: bool,
    /// Whether the store does not reply at all during an outage instead of replying 503.
    pub silent: bool,
    /// Number of upcoming writes that take effect but whose reply is lost.
    pub lose_replies: u32,
    /// Lag of the VM list in milliseconds.
    pub vm_lag_ms: u64,
}

/// Calls since the start; the reply of `GET /counts`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Reads of one object.
    pub get: u64,
    /// Watches: reads that wait for a newer version, each counted once.
    pub watch: u64,
    /// Writes, including those that conflict or are rejected.
    pub put: u64,
    /// Writes whose expected version was not the current one.
    pub conflict: u64,
    /// Writes whose value was larger than [`MAX_VALUE_BYTES`].
    pub too_large: u64,
    /// Listings of keys.
    pub list: u64,
    /// Reads of the VM list.
    pub vms: u64,
    /// Calls and waiting watches that hit an outage.
    pub outage: u64,
    /// Writes that took effect but whose reply was lost.
    pub lost: u64,
}

/// An object's version and value.
type Object = (u64, Arc<[u8]>);

#[derive(Default)]
struct State {
    objects: BTreeMap<String, Object>,
    /// Waiting watches by key. Dropping a sender wakes its watch.
    watches: HashMap<String, Vec<Sender<()>>>,
    vms: History,
    fault: Fault,
    counts: Counts,
}

/// The store; clones share its state.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
}

impl Store {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no call panics while holding the lock")
    }

    /// Returns the handler of the object, VM list and control endpoints.
    pub fn handler(&self) -> impl Handler {
        let [list, get, put] = [self.clone(), self.clone(), self.clone()];
        let [vms, set_vms, fault, counts] =
            [self.clone(), self.clone(), self.clone(), self.clone()];
        Router::new()
            .get("/objects", move |conn: Conn| list.clone().list(conn))
            .get("/objects/*", move |conn: Conn| get.clone().get(conn))
            .put("/objects/*", move |conn: Conn| put.clone().put(conn))
            .get("/vms", move |conn: Conn| vms.clone().vms(conn))
            .put("/vms", move |conn: Conn| set_vms.clone().set_vms(conn))
            .post("/fault", move |conn: Conn| fault.clone().set_fault(conn))
            .get("/counts", move |conn: Conn| counts.clone().counts(conn))
    }

    /// Counts a call and applies the delay and outage faults. Returns the connection as an error
    /// if an outage ended the call.
    async fn apply_faults(
        &self,
        conn: Conn,
        count: impl FnOnce(&mut Counts),
    ) -> Result<Conn, Conn> {
        let delay_ms = {
            let mut state = self.lock();
            count(&mut state.counts);
            state.fault.delay_ms
        };
        if delay_ms > 0 {
            Timer::after(Duration::from_millis(delay_ms)).await;
        }
        self.check_outage(conn).await
    }

    async fn check_outage(&self, mut conn: Conn) -> Result<Conn, Conn> {
        let fault = self.lock().fault;
        if !fault.outage {
            return Ok(conn);
        }
        self.lock().counts.outage += 1;
        if fault.silent {
            let swansong = conn.swansong();
            wait_for_disconnect(&mut conn, swansong).await;
            return Err(close_without_reply(conn));
        }
        Err(conn.with_status(503).with_body("outage").halt())
    }

    async fn list(self, conn: Conn) -> Conn {
        let conn = match self.apply_faults(conn, |counts| counts.list += 1).await {
            Ok(conn) => conn,
            Err(conn) => return conn,
        };
        let prefix = query_value(&conn, "prefix").unwrap_or_default();
        let objects: Vec<_> = {
            let state = self.lock();
            let matching = state.objects.iter().filter(|(key, _)| key.starts_with(&prefix));
            matching.map(|(key, object)| json!({"key": key, "version": object.0})).collect()
        };
        reply_json(conn, &json!({ "objects": objects }))
    }

    async fn get(self, conn: Conn) -> Conn {
        let key = object_key(&conn);
        let after = query_value(&conn, "after").map(|text| text.parse());
        let wait_ms = query_value(&conn, "wait_ms").map(|text| text.parse());
        match (after, wait_ms) {
            (None, None) => self.read(conn, &key).await,
            (Some(Ok(after)), Some(Ok(wait_ms))) => {
                self.watch(conn, &key, after, Duration::from_millis(wait_ms)).await
            }
            _ => bad_request(conn, "a watch requires the numeric parameters after and wait_ms"),
        }
    }

    async fn read(&self, conn: Conn, key: &str) -> Conn {
        let conn = match self.apply_faults(conn, |counts| counts.get += 1).await {
            Ok(conn) => conn,
            Err(conn) => return conn,
        };
        let object = self.lock().objects.get(key).cloned();
        match object {
            Some(object) => reply_object(conn, object),
            None => conn.with_status(404).with_body("no such object").halt(),
        }
    }

    async fn watch(&self, conn: Conn, key: &str, after: u64, wait: Duration) -> Conn {
        let conn = match self.apply_faults(conn, |counts| counts.watch += 1).await {
            Ok(conn) => conn,
            Err(conn) => return conn,
        };
        let swansong = conn.swansong();
        let newer = swansong.interrupt(self.wait_for_newer(key, after, wait.min(MAX_WATCH_WAIT)));
        let mut conn = conn;
        let found = conn.cancel_on_disconnect(newer).await.flatten().flatten();
        // An outage ends the watches that are waiting.
        let conn = match self.check_outage(conn).await {
            Ok(conn) => conn,
            Err(conn) => return conn,
        };
        match found {
            Some(object) => reply_object(conn, object),
            None => conn.with_status(304).halt(),
        }
    }

    /// Returns the object once its version is above `after`; `None` on a timeout or an outage.
    async fn wait_for_newer(&self, key: &str, after: u64, wait: Duration) -> Option<Object> {
        let end = Instant::now() + wait;
        loop {
            let receiver = match self.newer_or_subscribe(key, after) {
                Ok(object) => return Some(object),
                Err(receiver) => receiver,
            };
            let changed = async { receiver.recv().await.is_err() };
            let timed_out = async {
                Timer::at(end).await;
                false
            };
            if !or(changed, timed_out).await || self.lock().fault.outage {
                return None;
            }
        }
    }

    /// Returns the object if it is newer than `after`, otherwise a channel that is closed at the
    /// key's next change.
    fn newer_or_subscribe(&self, key: &str, after: u64) -> Result<Object, Receiver<()>> {
        let mut state = self.lock();
        if let Some(object) = state.objects.get(key).filter(|object| object.0 > after) {
            return Ok(object.clone());
        }
        let (sender, receiver) = bounded(1);
        let watches = state.watches.entry(key.to_owned()).or_default();
        watches.retain(|watch| !watch.is_closed());
        watches.push(sender);
        Err(receiver)
    }

    async fn put(self, conn: Conn) -> Conn {
        let key = object_key(&conn);
        let mut conn = match self.apply_faults(conn, |counts| counts.put += 1).await {
            Ok(conn) => conn,
            Err(conn) => return conn,
        };
        let expected_version =
            conn.request_headers().get_str("x-if-version").map(str::parse::<u64>);
        let Some(Ok(expected_version)) = expected_version else {
            return bad_request(conn, "a write requires a number in the header x-if-version");
        };
        let value = match conn.request_body().with_max_len(MAX_VALUE_BYTES).read_bytes().await {
            Ok(value) => value,
            Err(_) => {
                self.lock().counts.too_large += 1;
                return conn.with_status(413).with_body("the value is larger than 1 MB").halt();
            }
        };
        match self.write(key, expected_version, value) {
            Write::Committed(version) => {
                conn.with_response_header(VERSION_HEADER, version.to_string()).ok("")
            }
            Write::Conflict(version) => conn
                .with_response_header(VERSION_HEADER, version.to_string())
                .with_status(412)
                .with_body("another version is current")
                .halt(),
            Write::ReplyLost => close_without_reply(conn),
        }
    }

    fn write(&self, key: String, expected_version: u64, value: Vec<u8>) -> Write {
        let mut state = self.lock();
        let current = state.objects.get(&key).map_or(0, |object| object.0);
        if current != expected_version {
            state.counts.conflict += 1;
            return Write::Conflict(current);
        }
        state.watches.remove(&key);
        state.objects.insert(key, (current + 1, value.into()));
        if state.fault.lose_replies > 0 {
            state.fault.lose_replies -= 1;
            state.counts.lost += 1;
            return Write::ReplyLost;
        }
        Write::Committed(current + 1)
    }

    async fn vms(self, conn: Conn) -> Conn {
        let conn = match self.apply_faults(conn, |counts| counts.vms += 1).await {
            Ok(conn) => conn,
            Err(conn) => return conn,
        };
        let list = {
            let state = self.lock();
            state.vms.at(Instant::now(), Duration::from_millis(state.fault.vm_lag_ms))
        };
        reply_json(conn, &list)
    }

    async fn set_vms(self, mut conn: Conn) -> Conn {
        match read_json::<List>(&mut conn).await {
            Ok(list) => {
                self.lock().vms.push(Instant::now(), list);
                conn.ok("")
            }
            Err(message) => bad_request(conn, message),
        }
    }

    async fn set_fault(self, mut conn: Conn) -> Conn {
        let fault = match read_json::<Fault>(&mut conn).await {
            Ok(fault) => fault,
            Err(message) => return bad_request(conn, message),
        };
        {
            let mut state = self.lock();
            state.fault = fault;
            if fault.outage {
                state.watches.clear();
            }
        }
        reply_json(conn, &fault)
    }

    async fn counts(self, conn: Conn) -> Conn {
        let counts = self.lock().counts;
        reply_json(conn, &counts)
    }
}

/// The result of a write.
enum Write {
    /// The write created this version.
    Committed(u64),
    /// The write was rejected because this other version is current.
    Conflict(u64),
    /// The write took effect, but its reply must be dropped.
    ReplyLost,
}

fn object_key(conn: &Conn) -> String {
    conn.wildcard().unwrap_or_default().to_owned()
}

fn reply_object(conn: Conn, (version, value): Object) -> Conn {
    conn.with_response_header(VERSION_HEADER, version.to_string()).ok(value.to_vec())
}
