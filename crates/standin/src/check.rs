//! Compares what callers were told with what targets ran.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;

use ebonypass_core::id::{CentreId, RegionId};
use ebonypass_core::outcome::Outcome;
use ebonypass_core::policy::Document;

use crate::link;
use crate::report::{KindReport, Report, Request};
use crate::run::Run;

/// A leaving target may get new work for this long.
pub const LEAVE_GRACE_MS: u64 = 5_000;

/// A planned drain that took place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Drained {
    /// A data centre or a target.
    pub subject: String,
    /// Start in milliseconds of Unix time.
    pub from_ms: u64,
    /// End in milliseconds of Unix time.
    pub until_ms: u64,
}

/// Everything that is compared.
#[derive(Debug)]
pub struct Evidence {
    /// The policy that was in force.
    pub policy: Document,
    /// One report for each caller of one member.
    pub reports: Vec<Report>,
    /// Runs of all targets.
    pub runs: Vec<Run>,
    /// The drain, if there was one.
    pub drained: Option<Drained>,
}

/// Violations of promises for one kind.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Violations {
    /// Runs beyond the first of non-idempotent requests.
    pub duplicate_runs: u64,
    /// Attempts that were told "not run" although they ran.
    pub wrong_not_run: u64,
    /// Requests whose last outcome is "not run" although an earlier attempt of them ran. The
    /// caller was told "unknown" then, so this is shown but breaks no promise.
    pub not_run_after_run: u64,
    /// Answered attempts that no target ran.
    pub answer_without_run: u64,
    /// Requests that ran at the drained subject and got no answer.
    pub cut_by_drain: u64,
    /// Runs at the drained subject that began more than 5 s after the drain.
    pub run_at_drained: u64,
}

/// The comparison of one member and kind.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// What the callers saw, summed; percentiles are the worst of the callers'.
    pub seen: KindReport,
    /// What was found wrong.
    pub violations: Violations,
}

/// The comparison of one member.
#[derive(Debug, Clone, PartialEq)]
pub struct Finding {
    /// The member.
    pub member: String,
    /// One row for each kind.
    pub rows: Vec<Row>,
    /// Attempts without an answer by code, and by "lost" and "cut" where no code came.
    pub codes: BTreeMap<String, u64>,
    /// Requests that were not started because too many were open.
    pub not_started: u64,
    /// Windows of 100 ms in which a link carried more than its cap.
    pub link_violations: u64,
    /// The highest use of a link over 100 ms as a part of its cap.
    pub highest_use: f64,
}

impl Evidence {
    /// Compares reports and records.
    pub fn check(&self) -> Finding {
        let mut rows: BTreeMap<(String, String), Row> = BTreeMap::new();
        for report in &self.reports {
            for kind in &report.kinds {
                let place = (kind.service.clone(), kind.kind.clone());
                rows.entry(place).or_insert_with(|| Row::new(kind)).add(kind);
            }
        }
        let runs = self.runs_by_key();
        for request in self.reports.iter().flat_map(|report| &report.requests) {
            let place = (request.service.clone(), request.kind.clone());
            let row = rows.get_mut(&place).expect("each request is of a kind of its report");
            let none = Vec::new();
            self.compare(request, runs.get(request.key.as_str()).unwrap_or(&none), row);
        }
        let links = link::measure(self, &runs);
        Finding {
            member: self.reports.first().map_or_else(String::new, |report| report.member.clone()),
            rows: rows.into_values().collect(),
            codes: self.codes(),
            not_started: self.reports.iter().map(|report| report.not_started).sum(),
            link_violations: links.violations,
            highest_use: links.highest_use,
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

    fn compare(&self, request: &Request, runs: &[&Run], row: &mut Row) {
        let found = &mut row.violations;
        if !row.seen.idempotent {
            found.duplicate_runs += (runs.len() as u64).saturating_sub(1);
        }
        let ran: HashSet<u32> = runs.iter().map(|run| run.attempt).collect();
        for (number, attempt) in request.attempts.iter().enumerate() {
            let is_run = ran.contains(&(number as u32));
            match attempt.outcome {
                Outcome::NotRun => found.wrong_not_run += u64::from(is_run),
                Outcome::Answered => found.answer_without_run += u64::from(!is_run),
                Outcome::Unknown => {}
            }
        }
        let last = request.attempts.last().map(|attempt| attempt.outcome);
        if last == Some(Outcome::NotRun) && request.attempts.len() > 1 && !ran.is_empty() {
            found.not_run_after_run += 1;
        }
        let Some(drained) = &self.drained else { return };
        for run in runs.iter().filter(|run| self.is_subject(drained, run)) {
            let is_answered =
                request.attempts.iter().any(|attempt| attempt.outcome == Outcome::Answered);
            let was_in_flight = self.met_start(drained, run);
            found.cut_by_drain += u64::from(was_in_flight && !is_answered);
            let is_late = run.at_ms > drained.from_ms + LEAVE_GRACE_MS;
            found.run_at_drained += u64::from(is_late && run.at_ms < drained.until_ms);
        }
    }

    fn is_subject(&self, drained: &Drained, run: &Run) -> bool {
        let centre = self.centre_of(&run.target);
        let centre = centre.map(|centre| &self.policy.centres[centre].name);
        run.target == drained.subject || centre == Some(&drained.subject)
    }

    /// Whether `run` may have been in flight while the drain took effect.
    fn met_start(&self, drained: &Drained, run: &Run) -> bool {
        let end_ms = drained.from_ms + LEAVE_GRACE_MS;
        run.at_ms + self.longest_deadline_ms() > drained.from_ms && run.at_ms <= end_ms
    }

    fn longest_deadline_ms(&self) -> u64 {
        let deadlines = self.policy.kinds.values().map(|kind| kind.deadline.as_millis());
        deadlines.max().unwrap_or(0)
    }

    fn centre_of(&self, target: &str) -> Option<CentreId> {
        let target = self.policy.target(target)?;
        Some(self.policy.targets[target].centre)
    }

    /// The region that a target lies in.
    pub(crate) fn region_of(&self, target: &str) -> Option<RegionId> {
        Some(self.policy.region_of(self.centre_of(target)?))
    }
}

impl Row {
    fn new(kind: &KindReport) -> Row {
        let (service, name) = (kind.service.clone(), kind.kind.clone());
        let idempotent = kind.idempotent;
        let seen = KindReport { service, kind: name, idempotent, ..KindReport::default() };
        Row { seen, violations: Violations::default() }
    }

    fn add(&mut self, kind: &KindReport) {
        let seen = &mut self.seen;
        seen.sent += kind.sent;
        seen.answered += kind.answered;
        seen.not_run += kind.not_run;
        seen.unknown += kind.unknown;
        seen.late += kind.late;
        seen.unreachable += kind.unreachable;
        seen.wrong += kind.wrong;
        seen.cut += kind.cut;
        seen.p50_us = seen.p50_us.max(kind.p50_us);
        seen.p99_us = seen.p99_us.max(kind.p99_us);
    }

    /// Whether the kind was answered at all and no promise was broken.
    pub fn is_kept(&self) -> bool {
        let found = Violations { not_run_after_run: 0, ..self.violations.clone() };
        found == Violations::default() && self.seen.wrong == 0 && self.seen.answered > 0
    }
}

impl Finding {
    /// Whether every promise was kept.
    pub fn is_kept(&self) -> bool {
        self.rows.iter().all(Row::is_kept) && !self.rows.is_empty() && self.link_violations == 0
    }

    /// The promises that were not kept, one line each.
    pub fn broken(&self) -> Vec<String> {
        let mut lines = Vec::new();
        for row in self.rows.iter().filter(|row| !row.is_kept()) {
            let Row { seen, violations } = row;
            let place = format!("{} {}/{}", self.member, seen.service, seen.kind);
            let answered = seen.answered;
            lines.push(format!(
                "{place}: answered {answered}, wrong {}, {violations:?}",
                seen.wrong
            ));
        }
        if self.link_violations > 0 {
            lines.push(format!("{}: {} link cap violations", self.member, self.link_violations));
        }
        lines
    }

    /// The heading of the table.
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

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for Row { seen, violations } in &self.rows {
            writeln!(
                f,
                "{:<12} {:<24} {:>6} {:>8} {:>7} {:>7} {:>5} {:>8.1} {:>8.1} {:>4} {:>6} {:>4}",
                self.member,
                format!("{}/{}", seen.service, seen.kind),
                seen.sent,
                seen.answered,
                seen.not_run,
                seen.unknown,
                seen.late,
                seen.p50_us as f64 / 1_000.0,
                seen.p99_us as f64 / 1_000.0,
                violations.duplicate_runs,
                seen.wrong,
                self.link_violations,
            )?;
        }
        let sum = |count: fn(&Row) -> u64| self.rows.iter().map(count).sum::<u64>();
        writeln!(
            f,
            "{}: wrong \"not run\" {}, \"not run\" after an unknown run {}, answers without a run \
             {}, cut by the drain {}, runs at the drained subject after 5 s {}, cut replies that \
             looked cut {}, no entry reached {}, not started {}, highest link use {:.1}%",
            self.member,
            sum(|row| row.violations.wrong_not_run),
            sum(|row| row.violations.not_run_after_run),
            sum(|row| row.violations.answer_without_run),
            sum(|row| row.violations.cut_by_drain),
            sum(|row| row.violations.run_at_drained),
            sum(|row| row.seen.cut),
            sum(|row| row.seen.unreachable),
            self.not_started,
            self.highest_use * 100.0,
        )?;
        let codes = self.codes.iter().map(|(code, count)| format!("{code} {count}"));
        writeln!(f, "{}: attempts without an answer: {}", self.member, join(codes))
    }
}

fn join(parts: impl Iterator<Item = String>) -> String {
    let joined = parts.collect::<Vec<_>>().join(", ");
    if joined.is_empty() { "none".to_owned() } else { joined }
}
