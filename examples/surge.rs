//! A surge of 10 times capacity over pure nodes and simple back ends in virtual time.
//!
//! Prints goodput, work sent, shares, refusals and herding, and fails when a
//! bound of section 4.7 of the design page is missed.

#[path = "../tests/fixtures/mod.rs"]
mod fixtures;
#[path = "surge_world/mod.rs"]
mod surge_world;

use std::process::ExitCode;
use std::time::Duration;

use surge_world::{CUSTOMERS, RoutePolicy, Scenario, Totals, World};
use yuccareel::admission_queue::RequestLane;

/// Goodput and shares may differ from their aim by this part.
const TOLERANCE: f64 = 0.1;
/// A refusal is at once when it comes within a tenth of the shortest deadline.
const REFUSAL_BOUND: Duration = Duration::from_millis(200);

fn main() -> ExitCode {
    let surge = Scenario { warm: 8, load: 10.0, policy: RoutePolicy::TwoChoices, seed: 1 };
    let capacity = surge.capacity_per_s();
    let totals = World::run(surge);
    let mut checks = Vec::new();
    print_goodput(&totals, capacity, &mut checks);
    print_shares(&totals, &mut checks);
    print_refusals(&totals, &mut checks);
    print_herding(&mut checks);
    let missed: Vec<_> = checks.iter().filter(|(_, held)| !held).collect();
    missed.iter().for_each(|(name, _)| println!("MISSED: {name}"));
    if missed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

type Checks = Vec<(&'static str, bool)>;

fn print_goodput(totals: &Totals, capacity: f64, checks: &mut Checks) {
    let seconds = surge_world::SURGE.as_secs_f64();
    let goodput = totals.good.values().sum::<u32>() as f64 / seconds;
    println!("offered          {:8.1}/s", f64::from(totals.offered) / seconds);
    println!("capacity         {capacity:8.1}/s");
    println!("goodput          {goodput:8.1}/s  {:.3} of capacity", goodput / capacity);
    checks.push(("goodput within 10% of capacity", goodput >= capacity * (1.0 - TOLERANCE)));
    let sent = f64::from(totals.sent) / f64::from(totals.admitted);
    println!(
        "work sent        {sent:8.3} of work admitted ({} retries)",
        totals.sent - totals.admitted
    );
    checks.push(("work sent within 1.1 of work admitted", sent <= 1.1));
    println!("most at one replica {:5} of {}", totals.most_at_replica, totals.warm);
    checks.push(("replica concurrency", totals.most_at_replica <= totals.warm));
}

fn print_shares(totals: &Totals, checks: &mut Checks) {
    let all = f64::from(totals.good.values().sum::<u32>());
    let weights: u32 = CUSTOMERS.iter().map(|(_, weight)| weight).sum();
    for (name, weight) in CUSTOMERS {
        let good = totals.good.iter().filter(|((customer, _), _)| &**customer == name);
        let share = f64::from(good.map(|(_, count)| count).sum::<u32>()) / all;
        let aim = f64::from(weight) / f64::from(weights);
        println!("customer {name:8}{share:8.3} of answers, weight {aim:.3}");
        checks.push(("share by weight", (share / aim - 1.0).abs() <= TOLERANCE));
    }
    for lane in [RequestLane::Interactive, RequestLane::Batch] {
        let good = totals.good.iter().filter(|((_, of), _)| *of == lane);
        let share = f64::from(good.map(|(_, count)| count).sum::<u32>()) / all;
        println!("{:17}{share:8.3} of answers", format!("{lane:?}").to_lowercase());
        checks.push(("lane is served", share >= 0.05));
        checks.push(("interactive ahead", lane == RequestLane::Interactive || share <= 0.2));
    }
}

fn print_refusals(totals: &Totals, checks: &mut Checks) {
    let mut waits = totals.refused.clone();
    waits.sort_unstable();
    let at = |part: f64| waits[((waits.len() - 1) as f64 * part) as usize];
    println!(
        "refused          {:8}   after p50 {:?} p99 {:?} max {:?}",
        waits.len(),
        at(0.5),
        at(0.99),
        at(1.0)
    );
    checks.push(("99% refused at once", at(0.99) <= REFUSAL_BOUND));
    println!("late or failed   {:8}", totals.failed);
}

/// Load over replicas with room to herd: 64 requests each, 8 of them in use on average.
fn print_herding(checks: &mut Checks) {
    let ratio = |policy| {
        let totals = World::run(Scenario { warm: 64, load: 0.125, policy, seed: 2 });
        totals.herding()
    };
    let (two, least) = (ratio(RoutePolicy::TwoChoices), ratio(RoutePolicy::LeastReported));
    println!("max/mean load    {two:8.2} by two choices, {least:.2} by least reported load");
    checks.push(("two choices herd less", two < least));
}
