//! Time until which an allocator counts a share that it granted.

mod fixtures;

use fixtures::ms;
use smallvec::SmallVec;
use yuccareel::outstanding_shares::OutstandingShares;
use yuccareel::quota_message::{ResourceKey, ResourceKind, ShareDemand, ShareRequest};

/// Request of node `n`: arrival in ms, number, number of the last applied reply, wanted units.
type Renewal = (u64, u64, u64, u64);

/// Guards against a share that is granted to another node while its holder may still use it.
#[test]
fn share_counts_until_replaced_or_reported() {
    struct Case {
        name: &'static str,
        renewals: &'static [Renewal],
        outstanding: u64,
    }
    let cases = [
        Case { name: "granted", renewals: &[(0, 1, 0, 16)], outstanding: 16 },
        Case {
            name: "reply not yet applied",
            renewals: &[(0, 1, 0, 16), (500, 2, 1, 4)],
            outstanding: 16,
        },
        Case {
            name: "replaced",
            renewals: &[(0, 1, 0, 16), (500, 2, 1, 4), (900, 3, 2, 4)],
            outstanding: 4,
        },
        Case {
            name: "applied reply was about another resource",
            renewals: &[(0, 1, 0, 16), (500, 2, 1, 4), (900, 4, 3, 4)],
            outstanding: 16,
        },
        Case {
            name: "late request changes nothing",
            renewals: &[(0, 1, 0, 16), (500, 3, 1, 4), (900, 4, 3, 4), (950, 2, 1, 16)],
            outstanding: 4,
        },
        Case {
            name: "lease expired, request sent before",
            renewals: &[(0, 1, 0, 16), (2_500, 2, 0, 4)],
            outstanding: 16,
        },
        Case {
            name: "lease expired, later reply not applied",
            renewals: &[(0, 1, 0, 16), (2_500, 2, 0, 4), (3_000, 3, 0, 4)],
            outstanding: 16,
        },
        Case {
            name: "lease expired, use reported after it",
            renewals: &[(0, 1, 0, 16), (2_500, 2, 0, 4), (3_000, 3, 2, 4)],
            outstanding: 4,
        },
    ];
    for case in cases {
        let kind = ResourceKind::ReplicaConcurrency;
        let mut shares = OutstandingShares::new(kind);
        let mut last = ms(0);
        for &(at_ms, number, applied, wanted) in case.renewals {
            let demand = ShareDemand {
                resource: ResourceKey::new(kind, "r"),
                wanted,
                in_use: 0,
                used: 0,
                period: 0,
            };
            let request = ShareRequest {
                node: "n".into(),
                incarnation: 1,
                number,
                applied,
                wants: SmallVec::new(),
            };
            last = ms(at_ms);
            if shares.record_demand(&request, &demand, last).is_some() {
                shares.grant("n", number, 64, last);
            }
        }
        assert_eq!(shares.outstanding(last), case.outstanding, "{}", case.name);
    }
}
