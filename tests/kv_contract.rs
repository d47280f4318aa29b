//! Contract of the key-value service: the same cases run against the client over
//! HTTP and against the stand-in in memory.

use std::sync::Arc;

use bytes::Bytes;
use futures::StreamExt as _;
use yuccareel::kv_store::{KvCompare, KvError, KvEvent, KvOperation, KvStore, KvTransaction};
use yuccareel::standins::{kv, kv_http, link, server};
use yuccareel::{bill_batch, kv_client};

async fn stores() -> Vec<(&'static str, kv::KvStandin, Arc<dyn KvStore>)> {
    let direct = kv::KvStandin::default();
    let served = kv::KvStandin::default();
    let (address, _task) = server::serve(kv_http::router(served.clone())).await;
    let client = kv_client::HttpKvStore::new(reqwest::Client::new(), format!("http://{address}"));
    vec![("memory", direct.clone(), Arc::new(direct)), ("http", served, Arc::new(client))]
}

fn put(key: &str, value: &str, compares: Vec<KvCompare>) -> KvTransaction {
    let operation = KvOperation::Put(key.to_owned(), Bytes::copy_from_slice(value.as_bytes()), 0);
    KvTransaction { compares, operations: vec![operation] }
}

/// Guards against a compare that is ignored or compares the wrong revision.
#[tokio::test]
async fn compare_decides_commit() {
    struct Case {
        name: &'static str,
        compare: fn(i64, i64) -> KvCompare,
        committed: bool,
    }
    let key = || "k".to_owned();
    let cases = [
        Case {
            name: "absent key",
            compare: |_, _| KvCompare::CreateRevision("x".into(), 0),
            committed: true,
        },
        Case {
            name: "present key",
            compare: |_, _| KvCompare::CreateRevision("k".into(), 0),
            committed: false,
        },
        Case {
            name: "create revision",
            compare: |c, _| KvCompare::CreateRevision("k".into(), c),
            committed: true,
        },
        Case {
            name: "current",
            compare: |_, m| KvCompare::ModRevision("k".into(), m),
            committed: true,
        },
        Case {
            name: "stale",
            compare: |_, m| KvCompare::ModRevision("k".into(), m - 1),
            committed: false,
        },
    ];
    for (store_name, _, store) in stores().await {
        store.commit(put(&key(), "1", vec![])).await.unwrap();
        store.commit(put(&key(), "2", vec![])).await.unwrap();
        for case in &cases {
            let entry = store.get("k").await.unwrap().unwrap();
            let compare = (case.compare)(entry.create_revision, entry.mod_revision);
            let outcome = store.commit(put("k", "3", vec![compare])).await.unwrap();
            assert_eq!(outcome.committed, case.committed, "{store_name}: {}", case.name);
            if !case.committed {
                assert_eq!(outcome.current[0].key, "k", "{store_name}: {}", case.name);
            }
        }
    }
}

/// Guards against a client that takes a lost answer for a write that did not happen.
#[tokio::test]
async fn faults_say_whether_the_write_may_stand() {
    struct Case {
        name: &'static str,
        faults: kv::KvFaults,
        may_have_written: bool,
        written: bool,
    }
    let none = kv::KvFaults::default;
    let cases = [
        Case {
            name: "outage",
            faults: kv::KvFaults { outage: true, ..none() },
            may_have_written: false,
            written: false,
        },
        Case {
            name: "answer lost",
            faults: kv::KvFaults { lose_answers: 1, ..none() },
            may_have_written: true,
            written: true,
        },
        Case {
            name: "write lost",
            faults: kv::KvFaults { lose_writes: 1, ..none() },
            may_have_written: true,
            written: false,
        },
    ];
    for (store_name, standin, store) in stores().await {
        for case in &cases {
            *standin.faults.lock() = case.faults.clone();
            let error = store.commit(put(case.name, "1", vec![])).await.unwrap_err();
            *standin.faults.lock() = none();
            assert_eq!(
                error.may_have_written(),
                case.may_have_written,
                "{store_name}: {}",
                case.name
            );
            let written = store.get(case.name).await.unwrap().is_some();
            assert_eq!(written, case.written, "{store_name}: {}", case.name);
        }
    }
}

/// Guards against a watch that misses changes made before it started.
#[tokio::test]
async fn watch_starts_after_a_revision() {
    for (store_name, _, store) in stores().await {
        let first = store.commit(put("w/a", "1", vec![])).await.unwrap();
        store.commit(put("w/b", "2", vec![])).await.unwrap();
        let mut events = store.watch("w/", first.revision).await.unwrap();
        let event = events.next().await.unwrap().unwrap();
        assert!(matches!(event, KvEvent::Put(entry) if entry.key == "w/b"), "{store_name}");
    }
}

/// Guards against keys that outlive the lease of a paused holder.
#[tokio::test]
async fn lapsed_lease_takes_its_keys() {
    for (store_name, standin, store) in stores().await {
        let lease = store.grant_lease(10).await.unwrap();
        let operation = KvOperation::Put("held".into(), Bytes::from_static(b"1"), lease);
        store
            .commit(KvTransaction { compares: vec![], operations: vec![operation] })
            .await
            .unwrap();
        assert!(store.renew_lease(lease).await.unwrap(), "{store_name}");
        standin.table.lock().expire_all_leases();
        assert!(!store.renew_lease(lease).await.unwrap(), "{store_name}");
        assert_eq!(store.get("held").await.unwrap(), None, "{store_name}");
    }
}

/// Guards against a connect failure that is taken for a lost answer.
#[tokio::test]
async fn closed_port_is_unreachable() {
    let store = kv_client::HttpKvStore::new(reqwest::Client::new(), "http://127.0.0.1:1");
    let error = store.get("k").await.unwrap_err();
    assert!(matches!(error, KvError::Unreachable(_)), "{error}");
}

/// Guards against a pool that hands out its silent connections one after another, each until
/// the timeout: five would keep a booking waiting for 10 s.
#[tokio::test]
async fn silent_pool_costs_one_call() {
    let (address, _task) = server::serve(kv_http::router(kv::KvStandin::default())).await;
    let link = link::LinkStandin::bind().await;
    link.connect_to(address);
    let url = format!("http://{}", link.address);
    let store = kv_client::HttpKvStore::new(reqwest::Client::new(), url);
    for reply in futures::future::join_all([(); 5].map(|()| store.get("k"))).await {
        reply.unwrap();
    }
    link.silence_open();
    let silent = store.get("k").await;
    assert!(matches!(silent, Err(KvError::NoAnswer(_))), "{silent:?}");
    store.get("k").await.unwrap();
}

/// Guards against a gateway that refuses the largest batch of bills, so that bills pile up.
#[tokio::test]
async fn values_up_to_the_limit_are_kept() {
    let value = "x".repeat(bill_batch::BATCH_BYTES);
    for (store_name, _, store) in stores().await {
        let outcome = store.commit(put("large", &value, vec![])).await;
        assert!(outcome.is_ok_and(|outcome| outcome.committed), "{store_name}");
        let entry = store.get("large").await.unwrap().unwrap();
        assert_eq!(entry.value.len(), value.len(), "{store_name}");
    }
}
