//! Refusals as misdirected: whether the request or the address of the replica is at fault.

mod fleet_harness;

use std::time::Duration;

use fleet_harness::{FleetHarness, entry, ms};
use yuccareel::relay::replica_choice::ChoiceRefusal;
use yuccareel::relay::replica_identity::MisdirectionCause::{self, Address, Request};

const REUSE_DELAY: Duration = Duration::from_secs(2);

/// Step of a case, at a time in milliseconds.
enum Step {
    /// The replica answered a request that was sent at the time.
    Answered(u64, &'static str),
    /// The replica sent data on an open answer.
    Active(u64, &'static str),
    /// The server at the replica's address refused a request, for this cause.
    Refused(u64, &'static str, MisdirectionCause),
    /// The request that the replicas refused was found to be at fault.
    Withdrawn(&'static str),
    /// The replica wrote its entry.
    Listed(u64, &'static str),
    /// A call is expected to get one of these replicas.
    Expect(u64, &'static [&'static str]),
}

struct IdentityCase {
    name: &'static str,
    steps: Vec<Step>,
}

fn run_case(case: &IdentityCase) {
    let mut harness = FleetHarness::new(&[entry("r"), entry("s")]);
    let start = harness.now;
    for step in &case.steps {
        let at = |at_ms: &u64| start + ms(*at_ms);
        match step {
            Step::Answered(at_ms, name) => harness.fleet.confirm_identity(name, at(at_ms)),
            Step::Active(at_ms, name) => harness.fleet.record_activity(name, at(at_ms)),
            Step::Refused(at_ms, name, expected) => {
                let (cause, _) = harness.fleet.record_misdirected(name, REUSE_DELAY, at(at_ms));
                assert_eq!(cause, *expected, "{}: {name} at {at_ms} ms", case.name);
            }
            Step::Withdrawn(name) => harness.fleet.withdraw_doubts(&[(*name).into()]),
            Step::Listed(at_ms, name) => {
                harness.fleet.apply_entry(entry(name), at(at_ms));
            }
            Step::Expect(at_ms, expected) => {
                harness.now = at(at_ms);
                // As many calls as one replica has slots.
                let mut chosen: Vec<_> = (0..4).map(|_| harness.choose().unwrap()).collect();
                chosen.iter().for_each(|name| harness.fleet.record_finish(name));
                chosen.sort();
                chosen.dedup();
                assert_eq!(chosen, *expected, "{} at {at_ms} ms", case.name);
            }
        }
    }
}

/// Guards against requests of one client that take sound replicas out of use, and against calls to
/// an address that belongs to another server.
#[test]
fn a_refusal_is_held_against_the_replica_only_if_it_may_be_gone() {
    use Step::{Active, Answered, Expect, Listed, Refused, Withdrawn};
    const BOTH: &[&str] = &["r", "s"];
    let cases = [
        IdentityCase {
            name: "a replica that has not answered is used last, for a time",
            steps: vec![
                Refused(0, "r", Address),
                Expect(10, &["s"]),
                Expect(990, &["s"]),
                Expect(1_000, BOTH),
            ],
        },
        IdentityCase {
            name: "a replica that answered shortly before is still there",
            steps: vec![
                Answered(0, "r"),
                Refused(1_999, "r", Request),
                Expect(2_000, BOTH),
                Refused(2_000, "r", Address),
                Expect(2_010, &["s"]),
            ],
        },
        IdentityCase {
            name: "an open stream shows that the replica is still there",
            steps: vec![
                Answered(0, "r"),
                Active(5_000, "r"),
                Refused(5_500, "r", Request),
                Expect(5_500, BOTH),
            ],
        },
        IdentityCase {
            name: "the doubt grows with each refusal up to a limit",
            steps: vec![
                Refused(0, "r", Address),
                Refused(1_000, "r", Address),
                Expect(2_990, &["s"]),
                Expect(3_000, BOTH),
                Refused(3_000, "r", Address),
                Expect(6_990, &["s"]),
                Refused(7_000, "r", Address),
                Refused(15_000, "r", Address),
                Refused(31_000, "r", Address),
                Refused(61_000, "r", Address),
                Expect(90_990, &["s"]),
                Expect(91_000, BOTH),
            ],
        },
        IdentityCase {
            name: "an answer ends the doubt",
            steps: vec![Refused(0, "r", Address), Answered(100, "r"), Expect(110, BOTH)],
        },
        IdentityCase {
            name: "a written entry ends the doubt",
            steps: vec![Refused(0, "r", Address), Listed(100, "r"), Expect(110, BOTH)],
        },
        IdentityCase {
            name: "a doubt that a faulty request has cast is withdrawn",
            steps: vec![
                Refused(0, "r", Address),
                Withdrawn("r"),
                Expect(20, BOTH),
                Refused(30, "r", Address),
                Expect(1_020, &["s"]),
                Expect(1_030, BOTH),
            ],
        },
        IdentityCase {
            name: "replicas are used although all are doubted",
            steps: vec![
                Refused(0, "r", Address),
                Refused(0, "s", Address),
                Expect(10, BOTH),
                Answered(20, "s"),
                Expect(30, &["s"]),
            ],
        },
    ];
    cases.iter().for_each(run_case);
}

/// Guards against a doubted replica that is taken for gone, or one that is gone and comes back with
/// its doubt.
#[test]
fn a_doubt_ends_with_the_entry() {
    let mut harness = FleetHarness::new(&[entry("r")]);
    assert_eq!(harness.fleet.record_misdirected("r", REUSE_DELAY, harness.now), (Address, None));
    assert_eq!(harness.choose().as_deref(), Ok("r"));
    assert!(harness.fleet.expire_entry("r", harness.now));
    assert_eq!(harness.choose(), Err(ChoiceRefusal::NoReplica));
    assert_eq!(harness.fleet.record_misdirected("r", REUSE_DELAY, harness.now), (Address, None));
}
