//! Compares the outcomes reported to callers with the targets' logs of what ran.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;

use ebonypass_core::id::{CentreId, RegionId};
use ebonypass_core::outcome::Outcome;
use ebonypass_core::policy::Document;

use crate::link;
use crate::report::{Report, Request, Totals};
use crate::run::Run;

/// Time for which a leaving target may still receive new requests.
pub const LEAVE_GRACE_MS: u64 = 5_000;

/// A planned drain that took effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Drain {
    /// Name of the drained data centre or target.
    pub subject: String,
    /// Start as Unix time in milliseconds.
    pub from_ms: u64,
    /// End as Unix time in milliseconds.
    pub until_ms: u64,
}

/// The data to compare, of one member.
#[derive(Debug)]
pub struct Input {
    /// The policy that was in force.
    pub policy: Document,
    /// The reports of the member's callers.
    pub reports: Vec<Report>,
    /// Runs of all targets.
    pub runs: Vec<Run>,
    /// The drain that took effect during the load, if any.
    pub drain: Option<Drain>,
}

/// Violated guarantees of one request kind.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Violations {
    /// Runs of non-idempotent requests beyond the first one.
    pub duplicate_runs: u64,
    /// Attempts that were reported as "not run" although they ran.
    pub wrong_not_run: u64,
    /// Requests whose last outcome is "not run" although an attempt ran. The earlier attempt was
    /// reported as "unknown", so this is printed but violates no guarantee.
    pub not_run_after_run: u64,
    /// Answered attempts that ran at no target.
    pub answer_without_run: u64,
    /// Runs at the drained subject that may have been in flight when the drain took effect and whose
    /// request was not answered.
    pub interrupted_by_drain: u64,
    /// Runs at the drained subject that started more than [`LEAVE_GRACE_MS`] after the start of the
    /// drain and before its end.
    pub run_at_drained: u64,
}

/// The results for one member and request kind.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// Sum of the callers' totals. Percentiles are the callers' maximum.
    pub totals: Totals,
    /// The violated guarantees.
    pub violations: Violations,
}

/// The results for one member.
#[derive(Debug, Clone, PartialEq)]
pub struct Summary {
    /// The member.
    pub member: String,
    /// One row per request kind.
    pub rows: Vec<Row>,
    /// Number of unanswered attempts by code; "lost" and "cut" stand for lost and truncated replies,
    /// which have no code.
    pub codes: BTreeMap<String, u64>,
    /// Requests that were not started because too many were in flight.
    pub not_started: u64,
    /// Windows of 100 ms in which the traffic of a link exceeded its cap.
    pub link_violations: u64,
    /// The highest utilisation of a link in a window of 100 ms, as a fraction of its cap.
    pub peak_utilisation: f64,
}

impl Input {
    /// Compares the reports with the runs.
    pub fn check(&self) -> Summary {
        let mut rows: BTreeMap<(String, String), Row> = BTreeMap::new();
        for report in &self.reports {
            for kind in &report.kinds {
                let kind_key = (kind.service.clone(), kind.kind.clone());
                rows.entry(kind_key).or_insert_with(|| Row::new(kind)).merge(kind);
            }
        }
        let runs = self.runs_by_key();
        for request in self.reports.iter().flat_map(|report| &report.requests) {
            let kind_key = (request.service.clone(), request.kind.clone());
            let row = rows
                .get_mut(&kind_key)
                .expect("a report has totals for the kind of each of its requests");
            let no_runs = Vec::new();
            self.compare_request(request, runs.get(request.key.as_str()).unwrap_or(&no_runs), row);
        }
        let usage = link::measure(self, &runs);
        Summary {
            member: self.reports.first().map_or_else(String::new, |report| report.member.clone()),
            rows: rows.into_values().collect(),
            codes: self.codes(),
            not_started: self.reports.iter().map(|report| report.not_started).sum(),
            link_violations: usage.violations,
            peak_utilisation: usage.peak_utilisation,
        }
    }

    fn codes(&self) -> BTreeMap<String, u64> {
        let requests = self.reports.iter().flat_map(|report| &report.requests);
        let attempts = requests.flat_map(|request| &request.attempts);
        let mut codes = BTreeMap::new();
        for attempt in attempts.filter(|attempt| attempt.outcome != Outcome::Answered) {
            let code = attempt.detail.split(':').next().unwrap_or_default();
            *codes.entry(code.to_owned()).or_default() += 1;
        }
        codes
    }

    fn runs_by_key(&self) -> HashMap<&str, Vec<&Run>> {
        let mut runs: HashMap<&str, Vec<&Run>> = HashMap::new();
        for run in &self.runs {
            runs.entry(&run.key).or_default().push(run);
        }
        runs
    }

    fn compare_request(&self, request: &Request, runs: &[&Run], row: &mut Row) {
        let violations = &mut row.violations;
        if !row.totals.idempotent {
            violations.duplicate_runs += (runs.len() as u64).saturating_sub(1);
        }
        let attempts_run: HashSet<u32> = runs.iter().map(|run| run.attempt).collect();
        for (number, attempt) in request.attempts.iter().enumerate() {
            let has_run = attempts_run.contains(&(number as u32));
            match attempt.outcome {
                Outcome::NotRun => violations.wrong_not_run += u64::from(has_run),
                Outcome::Answered => violations.answer_without_run += u64::from(!has_run),
                Outcome::Unknown => {}
            }
        }
        let last = request.attempts.last().map(|attempt| attempt.outcome);
        if last == Some(Outcome::NotRun) && request.attempts.len() > 1 && !attempts_run.is_empty() {
            violations.not_run_after_run += 1;
        }
        let Some(drain) = &self.drain else { return };
        for run in runs.iter().filter(|run| self.ran_at_subject(drain, run)) {
            let is_answered =
                request.attempts.iter().any(|attempt| attempt.outcome == Outcome::Answered);
            let was_in_flight = self.may_span_drain_start(drain, run);
            violations.interrupted_by_drain += u64::from(was_in_flight && !is_answered);
            let is_after_grace = run.at_ms > drain.from_ms + LEAVE_GRACE_MS;
            violations.run_at_drained += u64::from(is_after_grace && run.at_ms < drain.until_ms);
        }
    }

    /// Whether `run` took place at the drained target or in the drained data centre.
    fn ran_at_subject(&self, drain: &Drain, run: &Run) -> bool {
        let centre = self.centre_of(&run.target);
        let centre = centre.map(|centre| &self.policy.centres[centre].name);
        run.target == drain.subject || centre == Some(&drain.subject)
    }

    /// Whether `run` may have been in flight while the drain took effect.
    fn may_span_drain_start(&self, drain: &Drain, run: &Run) -> bool {
        let grace_end_ms = drain.from_ms + LEAVE_GRACE_MS;
        run.at_ms + self.longest_deadline_ms() > drain.from_ms && run.at_ms <= grace_end_ms
    }

    fn longest_deadline_ms(&self) -> u64 {
        let deadlines = self.policy.kinds.values().map(|kind| kind.deadline.as_millis());
        deadlines.max().unwrap_or(0)
    }

    fn centre_of(&self, target: &str) -> Option<CentreId> {
        let target = self.policy.target(target)?;
        Some(self.policy.targets[target].centre)
    }

    /// The region of a target; `None` if the policy does not contain the target.
    pub(crate) fn region_of(&self, target: &str) -> Option<RegionId> {
        Some(self.policy.region_of(self.centre_of(target)?))
    }
}

impl Row {
    fn new(kind: &Totals) -> Row {
        let (service, name) = (kind.service.clone(), kind.kind.clone());
        let idempotent = kind.idempotent;
        let totals = Totals { service, kind: name, idempotent, ..Totals::default() };
        Row { totals, violations: Violations::default() }
    }

    fn merge(&mut self, kind: &Totals) {
        let totals = &mut self.totals;
        totals.sent += kind.sent;
        totals.answered += kind.answered;
        totals.not_run += kind.not_run;
        totals.unknown += kind.unknown;
        totals.late += kind.late;
        totals.unreachable += kind.unreachable;
        totals.wrong += kind.wrong;
        totals.cut += kind.cut;
        totals.p50_us = totals.p50_us.max(kind.p50_us);
        totals.p99_us = totals.p99_us.max(kind.p99_us);
    }

    /// Whether at least one request was answered and no guarantee was violated.
    pub fn has_passed(&self) -> bool {
        let violations = Violations { not_run_after_run: 0, ..self.violations.clone() };
        violations == Violations::default() && self.totals.wrong == 0 && self.totals.answered > 0
    }
}

impl Summary {
    /// Whether every kind passed and no link exceeded its cap. False if there are no rows.
    pub fn has_passed(&self) -> bool {
        self.rows.iter().all(Row::has_passed) && !self.rows.is_empty() && self.link_violations == 0
    }

    /// Returns one line for each row that did not pass, and one for exceeded link caps.
    pub fn failures(&self) -> Vec<String> {
        let mut lines = Vec::new();
        for row in self.rows.iter().filter(|row| !row.has_passed()) {
            let Row { totals, violations } = row;
            let label = format!("{} {}/{}", self.member, totals.service, totals.kind);
            let answered = totals.answered;
            lines.push(format!(
                "{label}: answered {answered}, wrong {}, {violations:?}",
                totals.wrong
            ));
        }
        if self.link_violations > 0 {
            lines.push(format!("{}: {} link cap violations", self.member, self.link_violations));
        }
        lines
    }

    /// Returns the heading of the table that [`Display`](fmt::Display) writes.
    pub fn heading() -> String {
        format!(
            "{:<12} {:<24} {:>6} {:>8} {:>7} {:>7} {:>5} {:>8} {:>8} {:>4} {:>6} {:>4}",
            "member",
            "service/kind",
            "sent",
            "answered",
            "not run",
            "unknown",
            "late",
            "p50 ms",
            "p99 ms",
            "dup",
            "wrong",
            "link",
        )
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for Row { totals, violations } in &self.rows {
            writeln!(
                f,
                "{:<12} {:<24} {:>6} {:>8} {:>7} {:>7} {:>5} {:>8.1} {:>8.1} {:>4} {:>6} {:>4}",
                self.member,
                format!("{}/{}", totals.service, totals.kind),
                totals.sent,
                totals.answered,
                totals.not_run,
                totals.unknown,
                totals.late,
                totals.p50_us as f64 / 1_000.0,
                totals.p99_us as f64 / 1_000.0,
                violations.duplicate_runs,
                totals.wrong,
                self.link_violations,
            )?;
        }
        let sum = |count: fn(&Row) -> u64| self.rows.iter().map(count).sum::<u64>();
        writeln!(
            f,
            "{}: wrong \"not run\" {}, \"not run\" after an unknown run {}, answers without a run \
             {}, interrupted by the drain {}, runs at the drained subject after 5 s {}, truncated \
             replies {}, no entry reachable {}, not started {}, peak link utilisation {:.1}%",
            self.member,
            sum(|row| row.violations.wrong_not_run),
            sum(|row| row.violations.not_run_after_run),
            sum(|row| row.violations.answer_without_run),
            sum(|row| row.violations.interrupted_by_drain),
            sum(|row| row.violations.run_at_drained),
            sum(|row| row.totals.cut),
            sum(|row| row.totals.unreachable),
            self.not_started,
            self.peak_utilisation * 100.0,
        )?;
        let codes = self.codes.iter().map(|(code, count)| format!("{code} {count}"));
        writeln!(f, "{}: unanswered attempts: {}", self.member, join_or_none(codes))
    }
}

fn join_or_none(parts: impl Iterator<Item = String>) -> String {
    let joined = parts.collect::<Vec<_>>().join(", ");
    if joined.is_empty() { "none".to_owned() } else { joined }
}
