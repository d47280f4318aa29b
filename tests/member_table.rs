//! Merge of the member table: order, duplicates and late rows; states by age.

use std::net::SocketAddr;
use std::time::Duration;

use proptest::prelude::*;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use yuccareel::instance_list::{InstanceRole, InstanceState, ListedInstance};
use yuccareel::member_age::MemberAge;
use yuccareel::member_choice;
use yuccareel::member_digest::DIGEST_BUCKETS;
use yuccareel::member_row::{MemberRow, MemberState};
use yuccareel::member_table::{CHANGED_ROWS, MemberTable};
use yuccareel::peer_message::{AgedRow, Heartbeat, NodeStatus};

const STATUS: NodeStatus =
    NodeStatus { sequence: 0, confirmation_age: None, list_digest: 0, list_age: None };

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn row(name: &str, incarnation: u64, leaving: bool) -> MemberRow {
    MemberRow {
        incarnation,
        leaving,
        name: name.into(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        peer_address: SocketAddr::from(([10, 0, 0, 1], 81)),
        data_centre: "evesham".into(),
    }
}

fn listed(name: &str, data_centre: &str, state: InstanceState) -> ListedInstance {
    ListedInstance {
        name: name.into(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        peer_address: Some(SocketAddr::from(([10, 0, 0, 1], 81))),
        data_centre: data_centre.into(),
        role: InstanceRole::Entry,
        state,
    }
}

fn table() -> MemberTable {
    MemberTable::new(row("own", 5, false), Duration::ZERO)
}

fn heartbeat(sender: &str, rows: Vec<MemberRow>) -> Heartbeat {
    let age = MemberAge::from_byte(0);
    let rows = rows.into_iter().map(|row| AgedRow { row, age }).collect();
    Heartbeat { sender: sender.into(), status: STATUS, rows, digests: [0; DIGEST_BUCKETS] }
}

fn hear(table: &mut MemberTable, now: Duration, rows: Vec<MemberRow>) {
    table.receive(now, &heartbeat("peer", rows), STATUS);
}

/// Guards against a stale row that overrides a newer one.
#[test]
fn newer_row_wins() {
    struct Case {
        name: &'static str,
        rows: &'static [(u64, bool)],
        kept: (u64, bool),
    }
    let cases = [
        Case { name: "higher incarnation", rows: &[(1, false), (2, false)], kept: (2, false) },
        Case { name: "lower incarnation", rows: &[(2, false), (1, false)], kept: (2, false) },
        Case { name: "leaving", rows: &[(1, false), (1, true)], kept: (1, true) },
        Case { name: "late live row", rows: &[(1, true), (1, false)], kept: (1, true) },
        Case { name: "restart", rows: &[(1, true), (2, false)], kept: (2, false) },
        Case { name: "duplicate", rows: &[(1, true), (1, true)], kept: (1, true) },
        Case { name: "row of the list", rows: &[(1, false), (0, true)], kept: (1, false) },
    ];
    for case in cases {
        let mut table = table();
        for &(incarnation, leaving) in case.rows {
            hear(&mut table, seconds(1), vec![row("a", incarnation, leaving)]);
        }
        let kept = &table.find("a").expect(case.name).row;
        assert_eq!((kept.incarnation, kept.leaving), case.kept, "{}", case.name);
    }
}

/// Guards against wrong limits of suspicion and death, against a node that stays dead, and
/// against one that has left and becomes a home again while it is silent.
#[test]
fn state_follows_age() {
    struct Case {
        name: &'static str,
        leaving: bool,
        age_ms: u64,
        state: MemberState,
    }
    let cases = [
        Case { name: "heard now", leaving: false, age_ms: 0, state: MemberState::Live },
        Case { name: "below 5 s", leaving: false, age_ms: 4_999, state: MemberState::Live },
        Case { name: "at 5 s", leaving: false, age_ms: 5_000, state: MemberState::Suspect },
        Case { name: "below 10 s", leaving: false, age_ms: 9_999, state: MemberState::Suspect },
        Case { name: "at 10 s", leaving: false, age_ms: 10_000, state: MemberState::Dead },
        Case { name: "leaving", leaving: true, age_ms: 0, state: MemberState::Leaving },
        Case { name: "silent", leaving: true, age_ms: 5_000, state: MemberState::Leaving },
        Case { name: "left", leaving: true, age_ms: 10_000, state: MemberState::Dead },
    ];
    for case in cases {
        let mut table = table();
        hear(&mut table, seconds(1), vec![row("a", 1, case.leaving)]);
        let now = seconds(1) + Duration::from_millis(case.age_ms);
        assert_eq!(table.find("a").unwrap().state(now), case.state, "{}", case.name);
        hear(&mut table, now, vec![row("a", 2, false)]);
        assert_eq!(table.find("a").unwrap().state(now), MemberState::Live, "{}", case.name);
    }
}

/// Guards against a list that overrides heartbeats, and against a restarted node that stays
/// leaving because the list lags.
#[test]
fn list_adds_and_marks_leaving() {
    let mut table = table();
    let live = listed("a", "evesham", InstanceState::Live);
    let leaving = listed("a", "evesham", InstanceState::Leaving);
    table.merge_list(seconds(1), std::slice::from_ref(&live));
    assert_eq!(table.find("a").unwrap().state(seconds(2)), MemberState::Live);
    table.merge_list(seconds(2), std::slice::from_ref(&leaving));
    assert_eq!(table.find("a").unwrap().state(seconds(2)), MemberState::Leaving);
    hear(&mut table, seconds(2), vec![row("a", 7, false)]);
    assert_eq!(table.find("a").unwrap().state(seconds(2)), MemberState::Leaving);
    table.merge_list(seconds(3), std::slice::from_ref(&live));
    assert_eq!(table.find("a").unwrap().state(seconds(3)), MemberState::Live);
    hear(&mut table, seconds(3), vec![row("a", 7, true)]);
    table.merge_list(seconds(4), std::slice::from_ref(&live));
    assert_eq!(table.find("a").unwrap().state(seconds(4)), MemberState::Leaving);
    table.merge_list(seconds(5), &[]);
    assert!(table.find("a").is_some(), "a node with heartbeats outlives the list");
    assert_eq!(table.find("a").unwrap().state(seconds(20)), MemberState::Dead);
    table.forget_dead(seconds(62));
    assert!(table.find("a").is_some(), "kept below 60 s");
    table.forget_dead(seconds(63));
    assert!(table.find("a").is_none(), "forgotten after 60 s");
    assert_eq!(*table.digests(), *MemberTable::new(row("own", 5, false), seconds(0)).digests());
}

/// Guards against a restarted node whose peers keep the row of its earlier start.
#[test]
fn own_row_outbids_earlier_start() {
    let mut table = table();
    hear(&mut table, seconds(1), vec![row("own", 9, true)]);
    let own = &table.own_entry().row;
    assert_eq!((own.incarnation, own.leaving), (10, false));
}

/// Guards against requests that count as proof of an exchange: their transit time is unknown.
#[test]
fn only_replies_prove_exchange() {
    let (mut left, mut right) = (table(), MemberTable::new(row("right", 1, false), seconds(0)));
    let list = [
        listed("own", "evesham", InstanceState::Live),
        listed("right", "evesham", InstanceState::Live),
        listed("third", "evesham", InstanceState::Live),
    ];
    left.merge_list(seconds(0), &list);
    right.merge_list(seconds(0), &list);
    let sent = left.heartbeat(seconds(1), STATUS);
    let reply = right.receive(seconds(3), &sent, STATUS);
    assert!(!right.reach(seconds(3)).majority(), "the called side counts only itself");
    left.merge_reply(seconds(1), &sent, &reply);
    assert!(left.reach(seconds(4)).majority(), "2 of 3, 3 s after the request was sent");
    assert!(!left.reach(Duration::from_millis(4_001)).majority(), "counted from the sending");
}

/// Guards against heartbeats that grow with the number of changes.
#[test]
fn changed_rows_are_bounded() {
    let mut table = table();
    let rows: Vec<_> = (0..200).map(|index| row(&format!("n{index}"), 1, false)).collect();
    hear(&mut table, seconds(1), rows);
    let sent = table.heartbeat(seconds(1), STATUS);
    assert_eq!(sent.rows.len(), 1 + CHANGED_ROWS);
    let reply = table.receive(seconds(1), &heartbeat("b", Vec::new()), STATUS);
    assert_eq!(reply.rows.len(), 1 + CHANGED_ROWS);
    assert_eq!(sent.rows[0].row, table.own_entry().row);
    assert_eq!(reply.rows[0].row, table.own_entry().row);
}

/// Guards against a started node that sends each row it learned as news, and against news that
/// is not sent because a peer knows the other rows.
#[test]
fn only_news_is_sent() {
    let rows: Vec<_> = (0..200).map(|index| row(&format!("n{index}"), 1, false)).collect();
    let (mut table, mut peer) = (table(), MemberTable::new(row("peer", 1, false), seconds(0)));
    hear(&mut table, seconds(1), rows.clone());
    hear(&mut peer, seconds(1), rows);
    hear(&mut peer, seconds(1), vec![row("own", 5, false)]);
    // Without an answer that ends it, 200 rows are sent 12 times in 75 heartbeats.
    for exchange in 0..24 {
        let now = seconds(2) + Duration::from_millis(10) * exchange;
        let sent = table.heartbeat(now, STATUS);
        let reply = peer.receive(now, &sent, STATUS);
        table.merge_reply(now, &sent, &reply);
    }
    assert_eq!(table.heartbeat(seconds(3), STATUS).rows.len(), 1, "the peer knew all rows");
    hear(&mut table, seconds(3), vec![row("new", 1, false)]);
    let sent = table.heartbeat(seconds(4), STATUS);
    let reply = peer.receive(seconds(4), &sent, STATUS);
    table.merge_reply(seconds(4), &sent, &reply);
    assert_eq!(sent.rows.len(), 2);
    assert_eq!(table.heartbeat(seconds(5), STATUS).rows.len(), 2, "this peer heard it just now");
}

/// Guards against a truncated or oversized list of ages that panics or shifts.
#[test]
fn malformed_ages_are_ignored() {
    for ages in [vec![], vec![200], vec![0, 0, 9], vec![255; 400]] {
        let mut left = table();
        hear(&mut left, seconds(1), vec![row("a", 1, false)]);
        let sent = left.heartbeat(seconds(2), STATUS);
        let mut reply = left.clone().receive(seconds(2), &sent, STATUS);
        reply.rows.clear();
        (reply.matching, reply.ages) = (u64::MAX, ages);
        left.merge_reply(seconds(2), &sent, &reply);
        assert_eq!(left.find("a").unwrap().exchanged_at, None);
    }
}

/// Guards against targets that miss other data centres, repeat, or include the node itself,
/// and against a node that has lost all peers and never tries them again.
#[test]
fn targets_fill_from_other_groups() {
    struct Case {
        name: &'static str,
        near: usize,
        far: usize,
        now: Duration,
        targets: usize,
        most_near: usize,
    }
    let now = seconds(1);
    let cases = [
        Case { name: "both groups", near: 5, far: 5, now, targets: 3, most_near: 2 },
        Case { name: "few near", near: 1, far: 5, now, targets: 3, most_near: 1 },
        Case { name: "none far", near: 5, far: 0, now, targets: 3, most_near: 3 },
        Case { name: "alone", near: 0, far: 0, now, targets: 0, most_near: 0 },
        Case { name: "one peer", near: 0, far: 1, now, targets: 1, most_near: 0 },
        Case { name: "all dead", near: 3, far: 3, now: seconds(60), targets: 3, most_near: 3 },
    ];
    for case in cases {
        let mut table = table();
        let near = (0..case.near).map(|index| (format!("n{index}"), "evesham"));
        let far = (0..case.far).map(|index| (format!("f{index}"), "pershore"));
        let list: Vec<_> = near
            .chain(far)
            .map(|(name, data_centre)| listed(&name, data_centre, InstanceState::Live))
            .collect();
        table.merge_list(Duration::ZERO, &list);
        let mut random = StdRng::seed_from_u64(7);
        for _ in 0..50 {
            let targets = member_choice::heartbeat_targets(&table, case.now, &mut random);
            let mut names: Vec<_> = targets.iter().map(|target| &*target.row.name).collect();
            names.sort_unstable();
            names.dedup();
            assert_eq!(names.len(), case.targets, "{}", case.name);
            assert!(!names.contains(&"own"), "{}", case.name);
            let near = names.iter().filter(|name| name.starts_with('n')).count();
            assert!(near <= case.most_near, "{}: {near} near", case.name);
            let pushed = member_choice::push_targets(&table, case.now, &mut random);
            let alive = if case.now == now { case.near + case.far } else { 0 };
            assert_eq!(pushed.len(), alive.min(4), "{}", case.name);
        }
    }
}

/// Guards against watchers that are leaving or dead, and against nodes that disagree on them.
#[test]
fn watchers_are_two_live_nodes() {
    let names = ["a", "b", "c", "d"];
    let list: Vec<_> =
        names.iter().map(|name| listed(name, "evesham", InstanceState::Live)).collect();
    let mut tables: Vec<_> = names
        .iter()
        .map(|name| {
            let mut table = MemberTable::new(row(name, 1, false), Duration::ZERO);
            table.merge_list(seconds(1), &list);
            table
        })
        .collect();
    let chosen: Vec<String> = member_choice::watchers(&tables[0], seconds(1), "evesham")
        .iter()
        .map(|name| name.to_string())
        .collect();
    assert_eq!(chosen.len(), 2);
    for table in &mut tables {
        assert_eq!(*member_choice::watchers(table, seconds(1), "evesham"), *chosen);
        let is_watcher = member_choice::is_watcher(table, seconds(1));
        assert_eq!(is_watcher, chosen.iter().any(|name| **name == **table.own_name()));
        hear(table, seconds(2), vec![row(&chosen[0], 9, true)]);
        let after = member_choice::watchers(table, seconds(2), "evesham");
        if **table.own_name() != *chosen[0] {
            assert!(!after.contains(&&*chosen[0]) && after.contains(&&*chosen[1]));
        }
    }
}

fn any_row() -> impl Strategy<Value = MemberRow> {
    (0..6_u8, 0..4_u64, any::<bool>(), 1..3_u16).prop_map(|(name, incarnation, leaving, port)| {
        let mut row = row(&format!("n{name}"), incarnation, leaving);
        row.address.set_port(port);
        row
    })
}

proptest! {
    /// Guards against a merge that depends on the order, on duplicates or on grouping.
    #[test]
    fn merge_is_independent_of_order(
        rows in prop::collection::vec(any_row(), 1..40),
        order in any::<prop::sample::Index>(),
        group in 1..8_usize,
    ) {
        let (mut straight, mut shuffled) = (table(), table());
        for row in &rows {
            let before = straight.find(&row.name).map(|entry| entry.row.clone());
            hear(&mut straight, seconds(1), vec![row.clone()]);
            let after = straight.find(&row.name).map(|entry| entry.row.clone());
            prop_assert!(before <= after, "a row was reverted");
        }
        let mut other = rows.clone();
        other.rotate_left(order.index(rows.len()));
        other.reverse();
        other.extend(rows.iter().cloned());
        for part in other.chunks(group) {
            hear(&mut shuffled, seconds(1), part.to_vec());
        }
        let rows_of = |table: &MemberTable| -> Vec<MemberRow> {
            table.entries().iter().map(|entry| entry.row.clone()).collect()
        };
        prop_assert_eq!(rows_of(&straight), rows_of(&shuffled));
        prop_assert_eq!(straight.digests(), shuffled.digests());
    }
}
