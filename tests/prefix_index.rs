//! Prefix affinity from own sends and from cache events that arrive late and with gaps.

use std::sync::Arc;

use proptest::prelude::*;
use yuccareel::prefix_index::{self, CacheEvent, MAX_BONUS_FRACTION, MAX_PREFIXES, PrefixIndex};

fn event(boot: &str, sequence: u64, stored: &[u64], evicted: &[u64]) -> CacheEvent {
    CacheEvent {
        replica: Arc::from("r"),
        boot: Arc::from(boot),
        sequence,
        stored: stored.to_vec(),
        evicted: evicted.to_vec(),
    }
}

/// Guards against prefixes that stay in the index after an eviction or a restart, and against those
/// that a gap or a repeated event removes.
#[test]
fn events_change_the_held_prefixes() {
    struct Case {
        name: &'static str,
        events: Vec<CacheEvent>,
        held: &'static [u64],
    }
    let first = || event("a", 1, &[1, 2], &[]);
    let cases = [
        Case { name: "stored", events: vec![first()], held: &[1, 2] },
        Case { name: "evicted", events: vec![first(), event("a", 2, &[3], &[1])], held: &[2, 3] },
        Case { name: "gap", events: vec![first(), event("a", 3, &[3], &[1])], held: &[2, 3] },
        Case { name: "new boot", events: vec![first(), event("b", 1, &[3], &[])], held: &[3] },
        Case {
            name: "repeated",
            events: vec![first(), event("a", 2, &[], &[1]), first()],
            held: &[2],
        },
        Case {
            name: "last event repeated",
            events: vec![first(), event("a", 2, &[], &[1]), event("a", 2, &[], &[1])],
            held: &[2],
        },
        Case {
            name: "evicted after a gap",
            events: vec![first(), event("a", 5, &[], &[]), event("a", 6, &[], &[2])],
            held: &[1],
        },
    ];
    for case in cases {
        let mut index = PrefixIndex::default();
        index.record_send(&Arc::from("other"), &[1, 2, 3]);
        case.events.iter().for_each(|event| index.apply_event(event));
        let held: Vec<u64> =
            (1..=3).filter(|prefix| index.replica_bonus("r", &[*prefix]) > 0.0).collect();
        assert_eq!(held, case.held, "{}", case.name);
        assert_eq!(index.replica_bonus("other", &[1, 2, 3]), MAX_BONUS_FRACTION, "{}", case.name);
    }
}

/// Guards against a bonus for a replica without the prefix, and against a full bonus for a shorter
/// prefix.
#[test]
fn bonus_grows_with_the_longest_prefix() {
    let prompt: Vec<u8> = (0..5_000_u32).map(|number| (number % 251) as u8).collect();
    let prefixes = prefix_index::prompt_prefixes(&prompt);
    assert_eq!(prefixes.len(), 3);
    assert!(prefix_index::prompt_prefixes(&prompt[..255]).is_empty());
    let mut index = PrefixIndex::default();
    index.record_send(&Arc::from("long"), &prefixes);
    index.record_send(&Arc::from("short"), &prefixes[..1]);
    let bonus = |replica| index.replica_bonus(replica, &prefixes);
    assert_eq!((bonus("long"), bonus("none")), (MAX_BONUS_FRACTION, 0.0));
    assert!(bonus("short") > 0.0 && bonus("short") < bonus("long"));
    assert_eq!(index.replica_bonus("long", &[]), 0.0);
}

proptest! {
    /// Guards against an index that grows without bound or keeps rows of removed replicas.
    #[test]
    fn index_stays_bounded(sends in prop::collection::vec((0_u64..20_000, 0_u32..20), 0..300)) {
        let mut index = PrefixIndex::default();
        index.record_send(&Arc::from("r0"), &(100_000..104_096).collect::<Vec<_>>());
        for (prefix, replica) in &sends {
            index.record_send(&Arc::from(format!("r{replica}")), &[*prefix, prefix / 2]);
            prop_assert!(index.len() <= MAX_PREFIXES);
        }
        if let Some((prefix, replica)) = sends.last() {
            let bonus = index.replica_bonus(&format!("r{replica}"), &[*prefix]);
            prop_assert!(bonus > 0.0);
        }
        (0..20).for_each(|replica| index.remove_replica(&format!("r{replica}")));
        prop_assert!(index.is_empty());
    }
}
