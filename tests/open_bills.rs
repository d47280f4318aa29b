//! Properties of the open bills that an instance and its peers extend together.

mod ledger_support;

use std::collections::BTreeMap;

use ledger_support::bill;
use proptest::prelude::{Strategy, any, prop_assert, prop_assert_eq, proptest};
use yuccareel::bill_batch::{BillBatch, BillNumber};
use yuccareel::open_bills::OpenBills;

/// Action of the instance or of one of its peers.
#[derive(Clone, Debug)]
enum Action {
    /// The instance records a bill; each flagged peer receives a copy.
    Record([bool; 2]),
    /// A side reads the chain up to a number of batches, and extends it when flagged.
    Flush(usize, usize, bool),
    /// The instance's report of its flushed bills reaches a peer.
    Report(usize),
}

fn action() -> impl Strategy<Value = Action> {
    proptest::prop_oneof![
        4 => any::<[bool; 2]>().prop_map(Action::Record),
        3 => (0..3_usize, 0..4_usize, any::<bool>())
            .prop_map(|(side, reads, writes)| Action::Flush(side, reads, writes)),
        1 => (0..2_usize).prop_map(Action::Report),
    ]
}

/// Reads some batches, then writes at the end of the chain as far as the side knows it.
fn flush(
    chain: &mut BTreeMap<BillNumber, BillBatch>,
    side: &mut OpenBills,
    reads: usize,
    writes: bool,
) {
    for _ in 0..reads {
        let Some(batch) = chain.get(&(side.flushed() + 1)) else { break };
        side.adopt(batch);
    }
    if let Some(batch) = side.next_batch().filter(|_| writes) {
        let written = chain.entry(batch.first).or_insert(batch).clone();
        side.adopt(&written);
    }
}

/// Guards against a peer that bills again what the instance has flushed under another number.
#[test]
fn report_ends_bills_renumbered_here() {
    let mut peer = OpenBills::default();
    peer.insert(1, bill(1, "rungwell"));
    let without_first =
        BillBatch { first: 1, last: 1, missing: vec![(1, 1)], customers: BTreeMap::new() };
    peer.adopt(&without_first);
    peer.insert(2, bill(2, "rungwell"));
    peer.insert(3, bill(3, "rungwell"));
    assert_eq!(peer.next_batch().map(|batch| batch.last), Some(4));
    peer.drop_through(2);
    assert!(!peer.contains(1) && !peer.contains(2) && peer.contains(3));
}

proptest! {
    /// Guards against orders of records, copies, reports and flushes that lose a bill, bill a
    /// request twice, or write ranges that overlap.
    #[test]
    fn chain_bills_each_request_once(actions in proptest::collection::vec(action(), 1..60)) {
        let mut sides = [OpenBills::default(), OpenBills::default(), OpenBills::default()];
        let mut chain = BTreeMap::new();
        let mut recorded = 0;
        for action in actions {
            match action {
                Action::Record(copied) => {
                    recorded += 1;
                    let number = sides[0].push(bill(recorded, "rungwell"));
                    for (peer, _) in copied.iter().enumerate().filter(|(_, copied)| **copied) {
                        let flushed = sides[0].flushed();
                        sides[peer + 1].drop_through(flushed);
                        if number > sides[peer + 1].flushed() {
                            sides[peer + 1].insert(number, bill(recorded, "rungwell"));
                        }
                    }
                }
                Action::Flush(side, reads, writes) => {
                    flush(&mut chain, &mut sides[side], reads, writes);
                }
                Action::Report(peer) => {
                    let flushed = sides[0].flushed();
                    sides[peer + 1].drop_through(flushed);
                }
            }
        }
        for _ in 0..200 {
            sides.iter_mut().for_each(|side| flush(&mut chain, side, 9, true));
        }
        let mut last = 0;
        let mut counts = BTreeMap::new();
        for batch in chain.values() {
            prop_assert_eq!(batch.first, last + 1);
            last = batch.last;
            for (_, line) in batch.lines() {
                *counts.entry(line.request).or_insert(0) += 1;
            }
        }
        prop_assert!(sides.iter().all(OpenBills::is_empty));
        prop_assert!(sides.iter().all(|side| side.size_bytes() == 0));
        prop_assert_eq!(counts, (1..=recorded).map(|request| (request, 1)).collect());
    }
}
