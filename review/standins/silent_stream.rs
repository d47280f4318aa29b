//! A key is withdrawn while streams that were accepted under it are on their way and their replicas
//! pause. The streams must still be answered to their ends.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::CaseOutcome;
use crate::client;
use crate::entry::{DeploymentSettings, EntryProcess};
use crate::operator::ConfigRecord;
use crate::record::RunRecord;
use crate::replica::{self, ReplicaStandin};
use crate::store::StoreStandin;

/// Streams that are open at once in each round.
const STREAMS: usize = 8;
/// Pause of each stream. `gapAimMs` is 1,200; clients wait for eight times as long.
const STREAM_PAUSE: Duration = Duration::from_millis(2_500);
/// Time from the sending of the streams to the withdrawal of their key: within the pause.
const REVOKE_DELAY: Duration = Duration::from_millis(1_000);
/// `configApplyMs` and one second: the time after the ack in which a cut is beside the config.
const CONFIG_WINDOW: Duration = Duration::from_millis(3_000);
/// Seven tenths of the time budget that the requests carry, after which a cut is not counted.
const COUNTED_TIME: Duration = Duration::from_millis(4_200);

/// Runs a round of streams; returns how many of them were cut: beside a config those that the rule
/// counts, at a calm time all.
fn run_round(
    record: &RunRecord,
    front: SocketAddr,
    replicas: &[ReplicaStandin],
    round: &str,
    revoke: Option<impl FnOnce()>,
) -> Option<usize> {
    let started = Instant::now();
    let streams = (1..=STREAMS).map(|index| {
        let id = format!("{round}-{index}");
        std::thread::spawn(move || {
            let answer = client::get(front, "/tell/1", &id, "key-2");
            (id, answer, started.elapsed())
        })
    });
    let streams: Vec<_> = streams.collect();
    std::thread::sleep(REVOKE_DELAY);
    let is_beside = revoke.is_some();
    if let Some(revoke) = revoke {
        revoke();
    }
    let window_end = started.elapsed() + CONFIG_WINDOW;
    let mut cut = 0;
    for stream in streams {
        let (id, answer, time) = stream.join().ok()?;
        let expected: String =
            (1..=replica::STREAM_EVENTS).map(|number| replica::event_of(&id, number)).collect();
        let outcome = match &answer {
            Some(answer) if answer.body == expected.as_bytes() => "complete",
            Some(answer) if answer.status() != 200 => "answered with an error",
            Some(_) => "ended with other events",
            None => "channel ended without a complete answer",
        };
        let was_passed_on = replicas.iter().any(|replica| replica.has_run(&id));
        let is_in_window = time > REVOKE_DELAY && time < window_end;
        let is_counted = was_passed_on && is_in_window && time < COUNTED_TIME;
        let is_cut = answer.is_none() && (is_counted || !is_beside);
        cut += usize::from(is_cut);
        let note = if is_cut { "  BROKEN" } else { "" };
        let status = answer.map(|answer| answer.status());
        record.add(format!(
            "stream {id}: {outcome} ({status:?}) after {:.2} s{note}",
            time.as_secs_f64()
        ));
    }
    Some(cut)
}

pub fn run(record: &RunRecord, has_trouble: bool) -> CaseOutcome {
    let store = StoreStandin::start();
    let work_time = Duration::from_millis(20);
    let replicas = ["i-1", "i-2"].map(|name| {
        let replica = ReplicaStandin::start_with_pause(name, work_time, STREAM_PAUSE);
        replica.register(&store);
        replica
    });
    let mut config = ConfigRecord {
        version: 10,
        further_routes: 0,
        keys: vec!["key-1", "key-2"],
        timeout_ms: 1_500,
    };
    store.put("op/config", &config.text());
    let settings = DeploymentSettings { store: store.address, memory_mb: 110 };
    let Some(entry) = EntryProcess::start(1, settings) else { return CaseOutcome::NotRun };
    // The same streams at a calm time: the rule compares both.
    let Some(cut_before) = run_round(record, entry.front(), &replicas, "calm", None::<fn()>) else {
        return CaseOutcome::NotRun;
    };
    let revoke = || {
        if has_trouble {
            config.version += 1;
            config.keys.retain(|key| *key != "key-2");
            let acked_at = store.put("op/config", &config.text());
            record.add_at(
                acked_at,
                format!("config {} withdraws key-2; acknowledged", config.version),
            );
        }
    };
    let Some(cut_beside) = run_round(record, entry.front(), &replicas, "beside", Some(revoke))
    else {
        return CaseOutcome::NotRun;
    };
    for replica in &replicas {
        for run in replica.runs.lock().unwrap().iter() {
            record.add_at(run.started_at, format!("a replica runs {} for {}", run.id, run.tenant));
        }
    }
    record.add(format!(
        "cut: {cut_before} of {STREAMS} at a calm time, {cut_beside} beside the config"
    ));
    if cut_beside > 3 * cut_before { CaseOutcome::Broken } else { CaseOutcome::Held }
}
