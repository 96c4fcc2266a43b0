//! Carries out the actions of one pool.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

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

use crate::gauge::{AttemptLabels, Gauges};

/// How long after the deadline an attempt is waited for. Its slot counts as used until then.
const PATIENCE: Span = Span::from_secs(30);

/// What the requester is told.
pub(crate) enum Answer<B> {
    /// The target's reply.
    Answered(Reply<B>),
    /// Not run, or unknown, as the reason says.
    Failed(Reason),
}

impl<B> Answer<B> {
    /// The same answer with another sort of reader for the rest of a long reply.
    pub(crate) fn map<C>(self, wrap: impl FnOnce(B) -> C) -> Answer<C> {
        let Reply { head, body } = match self {
            Answer::Answered(reply) => reply,
            Answer::Failed(reason) => return Answer::Failed(reason),
        };
        let body = match body {
            Body::Whole(bytes) => Body::Whole(bytes),
            Body::Stream { length, reader } => Body::Stream { length, reader: wrap(reader) },
        };
        Answer::Answered(Reply { head, body })
    }
}

/// One pool, its waiting requests and its targets' addresses.
pub(crate) struct Driver<T: Target> {
    inner: Mutex<Inner<T::Reader>>,
    target: T,
    gauges: Gauges,
    /// Start of the names of attempts, unique to the process.
    prefix: String,
    next_id: AtomicU64,
    timer: Sender<()>,
    timer_woken: Receiver<()>,
}

struct Inner<B> {
    pool: Pool,
    work: HashMap<Ticket, Work<B>>,
    calls: HashMap<(Ticket, Attempt), Call>,
    targets: HashMap<TargetId, Known>,
    timer_at: Instant,
    /// Whether another entry or another region may use the pool's slots.
    is_shared: bool,
    /// Until when the pool may hold work of clients of other regions that came here directly.
    visited_until: Instant,
}

struct Work<B> {
    request: Arc<Request>,
    deadline: Instant,
    trace: Context,
    sender: Sender<Answer<B>>,
}

/// A target as the VM list, the policy and the target itself describe it.
struct Known {
    address: SocketAddr,
    spec: Spec,
    /// Whether the target's own report says that it will stop.
    says_leaving: bool,
}

impl Known {
    fn spec(&self) -> Spec {
        match self.spec.state {
            State::Ready if self.says_leaving => Spec { state: State::Leaving, ..self.spec },
            _ => self.spec,
        }
    }
}

struct Call {
    id: String,
    address: SocketAddr,
    target: TargetId,
}

impl<T: Target> Driver<T> {
    /// A driver whose attempts have names that start with `prefix`.
    pub(crate) fn new(target: T, gauges: Gauges, prefix: String) -> Arc<Driver<T>> {
        let (timer, timer_woken) = bounded(1);
        let inner = Inner {
            pool: Pool::new(Config::default()),
            work: HashMap::new(),
            calls: HashMap::new(),
            targets: HashMap::new(),
            timer_at: Instant::MAX,
            is_shared: true,
            visited_until: Instant::ZERO,
        };
        let inner = Mutex::new(inner);
        let next_id = AtomicU64::new(0);
        let driver =
            Arc::new(Driver { inner, target, gauges, prefix, next_id, timer, timer_woken });
        smol::spawn(run_timer(Arc::downgrade(&driver), driver.timer_woken.clone())).detach();
        driver
    }

    /// Offers `request` to the pool. An error means that it is not run. Work that comes against
    /// credit `is_granted` a slot already.
    pub(crate) fn offer(
        self: &Arc<Self>,
        job: Job,
        request: Arc<Request>,
        trace: Context,
        is_granted: bool,
    ) -> Result<Waiting<T>, Reason> {
        let mut inner = self.lock();
        let now = clock::now();
        let ticket = match is_granted {
            true => inner.pool.offer_with_credit(now, job)?,
            false => inner.pool.offer(now, job)?,
        };
        let (sender, receiver) = bounded(1);
        inner.work.insert(ticket, Work { request, deadline: job.deadline, trace, sender });
        self.pump(&mut inner);
        Ok(Waiting { driver: self.clone(), ticket, receiver, is_closed: false })
    }

    /// Adds or changes a target. One that `is_distant`, in another data centre, may get a job ahead.
    /// Returns whether its state changed.
    pub(crate) fn set_target(
        self: &Arc<Self>,
        target: TargetId,
        address: SocketAddr,
        spec: Spec,
        is_distant: bool,
    ) -> bool {
        let mut inner = self.lock();
        let before = inner.targets.get(&target);
        let says_leaving = before.is_some_and(|known| known.says_leaving);
        let before = before.map(Known::spec);
        let known = Known { address, spec, says_leaving };
        let after = known.spec();
        inner.targets.insert(target, known);
        if before == Some(after) {
            return false;
        }
        let now = clock::now();
        inner.pool.set_target(now, target, after);
        inner.pool.set_prefetch(now, target, is_distant);
        self.pump(&mut inner);
        before.map(|spec| spec.state) != Some(after.state)
    }

    /// Ends the use of the targets that are not in `listed`. Returns how many that were.
    pub(crate) fn retain_targets(self: &Arc<Self>, listed: &HashSet<TargetId>) -> usize {
        let mut inner = self.lock();
        let gone: Vec<TargetId> =
            inner.targets.keys().filter(|target| !listed.contains(target)).copied().collect();
        for &target in &gone {
            inner.targets.remove(&target);
            let spec = Spec { slots: 0, state: State::Gone };
            inner.pool.set_target(clock::now(), target, spec);
        }
        self.pump(&mut inner);
        gone.len()
    }

    /// Sets whether another entry or another region may use the pool's slots.
    pub(crate) fn set_shared(&self, is_shared: bool) {
        let mut inner = self.lock();
        inner.is_shared = is_shared;
        inner.update_exclusive();
    }

    /// Takes in that work of a client of another region comes, which may run until `until`.
    pub(crate) fn note_visit(&self, until: Instant) {
        let mut inner = self.lock();
        inner.visited_until = inner.visited_until.max(until);
        inner.update_exclusive();
    }

    /// Takes in a target's load report. Returns whether the target now says that it will stop and
    /// did not before.
    pub(crate) fn note_load(self: &Arc<Self>, target: TargetId, load: target::Load) -> bool {
        let mut inner = self.lock();
        let now = clock::now();
        let Some(known) = inner.targets.get_mut(&target) else { return false };
        let is_changed = known.says_leaving != load.leaving;
        known.says_leaving = load.leaving;
        let spec = known.spec();
        if is_changed {
            inner.pool.set_target(now, target, spec);
        }
        inner.pool.record_load(now, target, Load { busy: load.busy, queued: load.queued });
        self.pump(&mut inner);
        is_changed && load.leaving
    }

    /// Targets and where they are.
    pub(crate) fn targets(&self) -> Vec<(TargetId, SocketAddr)> {
        self.lock().targets.iter().map(|(&target, known)| (target, known.address)).collect()
    }

    /// Free slots that the pool has confirmed.
    pub(crate) fn free_slots(&self) -> u32 {
        self.lock().pool.free_slots(clock::now())
    }

    /// Leaving targets and the attempts that they still run, without those that run none.
    pub(crate) fn draining(&self) -> Vec<(TargetId, u32)> {
        let inner = self.lock();
        let is_leaving = |(_, known): &(&TargetId, &Known)| known.spec().state == State::Leaving;
        let leaving = inner.targets.iter().filter(is_leaving).map(|(&target, _)| target);
        let in_flight = |target| inner.calls.values().filter(|call| call.target == target).count();
        let counted = leaving.map(|target| (target, in_flight(target) as u32));
        counted.filter(|(_, in_flight)| *in_flight > 0).collect()
    }

    /// The expected wait of a request of `flow` that comes now.
    pub(crate) fn expected_wait(&self, flow: Flow) -> Span {
        self.lock().pool.expected_wait(clock::now(), flow)
    }

    /// Requests that wait for a slot.
    pub(crate) fn queued(&self) -> u32 {
        self.lock().pool.queued() as u32
    }

    /// Requests that wait or run.
    pub(crate) fn len(&self) -> usize {
        self.lock().work.len()
    }

    fn lock(&self) -> MutexGuard<'_, Inner<T::Reader>> {
        sync::lock(&self.inner)
    }

    /// Carries out what the pool wants done now, and sees that time is watched for the rest.
    fn pump(self: &Arc<Self>, inner: &mut Inner<T::Reader>) {
        self.carry_out(inner);
        self.arm(inner);
    }

    fn carry_out(self: &Arc<Self>, inner: &mut Inner<T::Reader>) {
        while let Some(action) = inner.pool.next_action(clock::now()) {
            match action {
                Action::Dispatch { ticket, attempt, target } => {
                    self.start(inner, ticket, attempt, target);
                }
                Action::Hedge { ticket, attempt, target } => {
                    self.gauges.hedges.inc();
                    self.start(inner, ticket, attempt, target);
                }
                Action::Cancel { ticket, attempt, .. } => self.cancel(inner, ticket, attempt),
                Action::Refuse { ticket, reason } | Action::Fail { ticket, reason } => {
                    inner.tell(ticket, Answer::Failed(reason));
                }
            }
        }
    }

    /// Wakes the timer task if it would sleep too long.
    fn arm(&self, inner: &mut Inner<T::Reader>) {
        let wake_at = inner.pool.wake_at().unwrap_or(Instant::MAX);
        if wake_at < inner.timer_at {
            // A full channel means that the task is about to look anyway.
            let _ = self.timer.try_send(());
        }
    }

    fn start(
        self: &Arc<Self>,
        inner: &mut Inner<T::Reader>,
        ticket: Ticket,
        attempt: Attempt,
        target: TargetId,
    ) {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        let id = format!("{}.{number}", self.prefix);
        let address = inner.targets.get(&target).map(|known| known.address);
        let work = inner.work.get(&ticket);
        let (Some(address), Some(work)) = (address, work) else {
            let driver = self.clone();
            let error = Error::Unsent("no address".to_owned());
            smol::spawn(async move { driver.finish(ticket, attempt, Err(error)) }).detach();
            return;
        };
        let left = work.deadline.since(clock::now());
        let span = TraceSpan::new(work.trace, "target");
        let call = target::Attempt {
            id: id.clone(),
            deadline: clock::duration(left),
            patience: clock::duration(left + PATIENCE),
            trace: span.context(),
        };
        let request = work.request.clone();
        inner.calls.insert((ticket, attempt), Call { id, address, target });
        let driver = self.clone();
        let run = async move {
            let result = driver.target.run(address, &request, &call).await;
            span.close(report_of(&result).1);
            driver.finish(ticket, attempt, result);
        };
        smol::spawn(run).detach();
    }

    fn cancel(self: &Arc<Self>, inner: &Inner<T::Reader>, ticket: Ticket, attempt: Attempt) {
        let Some(call) = inner.calls.get(&(ticket, attempt)) else { return };
        self.gauges.cancels.inc();
        let (driver, address, id) = (self.clone(), call.address, call.id.clone());
        smol::spawn(async move { driver.target.cancel(address, &id).await }).detach();
    }

    fn finish(
        self: &Arc<Self>,
        ticket: Ticket,
        attempt: Attempt,
        result: Result<Reply<T::Reader>, Error>,
    ) {
        let (report, label) = report_of(&result);
        self.gauges.attempts.get_or_create(&AttemptLabels { report: label }).inc();
        let mut inner = self.lock();
        inner.calls.remove(&(ticket, attempt));
        let verdict = inner.pool.report(clock::now(), ticket, attempt, report);
        if let (Verdict::Settled, Ok(reply)) = (verdict, result) {
            inner.tell(ticket, Answer::Answered(reply));
        }
        self.pump(&mut inner);
    }

    fn abandon(self: &Arc<Self>, ticket: Ticket) {
        let mut inner = self.lock();
        if inner.work.remove(&ticket).is_some() {
            inner.pool.abandon(clock::now(), ticket);
            self.pump(&mut inner);
        }
    }

    /// Looks for actions that time has made due, and gives the time to look again.
    fn tick(self: &Arc<Self>) -> Instant {
        let mut inner = self.lock();
        self.carry_out(&mut inner);
        inner.timer_at = inner.pool.wake_at().unwrap_or(Instant::MAX);
        inner.timer_at
    }
}

impl<B> Inner<B> {
    /// Tells the pool whether it may send jobs ahead.
    fn update_exclusive(&mut self) {
        let now = clock::now();
        self.pool.set_own_region_only(now, !self.is_shared && now >= self.visited_until);
    }

    fn tell(&mut self, ticket: Ticket, answer: Answer<B>) {
        if let Some(work) = self.work.remove(&ticket) {
            // The requester may have gone away in the meantime.
            let _ = work.sender.try_send(answer);
        }
    }
}

fn report_of<B>(result: &Result<Reply<B>, Error>) -> (Report, &'static str) {
    match result {
        Ok(_) => (Report::Answered, "answered"),
        Err(Error::Shed) => (Report::Shed, "shed"),
        Err(Error::Unsent(_)) => (Report::Unsent, "unsent"),
        Err(Error::Lost(_) | Error::Truncated) => (Report::Lost, "lost"),
    }
}

async fn run_timer<T: Target>(driver: std::sync::Weak<Driver<T>>, woken: Receiver<()>) {
    loop {
        let Some(at) = driver.upgrade().map(|driver| driver.tick()) else { return };
        let sleep = async {
            match at {
                Instant::MAX => future::pending().await,
                at => clock::sleep_until(at).await,
            }
            true
        };
        if !future::or(sleep, async { woken.recv().await.is_ok() }).await {
            return;
        }
    }
}

/// A request that waits for its answer. Dropping it tells the pool that the caller went away.
pub(crate) struct Waiting<T: Target> {
    driver: Arc<Driver<T>>,
    ticket: Ticket,
    receiver: Receiver<Answer<T::Reader>>,
    is_closed: bool,
}

impl<T: Target> Waiting<T> {
    /// The answer. The pool gives one at the deadline at the latest.
    pub(crate) async fn answer(mut self) -> Answer<T::Reader> {
        let answer = self.receiver.recv().await;
        self.is_closed = true;
        answer.unwrap_or(Answer::Failed(Reason::TargetLost))
    }
}

impl<T: Target> Drop for Waiting<T> {
    fn drop(&mut self) {
        if !self.is_closed {
            self.driver.abandon(self.ticket);
        }
    }
}
