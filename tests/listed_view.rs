//! Instance list of one node: whole lists and pushed changes in every order.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use yuccareel::instance_list::{InstanceRole, InstanceState, ListedInstance};
use yuccareel::listed_view::ListedView;
use yuccareel::peer_message::PushRequest;

/// News of the list, with the time of the read or of the receipt.
enum ListNews {
    /// Whole list with the state of the engine, none when it is not listed.
    Whole(u64, Option<InstanceState>),
    /// Pushed change of the engine, none when it was removed.
    Pushed(u64, Option<InstanceState>),
}

struct ListCase {
    name: &'static str,
    news: &'static [ListNews],
    /// State of the engine afterwards.
    state: Option<InstanceState>,
}

use InstanceState::{Leaving, Live};
use ListNews::{Pushed, Whole};

const CASES: [ListCase; 10] = [
    ListCase {
        name: "a whole list read before the push does not undo it",
        news: &[Whole(1, Some(Live)), Pushed(5, Some(Leaving)), Whole(4, Some(Live))],
        state: Some(Leaving),
    },
    ListCase {
        name: "a whole list read before the push does not bring a removed engine back",
        news: &[Whole(1, Some(Live)), Pushed(5, None), Whole(4, Some(Live))],
        state: None,
    },
    ListCase {
        name: "an added engine stays when an older list lacks it",
        news: &[Whole(1, None), Pushed(5, Some(Live)), Whole(4, None)],
        state: Some(Live),
    },
    ListCase {
        name: "a whole list read after the push counts",
        news: &[Whole(1, Some(Live)), Pushed(5, Some(Leaving)), Whole(6, Some(Live))],
        state: Some(Live),
    },
    ListCase {
        name: "a late push does not bring a leaving engine back",
        news: &[Whole(1, Some(Leaving)), Pushed(2, Some(Live))],
        state: Some(Leaving),
    },
    ListCase {
        name: "a late push does not bring a removed engine back",
        news: &[Whole(1, Some(Live)), Pushed(2, None), Pushed(3, Some(Live))],
        state: None,
    },
    ListCase {
        name: "a whole list brings a removed engine back",
        news: &[Whole(1, Some(Live)), Pushed(2, None), Whole(3, Some(Live))],
        state: Some(Live),
    },
    ListCase {
        name: "an older whole list is ignored",
        news: &[Whole(3, Some(Leaving)), Whole(2, Some(Live))],
        state: Some(Leaving),
    },
    ListCase {
        name: "a push before any whole list counts",
        news: &[Pushed(2, Some(Leaving)), Whole(1, Some(Live))],
        state: Some(Leaving),
    },
    ListCase {
        name: "the push is forgotten once a later list was read",
        news: &[Pushed(5, Some(Leaving)), Whole(6, Some(Leaving)), Whole(7, Some(Live))],
        state: Some(Live),
    },
];

fn push(state: Option<InstanceState>) -> PushRequest {
    PushRequest {
        instances: state.map(engine).into_iter().collect(),
        removed_instances: Vec::from_iter(state.is_none().then(|| "e1".into())),
        ..Default::default()
    }
}

fn engine(state: InstanceState) -> ListedInstance {
    ListedInstance {
        name: "e1".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        peer_address: None,
        data_centre: "dc-a".into(),
        role: InstanceRole::Service { service: "hire-desk".into() },
        state,
    }
}

/// Guards against new work for a leaving backend server: a list that was read earlier undid
/// the change that a peer had pushed.
#[test]
fn older_lists_do_not_undo_pushed_changes() {
    for case in &CASES {
        let mut view = ListedView::default();
        for news in case.news {
            match news {
                Whole(read_at, state) => {
                    let entries = state.map(engine).into_iter().collect();
                    view.adopt(entries, Duration::from_secs(*read_at));
                }
                Pushed(at, state) => {
                    view.apply_push(&push(*state), Duration::from_secs(*at));
                }
            }
        }
        assert_eq!(view.entries.first().map(|entry| entry.state), case.state, "{}", case.name);
    }
}

/// Guards against an old and a new push that undo each other at every node and are relayed
/// without end: nodes read the list and were reverted by the next relay, for seconds.
#[test]
fn relayed_pushes_settle_on_the_last_state() {
    const NODES: usize = 3;
    const DELIVERIES_MAX: usize = 100;
    for last in [Some(Leaving), None] {
        for seed in 0..200 {
            let mut random = StdRng::seed_from_u64(seed);
            let mut views = vec![ListedView::default(); NODES];
            let mut pending: Vec<(usize, Option<InstanceState>)> = Vec::new();
            // Some nodes know the engine; the first push is still on its way to the others.
            for (node, view) in views.iter_mut().enumerate() {
                match random.random_bool(0.5) {
                    true => drop(view.adopt(vec![engine(Live)], Duration::from_secs(1))),
                    false => pending.push((node, Some(Live))),
                }
            }
            views[0].adopt(vec![engine(Live)], Duration::from_secs(1));
            views[0].adopt(last.map(engine).into_iter().collect(), Duration::from_secs(2));
            pending.extend((1..NODES).map(|node| (node, last)));
            let mut deliveries = 0;
            while !pending.is_empty() {
                let (node, state) = pending.swap_remove(random.random_range(0..pending.len()));
                deliveries += 1;
                assert!(deliveries <= DELIVERIES_MAX, "seed {seed}: pushes go on for ever");
                if views[node].apply_push(&push(state), Duration::from_secs(3)) {
                    let others = (0..NODES).filter(|other| *other != node);
                    pending.extend(others.map(|other| (other, state)));
                }
            }
            // A node that never knew the engine takes its removal for nothing new and may learn
            // of it by the late push; the next whole list tells it.
            let knew = |view: &&ListedView| view.read_at >= Some(Duration::from_secs(1));
            for view in views.iter().filter(|view| last.is_some() || knew(view)) {
                let state = view.entries.first().map(|entry| entry.state);
                assert_eq!(state, last, "seed {seed}");
            }
        }
    }
}

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
            listed.adopt(Vec::new(), Duration::from_secs(known));
        }
        let digest = if case.same_digest { listed.digest } else { !listed.digest };
        listed.confirm(digest, Duration::from_secs(case.confirmed_s));
        assert_eq!(listed.read_at, case.kept_s.map(Duration::from_secs), "{}", case.name);
    }
}
