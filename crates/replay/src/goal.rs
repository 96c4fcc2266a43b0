//! The stated outcomes of docs/design.md, section 1.7, each next to both baselines.

use std::fmt;
use std::path::Path;

use anyhow::bail;
use ebonypass_core::policy::Document;
use ebonypass_core::scan::scan_document;

use crate::choice::run_strategy;
use crate::report::millis;
use crate::scenario::{make_scenario, scenario_policy, scenario_seconds};
use crate::tally::{Counts, Tally, ratio};
use crate::trace::{Trace, open_trace, resolve_lines, scan_trace};

/// The baselines that the outcomes refer to.
const BASELINES: [&str; 2] = ["round-robin", "least-loaded"];

/// A stated outcome as measured.
#[derive(Debug, Clone, PartialEq)]
pub struct Goal {
    /// What is stated.
    pub name: String,
    /// What is measured, for the strategy, `round-robin` and `least-loaded`.
    pub measured: [String; 3],
    /// Whether the strategy meets it.
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

/// The line above the goals.
pub fn heading(strategy: &str) -> String {
    let [round_robin, least_loaded] = BASELINES;
    format!("{:<8}{:<64} {strategy:>30} {round_robin:>30} {least_loaded:>30}", "", "stated outcome")
}

/// Runs of one trace with each strategy compared.
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
            Err(bad) => bail!("scenario {name}: {}", bad[0]),
        }
    }

    /// Counts of the flows of `kind`, of all kinds but it, or of a member, for each strategy.
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
        Err(faults) => bail!("the policy has faults: {faults:?}"),
    }
}

fn read_recorded(directory: &Path, scenario: &str) -> anyhow::Result<(Document, Trace)> {
    let document = read_document(scenario_policy(scenario))?;
    let path = directory.join(format!("{scenario}.jsonl.gz"));
    match scan_trace(&document, open_trace(&path)?) {
        Ok(trace) => Ok((document, trace)),
        Err(bad) => bail!("{}: {}", path.display(), bad[0]),
    }
}

/// Measures every stated outcome of `strategy` on the recorded traces in `directory` and on
/// scenarios of `seed`.
pub fn check_goals(directory: &Path, strategy: &str, seed: u64) -> anyhow::Result<Vec<Goal>> {
    let mut goals = Vec::new();
    let mut runs = Vec::new();
    runs.push(("windelrunde-night", night_goals(directory, strategy, &mut goals)?));
    runs.push(("podilato-day", day_goals(directory, strategy, &mut goals)?));
    for name in ["equal-turns-kind", "equal-turns-member"] {
        runs.push((name, turn_goals(name, strategy, seed, &mut goals)?));
    }
    runs.push(("overload-1.3", overload_goals(strategy, seed, &mut goals)?));
    runs.push(("link-pressure", link_goals(strategy, seed, &mut goals)?));
    for name in ["leave", "region-fail", "silence", "mixed-faults"] {
        runs.push((name, Runs::scenario(name, strategy, seed)?));
    }
    for (name, runs) in &runs {
        goals.push(promise_goal(name, runs));
    }
    Ok(goals)
}

fn night_goals(directory: &Path, strategy: &str, goals: &mut Vec<Goal>) -> anyhow::Result<Runs> {
    let (document, trace) = read_recorded(directory, "windelrunde-night")?;
    let alone =
        Runs::new(document.clone(), &trace.clone().without_kind(&document, "export"), strategy)?;
    let runs = Runs::new(document, &trace, strategy)?;
    let is_short = |_: &str, kind: &str| kind != "export";
    let p99 = |counts: &Counts| counts.latency.value_at_quantile(0.99);
    goals.push(ratio_goal(
        "night: p99 of short kinds with exports <= 1.5 x without",
        &runs.sums(is_short),
        &alone.sums(is_short),
        p99,
        1.5,
    ));
    goals.push(worst_kind_goal(&runs, &alone));
    let work: Vec<u64> =
        runs.sums(|_, kind| kind == "export").iter().map(|counts| counts.useful_us).collect();
    let best = work[1].max(work[2]);
    goals.push(Goal {
        name: "night: exports' throughput >= 95% of the best baseline's".to_owned(),
        measured: each(&work, |&us| format!("{:.1} slot s", us as f64 / 1e6)),
        is_met: work[0] as f64 >= 0.95 * best as f64,
    });
    Ok(runs)
}

/// The short kind whose p99 grows most with exports.
fn worst_kind_goal(runs: &Runs, alone: &Runs) -> Goal {
    let growth = |index: usize| {
        let flows = runs.tallies[index].flows.iter();
        let growths = flows.filter_map(|(flow, counts)| {
            let before = alone.tallies[index].flows.get(flow)?.latency.value_at_quantile(0.99);
            Some(counts.latency.value_at_quantile(0.99) as f64 / before as f64)
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
    let (document, trace) = read_recorded(directory, "podilato-day")?;
    let alone = Runs::new(document.clone(), &trace.clone().without_slow(), strategy)?;
    let runs = Runs::new(document, &trace, strategy)?;
    let (with, without) = (runs.sums(|_, _| true), alone.sums(|_, _| true));
    let p999 = |counts: &Counts| counts.latency.value_at_quantile(0.999);
    goals.push(ratio_goal("day: p99.9 with stragglers <= 2 x without", &with, &without, p999, 2.0));
    goals.push(Goal {
        name: "day: p99.9 with stragglers <= 1/4 of round-robin's".to_owned(),
        measured: each(&with, |counts| format!("{} ms", millis(p999(counts)))),
        is_met: p999(&with[0]) as f64 <= 0.25 * p999(&with[1]) as f64,
    });
    let late = |counts: &Counts| ratio(counts.late + counts.unknown, counts.arrivals);
    goals.push(Goal {
        name: "day: late answers and unknown outcomes < 0.1%".to_owned(),
        measured: each(&with, |counts| {
            format!("{:.3}% (late {} unk {})", 100.0 * late(counts), counts.late, counts.unknown)
        }),
        is_met: late(&with[0]) < 0.001,
    });
    let missed = |counts: &Counts| ratio(counts.arrivals - counts.in_time(), counts.arrivals);
    goals.push(Goal {
        name: "day: own, stricter: refused requests counted in".to_owned(),
        measured: each(&with, |counts| {
            format!("{:.3}% (not run {})", 100.0 * missed(counts), counts.not_run)
        }),
        is_met: missed(&with[0]) < 0.001,
    });
    let hedged = |counts: &Counts| ratio(counts.hedges, counts.dispatches);
    goals.push(Goal {
        name: "day: hedges <= 5% of dispatches".to_owned(),
        measured: each(&with, |counts| format!("{:.2}%", 100.0 * hedged(counts))),
        is_met: hedged(&with[0]) <= 0.05,
    });
    Ok(runs)
}

/// The flow that offers five times its share does not disturb the others.
fn turn_goals(
    name: &str,
    strategy: &str,
    seed: u64,
    goals: &mut Vec<Goal>,
) -> anyhow::Result<Runs> {
    let runs = Runs::scenario(name, strategy, seed)?;
    let alone = Runs::scenario(&format!("{name}-alone"), strategy, seed)?;
    let is_other = |member: &str, kind: &str| member != "podilato" && kind != "bag-count";
    let (with, without) = (runs.sums(is_other), alone.sums(is_other));
    let kept: Vec<f64> = with
        .iter()
        .zip(&without)
        .map(|(with, alone)| ratio(with.in_time(), alone.in_time()))
        .collect();
    goals.push(Goal {
        name: format!("{name}: others' goodput within 2% of alone"),
        measured: each(&kept, |kept| format!("{:.2}%", 100.0 * kept)),
        is_met: kept[0] >= 0.98,
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
        measured: each(&runs.tallies, |tally| format!("{:.1}%", 100.0 * goodput(tally))),
        is_met: goodput(&runs.tallies[0]) >= 0.97,
    });
    let totals: Vec<Counts> = runs.tallies.iter().map(Tally::total).collect();
    goals.push(Goal {
        name: "overload: the rest refused as \"not run\" within 10 ms".to_owned(),
        measured: each(&totals, |counts| {
            format!(
                "{} in {} ms, unk {}",
                counts.not_run,
                millis(counts.refusal.max()),
                counts.unknown
            )
        }),
        is_met: totals[0].refusal.max() <= 10_000 && totals[0].not_run > 0,
    });
    Ok(runs)
}

fn link_goals(strategy: &str, seed: u64, goals: &mut Vec<Goal>) -> anyhow::Result<Runs> {
    let runs = Runs::scenario("link-pressure", strategy, seed)?;
    let use_of = |tally: &Tally| tally.links.iter().map(|link| link.sustained).fold(0.0, f64::max);
    goals.push(Goal {
        name: "link-pressure: a link's use over 1 s reaches 95% of the cap".to_owned(),
        measured: each(&runs.tallies, |tally| {
            format!("{:.1}%, {} violations", 100.0 * use_of(tally), tally.link_cap_violations())
        }),
        is_met: use_of(&runs.tallies[0]) >= 0.95 && runs.tallies[0].link_cap_violations() == 0,
    });
    Ok(runs)
}

/// Every promise that the model checks, and that every client was told something.
fn promise_goal(name: &str, runs: &Runs) -> Goal {
    let broken = |tally: &Tally| {
        let checks = tally.checks;
        [
            ("duplicate", checks.duplicate_dispatches),
            ("link", tally.link_cap_violations()),
            ("region", checks.region_overloads),
            ("leaving", checks.dispatched_to_leaving),
            ("wrong not run", checks.wrong_not_run),
            ("wrong answered", checks.wrong_answered),
            ("open", tally.open),
        ]
    };
    let text = |tally: &Tally| {
        let found: Vec<String> = broken(tally)
            .iter()
            .filter(|(_, count)| *count > 0)
            .map(|(name, count)| format!("{name} {count}"))
            .collect();
        if found.is_empty() { "0".to_owned() } else { found.join(", ") }
    };
    Goal {
        name: format!("{name}: no promise broken"),
        measured: each(&runs.tallies, text),
        is_met: broken(&runs.tallies[0]).iter().all(|(_, count)| *count == 0),
    }
}

/// A value of runs that may be at most `limit` times the value of other runs.
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
        measured: each(&values, |&(with, without)| {
            format!("{} / {} ms = {:.2}", millis(with), millis(without), ratio(with, without))
        }),
        is_met: ratio(values[0].0, values[0].1) <= limit,
    }
}

fn each<T>(values: &[T], text: impl Fn(&T) -> String) -> [String; 3] {
    std::array::from_fn(|index| text(&values[index]))
}
