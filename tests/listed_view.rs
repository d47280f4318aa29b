//! Age of the instance list, which decides whether a node reads the whole list itself.

use std::time::Duration;

use yuccareel::node_view::ListedView;

/// Guards against nodes that all read the list although their peers confirm it, and against a
/// confirmation of another list or an older read that counts.
#[test]
fn read_time_follows_confirmations() {
    struct Case {
        name: &'static str,
        same_digest: bool,
        known_s: Option<u64>,
        confirmed_s: u64,
        kept_s: Option<u64>,
    }
    let case = |name, same_digest, known_s, confirmed_s, kept_s| Case {
        name,
        same_digest,
        known_s,
        confirmed_s,
        kept_s,
    };
    let cases = [
        case("newer read of the same list", true, Some(5), 8, Some(8)),
        case("older read of the same list", true, Some(5), 3, Some(5)),
        case("newer read of another list", false, Some(5), 8, Some(5)),
        case("no list yet", true, None, 8, None),
    ];
    for case in cases {
        let mut listed = ListedView::default();
        if let Some(known) = case.known_s {
            listed.set(Vec::new(), Duration::from_secs(known));
        }
        let digest = if case.same_digest { listed.digest } else { !listed.digest };
        listed.confirm(digest, Duration::from_secs(case.confirmed_s));
        assert_eq!(listed.read_at, case.kept_s.map(Duration::from_secs), "{}", case.name);
    }
}
