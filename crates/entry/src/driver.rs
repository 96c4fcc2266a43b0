//! Drives a pool: runs its actions against targets and keeps its timer.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, Weak};

use ebonypass_core::id::TargetId;
use ebonypass_core::outcome::Reason;
use ebonypass_core::pool::{
    Action, Attempt, Config, Flow, Job, Load, Pool, Report, Spec, State, Ticket, Verdict,
};
use ebonypass_core::time::{Instant, Span};
use ebonypass_node::target::{self, Body, Error, Reply, Request, Target};
use ebonypass_node::trace::{Context, Span as TraceSpan};
use ebonypass_node::{clock, sync};
use futures_lite::future;
use smol::channel::{Receiver, Sender, bounded};

use crate::metric::{AttemptLabels, Metrics};

/// How long after the deadline a target's reply is awaited. The slot counts as used until then.
const REPLY_GRACE: Span = Span::from_secs(30);

/// The result of a request.
pub(crate) enum Answer<B> {
    /// The target's reply.
    Answered(Reply<B>),
    /// No reply. The reason tells whether the request was not run or its outcome is unknown.
    Failed(Reason),
}

impl<B> Answer<B> {
    /// Converts the reader of a streamed body.
    pub(crate) fn map<C>(self, map_reader: impl FnOnce(B) -> C) -> Answer<C> {
        let Reply { head, body } = match self {
            Answer::Answered(reply) => reply,
            Answer::Failed(reason) => return Answer::Failed(reason),
        };
        let body = match body {
            Body::Buffered(bytes) => Body::Buffered(bytes),
            Body::Streamed { length, reader } => {
                Body::Streamed { length, reader: map_reader(reader) }
            }
        };
        Answer::Answered(Reply { head, body })
    }
}

/// A pool with its pending requests and its targets' addresses.
pub(crate) struct Driver<T: Target> {
    inner: Mutex<Inner<T::Reader>>,
    target: T,
    metrics: Metrics,
    /// Prefix of attempt ids, unique to the process.
    prefix: String,
    next_id: AtomicU64,
    wake_sender: Sender<()>,
    wake_receiver: Receiver<()>,
}

struct Inner<B> {
    pool: Pool,
    pending: HashMap<Ticket, Pending<B>>,
    dispatches: HashMap<(Ticket, Attempt), Dispatch>,
    targets: HashMap<TargetId, KnownTarget>,
    next_wake: Instant,
    /// Whether another entry or region may use the pool's slots.
    is_shared: bool,
    /// Until when the pool may hold requests that clients of other regions sent here directly.
    failover_until: Instant,
}

struct Pending<B> {
    request: Arc<Request>,
    deadline: Instant,
    trace: Context,
    sender: Sender<Answer<B>>,
}

/// The state of a target, from the VM list, the policy and the target's load reports.
struct KnownTarget {
    address: SocketAddr,
    spec: Spec,
    /// Whether the target's load report says that it will stop.
    reports_leaving: bool,
}

impl KnownTarget {
    /// The spec, with a ready target that reports leaving counted as leaving.
    fn effective_spec(&self) -> Spec {
        match self.spec.state {
            State::Ready if self.reports_leaving => Spec { state: State::Leaving, ..self.spec },
            _ => self.spec,
        }
    }
}

struct Dispatch {
    id: String,
    address: SocketAddr,
    target: TargetId,
}

impl<T: Target> Driver<T> {
    /// A driver whose attempt ids start with `prefix`.
    pub(crate) fn new(target: T, metrics: Metrics, prefix: String) -> Arc<Driver<T>> {
        let (wake_sender, wake_receiver) = bounded(1);
        let inner = Inner {
            pool: Pool::new(Config::default()),
            pending: HashMap::new(),
            dispatches: HashMap::new(),
            targets: HashMap::new(),
            next_wake: Instant::MAX,
            is_shared: true,
            failover_until: Instant::ZERO,
        };
        let inner = Mutex::new(inner);
        let next_id = AtomicU64::new(0);
        let driver = Arc::new(Driver {
            inner,
            target,
            metrics,
            prefix,
            next_id,
            wake_sender,
            wake_receiver,
        });
        smol::spawn(run_timer(Arc::downgrade(&driver), driver.wake_receiver.clone())).detach();
        driver
    }

    /// Offers `request` to the pool. An error means that it is not run. `has_credit`: the pool's
    /// owner has granted credit for it.
    pub(crate) fn offer(
        self: &Arc<Self>,
        job: Job,
        request: Arc<Request>,
        trace: Context,
        has_credit: bool,
    ) -> Result<Handle<T>, Reason> {
        let mut inner = self.lock();
        let now = clock::now();
        let ticket = match has_credit {
            true => inner.pool.offer_with_credit(now, job)?,
            false => inner.pool.offer(now, job)?,
        };
        let (sender, receiver) = bounded(1);
        inner.pending.insert(ticket, Pending { request, deadline: job.deadline, trace, sender });
        self.drive(&mut inner);
        Ok(Handle { driver: self.clone(), ticket, receiver, is_answered: false })
    }

    /// Adds or updates a target. One that `is_distant`, in another data centre, may be sent a job
    /// beyond its slots. Returns whether its state changed.
    pub(crate) fn set_target(
        self: &Arc<Self>,
        target: TargetId,
        address: SocketAddr,
        spec: Spec,
        is_distant: bool,
    ) -> bool {
        let mut inner = self.lock();
        let before = inner.targets.get(&target);
        let reports_leaving = before.is_some_and(|known| known.reports_leaving);
        let before = before.map(KnownTarget::effective_spec);
        let known = KnownTarget { address, spec, reports_leaving };
        let after = known.effective_spec();
        inner.targets.insert(target, known);
        if before == Some(after) {
            return false;
        }
        let now = clock::now();
        inner.pool.set_target(now, target, after);
        inner.pool.set_prefetch(now, target, is_distant);
        self.drive(&mut inner);
        before.map(|spec| spec.state) != Some(after.state)
    }

    /// Removes the targets that are not in `listed` and returns their number.
    pub(crate) fn retain_targets(self: &Arc<Self>, listed: &HashSet<TargetId>) -> usize {
        let mut inner = self.lock();
        let unlisted: Vec<TargetId> =
            inner.targets.keys().filter(|target| !listed.contains(target)).copied().collect();
        for &target in &unlisted {
            inner.targets.remove(&target);
            let spec = Spec { slots: 0, state: State::Gone };
            inner.pool.set_target(clock::now(), target, spec);
        }
        self.drive(&mut inner);
        unlisted.len()
    }

    /// Sets whether another entry or region may use the pool's slots.
    pub(crate) fn set_shared(&self, is_shared: bool) {
        let mut inner = self.lock();
        inner.is_shared = is_shared;
        inner.update_own_region_only();
    }

    /// Records that a request of another region's client has arrived, which may run until `until`.
    pub(crate) fn record_failover(&self, until: Instant) {
        let mut inner = self.lock();
        inner.failover_until = inner.failover_until.max(until);
        inner.update_own_region_only();
    }

    /// Handles a target's load report. Returns whether the target newly reports that it will stop.
    pub(crate) fn handle_load(self: &Arc<Self>, target: TargetId, load: target::Load) -> bool {
        let mut inner = self.lock();
        let now = clock::now();
        let Some(known) = inner.targets.get_mut(&target) else { return false };
        let is_changed = known.reports_leaving != load.leaving;
        known.reports_leaving = load.leaving;
        let spec = known.effective_spec();
        if is_changed {
            inner.pool.set_target(now, target, spec);
        }
        inner.pool.record_load(now, target, Load { busy: load.busy, queued: load.queued });
        self.drive(&mut inner);
        is_changed && load.leaving
    }

    /// The targets and their addresses.
    pub(crate) fn targets(&self) -> Vec<(TargetId, SocketAddr)> {
        self.lock().targets.iter().map(|(&target, known)| (target, known.address)).collect()
    }

    /// The number of slots that are confirmed free.
    pub(crate) fn free_slots(&self) -> u32 {
        self.lock().pool.free_slots(clock::now())
    }

    /// Leaving targets with attempts in flight, and the number of these.
    pub(crate) fn draining(&self) -> Vec<(TargetId, u32)> {
        let inner = self.lock();
        let is_leaving =
            |(_, known): &(&TargetId, &KnownTarget)| known.effective_spec().state == State::Leaving;
        let leaving = inner.targets.iter().filter(is_leaving).map(|(&target, _)| target);
        let in_flight =
            |target| inner.dispatches.values().filter(|dispatch| dispatch.target == target).count();
        let counted = leaving.map(|target| (target, in_flight(target) as u32));
        counted.filter(|(_, in_flight)| *in_flight > 0).collect()
    }

    /// The expected wait of a request of `flow` that arrives now.
    pub(crate) fn expected_wait(&self, flow: Flow) -> Span {
        self.lock().pool.expected_wait(clock::now(), flow)
    }

    /// The number of requests that wait for a slot.
    pub(crate) fn queued(&self) -> u32 {
        self.lock().pool.queued() as u32
    }

    /// The number of requests that wait or run.
    pub(crate) fn len(&self) -> usize {
        self.lock().pending.len()
    }

    fn lock(&self) -> MutexGuard<'_, Inner<T::Reader>> {
        sync::lock(&self.inner)
    }

    /// Runs the actions that are due and arms the timer for later ones.
    fn drive(self: &Arc<Self>, inner: &mut Inner<T::Reader>) {
        self.run_due_actions(inner);
        self.arm_timer(inner);
    }

    fn run_due_actions(self: &Arc<Self>, inner: &mut Inner<T::Reader>) {
        while let Some(action) = inner.pool.next_action(clock::now()) {
            match action {
                Action::Dispatch { ticket, attempt, target } => {
                    self.start_attempt(inner, ticket, attempt, target);
                }
                Action::Hedge { ticket, attempt, target } => {
                    self.metrics.hedges.inc();
                    self.start_attempt(inner, ticket, attempt, target);
                }
                Action::Cancel { ticket, attempt, .. } => {
                    self.cancel_attempt(inner, ticket, attempt)
                }
                Action::Refuse { ticket, reason } | Action::Fail { ticket, reason } => {
                    inner.deliver(ticket, Answer::Failed(reason));
                }
            }
        }
    }

    /// Wakes the timer task if it would sleep past the next due action.
    fn arm_timer(&self, inner: &mut Inner<T::Reader>) {
        let wake_at = inner.pool.wake_at().unwrap_or(Instant::MAX);
        if wake_at < inner.next_wake {
            // A full channel means that a wake-up is already pending.
            let _ = self.wake_sender.try_send(());
        }
    }

    fn start_attempt(
        self: &Arc<Self>,
        inner: &mut Inner<T::Reader>,
        ticket: Ticket,
        attempt: Attempt,
        target: TargetId,
    ) {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        let id = format!("{}.{number}", self.prefix);
        let address = inner.targets.get(&target).map(|known| known.address);
        let pending = inner.pending.get(&ticket);
        let (Some(address), Some(pending)) = (address, pending) else {
            let driver = self.clone();
            let error = Error::Unsent("no address".to_owned());
            smol::spawn(async move { driver.finish_attempt(ticket, attempt, Err(error)) }).detach();
            return;
        };
        let time_left = pending.deadline.since(clock::now());
        let span = TraceSpan::new(pending.trace, "target");
        let target_attempt = target::Attempt {
            id: id.clone(),
            time_left: clock::duration(time_left),
            reply_timeout: clock::duration(time_left + REPLY_GRACE),
            trace: span.context(),
        };
        let request = pending.request.clone();
        inner.dispatches.insert((ticket, attempt), Dispatch { id, address, target });
        let driver = self.clone();
        let run = async move {
            let result = driver.target.run(address, &request, &target_attempt).await;
            span.close(classify(&result).1);
            driver.finish_attempt(ticket, attempt, result);
        };
        smol::spawn(run).detach();
    }

    fn cancel_attempt(
        self: &Arc<Self>,
        inner: &Inner<T::Reader>,
        ticket: Ticket,
        attempt: Attempt,
    ) {
        let Some(dispatch) = inner.dispatches.get(&(ticket, attempt)) else { return };
        self.metrics.cancels.inc();
        let (driver, address, id) = (self.clone(), dispatch.address, dispatch.id.clone());
        smol::spawn(async move { driver.target.cancel(address, &id).await }).detach();
    }

    fn finish_attempt(
        self: &Arc<Self>,
        ticket: Ticket,
        attempt: Attempt,
        result: Result<Reply<T::Reader>, Error>,
    ) {
        let (report, label) = classify(&result);
        self.metrics.attempts.get_or_create(&AttemptLabels { report: label }).inc();
        let mut inner = self.lock();
        inner.dispatches.remove(&(ticket, attempt));
        let verdict = inner.pool.report(clock::now(), ticket, attempt, report);
        if let (Verdict::Settled, Ok(reply)) = (verdict, result) {
            inner.deliver(ticket, Answer::Answered(reply));
        }
        self.drive(&mut inner);
    }

    fn abandon(self: &Arc<Self>, ticket: Ticket) {
        let mut inner = self.lock();
        if inner.pending.remove(&ticket).is_some() {
            inner.pool.abandon(clock::now(), ticket);
            self.drive(&mut inner);
        }
    }

    /// Runs the actions that are due and returns the time of the next ones.
    fn tick(self: &Arc<Self>) -> Instant {
        let mut inner = self.lock();
        self.run_due_actions(&mut inner);
        inner.next_wake = inner.pool.wake_at().unwrap_or(Instant::MAX);
        inner.next_wake
    }
}

impl<B> Inner<B> {
    /// Tells the pool whether only requests of its own region use it, which permits prefetch.
    fn update_own_region_only(&mut self) {
        let now = clock::now();
        self.pool.set_own_region_only(now, !self.is_shared && now >= self.failover_until);
    }

    fn deliver(&mut self, ticket: Ticket, answer: Answer<B>) {
        if let Some(pending) = self.pending.remove(&ticket) {
            // The requester may have gone away.
            let _ = pending.sender.try_send(answer);
        }
    }
}

fn classify<B>(result: &Result<Reply<B>, Error>) -> (Report, &'static str) {
    match result {
        Ok(_) => (Report::Answered, "answered"),
        Err(Error::Shed) => (Report::Shed, "shed"),
        Err(Error::Unsent(_)) => (Report::Unsent, "unsent"),
        Err(Error::Lost(_) | Error::Truncated) => (Report::Lost, "lost"),
    }
}

async fn run_timer<T: Target>(driver: Weak<Driver<T>>, wake_receiver: Receiver<()>) {
    loop {
        let Some(at) = driver.upgrade().map(|driver| driver.tick()) else { return };
        let sleep = async {
            match at {
                Instant::MAX => future::pending().await,
                at => clock::sleep_until(at).await,
            }
            true
        };
        if !future::or(sleep, async { wake_receiver.recv().await.is_ok() }).await {
            return;
        }
    }
}

/// Receives the answer of a pending request. Dropping it abandons the request.
pub(crate) struct Handle<T: Target> {
    driver: Arc<Driver<T>>,
    ticket: Ticket,
    receiver: Receiver<Answer<T::Reader>>,
    is_answered: bool,
}

impl<T: Target> Handle<T> {
    /// Waits for the answer. The pool gives one at the deadline at the latest.
    pub(crate) async fn answer(mut self) -> Answer<T::Reader> {
        let answer = self.receiver.recv().await;
        self.is_answered = true;
        answer.unwrap_or(Answer::Failed(Reason::TargetLost))
    }
}

impl<T: Target> Drop for Handle<T> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.driver.abandon(self.ticket);
        }
    }
}
