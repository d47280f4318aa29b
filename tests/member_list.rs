//! Members whose addresses callers receive.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;
use yuccareel::relay::member_list::{MemberEntry, MemberList};

fn entry(index: u8, data_centre: &str) -> MemberEntry {
    MemberEntry {
        calls: SocketAddr::from(([10, 0, 0, index], 80)),
        tunnel: SocketAddr::from(([10, 0, 0, index], 81)),
        data_centre: data_centre.into(),
        region: if data_centre == "far" { "east".into() } else { "west".into() },
        feed: None,
        link_mbps: 0,
        is_ready: true,
    }
}

/// Guards against callers that are sent out of their region, or to only one or two instances
/// although the region has more.
#[test]
fn callers_get_near_members_if_there_are_enough() {
    struct AddressCase {
        region: Option<&'static str>,
        data_centre: Option<&'static str>,
        members: &'static [u8],
    }
    let mut members = MemberList::default();
    for (index, data_centre) in [(1, "a"), (2, "a"), (3, "a"), (4, "b"), (5, "far")] {
        members.apply_entry(index.to_string().as_str().into(), entry(index, data_centre), 1);
    }
    let cases = [
        AddressCase { region: Some("west"), data_centre: Some("a"), members: &[1, 2, 3] },
        AddressCase { region: Some("west"), data_centre: Some("b"), members: &[1, 2, 3, 4] },
        AddressCase { region: Some("east"), data_centre: Some("far"), members: &[5] },
        AddressCase { region: Some("north"), data_centre: None, members: &[1, 2, 3, 4, 5] },
        AddressCase { region: None, data_centre: None, members: &[1, 2, 3, 4, 5] },
    ];
    for case in cases {
        let mut found = members.call_addresses(case.region, case.data_centre, 3, 64);
        // The order is random.
        found.sort();
        let expected: Vec<_> =
            case.members.iter().map(|member| entry(*member, "a").calls).collect();
        assert_eq!(found, expected, "{:?} {:?}", case.region, case.data_centre);
    }
    assert_eq!(members.call_addresses(None, None, 3, 2).len(), 2);
}

/// Guards against members to which no caller ever connects, because each answer has room for only
/// some of them.
#[test]
fn every_member_of_a_large_data_centre_is_returned() {
    let mut members = MemberList::default();
    for index in 0..200 {
        members.apply_entry(index.to_string().as_str().into(), entry(index, "a"), 1);
    }
    let mut answer_counts = std::collections::HashMap::new();
    for _ in 0..300 {
        let found = members.call_addresses(Some("west"), Some("a"), 3, 64);
        assert_eq!(found.len(), 64);
        for address in found {
            *answer_counts.entry(address).or_insert(0) += 1;
        }
    }
    assert_eq!(answer_counts.len(), 200);
    // On average, a member is in 96 of 300 answers.
    assert!(answer_counts.values().all(|count| (40..200).contains(count)), "{answer_counts:?}");
}

/// Guards against live members that are removed because their entries expired in an outage of the
/// store, and against dead ones that are never removed after it.
#[test]
fn members_expired_in_an_outage_are_kept_for_the_grace_period() {
    let (mut members, now) = (MemberList::default(), Instant::now());
    members.apply_entry("m".into(), entry(1, "a"), 1);
    members.record_store_return(now);
    assert!(!members.expire_entry("m", now));
    assert_eq!(members.len(), 1);
    assert!(members.remove_expired(now + Duration::from_secs(1)).is_empty());
    assert_eq!(members.remove_expired(now + Duration::from_secs(3)).len(), 1);
    assert!(members.is_empty());
    members.apply_entry("m".into(), entry(1, "a"), 1);
    assert!(members.expire_entry("m", now + Duration::from_secs(60)));
}
