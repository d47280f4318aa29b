//! A client names a model that does not exist, where clients leave the choice to the router. Its own
//! requests must fail, and those of others must still be served.

use std::time::{Duration, Instant};

use crate::CaseOutcome;
use crate::client;
use crate::entry::{DeploymentSettings, EntryProcess};
use crate::operator::ConfigRecord;
use crate::record::RunRecord;
use crate::replica::ReplicaStandin;
use crate::store::StoreStandin;

const REPLICAS: usize = 18;
const INSTANCES: usize = 2;
/// Requests with an unknown model at each instance.
const UNKNOWN_REQUESTS: usize = 6;
const SERVING_TIME: Duration = Duration::from_secs(40);
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);

pub fn run(record: &RunRecord, has_trouble: bool) -> CaseOutcome {
    let store = StoreStandin::start();
    let replicas: Vec<_> = (1..=REPLICAS)
        .map(|index| ReplicaStandin::start(&format!("i-{index}"), Duration::from_millis(20)))
        .collect();
    replicas.iter().for_each(|replica| replica.register(&store));
    let config =
        ConfigRecord { version: 10, further_routes: 0, keys: vec!["key-1"], timeout_ms: 1_500 };
    store.put("op/config", &config.text());
    let settings = DeploymentSettings { store: store.address, memory_mb: 110 };
    let mut entries = Vec::new();
    for index in 1..=INSTANCES {
        let Some(entry) = EntryProcess::start(index, settings) else { return CaseOutcome::NotRun };
        entries.push(entry);
    }
    if has_trouble {
        for (instance, entry) in entries.iter().enumerate() {
            for index in 1..=UNKNOWN_REQUESTS {
                let answer =
                    client::draft(entry.front(), &format!("odd-{instance}-{index}"), "gpt");
                let status = answer.map(|answer| answer.status());
                record.add(format!(
                    "{}: request odd-{instance}-{index} for an unknown model: {status:?}",
                    entry.name
                ));
            }
        }
    }
    let (started, mut served, mut sent) = (Instant::now(), 0, 0);
    while started.elapsed() < SERVING_TIME {
        for entry in &entries {
            sent += 1;
            let path = if sent % 4 < 2 { "/look/1" } else { "/draft/1" };
            let id = format!("good-{sent}");
            let answer = match path {
                "/look/1" => client::get(entry.front(), path, &id, "key-1"),
                _ => client::draft(entry.front(), &id, "*"),
            };
            let status = answer.map(|answer| answer.status());
            served += usize::from(status == Some(200));
            record.add(format!("{}: proper request {id} for {path}: {status:?}", entry.name));
        }
        std::thread::sleep(REQUEST_INTERVAL);
    }
    let ready = entries.iter().filter(|entry| entry.is_ready()).count();
    record.add(format!("{ready} of {INSTANCES} instances say that they are ready"));
    record.add(format!("{served} of {sent} proper requests were served"));
    if served == 0 { CaseOutcome::Broken } else { CaseOutcome::Held }
}
