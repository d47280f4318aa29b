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
}

impl ListStandin {
    /// Routes of the list.
    pub fn router(&self) -> Router {
        Router::with_path("instances").get(ListHandler(self.clone()))
    }

    /// Marks an instance as leaving.
    pub fn mark_leaving(&self, name: &str) {
        let mut instances = self.instances.lock();
        let found = instances.iter_mut().find(|instance| &*instance.name == name);
        if let Some(instance) = found {
            instance.state = instance_list::InstanceState::Leaving;
        }
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
        response.render(salvo::writing::Json(&*self.0.instances.lock()));
    }
}
