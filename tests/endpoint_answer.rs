//! Addresses for callers: order, weights and spread.

mod fixtures;

use std::collections::HashMap;

use fixtures::data_centre;
use yuccareel::config_snapshot::ConfigSnapshot;
use yuccareel::endpoint_answer::{EndpointDirectory, EndpointMember, TOTAL_WEIGHT};

fn members(groups: &[(&str, u16, bool)]) -> Vec<EndpointMember> {
    let mut port = 0;
    let mut members = Vec::new();
    for (data_centre, count, live) in groups {
        for _ in 0..*count {
            port += 1;
            let address = ([127, 0, 0, 1], port).into();
            members.push(EndpointMember {
                address,
                data_centre: (*data_centre).into(),
                live: *live,
            });
        }
    }
    members
}

fn records(drained: &[&str]) -> ConfigSnapshot {
    let distances = [("b", 300), ("c", 900), ("d", 500)];
    let names = ["a", "b", "c", "d"];
    let records = names.map(|name| {
        let distances = if name == "a" { &distances[..] } else { &[] };
        data_centre(name, drained.contains(&name), distances)
    });
    ConfigSnapshot::from_records(1, records)
}

/// Guards against answers that name leaving members, or leave far data centres without requests.
#[test]
fn answer_by_members() {
    struct Case {
        name: &'static str,
        groups: &'static [(&'static str, u16, bool)],
        drained: &'static [&'static str],
        data_centres: &'static str,
        near_weight: u32,
    }
    let cases = [
        Case { name: "none", groups: &[], drained: &[], data_centres: "", near_weight: 0 },
        Case {
            name: "near only",
            groups: &[("a", 2, true)],
            drained: &[],
            data_centres: "aa",
            near_weight: 1_000,
        },
        Case {
            name: "near first, then by distance",
            groups: &[("c", 2, true), ("b", 2, true), ("a", 3, true), ("d", 1, true)],
            drained: &[],
            data_centres: "aaabdcbc",
            near_weight: 600,
        },
        Case {
            name: "far only",
            groups: &[("c", 1, true), ("b", 1, true)],
            drained: &[],
            data_centres: "bc",
            near_weight: 0,
        },
        Case {
            name: "leaving",
            groups: &[("a", 2, false), ("b", 1, true)],
            drained: &[],
            data_centres: "b",
            near_weight: 0,
        },
        Case {
            name: "drained",
            groups: &[("a", 2, true), ("b", 1, true)],
            drained: &["a"],
            data_centres: "b",
            near_weight: 0,
        },
        Case {
            name: "all drained",
            groups: &[("a", 1, true), ("b", 1, true)],
            drained: &["a", "b"],
            data_centres: "ab",
            near_weight: 600,
        },
        Case {
            name: "bounded",
            groups: &[("a", 90, true), ("b", 90, true)],
            drained: &[],
            data_centres: "aaaaaaaabbbbbbbb",
            near_weight: 600,
        },
    ];
    for case in cases {
        let members = members(case.groups);
        let directory = EndpointDirectory::build(&members, &records(case.drained), "a");
        for hash in [0, 1, 7, u64::MAX] {
            let answer = directory.answer(hash);
            let names: String = answer.endpoints.iter().map(|row| &*row.data_centre).collect();
            assert_eq!(names, case.data_centres, "{}", case.name);
            let near = answer.endpoints.iter().filter(|row| &*row.data_centre == "a");
            assert_eq!(near.map(|row| row.weight).sum::<u32>(), case.near_weight, "{}", case.name);
            let total: u32 = answer.endpoints.iter().map(|row| row.weight).sum();
            assert_eq!(total, if names.is_empty() { 0 } else { TOTAL_WEIGHT }, "{}", case.name);
            let mut addresses: Vec<_> = answer.endpoints.iter().map(|row| row.address).collect();
            addresses.sort();
            addresses.dedup();
            assert_eq!(addresses.len(), names.len(), "{}: repeated address", case.name);
        }
    }
}

/// Guards against callers that all start at the same instance.
#[test]
fn callers_spread_out() {
    let members = members(&[("a", 20, true), ("b", 20, true)]);
    let directory = EndpointDirectory::build(&members, &records(&[]), "a");
    let mut weights: HashMap<_, u32> = HashMap::new();
    for caller in 0..2_000_u64 {
        for row in directory.answer(xxhash_rust::xxh3::xxh3_64(&caller.to_le_bytes())).endpoints {
            *weights.entry(row.address).or_default() += row.weight;
        }
    }
    assert_eq!(weights.len(), 40);
    for (address, weight) in weights {
        let mean = if address.port() <= 20 { 60_000.0 } else { 40_000.0 };
        let ratio = f64::from(weight) / mean;
        assert!((0.8..1.2).contains(&ratio), "{address}: {ratio}");
    }
}
