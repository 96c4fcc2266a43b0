//! Simulated target: a server with slots, a queue and injected faults.

use std::collections::HashMap;
use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use futures_lite::future::or;
use smol::Timer;
use smol::channel::{Receiver, Sender, bounded};
use smol::lock::Semaphore;
use trillium::{Conn, Handler};
use trillium_router::{Router, RouterConnExt};

use crate::behaviour::{Config, Fault, Health};
use crate::load::{History, Load};
use crate::payload::{self, Header};
use crate::run::{Log, Run};
use crate::server::{
    bad_request, close_without_reply, read_json, reply_json, truncated_reply, unix_ms,
    wait_for_disconnect,
};

struct State {
    fault: Fault,
    straggle_until: Instant,
    cold_remaining: u32,
    load: Load,
    history: History,
    rng: fastrand::Rng,
    log: Log,
    /// Cancellation channels by `x-request-id`.
    cancellations: HashMap<String, Sender<()>>,
}

/// A target; clones share its state.
#[derive(Clone)]
pub struct Target {
    config: Arc<Config>,
    state: Arc<Mutex<State>>,
    slots: Arc<Semaphore>,
}

/// The result of a request.
enum Completion {
    /// Rejected before it ran, for this reason.
    NotRun(&'static str),
    /// Aborted while it was running, for this reason.
    Aborted(&'static str),
    /// Ran to completion.
    Finished,
}

/// A request received by the target.
struct Request {
    id: String,
    kind: String,
    deadline: Option<Instant>,
    body: Vec<u8>,
    header: Header,
}

impl Target {
    /// Creates a target without faults that adds its runs to `log`.
    pub fn new(config: Config, log: Log) -> Target {
        let load = Load { slots: config.slots, ..Load::default() };
        let mut history = History::default();
        history.push(Instant::now(), load);
        let state = State {
            fault: Fault::default(),
            straggle_until: Instant::now(),
            cold_remaining: config.cold_requests,
            load,
            history,
            rng: fastrand::Rng::with_seed(config.seed),
            log,
            cancellations: HashMap::new(),
        };
        let slots = Arc::new(Semaphore::new(config.slots as usize));
        Target { config: Arc::new(config), state: Arc::new(Mutex::new(state)), slots }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no request panics while holding the lock")
    }

    /// Returns the handler of the request, health, load and control endpoints.
    pub fn handler(&self) -> impl Handler {
        let [run, cancel, health, load] = [self.clone(), self.clone(), self.clone(), self.clone()];
        let [fault, runs] = [self.clone(), self.clone()];
        Router::new()
            .post("/run/:service/:kind", move |conn: Conn| run.clone().run(conn))
            .post("/cancel/:id", move |conn: Conn| cancel.clone().cancel(conn))
            .get("/health", move |conn: Conn| health.clone().health(conn))
            .get("/load", move |conn: Conn| load.clone().load(conn))
            .post("/fault", move |conn: Conn| fault.clone().set_fault(conn))
            .get("/runs", move |conn: Conn| runs.clone().runs(conn))
    }

    async fn run(self, mut conn: Conn) -> Conn {
        let request = match self.read_request(&mut conn).await {
            Ok(request) => request,
            Err(message) => return bad_request(conn, message),
        };
        let completion = conn.cancel_on_disconnect(self.execute(&request)).await;
        match completion {
            None => close_without_reply(conn),
            Some(Completion::NotRun(reason)) => reply_not_run(conn, reason),
            Some(Completion::Aborted(reason)) => conn.with_status(504).with_body(reason).halt(),
            Some(Completion::Finished) => self.reply(conn, &request),
        }
    }

    async fn read_request(&self, conn: &mut Conn) -> Result<Request, String> {
        let kind = conn.param("kind").unwrap_or_default().to_owned();
        if conn.param("service") != Some(&self.config.service) {
            return Err("unknown service".to_owned());
        }
        if !self.config.kinds.iter().any(|known| known.name == kind) {
            return Err("unknown kind".to_owned());
        }
        let headers = conn.request_headers();
        let id = headers.get_str("x-request-id").ok_or("no x-request-id")?.to_owned();
        let deadline = match headers.get_str("x-deadline-ms") {
            Some(text) => Some(text.parse().map_err(|_| "x-deadline-ms is not a number")?),
            None => None,
        };
        let deadline = deadline.map(|ms| Instant::now() + Duration::from_millis(ms));
        let body = conn.request_body().read_bytes().await.map_err(|error| error.to_string())?;
        let header = Header::scan(&body).ok_or("the body has no valid payload header")?;
        Ok(Request { id, kind, deadline, body, header })
    }

    /// Waits for a slot, then simulates the request's service time.
    async fn execute(&self, request: &Request) -> Completion {
        let Some(cancelled) = self.register(&request.id) else {
            return Completion::NotRun("repeated id");
        };
        let _registration = Registration { target: self, id: &request.id };
        if let Some(reason) = self.rejection_reason() {
            return Completion::NotRun(reason);
        }
        let slot = match self.slots.try_acquire() {
            Some(slot) => Ok(slot),
            None => {
                let _queued = LoadGuard::new(self, |load| &mut load.queued);
                until_cancelled(self.slots.acquire(), &cancelled, request.deadline).await
            }
        };
        let _slot = match slot {
            Ok(slot) => slot,
            Err(reason) => return Completion::NotRun(reason),
        };
        let _busy = LoadGuard::new(self, |load| &mut load.busy);
        let service_time = self.start_run(request);
        let timer = async {
            Timer::after(service_time).await;
        };
        match until_cancelled(timer, &cancelled, request.deadline).await {
            Ok(()) => Completion::Finished,
            Err(reason) => Completion::Aborted(reason),
        }
    }

    fn register(&self, id: &str) -> Option<Receiver<()>> {
        let (sender, receiver) = bounded(1);
        let mut state = self.lock();
        if state.cancellations.contains_key(id) {
            return None;
        }
        state.cancellations.insert(id.to_owned(), sender);
        Some(receiver)
    }

    /// Returns the reason for rejecting a request on arrival, if there is one.
    fn rejection_reason(&self) -> Option<&'static str> {
        let mut state = self.lock();
        let percent = state.fault.shed_percent;
        if percent > 0 && state.rng.u32(0..100) < percent {
            return Some("shedding");
        }
        let is_full =
            state.load.busy >= self.config.slots && state.load.queued >= self.config.queue_capacity;
        is_full.then_some("queue full")
    }

    /// Logs the run and draws its service time.
    fn start_run(&self, request: &Request) -> Duration {
        let run = Run {
            target: self.config.name.clone(),
            id: request.id.clone(),
            key: request.header.key.clone(),
            attempt: request.header.attempt,
            kind: request.kind.clone(),
            at_ms: unix_ms(),
            request_bytes: request.body.len() as u64,
            reply_bytes: request.header.reply_bytes as u64,
        };
        let mut state = self.lock();
        state.log.push(run);
        let kind = self.config.kinds.iter().find(|kind| kind.name == request.kind);
        let mean_us = kind.map_or(0, |kind| kind.mean_service_us) as f64;
        let deviation = self.config.variation * (2.0 * state.rng.f64() - 1.0);
        let mut factor = 1.0 + deviation;
        if state.cold_remaining > 0 {
            state.cold_remaining -= 1;
            factor *= self.config.cold_factor;
        }
        if state.fault.straggle_factor > 0.0 && Instant::now() < state.straggle_until {
            factor *= state.fault.straggle_factor;
        }
        Duration::from_micros((mean_us * factor).max(0.0) as u64)
    }

    fn reply(&self, conn: Conn, request: &Request) -> Conn {
        let body = payload::reply_body(&request.body, request.header.reply_bytes);
        let (is_lost, is_cut) = {
            let fault = &mut self.lock().fault;
            let is_lost = consume_one(&mut fault.lose_replies);
            (is_lost, !is_lost && consume_one(&mut fault.cut_replies))
        };
        if is_lost {
            return close_without_reply(conn);
        }
        if is_cut {
            let length = body.len() as u64;
            let prefix = body[..body.len() / 2].to_vec();
            return truncated_reply(conn, prefix, length.max(1));
        }
        conn.ok(body)
    }

    async fn cancel(self, conn: Conn) -> Conn {
        let id = conn.param("id").unwrap_or_default().to_owned();
        // Closing the channel wakes the request that waits on it.
        let sender = self.lock().cancellations.get(&id).cloned();
        match sender {
            Some(sender) => {
                sender.close();
                conn.ok("")
            }
            None => conn.with_status(404).with_body("no such request").halt(),
        }
    }

    async fn health(self, mut conn: Conn) -> Conn {
        let health = self.lock().fault.health;
        match health {
            Health::Up => conn.ok(""),
            Health::Down => conn.with_status(503).halt(),
            Health::Silent => {
                let swansong = conn.swansong();
                wait_for_disconnect(&mut conn, swansong).await;
                close_without_reply(conn)
            }
        }
    }

    async fn load(self, conn: Conn) -> Conn {
        let load = {
            let state = self.lock();
            let lag = Duration::from_millis(state.fault.load_lag_ms);
            let mut load = state.history.at(Instant::now(), lag);
            load.busy = state.fault.load_busy.unwrap_or(load.busy);
            load
        };
        reply_json(conn, &load)
    }

    async fn set_fault(self, mut conn: Conn) -> Conn {
        let fault = match read_json::<Fault>(&mut conn).await {
            Ok(fault) => fault,
            Err(message) => return bad_request(conn, message),
        };
        {
            let mut state = self.lock();
            state.fault = fault;
            state.straggle_until = Instant::now() + Duration::from_millis(fault.straggle_ms);
            state.load.leaving = fault.leave;
            let load = state.load;
            state.history.push(Instant::now(), load);
        }
        reply_json(conn, &fault)
    }

    async fn runs(self, conn: Conn) -> Conn {
        let runs = self.lock().log.snapshot();
        reply_json(conn, &runs)
    }
}

/// Awaits `future`. Returns a reason if the request is cancelled or its deadline passes first.
async fn until_cancelled<T>(
    future: impl Future<Output = T>,
    cancelled: &Receiver<()>,
    deadline: Option<Instant>,
) -> Result<T, &'static str> {
    let cancelled = async {
        let _ = cancelled.recv().await;
        Err("cancelled")
    };
    let expired = async {
        match deadline {
            Some(deadline) => Timer::at(deadline).await,
            None => std::future::pending().await,
        };
        Err("deadline passed")
    };
    or(async { Ok(future.await) }, or(cancelled, expired)).await
}

/// Decrements a counter of pending faults and returns whether it was above zero.
fn consume_one(pending: &mut u32) -> bool {
    let is_pending = *pending > 0;
    *pending = pending.saturating_sub(1);
    is_pending
}

fn reply_not_run(conn: Conn, reason: &'static str) -> Conn {
    conn.with_response_header("x-not-run", "1").with_status(503).with_body(reason).halt()
}

/// Guard that removes a request's cancellation channel when dropped.
struct Registration<'a> {
    target: &'a Target,
    id: &'a str,
}

impl Drop for Registration<'_> {
    fn drop(&mut self) {
        self.target.lock().cancellations.remove(self.id);
    }
}

/// Guard that counts a request in one field of the load until it is dropped.
struct LoadGuard<'a> {
    target: &'a Target,
    field: fn(&mut Load) -> &mut u32,
}

impl<'a> LoadGuard<'a> {
    fn new(target: &'a Target, field: fn(&mut Load) -> &mut u32) -> LoadGuard<'a> {
        let guard = LoadGuard { target, field };
        guard.adjust(1);
        guard
    }

    fn adjust(&self, delta: i32) {
        let mut state = self.target.lock();
        let value = (self.field)(&mut state.load);
        *value = value.saturating_add_signed(delta);
        let load = state.load;
        state.history.push(Instant::now(), load);
    }
}

impl Drop for LoadGuard<'_> {
    fn drop(&mut self) {
        self.adjust(-1);
    }
}
