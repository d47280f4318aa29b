//! Records that several test files share.
#![allow(dead_code)]

use yuccareel::record_reader::{LocatedRecord, RecordBatch};

/// Records without faults: two models, a cascade, a rollout, a data centre, a service, a customer.
pub const GOOD: &str = r#"
[[record]]
schema = 2
kind = "model"
name = "small"
versions = [{ name = "v1" }, { name = "v2" }, { name = "v0", state = "withdrawn" }]
default_version = "v1"
input_cost_per_1k = 100
output_cost_per_1k = 300
prior_quality = 0.7
warm_concurrency = 16

[[record]]
schema = 2
kind = "model"
name = "large"
versions = [{ name = "v1" }]
default_version = "v1"
input_cost_per_1k = 1000
output_cost_per_1k = 3000
prior_quality = 0.95
warm_concurrency = 8

[[record]]
schema = 2
kind = "cascade"
name = "ladder"
steps = [{ model = "small" }, { model = "large" }]

[[record]]
schema = 2
kind = "rollout"
name = "small-v2"
model = "small"
from = "v1"
to = "v2"
stages = [0.1, 0.5, 1.0]
stage_dwell_s = 60
stage_min_requests = 100
max_error_rise = 0.02
max_quality_fall = 0.05

[[record]]
schema = 2
kind = "data_centre"
name = "evesham"
region = "midlands"
distance_us = { pershore = 300 }

[[record]]
schema = 1
kind = "service"
name = "hire-desk"
path_prefix = "/hire"
non_repeatable_methods = ["POST"]
timeout_ms = 2000

[[record]]
schema = 1
kind = "customer"
name = "pickers"
token_sha256 = ["aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"]
models = ["small", "large"]
quality_target = 0.9
cascade = "ladder"
limits = { requests_per_s = 50.0, concurrency = 20, spend_per_day = 1000000 }
"#;

/// Reads TOML that is expected to hold valid records.
pub fn read(text: &str) -> Vec<LocatedRecord> {
    let mut batch = RecordBatch::default();
    batch.read_file("good.toml", text.as_bytes());
    assert!(batch.findings.is_empty(), "{:?}", batch.findings);
    batch.records
}
