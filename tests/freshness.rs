//! Decision on new work, by the age of the confirmation and the reachable members.

use std::time::Duration;

use yuccareel::freshness::{ConfirmationClock, Freshness};
use yuccareel::member_reach::MemberReach;
use yuccareel::peer_message::NodeStatus;

const NOW: Duration = Duration::from_secs(100);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn status(sequence: u64, age_ms: Option<u64>) -> NodeStatus {
    NodeStatus { sequence, confirmation_age: age_ms.map(ms), ..NodeStatus::default() }
}

/// Guards against work under records that may have changed, against a stop of all nodes in an
/// outage of the key-value service, and against changes accepted by a minority.
#[test]
fn freshness_by_age_and_reach() {
    struct Case {
        name: &'static str,
        own_age_ms: Option<u64>,
        /// Age reported by a peer, and whether the peer is ahead.
        peer_age_ms: Option<(u64, bool)>,
        /// Members reached, of 8.
        reached: usize,
        freshness: Freshness,
        accepts: bool,
    }
    use Freshness::{Confirmed, Isolated, OutageQuorum};
    let case = |name, own_age_ms, peer_age_ms, reached, freshness, accepts| Case {
        name,
        own_age_ms,
        peer_age_ms,
        reached,
        freshness,
        accepts,
    };
    let cases = [
        case("confirmed", Some(0), None, 8, Confirmed, true),
        case("confirmed at 3 s", Some(3_000), None, 5, Confirmed, true),
        case("confirmed, minority", Some(1_000), None, 4, Confirmed, false),
        case("confirmed by a peer", Some(9_000), Some((1_000, false)), 5, Confirmed, true),
        case("outage", Some(3_001), None, 5, OutageQuorum, false),
        case("long outage", Some(90_000), Some((95_000, false)), 8, OutageQuorum, false),
        case("outage, half", Some(3_001), None, 4, Isolated, false),
        case("outage, alone", Some(3_001), None, 1, Isolated, false),
        case("peer newer, ahead", Some(9_000), Some((8_000, true)), 8, Isolated, false),
        case("fresh peer ahead", Some(9_000), Some((1_000, true)), 8, Isolated, false),
        case("peer older, ahead", Some(8_000), Some((9_000, true)), 8, OutageQuorum, false),
        case("never confirmed, majority", None, None, 8, OutageQuorum, false),
        case("never confirmed, minority", None, None, 3, Isolated, false),
    ];
    for case in cases {
        let mut clock = ConfirmationClock::default();
        if let Some(age) = case.own_age_ms {
            assert!(clock.confirm(NOW - ms(age), 7, 7));
        }
        if let Some((age, ahead)) = case.peer_age_ms {
            let adopted = clock.adopt(NOW, &status(if ahead { 8 } else { 7 }, Some(age)), 7);
            assert_eq!(adopted, !ahead, "{}", case.name);
        }
        let reach =
            MemberReach { listed: 8, exchanged: case.reached, exchanged_in_outage: case.reached };
        assert_eq!(clock.freshness(NOW, reach), case.freshness, "{}", case.name);
        assert_eq!(clock.accepts_changes(NOW, reach), case.accepts, "{}", case.name);
    }
}

/// Guards against a confirmation of a newer configuration that makes the older one look fresh.
#[test]
fn confirmation_waits_for_its_configuration() {
    let reach = MemberReach { listed: 8, exchanged: 8, exchanged_in_outage: 8 };
    let mut clock = ConfirmationClock::default();
    assert!(!clock.adopt(NOW, &status(8, Some(0)), 7));
    assert_eq!(clock.freshness(NOW, reach), Freshness::Isolated);
    assert!(clock.adopt(NOW, &status(8, Some(0)), 8), "after the changes were fetched");
    assert_eq!(clock.freshness(NOW, reach), Freshness::Confirmed);
    assert!(!clock.confirm(NOW + ms(5_000), 9, 8), "the node's own read shows a newer head");
    assert_eq!(clock.freshness(NOW + ms(5_000), reach), Freshness::Isolated);
}

/// Guards against transit time that makes a confirmation look younger, and against a late
/// reply that makes the newest one look older.
#[test]
fn age_counts_from_the_request() {
    let mut clock = ConfirmationClock::default();
    clock.adopt(NOW, &status(1, Some(500)), 1);
    assert_eq!(clock.age(NOW + ms(800)), Some(ms(1_300)));
    clock.adopt(NOW - ms(400), &status(1, Some(500)), 1);
    assert_eq!(clock.age(NOW + ms(800)), Some(ms(1_300)));
    clock.adopt(NOW, &status(1, None), 1);
    assert_eq!(clock.age(NOW), Some(ms(500)));
}

/// Guards against an empty list that counts as a majority.
#[test]
fn majority_is_more_than_half() {
    for (listed, exchanged, majority) in
        [(0, 0, false), (1, 1, true), (2, 1, false), (3, 2, true), (8, 4, false), (8, 5, true)]
    {
        let reach = MemberReach { listed, exchanged, exchanged_in_outage: exchanged };
        assert_eq!(reach.majority(), majority, "{exchanged}/{listed}");
        assert_eq!(reach.outage_majority(), majority, "{exchanged}/{listed}");
    }
}
