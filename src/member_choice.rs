//! Choice of members: heartbeat targets, fan-out of pushes, watchers.

use std::time::Duration;

use rand::Rng;
use rand::RngExt as _;
use rand::seq::IteratorRandom as _;
use smallvec::SmallVec;

use crate::{member_row, member_table, rendezvous};

/// Heartbeat targets in the node's own data centre.
const NEAR_TARGETS: usize = 2;
/// Heartbeat targets.
const TARGETS: usize = 3;
/// Peers that receive a push.
const FAN_OUT: usize = 4;
/// Watchers per data centre.
const WATCHERS: usize = 2;
/// Chance that the distant target is a listed member that is dead or did not answer.
/// Without such attempts the two sides of a partition stay dead to each other once it
/// has healed.
const LOST_TARGET_CHANCE: f64 = 0.125;

/// Members of one choice.
pub type ChosenMembers<'a> = SmallVec<[&'a member_row::MemberEntry; 4]>;

/// Up to 3 random targets of a heartbeat: 2 in the node's own data centre, 1 elsewhere.
///
/// When a group is too small, the others fill in. Members that are dead or did not
/// answer come last: after a cut, heartbeats lost on them would leave a bare majority
/// too few exchanges to be seen by all of its nodes.
pub fn heartbeat_targets<'a>(
    table: &'a member_table::MemberTable,
    now: Duration,
    random: &mut impl Rng,
) -> ChosenMembers<'a> {
    let own_data_centre = &table.own_entry().row.data_centre;
    let near = |entry: &&member_row::MemberEntry| entry.row.data_centre == *own_data_centre;
    let far = |entry: &&member_row::MemberEntry| entry.row.data_centre != *own_data_centre;
    let mut targets = ChosenMembers::new();
    add_random(&mut targets, reachable(table, now).filter(near), NEAR_TARGETS, random);
    if random.random_bool(LOST_TARGET_CHANCE) {
        let total = targets.len() + 1;
        add_random(&mut targets, lost(table, now), total, random);
    }
    add_random(&mut targets, reachable(table, now).filter(far), TARGETS, random);
    add_random(&mut targets, reachable(table, now), TARGETS, random);
    add_random(&mut targets, lost(table, now), TARGETS, random);
    targets
}

/// Up to 4 random members that receive a push.
pub fn push_targets<'a>(
    table: &'a member_table::MemberTable,
    now: Duration,
    random: &mut impl Rng,
) -> ChosenMembers<'a> {
    let mut targets = ChosenMembers::new();
    add_random(&mut targets, reachable(table, now), FAN_OUT, random);
    targets
}

/// Two live members of a data centre that watch the configuration and the list.
///
/// The first one aggregates the evidence of its data centre. Nodes with different
/// views may choose different members; additional watchers are harmless.
pub fn watchers<'a>(
    table: &'a member_table::MemberTable,
    now: Duration,
    data_centre: &str,
) -> SmallVec<[&'a str; 2]> {
    let live = table.entries().iter().filter(|entry| {
        *entry.row.data_centre == *data_centre && entry.state(now) == member_row::MemberState::Live
    });
    let names = live.map(|entry| &*entry.row.name);
    rendezvous::top_ranked(data_centre, names, WATCHERS).into()
}

/// Whether this node is a watcher of its data centre.
pub fn is_watcher(table: &member_table::MemberTable, now: Duration) -> bool {
    watchers(table, now, &table.own_entry().row.data_centre).contains(&&**table.own_name())
}

/// Other members that are not dead and answer.
fn reachable(
    table: &member_table::MemberTable,
    now: Duration,
) -> impl Iterator<Item = &member_row::MemberEntry> {
    others(table).filter(move |entry| answers(entry, now))
}

/// Other members of the list that are dead or do not answer.
fn lost(
    table: &member_table::MemberTable,
    now: Duration,
) -> impl Iterator<Item = &member_row::MemberEntry> {
    others(table).filter(move |entry| entry.listed && !answers(entry, now))
}

fn answers(entry: &member_row::MemberEntry, now: Duration) -> bool {
    entry.state(now) != member_row::MemberState::Dead && !entry.unanswered()
}

fn others(table: &member_table::MemberTable) -> impl Iterator<Item = &member_row::MemberEntry> {
    table.entries().iter().filter(|entry| entry.row.name != *table.own_name())
}

/// Adds random members until there are `total`, none of them twice.
fn add_random<'a>(
    targets: &mut ChosenMembers<'a>,
    members: impl Iterator<Item = &'a member_row::MemberEntry>,
    total: usize,
    random: &mut impl Rng,
) {
    let missing = total.saturating_sub(targets.len());
    let chosen = members
        .filter(|member| targets.iter().all(|target| !std::ptr::eq(*target, *member)))
        .sample(random, missing);
    targets.extend(chosen);
}
