//! Configurations change in quick succession while an instance is frozen. After it has woken, it
//! must obey the newest one, in which a key was withdrawn.

use std::time::{Duration, Instant};

use crate::CaseOutcome;
use crate::client;
use crate::entry::{DeploymentSettings, EntryProcess, SIGCONT, SIGSTOP};
use crate::operator::ConfigRecord;
use crate::record::RunRecord;
use crate::replica::ReplicaStandin;
use crate::store::StoreStandin;

/// Routes that each `big_config` adds, and how many of these come before the storm.
const ROUTES_PER_GROWTH: usize = 350;
const GROWTHS: usize = 5;
/// `config_storm`: a change each 0.33 s for 4 s.
const STORM_CHANGES: u64 = 12;
const STORM_INTERVAL: Duration = Duration::from_millis(330);
/// `node_freeze` lasts 4 s at most.
const FREEZE_TIME: Duration = Duration::from_millis(3_990);
/// `stableWindowMs` and `configApplyMs` of the settings.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// Time for which requests are sent after the storm, and the interval between them.
const CHECK_TIME: Duration = Duration::from_secs(30);
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);

pub fn run(record: &RunRecord, has_trouble: bool) -> CaseOutcome {
    let store = StoreStandin::start();
    let replica = ReplicaStandin::start("i-1", Duration::from_millis(15));
    replica.register(&store);
    let mut config = ConfigRecord {
        version: 10,
        further_routes: 0,
        keys: vec!["key-1", "key-2"],
        timeout_ms: 1_500,
    };
    store.put("op/config", &config.text());
    let settings = DeploymentSettings { store: store.address, memory_mb: 110 };
    let Some(entry) = EntryProcess::start(1, settings) else { return CaseOutcome::NotRun };
    for _ in 0..GROWTHS {
        config.version += 1;
        config.further_routes += ROUTES_PER_GROWTH;
        store.put("op/config", &config.text());
        let (version, bytes) = (config.version, config.text().len());
        record.add(format!("operator wrote config {version} ({bytes} bytes)"));
        std::thread::sleep(Duration::from_secs(2));
    }
    let is_served = |id: &str, key: &str| {
        let answer = client::get(entry.front(), "/look/1", id, key);
        answer.is_some_and(|answer| answer.status() == 200)
    };
    if !is_served("before-1", "key-1") || !is_served("before-2", "key-2") {
        record.add("the calm deployment does not serve both keys");
        return CaseOutcome::NotRun;
    }
    if has_trouble {
        entry.signal(SIGSTOP);
        record.add("instance frozen");
    }
    let frozen_at = Instant::now();
    let mut acked_at = frozen_at;
    for change in 1..=STORM_CHANGES {
        config.version += 1;
        if change == STORM_CHANGES {
            config.keys.retain(|key| *key != "key-2");
        }
        acked_at = store.put("op/config", &config.text());
        record.add(format!("operator wrote config {}", config.version));
        std::thread::sleep(STORM_INTERVAL);
    }
    record.add_at(acked_at, format!("config {}, without key-2, is acknowledged", config.version));
    std::thread::sleep((frozen_at + FREEZE_TIME).saturating_duration_since(Instant::now()));
    let woken_at = Instant::now();
    if has_trouble {
        entry.signal(SIGCONT);
        record.add("instance woken");
    }
    let bound_at = (acked_at + CONFIG_APPLY).max(woken_at + STABLE_WINDOW);
    record.add_at(bound_at, "from here on, the rule holds for the instance");
    let mut broken = 0;
    let mut index = 0;
    while woken_at.elapsed() < CHECK_TIME {
        index += 1;
        let (id, sent_at) = (format!("after-{index}"), Instant::now());
        let answer = client::get(entry.front(), "/look/1", &id, "key-2");
        let status = answer.map(|answer| answer.status());
        let ran = replica.has_run(&id);
        let is_broken = sent_at > bound_at && ran;
        broken += usize::from(is_broken);
        let note = if is_broken { "  BROKEN: ran with a withdrawn key" } else { "" };
        record.add_at(
            sent_at,
            format!("request {id} with key-2: answered {status:?}, ran: {ran}{note}"),
        );
        std::thread::sleep(REQUEST_INTERVAL);
    }
    let failures = entry.log_count("store_lost");
    record.add(format!(
        "{broken} requests ran with the withdrawn key; {failures} polls logged as failed"
    ));
    if broken > 0 { CaseOutcome::Broken } else { CaseOutcome::Held }
}
