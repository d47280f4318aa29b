//! Names of the instances, with the position of this one in the store's list.

use crate::ids;

/// Names of the instances at one moment.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberNames {
    /// Names of all instances, this one included even if the store does not list it.
    pub all: Vec<ids::InstanceName>,
    /// Number of names before that of this instance in the sorted list; `None` if the store does not
    /// list it.
    pub own_position: Option<usize>,
}

impl MemberNames {
    /// Adds this instance to the names that the store lists.
    pub fn new(listed: Vec<ids::InstanceName>, own_name: &ids::InstanceName) -> Self {
        let is_listed = listed.contains(own_name);
        let own_position = is_listed.then(|| listed.iter().filter(|name| *name < own_name).count());
        let mut all = listed;
        if !is_listed {
            all.push(own_name.clone());
        }
        Self { all, own_position }
    }
}
