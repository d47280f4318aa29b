//! Addresses of entry instances for callers.
//!
//! The directory is built when the member table changes; an answer only picks
//! from it, starting at a position given by the caller's hash, so that callers
//! spread out over the instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{config_snapshot, ids, replica_subset};

/// Time for which callers cache an answer, in seconds.
pub const ENDPOINT_TTL_S: u64 = 10;
/// Sum of the weights of an answer.
pub const TOTAL_WEIGHT: u32 = 1_000;
/// Most weight of the near data centre while others have members, so that those stay warm.
pub const NEAR_WEIGHT: u32 = 600;
/// Most addresses per answer of each kind, near and far.
const MAX_ADDRESSES: usize = 8;

/// Entry instance as the member table knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointMember {
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: ids::DataCentreName,
    /// Whether it is live and not leaving.
    pub live: bool,
}

/// Address with its share of a caller's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: ids::DataCentreName,
    /// Part of the total weight of 1,000.
    pub weight: u32,
}

/// Answer to `GET /v1/endpoints`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointAnswer {
    /// Time for which it may be cached, in seconds.
    pub ttl_s: u64,
    /// Addresses, the near data centre first.
    pub endpoints: Vec<Endpoint>,
}

/// Live entry instances by data centre, the near one first.
#[derive(Clone, Debug, Default)]
pub struct EndpointDirectory {
    near: Vec<EndpointMember>,
    far: Vec<Vec<EndpointMember>>,
}

impl EndpointDirectory {
    /// Directory of a node in `data_centre`.
    ///
    /// Members in drained data centres are left out unless there are no others.
    pub fn build(
        members: &[EndpointMember],
        snapshot: &config_snapshot::ConfigSnapshot,
        data_centre: &str,
    ) -> Self {
        let active = |member: &&EndpointMember| !snapshot.drained(&member.data_centre);
        let live = || members.iter().filter(|member| member.live);
        let drained_only = live().all(|member| !active(&member));
        let mut groups: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for member in live().filter(|member| drained_only || active(member)) {
            let distance = replica_subset::distance_us(snapshot, data_centre, &member.data_centre);
            let far = &*member.data_centre != data_centre;
            groups.entry((far, distance, &member.data_centre)).or_default().push(member.clone());
        }
        let mut directory = Self::default();
        for ((far, ..), group) in groups {
            match far {
                false => directory.near = group,
                true => directory.far.push(group),
            }
        }
        directory
    }

    /// Answer for a caller.
    pub fn answer(&self, caller_hash: u64) -> EndpointAnswer {
        let near = rotated(&self.near, caller_hash).take(MAX_ADDRESSES);
        let near: SmallVec<[_; MAX_ADDRESSES]> = near.collect();
        let far = self.far_members(caller_hash);
        let near_weight = match (near.is_empty(), far.is_empty()) {
            (true, _) => 0,
            (false, true) => TOTAL_WEIGHT,
            (false, false) => NEAR_WEIGHT,
        };
        let mut endpoints = Vec::with_capacity(near.len() + far.len());
        weigh(&mut endpoints, &near, near_weight);
        weigh(&mut endpoints, &far, TOTAL_WEIGHT - near_weight);
        EndpointAnswer { ttl_s: ENDPOINT_TTL_S, endpoints }
    }

    /// One member of each far data centre in turn, the closest first.
    fn far_members(&self, caller_hash: u64) -> SmallVec<[&EndpointMember; MAX_ADDRESSES]> {
        let longest = self.far.iter().map(Vec::len).max().unwrap_or(0);
        let rounds = 0..longest.min(MAX_ADDRESSES);
        let members = rounds.flat_map(|round| {
            let groups = self.far.iter().filter(move |group| round < group.len());
            groups.filter_map(move |group| rotated(group, caller_hash).nth(round))
        });
        members.take(MAX_ADDRESSES).collect()
    }
}

/// Members from the caller's position on, once around.
fn rotated(members: &[EndpointMember], caller_hash: u64) -> impl Iterator<Item = &EndpointMember> {
    let start = (caller_hash % members.len().max(1) as u64) as usize;
    members[start..].iter().chain(&members[..start])
}

/// Divides a weight evenly; the first members take the remainder.
fn weigh(endpoints: &mut Vec<Endpoint>, members: &[&EndpointMember], weight: u32) {
    let count = u32::try_from(members.len()).unwrap_or(u32::MAX).max(1);
    for (position, member) in (0..).zip(members) {
        endpoints.push(Endpoint {
            address: member.address,
            data_centre: member.data_centre.clone(),
            weight: weight / count + u32::from(position < weight % count),
        });
    }
}
