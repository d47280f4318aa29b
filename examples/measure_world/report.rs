//! Tables of the measures of section 1.2 of the design page.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::{Value, json};

use super::audit::{self, PromiseResult};
use super::drive::RunResult;
use super::outcome::{EndState, Outcome};
use super::shape::RequestKind;
use super::workload::{PHASES, PhaseName};

/// Times at the 50th, 95th and 99th percentile in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct TimeQuantiles {
    pub count: usize,
    pub values: [f64; 3],
}

impl TimeQuantiles {
    fn new(times: impl Iterator<Item = Duration>) -> Self {
        let mut times: Vec<_> = times.map(|time| time.as_secs_f64() * 1_000.0).collect();
        times.sort_by(f64::total_cmp);
        let at = |part: f64| times.get(((times.len().max(1) - 1) as f64 * part) as usize).copied();
        let values = [0.5, 0.95, 0.99].map(|part| at(part).unwrap_or(f64::NAN));
        Self { count: times.len(), values }
    }

    fn text(&self) -> String {
        let [p50, p95, p99] = self.values;
        format!("{p50:8.1}{p95:8.1}{p99:8.1}")
    }
}

/// Measures of one way of sending.
pub struct WayMeasures {
    pub name: &'static str,
    /// Cost per answered chat request in microcredits.
    pub cost: f64,
    /// Share of answers that met the quality wanted.
    pub quality: f64,
    pub short: TimeQuantiles,
    pub summary_first: TimeQuantiles,
    pub dossier: TimeQuantiles,
    pub dossier_first: TimeQuantiles,
    /// Answers by the bad version, and their share of the answers of its phase.
    pub exposed: usize,
    pub exposure: f64,
    /// Requests that the engines of the bad version admitted.
    pub exposed_attempts: usize,
    /// Bookings while the data centre leaves and returns.
    pub booking_success: f64,
    pub booking: TimeQuantiles,
    pub repeated_bookings: usize,
    /// Share answered and 95th percentile of the time, by phase.
    pub phases: Vec<(PhaseName, f64, f64)>,
    /// Requests that were not answered, by phase and cause.
    pub failures: BTreeMap<(PhaseName, String), usize>,
}

/// Measures of all ways of sending.
pub fn measure(run: &RunResult) -> Vec<WayMeasures> {
    let names = run.names().into_iter().enumerate();
    names.map(|(way, name)| measure_way(run, way, name)).collect()
}

fn measure_way(run: &RunResult, way: usize, name: &'static str) -> WayMeasures {
    let outcomes = &run.outcomes[way];
    let answered: Vec<_> = outcomes.iter().filter(|outcome| outcome.answered()).collect();
    let chat: Vec<_> = answered.iter().filter(|outcome| outcome.kind.is_chat()).collect();
    let of = |kind| answered.iter().filter(move |outcome| outcome.kind == kind);
    let bad =
        |outcome: &&&&Outcome| outcome.target.as_ref().is_some_and(|(_, version)| version == "v3");
    let in_rollout = || chat.iter().filter(|outcome| outcome.phase == PhaseName::BadRollout);
    let exposed = in_rollout().filter(bad).count();
    let moving = |outcome: &&Outcome| {
        outcome.kind == RequestKind::Booking
            && matches!(outcome.phase, PhaseName::Drain | PhaseName::Return)
    };
    let bookings: Vec<_> = outcomes.iter().filter(moving).collect();
    let booked = || bookings.iter().filter(|outcome| outcome.answered());
    let share = |part: usize, whole: usize| part as f64 / whole.max(1) as f64;
    let platform = match way {
        0 => &run.fleet.platform,
        _ => &run.baselines[way - 1].platform,
    };
    let bad_engines =
        platform.engines.iter().filter(|placed| placed.engine.options.version == "v3");
    WayMeasures {
        name,
        cost: chat.iter().map(|outcome| outcome.cost).sum::<u64>() as f64
            / chat.len().max(1) as f64,
        quality: share(chat.iter().filter(|outcome| outcome.good).count(), chat.len()),
        short: TimeQuantiles::new(of(RequestKind::Short).map(|outcome| outcome.latency)),
        summary_first: TimeQuantiles::new(
            of(RequestKind::Summary).filter_map(|outcome| outcome.first),
        ),
        dossier: TimeQuantiles::new(of(RequestKind::Dossier).map(|outcome| outcome.latency)),
        dossier_first: TimeQuantiles::new(
            of(RequestKind::Dossier).filter_map(|outcome| outcome.first),
        ),
        exposed,
        exposure: share(exposed, in_rollout().count()),
        exposed_attempts: bad_engines.map(|placed| placed.engine.received.lock().len()).sum(),
        booking_success: share(booked().count(), bookings.len()),
        booking: TimeQuantiles::new(booked().map(|outcome| outcome.latency)),
        repeated_bookings: audit::repeated_bookings(run, way),
        phases: PHASES.iter().map(|(phase, _)| measure_phase(outcomes, *phase)).collect(),
        failures: failures(outcomes),
    }
}

fn measure_phase(outcomes: &[Outcome], phase: PhaseName) -> (PhaseName, f64, f64) {
    let within: Vec<_> = outcomes.iter().filter(|outcome| outcome.phase == phase).collect();
    let answered: Vec<_> = within.iter().filter(|outcome| outcome.answered()).collect();
    let times = TimeQuantiles::new(answered.iter().map(|outcome| outcome.latency));
    (phase, answered.len() as f64 / within.len().max(1) as f64, times.values[1])
}

fn failures(outcomes: &[Outcome]) -> BTreeMap<(PhaseName, String), usize> {
    let mut failures = BTreeMap::new();
    for outcome in outcomes {
        let cause = match &outcome.end {
            EndState::Answered => continue,
            EndState::Refused(code, ran) => format!("{} {code} (ran {ran:?})", outcome.kind.name()),
            EndState::Mismatched(_) => format!("{} mismatched", outcome.kind.name()),
            EndState::Interrupted(_) => format!("{} interrupted", outcome.kind.name()),
        };
        *failures.entry((outcome.phase, cause)).or_default() += 1;
    }
    failures
}

/// Prints all tables.
pub fn print(run: &RunResult, ways: &[WayMeasures], promises: &[PromiseResult]) {
    println!("deployment {}: {} requests each way", run.shape.name, run.outcomes[1].len());
    println!("\ncost at the quality target of {}", super::shape::QUALITY_TARGET);
    println!("{:16}{:>14}{:>10}{:>10}", "", "microcredits", "relative", "quality");
    let costly = ways.iter().find(|way| way.name == "round robin").map_or(1.0, |way| way.cost);
    for way in ways {
        let relative = way.cost / costly;
        println!("{:16}{:>14.1}{relative:>10.3}{:>10.3}", way.name, way.cost, way.quality);
    }
    println!("\nlatency in ms, p50 p95 p99");
    println!(
        "{:16}{:>24}{:>24}{:>24}{:>24}",
        "", "short, whole", "summary, first token", "dossier, whole", "dossier, first token"
    );
    for way in ways {
        let rows = [&way.short, &way.summary_first, &way.dossier, &way.dossier_first];
        println!("{:16}{}", way.name, rows.map(TimeQuantiles::text).concat());
    }
    println!("\nexposure to the bad version");
    println!("{:16}{:>10}{:>10}{:>12}", "", "answers", "share", "attempts");
    for way in ways {
        let (share, attempts) = (way.exposure, way.exposed_attempts);
        println!("{:16}{:>10}{share:>10.4}{attempts:>12}", way.name, way.exposed);
    }
    println!("\nbookings while a data centre leaves and returns");
    println!("{:16}{:>10}{:>24}{:>18}", "", "success", "ms, p50 p95 p99", "ran twice, run");
    for way in ways {
        let (times, repeated) = (way.booking.text(), way.repeated_bookings);
        println!("{:16}{:>10.4}{times}{repeated:>18}", way.name, way.booking_success);
    }
    print_phases(ways);
    print_models(&run.outcomes[0]);
    print_log(run);
    print_promises(promises);
}

fn print_phases(ways: &[WayMeasures]) {
    println!("\nshare answered and p95 in ms by phase");
    let names: String = ways.iter().map(|way| format!("{:>18}", way.name)).collect();
    println!("{:16}{names}", "");
    for (place, (phase, _)) in PHASES.iter().enumerate() {
        let cells: String = ways
            .iter()
            .map(|way| format!("{:>10.4}{:>8.0}", way.phases[place].1, way.phases[place].2))
            .collect();
        println!("{:16}{cells}", phase.name());
    }
    println!("\nrequests of yuccareel that were not answered, by phase");
    let mut causes: BTreeMap<&str, Vec<String>> = BTreeMap::new();
    for ((phase, cause), count) in &ways[0].failures {
        causes.entry(cause).or_default().push(format!("{} {count}", phase.name()));
    }
    for (cause, counts) in causes {
        println!("{cause:40}{}", counts.join(", "));
    }
}

/// Which models answered which kinds, before and after the surge.
fn print_models(outcomes: &[Outcome]) {
    println!("\nanswers of yuccareel by kind and model; cost in microcredits, p50 p95 p99 in ms");
    let mut groups: BTreeMap<(&str, &str, &str), Vec<&Outcome>> = BTreeMap::new();
    for outcome in outcomes.iter().filter(|outcome| outcome.answered()) {
        let Some((model, _)) = &outcome.target else { continue };
        let period = if outcome.phase == PhaseName::Quiet { "quiet" } else { "later" };
        groups.entry((outcome.kind.name(), model, period)).or_default().push(outcome);
    }
    for ((kind, model, period), group) in groups {
        let cost = group.iter().map(|outcome| outcome.cost).sum::<u64>() / group.len() as u64;
        let times = TimeQuantiles::new(group.iter().map(|outcome| outcome.latency));
        println!("{kind:10}{model:8}{period:8}{:>6}{cost:>8}{}", group.len(), times.text());
    }
}

fn print_log(run: &RunResult) {
    println!("\nchanges, time until in effect on every instance");
    for (what, time) in &run.log.applied {
        println!("{what:22}{:>10.1} ms", time.as_secs_f64() * 1_000.0);
    }
    for (name, state) in &run.log.rollouts {
        println!("rollout {name:14}{state:?}");
    }
    println!("bad version rolled back after {:?}", run.log.rolled_back_after);
    println!("instances replaced {}", run.log.replaced);
}

fn print_promises(promises: &[PromiseResult]) {
    println!("\npromises");
    for result in promises {
        let verdict = match (result.breaches.len(), result.checked) {
            (0, 0) => "NOT TESTED".to_owned(),
            (0, _) => "held".to_owned(),
            (count, _) => format!("{count} BREACHES"),
        };
        println!("{:20}{:>8} checked  {verdict}", result.promise, result.checked);
        for breach in result.breaches.iter().take(5) {
            println!("    {breach}");
        }
    }
}

/// The same as JSON.
pub fn to_json(run: &RunResult, ways: &[WayMeasures], promises: &[PromiseResult]) -> Value {
    let times =
        |times: &TimeQuantiles| json!({ "count": times.count, "p50_p95_p99_ms": times.values });
    let ways: Vec<_> = ways.iter().map(|way| json!({
        "name": way.name,
        "cost_microcredits": way.cost,
        "quality": way.quality,
        "short": times(&way.short),
        "summary_first_token": times(&way.summary_first),
        "dossier": times(&way.dossier),
        "dossier_first_token": times(&way.dossier_first),
        "bad_version": { "answers": way.exposed, "share": way.exposure, "attempts": way.exposed_attempts },
        "booking": { "success": way.booking_success, "times": times(&way.booking), "repeated": way.repeated_bookings },
        "phases": way.phases.iter().map(|(phase, answered, p95)| {
            json!({ "name": phase.name(), "answered": answered, "p95_ms": p95 })
        }).collect::<Vec<_>>(),
    })).collect();
    let promises: Vec<_> = promises
        .iter()
        .map(|result| {
            json!({
                "promise": result.promise, "checked": result.checked, "breaches": result.breaches,
            })
        })
        .collect();
    json!({ "deployment": run.shape.name, "ways": ways, "promises": promises })
}
