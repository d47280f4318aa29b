//! Members that callers are told to connect to.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;
use yuccareel::relay::member_list::{MemberEntry, MemberList};

fn entry(place: u8, data_centre: &str) -> MemberEntry {
    MemberEntry {
        calls: SocketAddr::from(([10, 0, 0, place], 80)),
        tunnel: SocketAddr::from(([10, 0, 0, place], 81)),
        data_centre: data_centre.into(),
        region: if data_centre == "far" { "east".into() } else { "west".into() },
    }
}

/// Guards against callers that are sent out of their region, or to one or two instances only.
#[test]
fn callers_connect_nearby_where_there_are_enough() {
    struct PlaceCase {
        region: Option<&'static str>,
        data_centre: Option<&'static str>,
        places: &'static [u8],
    }
    let mut members = MemberList::default();
    for (place, data_centre) in [(1, "a"), (2, "a"), (3, "a"), (4, "b"), (5, "far")] {
        members.put(place.to_string().as_str().into(), entry(place, data_centre), 1);
    }
    let cases = [
        PlaceCase { region: Some("west"), data_centre: Some("a"), places: &[1, 2, 3] },
        PlaceCase { region: Some("west"), data_centre: Some("b"), places: &[1, 2, 3, 4] },
        PlaceCase { region: Some("east"), data_centre: Some("far"), places: &[5] },
        PlaceCase { region: Some("north"), data_centre: None, places: &[1, 2, 3, 4, 5] },
        PlaceCase { region: None, data_centre: None, places: &[1, 2, 3, 4, 5] },
    ];
    for case in cases {
        let mut found = members.addresses(case.region, case.data_centre, 3, 64);
        // Callers pick one at random, so that the order says nothing.
        found.sort();
        let expected: Vec<_> = case.places.iter().map(|place| entry(*place, "a").calls).collect();
        assert_eq!(found, expected, "{:?} {:?}", case.region, case.data_centre);
    }
    assert_eq!(members.addresses(None, None, 3, 2).len(), 2);
}

/// Guards against members that no caller ever connects to, because an answer has room for some only.
#[test]
fn every_member_of_a_large_data_centre_is_named() {
    let mut members = MemberList::default();
    for place in 0..200 {
        members.put(place.to_string().as_str().into(), entry(place, "a"), 1);
    }
    let mut named = std::collections::HashMap::new();
    for _ in 0..300 {
        let found = members.addresses(Some("west"), Some("a"), 3, 64);
        assert_eq!(found.len(), 64);
        for address in found {
            *named.entry(address).or_insert(0) += 1;
        }
    }
    assert_eq!(named.len(), 200);
    // Each is named in 96 of 300 answers on average.
    assert!(named.values().all(|count| (40..200).contains(count)), "{named:?}");
}

/// Guards against members that vanish with an outage of the store, and against dead ones that
/// are named for ever after it.
#[test]
fn members_that_lapsed_with_the_store_are_kept_for_a_while() {
    let (mut members, now) = (MemberList::default(), Instant::now());
    members.put("m".into(), entry(1, "a"), 1);
    members.store_returned(now);
    assert!(!members.remove("m", now));
    assert_eq!(members.len(), 1);
    assert!(members.remove_expired(now + Duration::from_secs(1)).is_empty());
    assert_eq!(members.remove_expired(now + Duration::from_secs(3)).len(), 1);
    assert!(members.is_empty());
    members.put("m".into(), entry(1, "a"), 1);
    assert!(members.remove("m", now + Duration::from_secs(60)));
}
