//! Gossip among pure member tables.
//!
//! News is measured in rounds in which every message carries only what its sender
//! knew when the round began. Ages are measured with nodes that send their
//! heartbeats at different moments of a second, as ages depend on them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng as _;
use rand::rngs::StdRng;
use yuccareel::instance_list::{InstanceRole, InstanceState, ListedInstance};
use yuccareel::member_row::{MemberEntry, MemberRow, MemberState};
use yuccareel::member_table::MemberTable;
use yuccareel::peer_message::NodeStatus;
use yuccareel::{member_choice, member_reach};

const DATA_CENTRES: usize = 4;
const SEEDS: u64 = 20;
/// Moments of a second at which heartbeats are sent.
const SLOTS: usize = 20;
const SLOT: Duration = Duration::from_millis(50);

/// Tables that exchange heartbeats.
struct GossipGroup {
    tables: Vec<MemberTable>,
    sequences: Vec<u64>,
    positions: HashMap<Arc<str>, usize>,
    now: Duration,
    random: StdRng,
}

impl GossipGroup {
    fn new(size: usize, seed: u64) -> Self {
        let listed: Vec<_> = (0..size).map(listed_instance).collect();
        let tables: Vec<_> = listed
            .iter()
            .map(|instance| {
                let mut table = MemberTable::new(own_row(instance), Duration::ZERO);
                table.merge_list(Duration::ZERO, &listed);
                table
            })
            .collect();
        let positions = listed.iter().map(|instance| instance.name.clone()).zip(0..).collect();
        let (now, random) = (Duration::from_secs(1), StdRng::seed_from_u64(seed));
        Self { tables, sequences: vec![0; size], positions, now, random }
    }

    fn status(&self, node: usize) -> NodeStatus {
        NodeStatus { sequence: self.sequences[node], ..NodeStatus::default() }
    }

    /// One heartbeat of each node to its targets, all at the same moment.
    fn round(&mut self) {
        let before = self.tables.clone();
        let sequences = self.sequences.clone();
        for node in 0..before.len() {
            for target in self.choose_targets(node) {
                let sent = before[node].clone().heartbeat(self.now, self.status(node));
                self.tables[node].heartbeat(self.now, NodeStatus::default());
                let status = self.status(target);
                let reply = before[target].clone().receive(self.now, &sent, status);
                self.tables[target].receive(self.now, &sent, status);
                self.tables[node].merge_reply(self.now, &sent, &reply);
                self.sequences[node] = self.sequences[node].max(sequences[target]);
                self.sequences[target] = self.sequences[target].max(sequences[node]);
            }
        }
        self.now += Duration::from_secs(1);
    }

    /// One second in which each node sends its heartbeats at a moment of its own.
    fn second(&mut self, connected: impl Fn(usize, usize) -> bool) {
        for slot in 0..SLOTS {
            for node in (0..self.tables.len()).filter(|node| node * 7 % SLOTS == slot) {
                self.beat(node, &connected);
            }
            self.now += SLOT;
        }
    }

    fn beat(&mut self, node: usize, connected: impl Fn(usize, usize) -> bool) {
        let targets = self.choose_targets(node);
        for target in targets {
            if !connected(node, target) {
                let name = self.tables[target].own_name().clone();
                self.tables[node].note_unanswered(self.now, &name);
                continue;
            }
            let sent = self.tables[node].heartbeat(self.now, NodeStatus::default());
            let reply = self.tables[target].receive(self.now, &sent, NodeStatus::default());
            self.tables[node].merge_reply(self.now, &sent, &reply);
        }
    }

    fn choose_targets(&mut self, node: usize) -> Vec<usize> {
        let table = &self.tables[node];
        let chosen = member_choice::heartbeat_targets(table, self.now, &mut self.random);
        chosen.iter().map(|target| self.positions[&target.row.name]).collect()
    }

    /// Share of nodes that reach a majority.
    fn majority_share(&self, nodes: std::ops::Range<usize>) -> f64 {
        let count = nodes.len();
        let serves = |table: &&MemberTable| table.reach(self.now).outage_majority();
        let reaching = self.tables[nodes].iter().filter(serves).count();
        reaching as f64 / count as f64
    }

    /// Rounds until a condition holds, or `limit` + 1.
    fn rounds_until(&mut self, limit: usize, done: impl Fn(&Self) -> bool) -> usize {
        (0..=limit)
            .find(|_| {
                let reached = done(self);
                self.round();
                reached
            })
            .unwrap_or(limit + 1)
    }

    fn entries(&self) -> impl Iterator<Item = (&MemberTable, &MemberEntry)> {
        self.tables.iter().flat_map(|table| table.entries().iter().map(move |entry| (table, entry)))
    }

    fn all_know(&self, test: impl Fn(&MemberTable) -> bool) -> bool {
        self.tables.iter().all(test)
    }
}

fn listed_instance(index: usize) -> ListedInstance {
    let port = u16::try_from(index).unwrap();
    ListedInstance {
        name: format!("node-{index}").into(),
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        peer_address: Some(SocketAddr::from(([10, 0, 0, 2], port))),
        data_centre: format!("dc-{}", index % DATA_CENTRES).into(),
        role: InstanceRole::Entry,
        state: InstanceState::Live,
    }
}

fn own_row(instance: &ListedInstance) -> MemberRow {
    MemberRow {
        incarnation: 1,
        leaving: false,
        name: instance.name.clone(),
        address: instance.address,
        peer_address: instance.peer_address.unwrap(),
        data_centre: instance.data_centre.clone(),
    }
}

/// Guards against news that spreads more slowly than the bounds for configuration and drains.
#[test]
fn news_reaches_all_within_bounds() {
    struct Case {
        size: usize,
        most_rounds: usize,
    }
    for case in [Case { size: 8, most_rounds: 4 }, Case { size: 64, most_rounds: 7 }] {
        let (mut slowest_join, mut slowest_leave, mut slowest_change) = (0, 0, 0);
        for seed in 0..SEEDS {
            let mut group = GossipGroup::new(case.size, seed);
            let joined = group.rounds_until(case.most_rounds, |group| {
                group.all_know(|table| {
                    table.entries().iter().all(|entry| entry.row.incarnation == 1)
                })
            });
            group.tables[0].announce_leaving();
            let left = group.rounds_until(case.most_rounds, |group| {
                group.all_know(|table| table.find("node-0").unwrap().row.leaving)
            });
            group.sequences[1] = 1;
            let changed = group.rounds_until(case.most_rounds, |group| {
                group.sequences.iter().all(|&sequence| sequence == 1)
            });
            slowest_join = slowest_join.max(joined);
            slowest_leave = slowest_leave.max(left);
            slowest_change = slowest_change.max(changed);
        }
        let size = case.size;
        println!("{size}: join {slowest_join}, leave {slowest_leave}, change {slowest_change}");
        assert!(slowest_join <= case.most_rounds, "{size} nodes: join in {slowest_join}");
        assert!(slowest_leave <= case.most_rounds, "{size} nodes: leave in {slowest_leave}");
        assert!(slowest_change <= case.most_rounds, "{size} nodes: change in {slowest_change}");
    }
}

/// Guards against pushes that miss most nodes or need more rounds than planned.
#[test]
fn pushes_cover_a_data_centre() {
    for seed in 0..SEEDS {
        let mut group = GossipGroup::new(81, seed);
        let mut known = [false; 81];
        let mut senders = vec![0];
        known[0] = true;
        for _ in 0..5 {
            for sender in std::mem::take(&mut senders) {
                let table = &group.tables[sender];
                for target in member_choice::push_targets(table, group.now, &mut group.random) {
                    let position = group.positions[&target.row.name];
                    if !std::mem::replace(&mut known[position], true) {
                        senders.push(position);
                    }
                }
            }
        }
        let reached = known.iter().filter(|&&known| known).count();
        assert!(reached >= 73, "seed {seed}: {reached} of 81 after five rounds");
    }
}

/// Guards against false suspicion in a healthy group.
#[test]
fn healthy_nodes_stay_live() {
    for size in [8, 64] {
        let mut group = GossipGroup::new(size, 3);
        for second in 0..60 {
            group.second(|_, _| true);
            let now = group.now;
            let settled = second > 5;
            for (table, entry) in group.entries() {
                let state = entry.state(now);
                let name = (table.own_name(), &entry.row.name);
                assert_ne!(state, MemberState::Dead, "{size} nodes, second {second}, {name:?}");
                if settled && size == 8 {
                    assert_eq!(state, MemberState::Live, "{size} nodes, second {second}");
                }
            }
            if settled {
                assert_eq!(group.majority_share(0..size), 1.0, "{size} nodes, second {second}");
            }
        }
    }
}

/// Guards against an outage of the key-value service that stops nodes of a large group: within
/// 3 s, many of them hear of less than half of the others.
#[test]
fn all_nodes_of_a_large_group_serve_on() {
    const SIZE: usize = 400;
    let mut group = GossipGroup::new(SIZE, 1);
    for second in 0..20 {
        group.second(|_, _| true);
        if second > 8 {
            assert_eq!(group.majority_share(0..SIZE), 1.0, "second {second}");
        }
    }
}

/// Guards against a minority that goes on counting the other side, against a majority that
/// does not see itself, and against sides that stay dead to each other after the partition.
#[test]
fn partition_splits_and_heals() {
    struct Case {
        size: usize,
        minority: usize,
        least_majority_share: f64,
    }
    let cases = [
        Case { size: 8, minority: 3, least_majority_share: 0.99 },
        Case { size: 64, minority: 20, least_majority_share: 0.99 },
    ];
    for case in cases {
        let (mut shares, mut count) = (0.0, 0);
        for seed in 0..6 {
            let mut group = GossipGroup::new(case.size, seed);
            for _ in 0..8 {
                group.second(|_, _| true);
            }
            let cut_at = group.now;
            while group.now < cut_at + Duration::from_secs(15) {
                group.second(|left, right| (left < case.minority) == (right < case.minority));
                if group.now > cut_at + member_reach::outage_window(case.size) {
                    assert_eq!(group.majority_share(0..case.minority), 0.0, "{}", case.size);
                    shares += group.majority_share(case.minority..case.size);
                    count += 1;
                }
            }
            for _ in 0..15 {
                group.second(|_, _| true);
            }
            let now = group.now;
            for (table, entry) in group.entries() {
                assert_ne!(entry.state(now), MemberState::Dead, "{}", table.own_name());
            }
        }
        let share = shares / f64::from(count);
        println!("{} nodes: majority seen by {share:.4} of its side", case.size);
        assert!(share >= case.least_majority_share, "{} nodes: {share}", case.size);
    }
}

/// Guards against a dead node that rumours keep alive.
#[test]
fn dead_node_is_found_dead() {
    let mut group = GossipGroup::new(64, 9);
    for _ in 0..8 {
        group.second(|_, _| true);
    }
    for _ in 0..11 {
        group.second(|left, right| left != 0 && right != 0);
    }
    for (table, entry) in group.entries().filter(|(table, _)| **table.own_name() != *"node-0") {
        let dead = entry.state(group.now) == MemberState::Dead;
        assert_eq!(dead, *entry.row.name == *"node-0", "{}", table.own_name());
    }
}
