//! The stated outcomes of docs/design.md, section 1.7, measured for a strategy and two baselines.

use std::fmt;
use std::path::Path;

use anyhow::bail;
use ebonypass_core::policy::Document;
use ebonypass_core::scan::scan_document;

use crate::registry::run_strategy;
use crate::report::millis;
use crate::scenario::{make_scenario, scenario_policy, scenario_seconds};
use crate::tally::{Counts, Tally, ratio};
use crate::trace::{Trace, open_trace, resolve_lines, scan_trace};

/// The baselines that stated outcomes refer to.
const BASELINES: [&str; 2] = ["round-robin", "least-loaded"];

/// A stated outcome with its measurements.
#[derive(Debug, Clone, PartialEq)]
pub struct Goal {
    /// The statement.
    pub name: String,
    /// The measured values of the strategy, `round-robin` and `least-loaded`.
    pub measured: [String; 3],
    /// Whether the strategy meets the goal.
    pub is_met: bool,
}

impl fmt::Display for Goal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.is_met { "met" } else { "NOT MET" };
        let [strategy, round_robin, least_loaded] = &self.measured;
        write!(
            f,
            "{verdict:<8}{:<64} {strategy:>30} {round_robin:>30} {least_loaded:>30}",
            self.name
        )
    }
}

/// Returns the heading of the table of goals.
pub fn heading(strategy: &str) -> String {
    let [round_robin, least_loaded] = BASELINES;
    format!("{:<8}{:<64} {strategy:>30} {round_robin:>30} {least_loaded:>30}", "", "stated outcome")
}

/// Runs of one trace with the strategy and both baselines, in this order.
struct Runs {
    document: Document,
    tallies: Vec<Tally>,
}

impl Runs {
    fn new(document: Document, trace: &Trace, strategy: &str) -> anyhow::Result<Runs> {
        let compared = [strategy, BASELINES[0], BASELINES[1]];
        let run = |name: &&str| run_strategy(&document, trace, name);
        let tallies = compared.iter().map(run).collect::<anyhow::Result<_>>()?;
        Ok(Runs { document, tallies })
    }

    fn scenario(name: &str, strategy: &str, seed: u64) -> anyhow::Result<Runs> {
        let document = read_document(scenario_policy(name))?;
        let lines = make_scenario(name, seed, scenario_seconds(name))?;
        match resolve_lines(&document, &lines) {
            Ok(trace) => Runs::new(document, &trace, strategy),
            Err(invalid_lines) => bail!("scenario {name}: {}", invalid_lines[0]),
        }
    }

    /// Returns for each strategy the summed counts of the flows whose member and kind names match.
    fn sums(&self, matches: impl Fn(&str, &str) -> bool) -> Vec<Counts> {
        let document = &self.document;
        let matches =
            |member, kind| matches(&document.members[member].name, &document.kinds[kind].name);
        self.tallies.iter().map(|tally| tally.sum(matches)).collect()
    }
}

fn read_document(text: &str) -> anyhow::Result<Document> {
    match scan_document(text) {
        Ok(document) => Ok(document),
        Err(faults) => bail!("invalid policy: {faults:?}"),
    }
}

fn read_recorded_trace(directory: &Path, scenario: &str) -> anyhow::Result<(Document, Trace)> {
    let document = read_document(scenario_policy(scenario))?;
    let path = directory.join(format!("{scenario}.jsonl.gz"));
    match scan_trace(&document, open_trace(&path)?) {
        Ok(trace) => Ok((document, trace)),
        Err(invalid_lines) => bail!("{}: {}", path.display(), invalid_lines[0]),
    }
}

/// Measures every stated outcome for `strategy` on the recorded traces in `directory` and on the
/// scenarios generated from `seed`. Fails if a trace cannot be read or a name is unknown.
pub fn check_goals(directory: &Path, strategy: &str, seed: u64) -> anyhow::Result<Vec<Goal>> {
    let mut goals = Vec::new();
    let mut runs = Vec::new();
    runs.push(("windelrunde-night", night_goals(directory, strategy, &mut goals)?));
    runs.push(("podilato-day", day_goals(directory, strategy, &mut goals)?));
    for name in ["equal-turns-kind", "equal-turns-member"] {
        runs.push((name, fairness_goals(name, strategy, seed, &mut goals)?));
    }
    runs.push(("overload-1.3", overload_goals(strategy, seed, &mut goals)?));
    runs.push(("link-pressure", link_goals(strategy, seed, &mut goals)?));
    for name in ["leave", "region-fail", "silence", "mixed-faults"] {
        runs.push((name, Runs::scenario(name, strategy, seed)?));
    }
    for (name, runs) in &runs {
        goals.push(invariant_goal(name, runs));
    }
    Ok(goals)
}

fn night_goals(directory: &Path, strategy: &str, goals: &mut Vec<Goal>) -> anyhow::Result<Runs> {
    let (document, trace) = read_recorded_trace(directory, "windelrunde-night")?;
    let runs_without =
        Runs::new(document.clone(), &trace.clone().without_kind(&document, "export"), strategy)?;
    let runs = Runs::new(document, &trace, strategy)?;
    let is_short_kind = |_: &str, kind: &str| kind != "export";
    let p99 = |counts: &Counts| counts.latency.value_at_quantile(0.99);
    goals.push(ratio_goal(
        "night: p99 of short kinds with exports <= 1.5 x without",
        &runs.sums(is_short_kind),
        &runs_without.sums(is_short_kind),
        p99,
        1.5,
    ));
    goals.push(worst_kind_goal(&runs, &runs_without));
    let goodput_us: Vec<u64> =
        runs.sums(|_, kind| kind == "export").iter().map(|counts| counts.goodput_us).collect();
    let best_baseline_us = goodput_us[1].max(goodput_us[2]);
    goals.push(Goal {
        name: "night: exports' throughput >= 95% of the best baseline's".to_owned(),
        measured: format_each(&goodput_us, |&us| format!("{:.1} slot s", us as f64 / 1e6)),
        is_met: goodput_us[0] as f64 >= 0.95 * best_baseline_us as f64,
    });
    Ok(runs)
}

/// Stricter than stated: applies the limit to the short kind whose p99 grows most with exports.
fn worst_kind_goal(runs: &Runs, runs_without: &Runs) -> Goal {
    let growth = |index: usize| {
        let flows = runs.tallies[index].flows.iter();
        let growths = flows.filter_map(|(flow, counts)| {
            let p99_without =
                runs_without.tallies[index].flows.get(flow)?.latency.value_at_quantile(0.99);
            Some(counts.latency.value_at_quantile(0.99) as f64 / p99_without as f64)
        });
        growths.fold(0.0, f64::max)
    };
    let growths = [growth(0), growth(1), growth(2)];
    Goal {
        name: "night: own, stricter: the short kind with the largest growth".to_owned(),
        measured: growths.map(|growth| format!("{growth:.2} x")),
        is_met: growths[0] <= 1.5,
    }
}

fn day_goals(directory: &Path, strategy: &str, goals: &mut Vec<Goal>) -> anyhow::Result<Runs> {
    let (document, trace) = read_recorded_trace(directory, "podilato-day")?;
    let runs_without = Runs::new(document.clone(), &trace.clone().without_slow(), strategy)?;
    let runs = Runs::new(document, &trace, strategy)?;
    let (with, without) = (runs.sums(|_, _| true), runs_without.sums(|_, _| true));
    let p999 = |counts: &Counts| counts.latency.value_at_quantile(0.999);
    goals.push(ratio_goal("day: p99.9 with stragglers <= 2 x without", &with, &without, p999, 2.0));
    goals.push(Goal {
        name: "day: p99.9 with stragglers <= 1/4 of round-robin's".to_owned(),
        measured: format_each(&with, |counts| format!("{} ms", millis(p999(counts)))),
        is_met: p999(&with[0]) as f64 <= 0.25 * p999(&with[1]) as f64,
    });
    let late_ratio = |counts: &Counts| ratio(counts.late + counts.unknown, counts.arrivals);
    goals.push(Goal {
        name: "day: late answers and unknown outcomes < 0.1%".to_owned(),
        measured: format_each(&with, |counts| {
            format!(
                "{:.3}% (late {} unk {})",
                100.0 * late_ratio(counts),
                counts.late,
                counts.unknown
            )
        }),
        is_met: late_ratio(&with[0]) < 0.001,
    });
    let missed_ratio = |counts: &Counts| ratio(counts.arrivals - counts.in_time(), counts.arrivals);
    goals.push(Goal {
        name: "day: own, stricter: refused requests counted in".to_owned(),
        measured: format_each(&with, |counts| {
            format!("{:.3}% (not run {})", 100.0 * missed_ratio(counts), counts.not_run)
        }),
        is_met: missed_ratio(&with[0]) < 0.001,
    });
    let hedge_ratio = |counts: &Counts| ratio(counts.hedges, counts.dispatches);
    goals.push(Goal {
        name: "day: hedges <= 5% of dispatches".to_owned(),
        measured: format_each(&with, |counts| format!("{:.2}%", 100.0 * hedge_ratio(counts))),
        is_met: hedge_ratio(&with[0]) <= 0.05,
    });
    Ok(runs)
}

/// A flow that offers five times its share must not affect the others.
fn fairness_goals(
    name: &str,
    strategy: &str,
    seed: u64,
    goals: &mut Vec<Goal>,
) -> anyhow::Result<Runs> {
    let runs = Runs::scenario(name, strategy, seed)?;
    let runs_without = Runs::scenario(&format!("{name}-alone"), strategy, seed)?;
    let is_other = |member: &str, kind: &str| member != "podilato" && kind != "bag-count";
    let (with, without) = (runs.sums(is_other), runs_without.sums(is_other));
    let goodput_ratios: Vec<f64> = with
        .iter()
        .zip(&without)
        .map(|(with, without)| ratio(with.in_time(), without.in_time()))
        .collect();
    goals.push(Goal {
        name: format!("{name}: others' goodput within 2% of alone"),
        measured: format_each(&goodput_ratios, |goodput_ratio| {
            format!("{:.2}%", 100.0 * goodput_ratio)
        }),
        is_met: goodput_ratios[0] >= 0.98,
    });
    goals.push(ratio_goal(
        &format!("{name}: others' p99 <= 1.3 x alone"),
        &with,
        &without,
        |counts| counts.latency.value_at_quantile(0.99),
        1.3,
    ));
    Ok(runs)
}

fn overload_goals(strategy: &str, seed: u64, goals: &mut Vec<Goal>) -> anyhow::Result<Runs> {
    let runs = Runs::scenario("overload-1.3", strategy, seed)?;
    let goodput = |tally: &Tally| {
        let services = runs.document.services.iter();
        services.map(|(key, _)| tally.goodput(&runs.document, key)).fold(f64::MAX, f64::min)
    };
    goals.push(Goal {
        name: "overload: goodput of the worst service >= 97% of capacity".to_owned(),
        measured: format_each(&runs.tallies, |tally| format!("{:.1}%", 100.0 * goodput(tally))),
        is_met: goodput(&runs.tallies[0]) >= 0.97,
    });
    let totals: Vec<Counts> = runs.tallies.iter().map(Tally::total).collect();
    goals.push(Goal {
        name: "overload: the rest refused as \"not run\" within 10 ms".to_owned(),
        measured: format_each(&totals, |counts| {
            format!(
                "{} in {} ms, unk {}",
                counts.not_run,
                millis(counts.not_run_latency.max()),
                counts.unknown
            )
        }),
        is_met: totals[0].not_run_latency.max() <= 10_000 && totals[0].not_run > 0,
    });
    Ok(runs)
}

fn link_goals(strategy: &str, seed: u64, goals: &mut Vec<Goal>) -> anyhow::Result<Runs> {
    let runs = Runs::scenario("link-pressure", strategy, seed)?;
    let sustained_use =
        |tally: &Tally| tally.links.iter().map(|link| link.sustained).fold(0.0, f64::max);
    goals.push(Goal {
        name: "link-pressure: a link's use over 1 s reaches 95% of the cap".to_owned(),
        measured: format_each(&runs.tallies, |tally| {
            format!(
                "{:.1}%, {} violations",
                100.0 * sustained_use(tally),
                tally.link_cap_violations()
            )
        }),
        is_met: sustained_use(&runs.tallies[0]) >= 0.95
            && runs.tallies[0].link_cap_violations() == 0,
    });
    Ok(runs)
}

/// No invariant is violated and every client got an outcome.
fn invariant_goal(name: &str, runs: &Runs) -> Goal {
    let violations = |tally: &Tally| {
        let violations = tally.violations;
        [
            ("duplicate", violations.duplicate_dispatches),
            ("link", tally.link_cap_violations()),
            ("region", violations.region_overloads),
            ("leaving", violations.dispatched_to_leaving),
            ("wrong not run", violations.wrong_not_run),
            ("wrong answered", violations.wrong_answered),
            ("open", tally.open),
        ]
    };
    let text = |tally: &Tally| {
        let found: Vec<String> = violations(tally)
            .iter()
            .filter(|(_, count)| *count > 0)
            .map(|(name, count)| format!("{name} {count}"))
            .collect();
        if found.is_empty() { "0".to_owned() } else { found.join(", ") }
    };
    Goal {
        name: format!("{name}: no promise broken"),
        measured: format_each(&runs.tallies, text),
        is_met: violations(&runs.tallies[0]).iter().all(|(_, count)| *count == 0),
    }
}

/// A value that may be at most `limit` times the value of the runs `without` the disturbance.
fn ratio_goal(
    name: &str,
    with: &[Counts],
    without: &[Counts],
    value: impl Fn(&Counts) -> u64,
    limit: f64,
) -> Goal {
    let values: Vec<(u64, u64)> =
        with.iter().zip(without).map(|(with, without)| (value(with), value(without))).collect();
    Goal {
        name: name.to_owned(),
        measured: format_each(&values, |&(with, without)| {
            format!("{} / {} ms = {:.2}", millis(with), millis(without), ratio(with, without))
        }),
        is_met: ratio(values[0].0, values[0].1) <= limit,
    }
}

fn format_each<T>(values: &[T], text: impl Fn(&T) -> String) -> [String; 3] {
    std::array::from_fn(|index| text(&values[index]))
}
