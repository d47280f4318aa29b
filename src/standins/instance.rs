//! Entry instances on a platform of stand-ins: their settings and their records.

use std::sync::Arc;
use std::time::Duration;

use crate::standins::platform;
use crate::{config_apply, config_store, record_reader, records, settings, token_index};

/// Operators' token of instances with the settings of `settings`.
pub const OPERATOR_TOKEN: &str = "operator";

/// Settings of an instance on free loopback ports.
pub fn settings(
    platform: &platform::PlatformStandin,
    name: &str,
    data_centre: &str,
) -> settings::Settings {
    settings::Settings {
        listen: platform::loopback(),
        peer_listen: platform::loopback(),
        advertise: platform::loopback(),
        peer_advertise: platform::loopback(),
        name: name.into(),
        data_centre: data_centre.into(),
        kv_url: format!("http://{}", platform.kv_address),
        instance_list_url: format!("http://{}", platform.list_address),
        rating_url: None,
        weight_store_url: None,
        peer_secret: settings::PeerSecret::new(&platform.peer_secret),
        operator_token_sha256: token_index::token_digest(OPERATOR_TOKEN),
        limits: settings::RequestLimits {
            body_bytes: 1 << 20,
            header_bytes: 16 << 10,
            header_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(5),
            request_timeout: Duration::from_secs(10),
            shutdown_timeout: Duration::from_secs(10),
        },
        log_level: slog::Level::Error,
    }
}

/// Commits records on top of the newest configuration, as an instance does.
///
/// # Panics
/// When the store cannot be read or refuses the change.
pub async fn commit_records(
    platform: &platform::PlatformStandin,
    puts: Vec<records::RoutingRecord>,
    removals: Vec<(String, Arc<str>)>,
) -> config_apply::ApplyOutcome {
    let store = config_store::ConfigStore::new(Arc::new(platform.kv.clone()));
    let (snapshot, _) = store.load_snapshot().await.expect("configuration is readable");
    let located = |record| record_reader::LocatedRecord { file: "standins".into(), record };
    let apply = config_apply::ConfigApply {
        apply_id: format!("{:032x}", rand::random::<u128>()).into(),
        author: "standins".into(),
        expected_sequence: None,
        written_at_ms: 0,
        puts: puts.into_iter().map(located).collect(),
        removals,
    };
    let outcome = store.apply(Arc::new(snapshot), &apply, &|| Ok(())).await;
    outcome.expect("change is accepted")
}
