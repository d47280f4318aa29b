//! Instance list stand-in; operators of a test edit the list directly.

use std::sync::Arc;

use parking_lot::Mutex;
use salvo::prelude::{Depot, Request, Response, Router, handler};

use crate::instance_list;

/// Instance list stand-in; clones share one list.
#[derive(Clone, Default)]
pub struct ListStandin {
    /// Listed instances.
    pub instances: Arc<Mutex<Vec<instance_list::ListedInstance>>>,
    /// Former list that is served while the list lags.
    former: Arc<Mutex<Option<Vec<instance_list::ListedInstance>>>>,
}

impl ListStandin {
    /// Routes of the list.
    pub fn router(&self) -> Router {
        Router::with_path("instances").get(ListHandler(self.clone()))
    }

    /// Serves the present list until `catch_up`, whatever changes.
    pub fn lag(&self) {
        *self.former.lock() = Some(self.instances.lock().clone());
    }

    /// Serves all changes again.
    pub fn catch_up(&self) {
        *self.former.lock() = None;
    }

    /// Marks an instance as leaving.
    pub fn mark_leaving(&self, name: &str) {
        let mut instances = self.instances.lock();
        let found = instances.iter_mut().find(|instance| &*instance.name == name);
        if let Some(instance) = found {
            instance.state = instance_list::InstanceState::Leaving;
        }
    }

    /// Lists another version for an engine.
    pub fn change_version(&self, name: &str, listed: &str) {
        let mut instances = self.instances.lock();
        let found = instances.iter_mut().find(|instance| &*instance.name == name);
        if let Some(instance_list::InstanceRole::Engine { version, .. }) =
            found.map(|instance| &mut instance.role)
        {
            *version = listed.into();
        }
    }

    /// Lists an engine as one that ignores fencing tokens.
    pub fn ignore_fencing(&self, name: &str) {
        let mut instances = self.instances.lock();
        let found = instances.iter_mut().find(|instance| &*instance.name == name);
        if let Some(instance_list::InstanceRole::Engine { checks_fencing, .. }) =
            found.map(|instance| &mut instance.role)
        {
            *checks_fencing = false;
        }
    }

    /// Whether an instance is listed.
    pub fn lists(&self, name: &str) -> bool {
        self.instances.lock().iter().any(|instance| &*instance.name == name)
    }

    /// Removes an instance.
    pub fn remove(&self, name: &str) {
        self.instances.lock().retain(|instance| &*instance.name != name);
    }
}

struct ListHandler(ListStandin);

#[handler]
impl ListHandler {
    async fn handle(&self, _request: &mut Request, _depot: &mut Depot, response: &mut Response) {
        let former = self.0.former.lock().clone();
        let served = former.unwrap_or_else(|| self.0.instances.lock().clone());
        response.render(salvo::writing::Json(served));
    }
}
