//! Checks of the promises over recorded observations; pure.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use super::observation::{BackendArrival, CallEnd, CallerCall, CellObservations, WorkBan};

/// Time until a withdrawal is in effect everywhere.
pub const CONFIG_BOUND: Duration = Duration::from_secs(2);
/// Time until a drain or a leaving backend server is obeyed.
pub const DRAIN_BOUND: Duration = Duration::from_secs(3);
/// Time until every sender knows of an engine that turned cold without warning: notice
/// within 2 s by the load report, then one share lease of 2 s.
pub const COLD_BOUND: Duration = Duration::from_secs(4);

/// Promise of the design page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    AllowedModel,
    Withdrawn,
    StickySession,
    BilledOnce,
    ColdStart,
    Drained,
    WholeAnswer,
    TrueRefusal,
    AtMostOnce,
    Leaving,
    GracefulStop,
    Config,
}

/// Promise that was broken, and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromiseBreach {
    pub promise: Promise,
    pub detail: String,
}

type Check = fn(&CellObservations) -> Vec<String>;

/// Checks in the order of the design page.
pub const CHECKS: [(Promise, Check); 12] = [
    (Promise::AllowedModel, allowed_model),
    (Promise::Withdrawn, withdrawn),
    (Promise::StickySession, sticky_session),
    (Promise::BilledOnce, billed_once),
    (Promise::ColdStart, cold_start),
    (Promise::Drained, drained),
    (Promise::WholeAnswer, whole_answer),
    (Promise::TrueRefusal, true_refusal),
    (Promise::AtMostOnce, at_most_once),
    (Promise::Leaving, leaving),
    (Promise::GracefulStop, graceful_stop),
    (Promise::Config, config),
];

/// All breaches of a cell.
pub fn breaches(seen: &CellObservations) -> Vec<PromiseBreach> {
    let found = CHECKS.iter().flat_map(|(promise, check)| {
        check(seen).into_iter().map(|detail| PromiseBreach { promise: *promise, detail })
    });
    found.collect()
}

/// Text of the whole answer of an engine to a request for a number of tokens.
pub fn whole_text(version: &str, tokens: u64) -> String {
    let first = ["good:".into(), format!("small/{version}"), "model=small".into()];
    let rest = (4..tokens).map(|index| format!("w{index}"));
    let words = first.into_iter().chain(["ability=2.0000".into()]).chain(rest);
    words.take(tokens as usize).map(|word| word + " ").collect()
}

fn allowed_model(seen: &CellObservations) -> Vec<String> {
    let customers: HashMap<_, _> = seen
        .calls
        .iter()
        .filter_map(|call| Some((call.request_id.clone()?, call.customer.clone())))
        .collect();
    let allows = |arrival: &BackendArrival| {
        // The customer is unknown when no reply head came; some customer must allow it then.
        let customer = customers.get(&arrival.request_id);
        seen.allowed.iter().any(|(name, versions)| {
            customer.is_none_or(|customer| customer == name) && versions.contains(&arrival.version)
        })
    };
    let engines = seen.arrivals.iter().filter(|arrival| !arrival.version.is_empty());
    engines.filter(|arrival| !allows(arrival)).map(|arrival| format!("{arrival:?}")).collect()
}

fn withdrawn(seen: &CellObservations) -> Vec<String> {
    banned_arrivals(
        seen,
        CONFIG_BOUND,
        |ban, arrival| matches!(ban, WorkBan::Version(version) if *version == arrival.version),
    )
}

fn drained(seen: &CellObservations) -> Vec<String> {
    banned_arrivals(
        seen,
        DRAIN_BOUND,
        |ban, arrival| matches!(ban, WorkBan::DataCentre(name) if *name == arrival.data_centre),
    )
}

fn leaving(seen: &CellObservations) -> Vec<String> {
    banned_arrivals(
        seen,
        DRAIN_BOUND,
        |ban, arrival| matches!(ban, WorkBan::Replica(name) if *name == arrival.replica),
    )
}

fn banned_arrivals(
    seen: &CellObservations,
    bound: Duration,
    hits: impl Fn(&WorkBan, &BackendArrival) -> bool,
) -> Vec<String> {
    let mut found = Vec::new();
    for period in &seen.bans {
        let late = seen.arrivals.iter().filter(|arrival| {
            arrival.at > period.from + bound
                && period.until.is_none_or(|until| arrival.at < until)
                && hits(&period.ban, arrival)
        });
        found.extend(late.map(|arrival| {
            let call = |call: &&CallerCall| call.request_id.as_ref() == Some(&arrival.request_id);
            format!("{period:?}: {arrival:?} of {:?}", seen.calls.iter().find(call))
        }));
    }
    found
}

/// A session may change its version only when the former one was withdrawn.
fn sticky_session(seen: &CellObservations) -> Vec<String> {
    let mut sessions: BTreeMap<&str, Vec<&CallerCall>> = BTreeMap::new();
    for call in &seen.calls {
        if let (Some(session), Some(_)) = (&call.session, &call.version) {
            sessions.entry(session).or_default().push(call);
        }
    }
    let mut found = Vec::new();
    for (session, mut calls) in sessions {
        calls.sort_by_key(|call| call.started);
        for pair in calls.windows(2) {
            let banned = seen.bans.iter().any(|period| {
                matches!(&period.ban, WorkBan::Version(name) if Some(name) == pair[0].version.as_ref())
                    && period.from < pair[1].ended
            });
            if pair[0].version != pair[1].version && !banned {
                found.push(format!("{session}: {:?} then {:?}", pair[0], pair[1]));
            }
        }
    }
    found
}

fn billed_once(seen: &CellObservations) -> Vec<String> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    seen.billed.iter().for_each(|id| *counts.entry(id).or_default() += 1);
    let mut found = seen.bill_findings.clone();
    let again = counts.iter().filter(|(_, count)| **count > 1);
    found.extend(again.map(|(id, count)| format!("{id} is billed {count} times")));
    for call in seen.calls.iter().filter(|call| call.tokens > 0) {
        let Some(id) = &call.request_id else { continue };
        let billed = counts.contains_key(id.as_str());
        match &call.end {
            CallEnd::Whole(_) if !billed => found.push(format!("not billed: {call:?}")),
            CallEnd::Refused { ran_no: true, .. } if billed => {
                found.push(format!("billed though not run: {call:?}"));
            }
            _ => {}
        }
    }
    found
}

/// Arrivals beyond what a cold engine bears, admitted or refused, outside the window in
/// which nobody can know that it turned cold.
fn cold_start(seen: &CellObservations) -> Vec<String> {
    let unknown = |arrival: &BackendArrival| {
        seen.turned_cold.iter().any(|(replica, at)| {
            *replica == arrival.replica && arrival.at >= *at && arrival.at <= *at + COLD_BOUND
        })
    };
    let over = seen.arrivals.iter().filter(|arrival| {
        arrival.cold && arrival.concurrency > arrival.cold_concurrency && !unknown(arrival)
    });
    over.map(|arrival| format!("{arrival:?}")).collect()
}

fn whole_answer(seen: &CellObservations) -> Vec<String> {
    let mut found = Vec::new();
    for call in &seen.calls {
        let whole = match (&call.end, &call.idempotency_key) {
            (CallEnd::Silent(_), _) => false,
            (CallEnd::Whole(text), None) => {
                let version = call.version.as_deref().unwrap_or_default();
                *text == whole_text(version, call.tokens)
            }
            (CallEnd::Whole(text), Some(key)) => text == key,
            (CallEnd::Refused { .. } | CallEnd::Broken(_), _) => true,
        };
        if !whole {
            found.push(format!("{call:?}"));
        }
    }
    found
}

fn true_refusal(seen: &CellObservations) -> Vec<String> {
    let admitted: BTreeSet<_> = seen
        .arrivals
        .iter()
        .filter(|arrival| arrival.admitted)
        .map(|run| &run.request_id)
        .collect();
    let false_no = seen.calls.iter().filter(|call| {
        matches!(call.end, CallEnd::Refused { ran_no: true, .. })
            && call.request_id.as_ref().is_some_and(|id| admitted.contains(id))
    });
    false_no.map(|call| format!("{call:?}")).collect()
}

fn at_most_once(seen: &CellObservations) -> Vec<String> {
    let mut runs: BTreeMap<&str, Vec<&BackendArrival>> = BTreeMap::new();
    for arrival in seen.arrivals.iter().filter(|arrival| arrival.admitted) {
        if let Some(key) = &arrival.idempotency_key {
            runs.entry(key).or_default().push(arrival);
        }
    }
    let again = runs.iter().filter(|(_, arrivals)| arrivals.len() > 1);
    again.map(|(key, arrivals)| format!("{key}: {arrivals:?}")).collect()
}

fn graceful_stop(seen: &CellObservations) -> Vec<String> {
    let interrupted = seen.calls.iter().filter(|call| {
        let accepted = seen.stops.iter().any(|stop| {
            stop.instance == call.instance
                && call.started < stop.from + stop.leave_time
                && call.ended >= stop.from
        });
        let cut = match &call.end {
            CallEnd::Broken(_) | CallEnd::Silent(_) => true,
            CallEnd::Refused { code, .. } => code == "shutting_down",
            CallEnd::Whole(_) => false,
        };
        accepted && cut
    });
    interrupted.map(|call| format!("{call:?}")).collect()
}

fn config(seen: &CellObservations) -> Vec<String> {
    let mut found = Vec::new();
    let mut newest: BTreeMap<&str, u64> = BTreeMap::new();
    let mut samples: Vec<_> = seen.samples.iter().collect();
    samples.sort_by_key(|sample| sample.at);
    for sample in samples {
        let known = newest.entry(&sample.instance).or_default();
        if sample.sequence < *known {
            found.push(format!("reverted from {known}: {sample:?}"));
        }
        *known = (*known).max(sample.sequence);
        let late = seen
            .accepted
            .iter()
            .find(|(sequence, at)| sample.sequence < *sequence && sample.at > *at + CONFIG_BOUND);
        if let Some((sequence, at)) = late {
            found.push(format!("{sequence} accepted at {at:?} is not in effect: {sample:?}"));
        }
    }
    found
}
