//! Audit of the promises from the stand-ins' records and the bills.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use yuccareel::{bill_audit, bill_batch, error_body, ids, kv_client};

use super::drive::RunResult;
use super::outcome::{EndState, Outcome};
use super::shape;
use super::workload::PhaseName;

/// Time in which an accepted change is in effect everywhere.
const CONFIG_LIMIT: Duration = Duration::from_secs(2);
/// Time after which a drained data centre gets no new work.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);
/// Time for which a request may be under way from its last check to the engine's record.
const UNDER_WAY: Duration = Duration::from_millis(200);

/// Result for one promise.
pub struct PromiseResult {
    pub promise: &'static str,
    /// Items that were checked; a promise without any was not tested.
    pub checked: usize,
    pub breaches: Vec<String>,
}

impl PromiseResult {
    fn new(promise: &'static str) -> Self {
        Self { promise, checked: 0, breaches: Vec::new() }
    }

    fn check(&mut self, held: bool, breach: impl FnOnce() -> String) {
        self.checked += 1;
        if !held {
            self.breaches.push(breach());
        }
    }
}

/// Audits a finished run.
pub fn audit(run: &RunResult) -> Vec<PromiseResult> {
    vec![
        allowed_model(run),
        withdrawn(run),
        sticky_session(run),
        billed_once(run),
        drained(run),
        whole_answer(run),
        true_refusal(run),
        at_most_once(run),
        graceful_stop(run),
        config(run),
    ]
}

fn own(run: &RunResult) -> &[Outcome] {
    &run.outcomes[0]
}

fn allowed_model(run: &RunResult) -> PromiseResult {
    let mut result = PromiseResult::new("P1 allowed-model");
    let customers: HashMap<_, _> = own(run)
        .iter()
        .filter_map(|outcome| outcome.request.map(|id| (format!("{id:032x}"), outcome.customer)))
        .collect();
    for placed in &run.fleet.platform.engines {
        let options = &placed.engine.options;
        for received in &*placed.engine.received.lock() {
            let Some(customer) = customers.get(&received.request_id) else { continue };
            let allowed = *customer != shape::RESTRICTED || options.version == "v1";
            result.check(allowed && received.version == options.version, || {
                format!("{customer} ran on {}/{}", options.name, received.version)
            });
        }
    }
    result
}

fn withdrawn(run: &RunResult) -> PromiseResult {
    let mut result = PromiseResult::new("P2 withdrawn");
    let Some((version, at)) = run.log.withdrawn else { return result };
    for placed in &run.fleet.platform.engines {
        if placed.engine.options.version != version {
            continue;
        }
        for received in &*placed.engine.received.lock() {
            result.check(received.admitted_at <= at + UNDER_WAY, || {
                let late = received.admitted_at - at;
                format!("{} admitted a request {late:?} later", placed.engine.options.name)
            });
        }
    }
    result
}

fn sticky_session(run: &RunResult) -> PromiseResult {
    let mut result = PromiseResult::new("P3 sticky-session");
    let mut versions: HashMap<(&str, &str, &str), &str> = HashMap::new();
    let mut sorted: Vec<_> = own(run).iter().filter(|outcome| outcome.answered()).collect();
    sorted.sort_by_key(|outcome| outcome.sent_at);
    for outcome in sorted {
        let (Some((session, moved)), Some((model, version))) = (&outcome.session, &outcome.target)
        else {
            continue;
        };
        let former = versions.insert((outcome.customer, session, model), version);
        let Some(former) = former else { continue };
        result.check(former == version || *moved, || {
            format!("session {session} of {model} went from {former} to {version}")
        });
    }
    result
}

fn billed_once(run: &RunResult) -> PromiseResult {
    let mut result = PromiseResult::new("P4 billed-once");
    let end = kv_client::prefix_end("bill/");
    let entries = run.fleet.platform.kv.table.lock().range("bill/", Some(&end)).entries;
    let mut answers = bill_audit::AnswerList::new();
    for outcome in own(run) {
        if let (Some(process), Some(request)) = (&outcome.process, outcome.request) {
            answers.entry(process.clone()).or_default().push(request);
        }
    }
    let audit = bill_audit::BillAudit::new(&entries, &answers);
    result.breaches.extend(audit.findings.iter().map(ToString::to_string));
    let batches: Vec<_> = entries
        .iter()
        .filter_map(|entry| bill_batch::BillBatch::from_bytes(&entry.value).ok())
        .collect();
    let costs: HashMap<ids::RequestId, u64> = batches
        .iter()
        .flat_map(bill_batch::BillBatch::lines)
        .map(|(_, line)| (line.request, line.cost()))
        .collect();
    let mut totals: BTreeMap<ids::CustomerName, bill_audit::CustomerTotal> = BTreeMap::new();
    for outcome in own(run).iter().filter(|outcome| outcome.answered()) {
        let Some(request) = outcome.request else { continue };
        let billed = costs.get(&request).copied().unwrap_or(0);
        result.check(billed == outcome.cost, || {
            format!("request {request:032x} cost {} and is billed {billed}", outcome.cost)
        });
        let total = totals.entry(outcome.customer.into()).or_default();
        total.bills += 1;
        total.cost += outcome.cost;
    }
    let failed = own(run).iter().any(|outcome| outcome.request.is_some() && !outcome.answered());
    // A stream that ended in an error is billed for its tokens, which the caller is not told.
    if !failed && totals != audit.totals {
        result.breaches.push(format!("callers saw {totals:?}, bills say {:?}", audit.totals));
    }
    result
}

fn drained(run: &RunResult) -> PromiseResult {
    let mut result = PromiseResult::new("P6 drained");
    let Some((name, at, Some(returned))) = run.log.drained else { return result };
    for placed in &run.fleet.platform.engines {
        if &*placed.data_centre != name {
            continue;
        }
        for received in &*placed.engine.received.lock() {
            let late = received.admitted_at > at + DRAIN_LIMIT && received.admitted_at < returned;
            result.check(!late, || {
                let after = received.admitted_at - at;
                format!("{} admitted a request {after:?} after it", placed.engine.options.name)
            });
        }
    }
    if let Some((after, at_return)) = run.log.drained_runs {
        result.check(after == at_return, || {
            format!("its services ran {} calls after 3 s", at_return - after)
        });
    }
    result
}

fn whole_answer(run: &RunResult) -> PromiseResult {
    let mut result = PromiseResult::new("P7 whole-answer");
    for outcome in own(run) {
        let interrupted =
            matches!(outcome.end, EndState::Interrupted(_)) && outcome.phase != PhaseName::Replace;
        let mismatched = matches!(outcome.end, EndState::Mismatched(_));
        result.check(!interrupted && !mismatched, || {
            format!("{} in {}: {:?}", outcome.kind.name(), outcome.phase.name(), outcome.end)
        });
    }
    result
}

/// Runs of each booking over all replicas.
fn booking_runs(run: &RunResult, way: usize) -> HashMap<String, u32> {
    let mut runs: HashMap<String, u32> = HashMap::new();
    let platform = match way {
        0 => &run.fleet.platform,
        _ => &run.baselines[way - 1].platform,
    };
    for placed in &platform.services {
        for (key, count) in &*placed.service.runs.lock() {
            if !key.is_empty() {
                *runs.entry(key.clone()).or_default() += count;
            }
        }
    }
    runs
}

/// Bookings that ran more than once.
pub fn repeated_bookings(run: &RunResult, way: usize) -> usize {
    booking_runs(run, way).values().filter(|count| **count > 1).count()
}

fn true_refusal(run: &RunResult) -> PromiseResult {
    let mut result = PromiseResult::new("P8 true-refusal");
    let runs = booking_runs(run, 0);
    let mut ends: HashMap<&String, Vec<&EndState>> = HashMap::new();
    for outcome in own(run) {
        if let Some(key) = &outcome.key {
            ends.entry(key).or_default().push(&outcome.end);
        }
    }
    for (key, ends) in ends {
        let not_run =
            |end: &&EndState| matches!(end, EndState::Refused(_, error_body::RunState::No));
        let count = runs.get(key).copied().unwrap_or(0);
        if ends.iter().all(not_run) {
            result.check(count == 0, || format!("booking {key} ran {count} times, said not run"));
        }
        if ends.iter().any(|end| **end == EndState::Answered) {
            result.check(count > 0, || format!("booking {key} was confirmed and did not run"));
        }
    }
    result
}

fn at_most_once(run: &RunResult) -> PromiseResult {
    let mut result = PromiseResult::new("P9 at-most-once");
    for (key, count) in booking_runs(run, 0) {
        result.check(count <= 1, || format!("booking {key} ran {count} times"));
    }
    result
}

fn graceful_stop(run: &RunResult) -> PromiseResult {
    let mut result = PromiseResult::new("P11 graceful-stop");
    for outcome in own(run).iter().filter(|outcome| outcome.phase == PhaseName::Replace) {
        result.check(!matches!(outcome.end, EndState::Interrupted(_)), || {
            format!("{}: {:?}", outcome.kind.name(), outcome.end)
        });
    }
    result
}

fn config(run: &RunResult) -> PromiseResult {
    let mut result = PromiseResult::new("P12 config");
    for (what, time) in &run.log.applied {
        result.check(*time <= CONFIG_LIMIT, || format!("{what} took {time:?}"));
    }
    result
}
