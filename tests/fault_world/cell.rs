//! One cell: a step, faults in its middle, and what the promises say about it.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use tokio_util::sync::CancellationToken;
use yuccareel::{bill_audit, bill_batch};

use super::callers::ChatSpec;
use super::faults::Fault;
use super::observation::{BackendArrival, CallEnd, CellObservations, ConfigSample};
use super::platform_world::{CellInstance, CellWorld, OPERATOR, PATIENCE, wait_for};
use super::promises::{self, DRAIN_BOUND};
use super::steps::Step;

/// Time between two looks at the configuration of the instances.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Requests that look for late work; every instance sends several for each version.
const PROBES: usize = 36;

/// Faults in the middle of a step.
#[derive(Clone, Debug)]
pub struct FaultCell {
    pub step: Step,
    /// Ended in the reverse of the order in which they are injected.
    pub faults: Vec<Fault>,
}

/// What a cell showed.
pub struct CellOutcome {
    pub cell: FaultCell,
    pub breaches: Vec<promises::PromiseBreach>,
    /// What did not work again after the faults.
    pub unsettled: Vec<String>,
    pub whole_answers: usize,
    /// Number of calls by outcome.
    pub ends: BTreeMap<String, usize>,
    pub took: Duration,
}

impl FaultCell {
    /// Runs the cell and checks the promises.
    pub async fn run(self) -> CellOutcome {
        let world = CellWorld::start().await;
        let (load_stop, sample_stop) = (CancellationToken::new(), CancellationToken::new());
        let load = tokio::spawn(Arc::clone(&world).run_load(load_stop.clone()));
        let samples = tokio::spawn(Arc::clone(&world).run_samples(sample_stop.clone()));
        for fault in &self.faults {
            fault.prepare(&world).await;
        }
        self.step.start(&world).await;
        for fault in &self.faults {
            fault.inject(&world).await;
        }
        let lasts = self.faults.iter().map(|fault| fault.lasts()).max().unwrap_or_default();
        tokio::time::sleep(lasts).await;
        world.probe().await;
        for fault in self.faults.iter().rev() {
            fault.end(&world).await;
        }
        self.step.finish(&world).await;
        let mut unsettled = world.settle().await;
        world.outlast_bounds().await;
        world.probe().await;
        load_stop.cancel();
        load.await.unwrap();
        sample_stop.cancel();
        samples.await.unwrap();
        if !wait_for(|| world.all_billed()).await {
            unsettled.push("bills are missing".to_owned());
        }
        world.end();
        let seen = world.observations();
        let mut ends: BTreeMap<String, usize> = BTreeMap::new();
        for call in &seen.calls {
            let name = match &call.end {
                CallEnd::Whole(_) => "whole",
                CallEnd::Silent(_) => "silent",
                CallEnd::Refused { code, .. } => code,
                CallEnd::Broken(_) => "broken",
            };
            *ends.entry(name.to_owned()).or_default() += 1;
        }
        CellOutcome {
            breaches: promises::breaches(&seen),
            unsettled,
            whole_answers: ends.get("whole").copied().unwrap_or_default(),
            ends,
            took: world.now(),
            cell: self,
        }
    }
}

impl CellWorld {
    async fn run_samples(self: Arc<Self>, stop: CancellationToken) {
        while !stop.is_cancelled() {
            for instance in self.callable() {
                let at = self.now();
                let url = format!("http://{}/admin/v1/records/service", instance.address);
                let request = self.http.get(url).bearer_auth(OPERATOR);
                let Ok(reply) = request.timeout(Duration::from_secs(1)).send().await else {
                    continue;
                };
                let Ok(value) = reply.json::<Value>().await else { continue };
                let sequence = value["sequence"].as_u64().unwrap_or_default();
                // An instance without configuration refuses all requests.
                if sequence > 0 {
                    let instance = instance.name.clone();
                    self.seen.lock().samples.push(ConfigSample { at, instance, sequence });
                }
            }
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
    }

    /// Waits until every instance answers a chat request and a booking.
    async fn settle(&self) -> Vec<String> {
        let mut unsettled = Vec::new();
        for instance in self.callable() {
            for booking in [false, true] {
                if let Some(last) = self.failure_that_stays(&instance, booking).await {
                    unsettled.push(format!("{} booking={booking}: {last:?}", instance.name));
                }
            }
        }
        unsettled
    }

    /// Last outcome at an instance that gives no whole answer within `PATIENCE`.
    async fn failure_that_stays(&self, instance: &CellInstance, booking: bool) -> Option<CallEnd> {
        let limit = self.now() + PATIENCE;
        loop {
            let call = if booking {
                self.book(instance, &format!("settle-{}", self.next_serial())).await
            } else {
                self.chat(instance, ChatSpec::plain(3)).await
            };
            if matches!(call.end, CallEnd::Whole(_)) {
                return None;
            }
            if self.now() >= limit {
                return Some(call.end);
            }
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
    }

    /// Looks for late work. Cold replicas meet bursts in a test of their own.
    pub async fn probe(self: &Arc<Self>) {
        let cold = !self.seen.lock().turned_cold.is_empty();
        if !cold {
            self.send_burst(PROBES, 2).await;
        }
    }

    /// Keeps the load up until every bound has passed.
    async fn outlast_bounds(&self) {
        let last = {
            let seen = self.seen.lock();
            let bans = seen.bans.iter().map(|period| period.from);
            bans.chain(seen.accepted.iter().map(|(_, at)| *at)).max().unwrap_or_default()
        };
        let until = last + DRAIN_BOUND + Duration::from_millis(300);
        tokio::time::sleep(until.saturating_sub(self.now())).await;
    }

    /// Whether all whole answers and nothing else is to be expected among the bills.
    pub fn all_billed(&self) -> bool {
        let billed: HashSet<_> = self.bills().0.into_iter().collect();
        let seen = self.seen.lock();
        let mut chats = seen.calls.iter().filter(|call| call.tokens > 0);
        chats.all(|call| match (&call.end, &call.request_id) {
            (CallEnd::Whole(_), Some(id)) => billed.contains(id),
            _ => true,
        })
    }

    /// Request identifiers of all bills, and the findings of the audit.
    fn bills(&self) -> (Vec<String>, Vec<String>) {
        let end = yuccareel::kv_client::prefix_end(bill_batch::BILL_PREFIX);
        let entries = {
            let mut table = self.platform.kv.table.lock();
            table.range(bill_batch::BILL_PREFIX, Some(&end)).entries
        };
        let audit = bill_audit::BillAudit::new(&entries, &Default::default());
        let batches =
            entries.iter().filter_map(|entry| bill_batch::BillBatch::from_bytes(&entry.value).ok());
        let ids = batches.flat_map(|batch| {
            let lines = batch.lines().map(|(_, line)| format!("{:032x}", line.request));
            lines.collect::<Vec<_>>()
        });
        (ids.collect(), audit.findings.iter().map(ToString::to_string).collect())
    }

    pub fn observations(&self) -> CellObservations {
        let mut seen = self.seen.lock().clone();
        (seen.billed, seen.bill_findings) = self.bills();
        for placed in &self.platform.engines {
            let options = &placed.engine.options;
            let arrival = BackendArrival {
                at: Duration::ZERO,
                replica: options.name.clone(),
                data_centre: placed.data_centre.to_string(),
                version: options.version.clone(),
                request_id: String::new(),
                idempotency_key: None,
                admitted: true,
                cold: false,
                concurrency: 1,
                cold_concurrency: options.cold_concurrency,
            };
            seen.arrivals.extend(placed.engine.received.lock().iter().map(|request| {
                BackendArrival {
                    at: request.admitted_at.duration_since(self.epoch),
                    version: request.version.clone(),
                    request_id: request.request_id.clone(),
                    cold: request.cold,
                    concurrency: request.concurrency,
                    ..arrival.clone()
                }
            }));
            seen.arrivals.extend(placed.engine.refused.lock().iter().map(|request| {
                BackendArrival {
                    at: request.refused_at.duration_since(self.epoch),
                    request_id: request.request_id.clone(),
                    cold: request.cold,
                    concurrency: request.concurrency,
                    admitted: false,
                    ..arrival.clone()
                }
            }));
        }
        for placed in &self.platform.services {
            seen.arrivals.extend(placed.service.received.lock().iter().map(|call| {
                BackendArrival {
                    at: call.received_at.duration_since(self.epoch),
                    replica: placed.name.clone(),
                    data_centre: placed.data_centre.to_string(),
                    version: String::new(),
                    request_id: call.request_id.clone(),
                    idempotency_key: Some(call.key.clone()),
                    admitted: true,
                    cold: false,
                    concurrency: 1,
                    cold_concurrency: u32::MAX,
                }
            }));
        }
        seen
    }
}
