//! Stand-in for callers: an open-loop load over a bounded time.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ebonypass_core::outcome::Outcome;
use smol::Timer;

use crate::entry::{Call, Entries, Sent};
use crate::payload::{self, Header};
use crate::plan::{Kind, Plan};
use crate::report::{Attempt, Report, Request, Tally};
use crate::serve::unix_ms;

/// How long after its deadline a request is waited for. Late replies must be seen to be counted.
const PATIENCE: Duration = Duration::from_secs(5);

/// Pause before a key is sent again.
const RESEND_PAUSE: Duration = Duration::from_millis(50);

/// A caller at work.
struct Caller {
    plan: Plan,
    entries: Entries,
    tallies: Vec<Mutex<Tally>>,
    requests: Mutex<Vec<Request>>,
}

/// A request that is about to be sent.
struct Job {
    kind: usize,
    block: String,
    number: u64,
    is_resent: bool,
}

/// Sends the load that `plan` describes and returns once every request has ended.
pub async fn run(plan: Plan) -> Report {
    let tally = |kind: &Kind| Mutex::new(Tally::new(&kind.service, &kind.kind, kind.idempotent));
    let caller = Arc::new(Caller {
        entries: Entries::new(plan.entries.clone()),
        tallies: plan.kinds.iter().map(tally).collect(),
        requests: Mutex::default(),
        plan,
    });
    let not_started = caller.clone().send_all().await;
    let caller = Arc::into_inner(caller).expect("every request has ended");
    let kinds = caller.tallies.into_iter().map(|tally| {
        let tally = tally.into_inner().expect("no request panicked");
        tally.close()
    });
    Report {
        member: caller.plan.member,
        kinds: kinds.collect(),
        not_started,
        requests: caller.requests.into_inner().expect("no request panicked"),
    }
}

impl Caller {
    /// Starts requests at random times and returns how many were too many to start.
    async fn send_all(self: Arc<Caller>) -> u64 {
        let mut random = fastrand::Rng::with_seed(self.plan.seed);
        let start = Instant::now();
        let mut at = Duration::ZERO;
        let mut tasks = Vec::new();
        let mut not_started = 0;
        for number in 0.. {
            at += gap(&mut random, self.plan.rate);
            if at >= self.plan.length {
                break;
            }
            Timer::at(start + at).await;
            let job = self.draw(&mut random, number);
            tasks.retain(|task: &smol::Task<()>| !task.is_finished());
            if tasks.len() >= self.plan.max_open {
                not_started += 1;
                continue;
            }
            let caller = self.clone();
            tasks.push(smol::spawn(async move { caller.request(job).await }));
        }
        for task in tasks {
            task.await;
        }
        not_started
    }

    fn draw(&self, random: &mut fastrand::Rng, number: u64) -> Job {
        let total: u32 = self.plan.kinds.iter().map(|kind| kind.weight).sum();
        let mut left = random.u32(0..total);
        let kind = self.plan.kinds.iter().position(|kind| {
            let is_here = left < kind.weight;
            left = left.saturating_sub(kind.weight);
            is_here
        });
        let block = &self.plan.blocks[random.usize(0..self.plan.blocks.len())];
        let is_resent = random.u8(0..100) < self.plan.resend_percent;
        Job { kind: kind.unwrap_or(0), block: block.clone(), number, is_resent }
    }

    /// Sends one request, and sends it again where the plan says so.
    async fn request(&self, job: Job) {
        let kind = &self.plan.kinds[job.kind];
        let start = Instant::now();
        let Some(lookup) = self.entries.lookup(&self.plan.member, &kind.service, &job.block).await
        else {
            self.tally(job.kind, |tally| tally.report.unreachable += 1);
            return;
        };
        let nonce = format!("{}-{}-{}", self.plan.member, self.plan.seed, job.number);
        let key = match kind.idempotent {
            true => nonce,
            false => format!("{}/{nonce}", lookup.arbiter),
        };
        let mut candidates = self.entries.candidates(&lookup);
        let mut attempts = Vec::new();
        for number in 0..2 {
            let call = self.call(&job, &key, number, start + kind.deadline);
            let Some((attempt, sent)) = self.attempt(&job, &call, &mut candidates).await else {
                break;
            };
            attempts.push(attempt);
            self.count_reply(&job, &sent, start);
            let is_unknown = attempts.last().is_some_and(|last| last.outcome == Outcome::Unknown);
            if !is_unknown || kind.idempotent || !job.is_resent {
                break;
            }
            Timer::after(RESEND_PAUSE).await;
        }
        self.finish(&job, key, attempts);
    }

    fn call(&self, job: &Job, key: &str, attempt: u32, deadline: Instant) -> Call {
        let kind = &self.plan.kinds[job.kind];
        let header = Header { reply_bytes: kind.reply_bytes, key: key.to_owned(), attempt };
        let body = header.encode(kind.request_bytes);
        Call {
            path: format!("/v1/run/{}/{}", kind.service, kind.kind),
            member: self.plan.member.clone(),
            block: job.block.clone(),
            key: (!kind.idempotent).then(|| key.to_owned()),
            expected: payload::reply_body(&body, kind.reply_bytes),
            body,
            deadline,
        }
    }

    /// Makes an attempt at the first candidate that accepts a connection. Candidates that do not
    /// are removed, and the one that was used goes to the end.
    async fn attempt(
        &self,
        job: &Job,
        call: &Call,
        candidates: &mut Vec<std::net::SocketAddr>,
    ) -> Option<(Attempt, Sent)> {
        let start_ms = unix_ms();
        while let Some(&address) = candidates.first() {
            candidates.remove(0);
            let sent = self.entries.send(address, call, PATIENCE).await;
            if sent == Sent::Unsent {
                self.entries.forget(&self.plan.kinds[job.kind].service, &job.block);
                continue;
            }
            candidates.push(address);
            let (outcome, detail) = match &sent {
                Sent::Stated(outcome, code) => (*outcome, code.clone()),
                Sent::Wrong(detail) => (Outcome::Answered, format!("wrong: {detail}")),
                Sent::Cut(detail) => (Outcome::Unknown, format!("cut: {detail}")),
                Sent::Lost(detail) => (Outcome::Unknown, format!("lost: {detail}")),
                Sent::Unsent => unreachable!("handled above"),
            };
            return Some((Attempt { outcome, detail, start_ms, end_ms: unix_ms() }, sent));
        }
        None
    }

    fn count_reply(&self, job: &Job, sent: &Sent, start: Instant) {
        let deadline = self.plan.kinds[job.kind].deadline;
        let latency = start.elapsed();
        self.tally(job.kind, |tally| match sent {
            Sent::Stated(Outcome::Answered, code) => {
                tally.record(latency.as_micros() as u64);
                tally.report.late += u64::from(latency > deadline || code == "504");
            }
            Sent::Wrong(_) => tally.report.wrong += 1,
            Sent::Cut(_) => tally.report.cut += 1,
            _ => {}
        });
    }

    fn finish(&self, job: &Job, key: String, attempts: Vec<Attempt>) {
        let kind = &self.plan.kinds[job.kind];
        let Some(last) = attempts.last() else {
            self.tally(job.kind, |tally| tally.report.unreachable += 1);
            return;
        };
        let outcome = last.outcome;
        self.tally(job.kind, |tally| tally.count(outcome));
        let request = Request {
            key,
            service: kind.service.clone(),
            kind: kind.kind.clone(),
            block: job.block.clone(),
            attempts,
        };
        self.requests.lock().expect("no request panicked").push(request);
    }

    fn tally(&self, kind: usize, change: impl FnOnce(&mut Tally)) {
        change(&mut self.tallies[kind].lock().expect("no request panicked"));
    }
}

/// Time to the next request of a Poisson process.
fn gap(random: &mut fastrand::Rng, rate: f64) -> Duration {
    Duration::from_secs_f64(-(1.0 - random.f64()).ln() / rate)
}
