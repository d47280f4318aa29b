//! Fields of each record kind in every supported schema version.

use std::ops::RangeInclusive;
use std::sync::Arc;

use crate::field_reader::FieldReader;
use crate::ids;
use crate::record_finding::RecordFault;
use crate::records::{
    self, RoutingRecord, cascade, customer, data_centre, model, rollout, service,
};

/// Prices stay under a credit per token, so that the cost of an answer cannot overflow.
const COST_RANGE: RangeInclusive<u64> = 0..=1_000_000_000;
/// A daily spend limit of up to a billion credits.
const SPEND_RANGE: RangeInclusive<u64> = 0..=1_000_000_000_000_000;
const CONCURRENCY_RANGE: RangeInclusive<u64> = 1..=1_000_000;
const SHARE_RANGE: RangeInclusive<f64> = 0.0..=1.0;
const RATE_RANGE: RangeInclusive<f64> = 0.0..=1_000_000.0;
const WEIGHT_RANGE: RangeInclusive<u64> = 1..=1_000;
/// A request is bounded by its own deadline of at most 10 minutes.
const TIMEOUT_MS_RANGE: RangeInclusive<u64> = 1..=600_000;
/// A rollout stage lasts at most 30 days.
const DWELL_S_RANGE: RangeInclusive<u64> = 0..=2_592_000;
const REQUESTS_RANGE: RangeInclusive<u64> = 0..=1_000_000_000;
/// A round trip of at most 10 s.
const DISTANCE_US_RANGE: RangeInclusive<u64> = 0..=10_000_000;
/// Requests that a cold replica bears when the record does not say.
const COLD_CONCURRENCY: u64 = 2;
/// Methods that HTTP defines as idempotent but not as safe.
const IDEMPOTENT_METHODS: [&str; 2] = ["PUT", "DELETE"];
const METHODS: [&str; 8] = ["*", "GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"];

/// Record kinds as written in records and keys.
pub const KINDS: [&str; 6] = ["customer", "model", "cascade", "rollout", "data_centre", "service"];

/// Record of the kind that the table names.
pub fn read(reader: &mut FieldReader<'_>) -> Option<RoutingRecord> {
    let range = u64::from(records::OLDEST_SCHEMA)..=u64::from(records::NEWEST_SCHEMA);
    let schema = reader.count("schema", range);
    let kind = reader.text("kind");
    let name = reader.name("name");
    // Without schema and kind every other field would be reported as unknown.
    let (Some(schema), Some(kind)) = (schema, kind) else {
        reader.accept_rest();
        return None;
    };
    match kind {
        "customer" => read_customer(reader, schema, name).map(RoutingRecord::Customer),
        "model" => read_model(reader, name).map(RoutingRecord::Model),
        "cascade" => read_cascade(reader, name).map(RoutingRecord::Cascade),
        "rollout" => read_rollout(reader, name).map(RoutingRecord::Rollout),
        "data_centre" => read_data_centre(reader, name).map(RoutingRecord::DataCentre),
        "service" => read_service(reader, schema, name).map(RoutingRecord::Service),
        other => {
            let message = format!("unknown kind {other:?}");
            reader.report("kind", RecordFault::OutOfRange, message);
            reader.accept_rest();
            None
        }
    }
}

fn read_customer(
    reader: &mut FieldReader<'_>,
    schema: u64,
    name: Option<Arc<str>>,
) -> Option<customer::CustomerRecord> {
    let token_sha256 = read_token_hashes(reader);
    let (allowed, weight) = if schema == 1 {
        let models = reader.names("models");
        let allow = |model| customer::AllowedModel { model, versions: None };
        (models.map(|models| models.into_iter().map(allow).collect()), Some(1))
    } else {
        (reader.tables("allowed", read_allowed), reader.count_or("weight", WEIGHT_RANGE, 1))
    };
    let quality_target = reader.number("quality_target", SHARE_RANGE);
    let cascade = reader.optional_name("cascade");
    let limits = reader.table("limits", read_limits);
    Some(customer::CustomerRecord {
        name: name?,
        token_sha256: token_sha256?,
        allowed: allowed?,
        quality_target: quality_target?,
        cascade: cascade?,
        weight: narrow(weight?),
        limits: limits?,
    })
}

fn read_token_hashes(reader: &mut FieldReader<'_>) -> Option<Vec<String>> {
    let hashes = reader.texts("token_sha256")?;
    for (index, hash) in hashes.iter().enumerate() {
        if !valid_hash(hash) {
            // The text is not repeated: it may be the token itself.
            let message = "expected 64 lower-case hexadecimal digits";
            reader.report(&format!("token_sha256[{index}]"), RecordFault::OutOfRange, message);
        }
    }
    Some(hashes.into_iter().map(str::to_owned).collect())
}

/// Whether a text is a SHA-256 hash in lower-case hexadecimal.
pub fn valid_hash(text: &str) -> bool {
    text.len() == 64 && text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
}

fn read_allowed(reader: &mut FieldReader<'_>) -> Option<customer::AllowedModel> {
    let (model, versions) = (reader.name("model"), reader.optional_names("versions"));
    Some(customer::AllowedModel { model: model?, versions: versions? })
}

fn read_limits(reader: &mut FieldReader<'_>) -> Option<customer::CustomerLimits> {
    let requests_per_s = reader.number("requests_per_s", RATE_RANGE);
    let concurrency = reader.count("concurrency", CONCURRENCY_RANGE);
    let spend_per_day = reader.count("spend_per_day", SPEND_RANGE);
    Some(customer::CustomerLimits {
        requests_per_s: requests_per_s?,
        concurrency: narrow(concurrency?),
        spend_per_day: spend_per_day?,
    })
}

fn read_model(reader: &mut FieldReader<'_>, name: Option<Arc<str>>) -> Option<model::ModelRecord> {
    let versions = reader.tables("versions", read_version);
    let default_version = reader.name("default_version");
    let input_cost_per_1k = reader.count("input_cost_per_1k", COST_RANGE);
    let output_cost_per_1k = reader.count("output_cost_per_1k", COST_RANGE);
    let prior_quality = reader.number("prior_quality", SHARE_RANGE);
    let cold = reader.count_or("cold_concurrency", CONCURRENCY_RANGE, COLD_CONCURRENCY);
    let warm = reader.count("warm_concurrency", CONCURRENCY_RANGE);
    Some(model::ModelRecord {
        name: name?,
        versions: versions?,
        default_version: default_version?,
        input_cost_per_1k: input_cost_per_1k?,
        output_cost_per_1k: output_cost_per_1k?,
        prior_quality: prior_quality?,
        cold_concurrency: narrow(cold?),
        warm_concurrency: narrow(warm?),
    })
}

fn read_version(reader: &mut FieldReader<'_>) -> Option<model::ModelVersion> {
    let words =
        [("active", model::VersionState::Active), ("withdrawn", model::VersionState::Withdrawn)];
    let name = reader.name("name");
    let state = reader.word_or("state", &words, model::VersionState::Active);
    Some(model::ModelVersion { name: name?, state: state? })
}

fn read_cascade(
    reader: &mut FieldReader<'_>,
    name: Option<ids::CascadeName>,
) -> Option<cascade::CascadeRecord> {
    let steps = reader.tables("steps", read_step);
    Some(cascade::CascadeRecord { name: name?, steps: steps? })
}

fn read_step(reader: &mut FieldReader<'_>) -> Option<cascade::CascadeStep> {
    let (model, cascade) = (reader.optional_name("model")?, reader.optional_name("cascade")?);
    match (model, cascade) {
        (Some(model), None) => Some(cascade::CascadeStep::Model(model)),
        (None, Some(cascade)) => Some(cascade::CascadeStep::Cascade(cascade)),
        _ => {
            let message = "expected either `model` or `cascade`";
            reader.report("model", RecordFault::Contradiction, message);
            None
        }
    }
}

fn read_rollout(
    reader: &mut FieldReader<'_>,
    name: Option<ids::RolloutName>,
) -> Option<rollout::RolloutRecord> {
    let (model, from, to) = (reader.name("model"), reader.name("from"), reader.name("to"));
    let stages = reader.numbers("stages", SHARE_RANGE);
    let stage_dwell_s = reader.count("stage_dwell_s", DWELL_S_RANGE);
    let stage_min_requests = reader.count("stage_min_requests", REQUESTS_RANGE);
    let max_error_rise = reader.number("max_error_rise", SHARE_RANGE);
    let max_quality_fall = reader.number("max_quality_fall", SHARE_RANGE);
    let paused = reader.flag_or("paused", false);
    let replicas = reader.optional_names("replicas");
    Some(rollout::RolloutRecord {
        name: name?,
        model: model?,
        from: from?,
        to: to?,
        stages: stages?,
        stage_dwell_s: stage_dwell_s?,
        stage_min_requests: stage_min_requests?,
        max_error_rise: max_error_rise?,
        max_quality_fall: max_quality_fall?,
        paused: paused?,
        replicas: replicas?.unwrap_or_default(),
    })
}

fn read_data_centre(
    reader: &mut FieldReader<'_>,
    name: Option<ids::DataCentreName>,
) -> Option<data_centre::DataCentreRecord> {
    use data_centre::DataCentreState as State;
    let region = reader.name("region");
    let words = [("active", State::Active), ("drained", State::Drained)];
    let state = reader.word_or("state", &words, State::Active);
    let distances = reader.name_counts("distance_us", DISTANCE_US_RANGE);
    Some(data_centre::DataCentreRecord {
        name: name?,
        region: region?.to_string(),
        state: state?,
        distance_us: distances?.into_iter().map(|(name, us)| (name, narrow(us))).collect(),
    })
}

fn read_service(
    reader: &mut FieldReader<'_>,
    schema: u64,
    name: Option<ids::ServiceName>,
) -> Option<service::ServiceRecord> {
    let path_prefix = read_path(reader, "path_prefix");
    let routes =
        if schema == 1 { read_non_repeatable(reader) } else { reader.tables("routes", read_route) };
    let timeout_ms = reader.count("timeout_ms", TIMEOUT_MS_RANGE);
    Some(service::ServiceRecord {
        name: name?,
        path_prefix: path_prefix?,
        routes: routes?,
        timeout_ms: timeout_ms?,
    })
}

/// Routes of schema 1: listed methods are not repeatable, other idempotent ones are.
fn read_non_repeatable(reader: &mut FieldReader<'_>) -> Option<Vec<service::ServiceRoute>> {
    let methods = reader.texts("non_repeatable_methods")?;
    let route = |method: &str, repeatable| service::ServiceRoute {
        method: method.to_owned(),
        path: String::new(),
        repeatable,
    };
    let mut routes = Vec::with_capacity(methods.len() + IDEMPOTENT_METHODS.len());
    for (index, method) in methods.iter().enumerate() {
        check_method(reader, &format!("non_repeatable_methods[{index}]"), method);
        routes.push(route(method, false));
    }
    let rest = IDEMPOTENT_METHODS.iter().filter(|method| !methods.contains(method));
    routes.extend(rest.map(|method| route(method, true)));
    Some(routes)
}

fn read_route(reader: &mut FieldReader<'_>) -> Option<service::ServiceRoute> {
    let method = reader.text("method");
    if let Some(method) = method {
        check_method(reader, "method", method);
    }
    let path =
        if reader.has("path") { read_path_text(reader, "path") } else { Some(String::new()) };
    let repeatable = reader.flag("repeatable");
    Some(service::ServiceRoute { method: method?.to_owned(), path: path?, repeatable: repeatable? })
}

fn check_method(reader: &mut FieldReader<'_>, field: &str, method: &str) {
    if !METHODS.contains(&method) {
        let message = format!("expected one of {}, found {method:?}", METHODS.join(" "));
        reader.report(field, RecordFault::OutOfRange, message);
    }
}

fn read_path(reader: &mut FieldReader<'_>, field: &'static str) -> Option<String> {
    let path = read_path_text(reader, field)?;
    if path.is_empty() || path.ends_with('/') {
        let message = format!("expected a path of at least one segment, found {path:?}");
        reader.report(field, RecordFault::OutOfRange, message);
        return None;
    }
    Some(path)
}

/// Path of plain segments, or nothing.
fn read_path_text(reader: &mut FieldReader<'_>, field: &'static str) -> Option<String> {
    let path = reader.text(field)?;
    let plain = |segment: &str| segment != "." && segment != "..";
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"/._~-".contains(&byte);
    let valid = path.is_empty()
        || (path.starts_with('/')
            && !path.contains("//")
            && path.bytes().all(allowed)
            && path.split('/').all(plain));
    if !valid {
        let message = format!("expected a path such as \"/stock\", found {path:?}");
        reader.report(field, RecordFault::OutOfRange, message);
        return None;
    }
    Some(path.to_owned())
}

/// Number whose range was checked to fit.
fn narrow(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
