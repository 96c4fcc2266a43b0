//! Simulated caller: an open-loop load over a bounded time.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ebonypass_core::outcome::Outcome;
use smol::Timer;

use crate::entry::{self, Completion, Entries};
use crate::payload::{self, Header};
use crate::plan::{Kind, Plan};
use crate::report::{Attempt, Report, Request, Tally};
use crate::server::unix_ms;

/// Time after its deadline for which a request's reply is still awaited, to count late replies.
const REPLY_GRACE: Duration = Duration::from_secs(5);

/// Delay before a request is retried with the same key.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// The state of a running load, shared by its requests.
struct Caller {
    plan: Plan,
    entries: Entries,
    tallies: Vec<Mutex<Tally>>,
    requests: Mutex<Vec<Request>>,
}

/// A request drawn for one arrival of the load.
struct Arrival {
    /// Index into [`Plan::kinds`].
    kind: usize,
    block: String,
    /// Sequence number, part of the request key.
    number: u64,
    /// Whether a non-idempotent request is retried after an unknown outcome.
    is_retryable: bool,
}

/// Sends the load that `plan` describes and returns once every request is complete.
pub async fn run(plan: Plan) -> Report {
    let tally = |kind: &Kind| Mutex::new(Tally::new(&kind.service, &kind.kind, kind.idempotent));
    let caller = Arc::new(Caller {
        entries: Entries::new(plan.entries.clone()),
        tallies: plan.kinds.iter().map(tally).collect(),
        requests: Mutex::default(),
        plan,
    });
    let not_started = caller.clone().generate_load().await;
    let caller = Arc::into_inner(caller).expect("every request is complete");
    let kinds = caller.tallies.into_iter().map(|tally| {
        let tally = tally.into_inner().expect("no request panicked");
        tally.finish()
    });
    Report {
        member: caller.plan.member,
        kinds: kinds.collect(),
        not_started,
        requests: caller.requests.into_inner().expect("no request panicked"),
    }
}

impl Caller {
    /// Starts requests as a Poisson process. Returns the number of requests that were not started
    /// because too many were in flight.
    async fn generate_load(self: Arc<Caller>) -> u64 {
        let mut rng = fastrand::Rng::with_seed(self.plan.seed);
        let start = Instant::now();
        let mut offset = Duration::ZERO;
        let mut tasks = Vec::new();
        let mut not_started = 0;
        for number in 0.. {
            offset += interarrival_time(&mut rng, self.plan.rate);
            if offset >= self.plan.duration {
                break;
            }
            Timer::at(start + offset).await;
            let arrival = self.draw_arrival(&mut rng, number);
            tasks.retain(|task: &smol::Task<()>| !task.is_finished());
            if tasks.len() >= self.plan.max_open {
                not_started += 1;
                continue;
            }
            let caller = self.clone();
            tasks.push(smol::spawn(async move { caller.send_with_retry(arrival).await }));
        }
        for task in tasks {
            task.await;
        }
        not_started
    }

    fn draw_arrival(&self, rng: &mut fastrand::Rng, number: u64) -> Arrival {
        let total: u32 = self.plan.kinds.iter().map(|kind| kind.weight).sum();
        // Selects a kind with a probability in proportion to its weight.
        let mut remaining_weight = rng.u32(0..total);
        let kind = self.plan.kinds.iter().position(|kind| {
            let is_selected = remaining_weight < kind.weight;
            remaining_weight = remaining_weight.saturating_sub(kind.weight);
            is_selected
        });
        let block = &self.plan.blocks[rng.usize(0..self.plan.blocks.len())];
        let is_retryable = rng.u8(0..100) < self.plan.resend_percent;
        Arrival { kind: kind.unwrap_or(0), block: block.clone(), number, is_retryable }
    }

    /// Sends a request and retries it once if its outcome is unknown and the plan allows it.
    async fn send_with_retry(&self, arrival: Arrival) {
        let kind = &self.plan.kinds[arrival.kind];
        let start = Instant::now();
        let Some(lookup) =
            self.entries.lookup(&self.plan.member, &kind.service, &arrival.block).await
        else {
            self.update_tally(arrival.kind, |tally| tally.totals.unreachable += 1);
            return;
        };
        let nonce = format!("{}-{}-{}", self.plan.member, self.plan.seed, arrival.number);
        let key = match kind.idempotent {
            true => nonce,
            false => format!("{}/{nonce}", lookup.arbiter),
        };
        let mut candidates = self.entries.candidates(&lookup);
        let mut attempts = Vec::new();
        for number in 0..2 {
            let request = self.build_request(&arrival, &key, number, start + kind.deadline);
            let Some((attempt, completion)) =
                self.attempt(&arrival, &request, &mut candidates).await
            else {
                break;
            };
            attempts.push(attempt);
            self.record_reply(&arrival, &completion, start);
            let is_unknown = attempts.last().is_some_and(|last| last.outcome == Outcome::Unknown);
            if !is_unknown || kind.idempotent || !arrival.is_retryable {
                break;
            }
            Timer::after(RETRY_DELAY).await;
        }
        self.finish(&arrival, key, attempts);
    }

    fn build_request(
        &self,
        arrival: &Arrival,
        key: &str,
        attempt: u32,
        deadline: Instant,
    ) -> entry::Request {
        let kind = &self.plan.kinds[arrival.kind];
        let header = Header { reply_bytes: kind.reply_bytes, key: key.to_owned(), attempt };
        let body = header.encode(kind.request_bytes);
        entry::Request {
            path: format!("/v1/run/{}/{}", kind.service, kind.kind),
            member: self.plan.member.clone(),
            block: arrival.block.clone(),
            key: (!kind.idempotent).then(|| key.to_owned()),
            expected_reply: payload::reply_body(&body, kind.reply_bytes),
            body,
            deadline,
        }
    }

    /// Sends the request to the first candidate that accepts a connection and moves it to the end.
    /// Removes candidates that do not accept one. Returns `None` if no candidate is left.
    async fn attempt(
        &self,
        arrival: &Arrival,
        request: &entry::Request,
        candidates: &mut Vec<std::net::SocketAddr>,
    ) -> Option<(Attempt, Completion)> {
        let start_ms = unix_ms();
        while let Some(&address) = candidates.first() {
            candidates.remove(0);
            let completion = self.entries.send(address, request, REPLY_GRACE).await;
            if completion == Completion::NotSent {
                self.entries.invalidate(&self.plan.kinds[arrival.kind].service, &arrival.block);
                continue;
            }
            candidates.push(address);
            let (outcome, detail) = match &completion {
                Completion::Reported(outcome, code) => (*outcome, code.clone()),
                Completion::Mismatch(detail) => (Outcome::Answered, format!("wrong: {detail}")),
                Completion::Truncated(detail) => (Outcome::Unknown, format!("cut: {detail}")),
                Completion::NoReply(detail) => (Outcome::Unknown, format!("lost: {detail}")),
                Completion::NotSent => unreachable!("handled above"),
            };
            return Some((Attempt { outcome, detail, start_ms, end_ms: unix_ms() }, completion));
        }
        None
    }

    /// Records the latency of an answered attempt and counts late, mismatching and truncated
    /// replies.
    fn record_reply(&self, arrival: &Arrival, completion: &Completion, start: Instant) {
        let deadline = self.plan.kinds[arrival.kind].deadline;
        let latency = start.elapsed();
        self.update_tally(arrival.kind, |tally| match completion {
            Completion::Reported(Outcome::Answered, code) => {
                tally.record_latency(latency.as_micros() as u64);
                tally.totals.late += u64::from(latency > deadline || code == "504");
            }
            Completion::Mismatch(_) => tally.totals.wrong += 1,
            Completion::Truncated(_) => tally.totals.cut += 1,
            _ => {}
        });
    }

    /// Counts a request by its last outcome and adds it to the report.
    fn finish(&self, arrival: &Arrival, key: String, attempts: Vec<Attempt>) {
        let kind = &self.plan.kinds[arrival.kind];
        let Some(last) = attempts.last() else {
            self.update_tally(arrival.kind, |tally| tally.totals.unreachable += 1);
            return;
        };
        let outcome = last.outcome;
        self.update_tally(arrival.kind, |tally| tally.count_outcome(outcome));
        let request = Request {
            key,
            service: kind.service.clone(),
            kind: kind.kind.clone(),
            block: arrival.block.clone(),
            attempts,
        };
        self.requests.lock().expect("no request panicked").push(request);
    }

    fn update_tally(&self, kind: usize, update: impl FnOnce(&mut Tally)) {
        update(&mut self.tallies[kind].lock().expect("no request panicked"));
    }
}

/// Draws the time to the next arrival of a Poisson process with `rate` arrivals per second.
fn interarrival_time(rng: &mut fastrand::Rng, rate: f64) -> Duration {
    Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate)
}
