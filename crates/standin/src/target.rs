//! Stand-in for a target: a server with slots, a queue of its own and faults on demand.

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

use crate::load::{History, Load};
use crate::payload::{self, Work};
use crate::run::{Record, Run};
use crate::serve::{bad_request, cut_reply, hold, no_reply, read_json, reply_json, unix_ms};
use crate::shape::{Fault, Health, Shape};

struct State {
    fault: Fault,
    straggle_until: Instant,
    cold_left: u32,
    load: Load,
    history: History,
    random: fastrand::Rng,
    record: Record,
    /// What cancels a request, by `x-request-id`.
    cancels: HashMap<String, Sender<()>>,
}

/// A target's state, shared by its connections.
#[derive(Clone)]
pub struct Target {
    shape: Arc<Shape>,
    state: Arc<Mutex<State>>,
    slots: Arc<Semaphore>,
}

/// How a request ended at the target.
enum End {
    /// Refused before it ran.
    NotRun(&'static str),
    /// Stopped while it was running.
    Stopped(&'static str),
    /// Ran to its end.
    Done,
}

/// A request at the target.
struct Job {
    id: String,
    kind: String,
    deadline: Option<Instant>,
    body: Vec<u8>,
    work: Work,
}

impl Target {
    /// A target without faults that keeps `record`.
    pub fn new(shape: Shape, record: Record) -> Target {
        let load = Load { slots: shape.slots, ..Load::default() };
        let mut history = History::default();
        history.push(Instant::now(), load);
        let state = State {
            fault: Fault::default(),
            straggle_until: Instant::now(),
            cold_left: shape.cold_requests,
            load,
            history,
            random: fastrand::Rng::with_seed(shape.seed),
            record,
            cancels: HashMap::new(),
        };
        let slots = Arc::new(Semaphore::new(shape.slots as usize));
        Target { shape: Arc::new(shape), state: Arc::new(Mutex::new(state)), slots }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no request panics while it holds the state")
    }

    /// The handler of the HTTP interface and the control endpoint.
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
        let job = match self.read_job(&mut conn).await {
            Ok(job) => job,
            Err(message) => return bad_request(conn, message),
        };
        let end = conn.cancel_on_disconnect(self.work(&job)).await;
        match end {
            None => no_reply(conn),
            Some(End::NotRun(reason)) => refuse(conn, reason),
            Some(End::Stopped(reason)) => conn.with_status(504).with_body(reason).halt(),
            Some(End::Done) => self.reply(conn, &job),
        }
    }

    async fn read_job(&self, conn: &mut Conn) -> Result<Job, String> {
        let kind = conn.param("kind").unwrap_or_default().to_owned();
        if conn.param("service") != Some(&self.shape.service) {
            return Err("another service".to_owned());
        }
        if !self.shape.kinds.iter().any(|cost| cost.name == kind) {
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
        let work = Work::scan(&body).ok_or("the body is not a stand-in's work")?;
        Ok(Job { id, kind, deadline, body, work })
    }

    /// Waits for a slot and works on the request.
    async fn work(&self, job: &Job) -> End {
        let Some(cancelled) = self.register(&job.id) else { return End::NotRun("repeated id") };
        let _registration = Registration { target: self, id: &job.id };
        if let Some(reason) = self.refusal() {
            return End::NotRun(reason);
        }
        let slot = match self.slots.try_acquire() {
            Some(slot) => Ok(slot),
            None => {
                let _queued = Counted::new(self, |load| &mut load.queued);
                first(self.slots.acquire(), &cancelled, job.deadline).await
            }
        };
        let _slot = match slot {
            Ok(slot) => slot,
            Err(reason) => return End::NotRun(reason),
        };
        let _busy = Counted::new(self, |load| &mut load.busy);
        let service_time = self.begin(job);
        let timer = async {
            Timer::after(service_time).await;
        };
        match first(timer, &cancelled, job.deadline).await {
            Ok(()) => End::Done,
            Err(reason) => End::Stopped(reason),
        }
    }

    fn register(&self, id: &str) -> Option<Receiver<()>> {
        let (sender, receiver) = bounded(1);
        let mut state = self.lock();
        if state.cancels.contains_key(id) {
            return None;
        }
        state.cancels.insert(id.to_owned(), sender);
        Some(receiver)
    }

    /// Why the target sheds a request on arrival.
    fn refusal(&self) -> Option<&'static str> {
        let mut state = self.lock();
        let percent = state.fault.shed_percent;
        if percent > 0 && state.random.u32(0..100) < percent {
            return Some("shedding");
        }
        let is_full = state.load.busy >= self.shape.slots && state.load.queued >= self.shape.queue;
        is_full.then_some("queue full")
    }

    /// Records the run and draws its service time.
    fn begin(&self, job: &Job) -> Duration {
        let run = Run {
            target: self.shape.name.clone(),
            id: job.id.clone(),
            key: job.work.key.clone(),
            attempt: job.work.attempt,
            kind: job.kind.clone(),
            at_ms: unix_ms(),
            request_bytes: job.body.len() as u64,
            reply_bytes: job.work.reply_bytes as u64,
        };
        let mut state = self.lock();
        state.record.push(run);
        let cost = self.shape.kinds.iter().find(|cost| cost.name == job.kind);
        let mean_us = cost.map_or(0, |cost| cost.service_us) as f64;
        let deviation = self.shape.variation * (2.0 * state.random.f64() - 1.0);
        let mut factor = 1.0 + deviation;
        if state.cold_left > 0 {
            state.cold_left -= 1;
            factor *= self.shape.cold_factor;
        }
        if state.fault.straggle_factor > 0.0 && Instant::now() < state.straggle_until {
            factor *= state.fault.straggle_factor;
        }
        Duration::from_micros((mean_us * factor).max(0.0) as u64)
    }

    fn reply(&self, conn: Conn, job: &Job) -> Conn {
        let body = payload::reply(&job.body, job.work.reply_bytes);
        let (is_lost, is_cut) = {
            let fault = &mut self.lock().fault;
            let is_lost = take_one(&mut fault.lose_replies);
            (is_lost, !is_lost && take_one(&mut fault.cut_replies))
        };
        if is_lost {
            return no_reply(conn);
        }
        if is_cut {
            let length = body.len() as u64;
            let part = body[..body.len() / 2].to_vec();
            return cut_reply(conn, part, length.max(1));
        }
        conn.ok(body)
    }

    async fn cancel(self, conn: Conn) -> Conn {
        let id = conn.param("id").unwrap_or_default().to_owned();
        // Dropping the sender ends the request's wait.
        let sender = self.lock().cancels.get(&id).cloned();
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
                hold(&mut conn, swansong).await;
                no_reply(conn)
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
        let runs = self.lock().record.runs();
        reply_json(conn, &runs)
    }
}

/// The output of `future` unless the request is cancelled or its deadline passes first.
async fn first<T>(
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

fn take_one(left: &mut u32) -> bool {
    let is_one = *left > 0;
    *left = left.saturating_sub(1);
    is_one
}

fn refuse(conn: Conn, reason: &'static str) -> Conn {
    conn.with_response_header("x-not-run", "1").with_status(503).with_body(reason).halt()
}

/// A request that can be cancelled until this is dropped.
struct Registration<'a> {
    target: &'a Target,
    id: &'a str,
}

impl Drop for Registration<'_> {
    fn drop(&mut self) {
        self.target.lock().cancels.remove(self.id);
    }
}

/// A request that counts in one field of the load until this is dropped.
struct Counted<'a> {
    target: &'a Target,
    field: fn(&mut Load) -> &mut u32,
}

impl<'a> Counted<'a> {
    fn new(target: &'a Target, field: fn(&mut Load) -> &mut u32) -> Counted<'a> {
        let counted = Counted { target, field };
        counted.change(1);
        counted
    }

    fn change(&self, by: i32) {
        let mut state = self.target.lock();
        let value = (self.field)(&mut state.load);
        *value = value.saturating_add_signed(by);
        let load = state.load;
        state.history.push(Instant::now(), load);
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.change(-1);
    }
}
