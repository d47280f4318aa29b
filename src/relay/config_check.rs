//! Checks a configuration before it is sent: entries that can never match, references that lead
//! nowhere, and limits that contradict each other.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::attempt_budget::AttemptBudget;
use super::config_entries::{ConfigEntries, CustomerEntry};
use super::config_finding::{ConfigEntry, ConfigField, ConfigFinding, FindingLevel};
use super::relay_config::{CallKind, CallerLimits, RouteRow, ServiceRow};
use super::relay_settings::RelaySettings;
use crate::record_finding::RecordFault;

/// All findings on a configuration. Bounds on retries, memory and regions are compared if settings
/// of an instance are given.
pub fn check(entries: &ConfigEntries, settings: Option<&RelaySettings>) -> Vec<ConfigFinding> {
    let mut run = CheckRun { entries, settings, findings: Vec::new() };
    for (index, route) in entries.routes.iter().enumerate() {
        let mut check = EntryCheck { run: &mut run, entry: ConfigEntry::Route(index) };
        check.check_match(index, route);
        check.check_services(route);
        check.check_models(route);
        check.check_attempts(route);
        check.check_times(route);
        check.check_regions(route);
    }
    let mut names = HashMap::new();
    for (index, service) in entries.services.iter().enumerate() {
        let first = names.insert(&service.name, index);
        let mut check = EntryCheck { run: &mut run, entry: ConfigEntry::Service(index) };
        check.check_service(service, first);
    }
    let (mut names, mut keys) = (HashMap::new(), HashMap::new());
    for (index, customer) in entries.customers.iter().flatten().enumerate() {
        let first = names.insert(&customer.row.name, index);
        let mut check = EntryCheck { run: &mut run, entry: ConfigEntry::Customer(index) };
        check.check_customer(index, customer, first, &mut keys);
    }
    EntryCheck { run: &mut run, entry: ConfigEntry::Limits }.check_limits(&entries.limits);
    run.findings
}

struct CheckRun<'a> {
    entries: &'a ConfigEntries,
    settings: Option<&'a RelaySettings>,
    findings: Vec<ConfigFinding>,
}

/// Check of one entry.
struct EntryCheck<'a, 'b> {
    run: &'b mut CheckRun<'a>,
    entry: ConfigEntry,
}

impl<'a> EntryCheck<'a, '_> {
    fn fault(&mut self, field: ConfigField, fault: RecordFault, message: impl Into<String>) {
        self.report(FindingLevel::Fault, field, fault, message.into());
    }

    fn note(&mut self, field: ConfigField, fault: RecordFault, message: impl Into<String>) {
        self.report(FindingLevel::Note, field, fault, message.into());
    }

    fn report(
        &mut self,
        level: FindingLevel,
        field: ConfigField,
        fault: RecordFault,
        message: String,
    ) {
        let entry = self.entry;
        self.run.findings.push(ConfigFinding { entry, field, level, fault, message });
    }

    /// Checks whether any call can match the route.
    fn check_match(&mut self, index: usize, route: &RouteRow) {
        let earlier = &self.run.entries.routes[..index];
        let is_same =
            |row: &RouteRow| row.host == route.host && row.path_prefix == route.path_prefix;
        if let Some(first) = earlier.iter().position(is_same) {
            let message = format!(
                "route {first} ({:?}) has the same host and prefix and takes every call",
                earlier[first].name
            );
            self.fault(ConfigField::PathPrefix, RecordFault::Shadowed, message);
        }
        if let Some(first) = earlier.iter().position(|row| row.name == route.name) {
            let message = format!("route {first} has the same name");
            self.note(ConfigField::Name, RecordFault::Duplicate, message);
        }
        if !route.path_prefix.is_empty() && !route.path_prefix.starts_with('/') {
            let message = format!("no path begins with {:?}: no leading slash", route.path_prefix);
            self.fault(ConfigField::PathPrefix, RecordFault::Unused, message);
        }
        if route.host.contains([':', '/', ' ']) || route.host.is_empty() {
            let message =
                format!("expected a host without scheme and port, found {:?}", route.host);
            self.fault(ConfigField::Host, RecordFault::Unused, message);
        }
        let has_keys = |customers: &Vec<CustomerEntry>| {
            customers.iter().any(|customer| !customer.keys.is_empty())
        };
        if !route.is_public && self.run.entries.customers.as_ref().is_some_and(|all| !has_keys(all))
        {
            let message = "calls need a key, but no customer has one";
            self.fault(ConfigField::Entry, RecordFault::Contradiction, message);
        }
    }

    fn check_services(&mut self, route: &RouteRow) {
        if route.services.is_empty() {
            let message = "route has no service, so every call is refused";
            return self.fault(ConfigField::Services, RecordFault::MissingField, message);
        }
        if route.services.iter().all(|target| target.weight == 0) {
            let message = "all weights are zero, so every call is refused";
            self.fault(ConfigField::Services, RecordFault::Contradiction, message);
        }
        for (index, target) in route.services.iter().enumerate() {
            if self.service(&target.service).is_none() {
                let message = format!("no service {:?}", target.service);
                let field = ConfigField::Service(index);
                // A target without weight receives no call that could fail.
                if target.weight == 0 {
                    self.note(field, RecordFault::UnknownReference, message);
                } else {
                    self.fault(field, RecordFault::UnknownReference, message);
                }
            }
            if target.weight == 0 && route.services.iter().any(|other| other.weight > 0) {
                let message = format!("weight is zero: service {:?} gets no call", target.service);
                self.note(ConfigField::ServiceWeight(index), RecordFault::Unused, message);
            }
            if route.services[..index].iter().any(|other| other.service == target.service) {
                let message = format!("service {:?} is listed twice", target.service);
                self.note(ConfigField::Service(index), RecordFault::Duplicate, message);
            }
        }
    }

    fn check_models(&mut self, route: &RouteRow) {
        if route.models.len() > 1 && !(route.is_repeatable() && route.max_attempts > 1) {
            let message = "a call runs once, so no answer is requested again from a larger model";
            self.note(ConfigField::Model(1), RecordFault::Contradiction, message);
        }
        for (index, model) in route.models.iter().enumerate() {
            let field = ConfigField::Model(index);
            if route.models[..index].contains(model) {
                let message = format!("model {model:?} is listed twice");
                self.note(field, RecordFault::Duplicate, message);
                continue;
            }
            for target in route.services.iter().filter(|target| target.weight > 0) {
                let Some(service) = self.service(&target.service) else { continue };
                let cost = service.model_costs.get(model);
                let previous = index.checked_sub(1).and_then(|at| route.models.get(at));
                let previous_cost = previous.and_then(|name| service.model_costs.get(name));
                match (previous_cost, cost) {
                    (_, None) => {
                        let message =
                            format!("service {:?} does not list model {model:?}", service.name);
                        self.fault(field, RecordFault::UnknownReference, message);
                    }
                    (Some(smaller), Some(cost)) if smaller > cost => {
                        let message = format!(
                            "model {model:?} costs {cost} at service {:?}, less than the {smaller} \
                             of the smaller model before it",
                            service.name
                        );
                        self.note(field, RecordFault::Contradiction, message);
                    }
                    _ => {}
                }
            }
        }
    }

    fn check_attempts(&mut self, route: &RouteRow) {
        let attempts = route.max_attempts;
        if attempts > 1 && !route.is_repeatable() {
            let kind = match route.kind {
                CallKind::Unsafe => "an unsafe call",
                CallKind::Safe | CallKind::Stream => "a stream that is not resumable",
            };
            let message = format!("{attempts} attempts, but {kind} never runs twice");
            self.note(ConfigField::MaxAttempts, RecordFault::Contradiction, message);
        } else if let Some(bounds) = self.run.settings.map(|settings| settings.bounds) {
            let repeats = AttemptBudget::max_single_repeats(bounds.retry_ratio, bounds.retry_slack);
            if attempts.saturating_sub(1) > repeats {
                let message = format!(
                    "{attempts} attempts, but the retry budget allows a single call {repeats} \
                     repeats at most"
                );
                self.note(ConfigField::MaxAttempts, RecordFault::Contradiction, message);
            }
        }
        if route.is_resumable && route.kind != CallKind::Stream {
            let message = "only streams resume";
            self.note(ConfigField::Resumable, RecordFault::Unused, message);
        } else if route.is_resumable && attempts == 1 {
            let message = "a call runs once, so no stream resumes";
            self.note(ConfigField::Resumable, RecordFault::Contradiction, message);
        }
    }

    fn check_times(&mut self, route: &RouteRow) {
        let (timeout, objective) = (route.timeout, route.latency_objective);
        if timeout.is_zero() {
            let message = "time limit is zero, negative or too large, which counts as zero";
            self.fault(ConfigField::Timeout, RecordFault::OutOfRange, message);
        }
        if objective.is_zero() {
            let message = "objective is zero, negative or too large, so every answer is late";
            self.note(ConfigField::LatencyObjective, RecordFault::OutOfRange, message);
        }
        if !timeout.is_zero() && timeout < objective {
            let message = format!("{timeout:?} is less than the objective of {objective:?}");
            self.note(ConfigField::Timeout, RecordFault::Contradiction, message);
        }
        let Some(gap) = route.max_event_gap else { return };
        if route.kind != CallKind::Stream {
            let message = "only streams have events";
            self.note(ConfigField::EventGap, RecordFault::Unused, message);
        } else if gap == Duration::ZERO {
            let message = "pause is zero, negative or too large, so every event is late";
            self.note(ConfigField::EventGap, RecordFault::OutOfRange, message);
        } else if !timeout.is_zero() && gap >= timeout {
            let message = format!("{gap:?} is not less than the time limit of {timeout:?}");
            self.note(ConfigField::EventGap, RecordFault::Contradiction, message);
        }
    }

    fn check_regions(&mut self, route: &RouteRow) {
        let Some(settings) = self.run.settings else { return };
        let regions: BTreeSet<_> = settings.regions.values().collect();
        for (index, region) in route.home_regions.iter().enumerate() {
            if !regions.contains(region) {
                let message = format!("no data centre of the settings is in region {region:?}");
                let field = ConfigField::HomeRegion(index);
                self.note(field, RecordFault::UnknownReference, message);
            }
        }
    }

    fn check_service(&mut self, service: &ServiceRow, first: Option<usize>) {
        if let Some(first) = first {
            let message = format!("replaces service {first}, which has the same name");
            self.fault(ConfigField::Name, RecordFault::Duplicate, message);
        }
        let leads_here = |route: &RouteRow| {
            route.services.iter().any(|target| target.weight > 0 && target.service == service.name)
        };
        if !self.run.entries.routes.iter().any(leads_here) {
            let message = "no route leads to the service";
            self.note(ConfigField::Entry, RecordFault::Unused, message);
        }
    }

    fn check_customer(
        &mut self,
        index: usize,
        customer: &'a CustomerEntry,
        first: Option<usize>,
        keys: &mut HashMap<&'a [u8], usize>,
    ) {
        if let Some(first) = first {
            let message = format!("customer {first} has the same name");
            self.note(ConfigField::Name, RecordFault::Duplicate, message);
        }
        if customer.keys.is_empty() {
            let message = "customer has no key, so no call is its own";
            self.note(ConfigField::Keys, RecordFault::Unused, message);
        }
        for (position, key) in customer.keys.iter().enumerate() {
            let field = ConfigField::Key(position);
            if key.is_empty() {
                self.fault(field, RecordFault::OutOfRange, "key is empty");
                continue;
            }
            match keys.insert(key, index) {
                Some(owner) if owner != index => {
                    let message = format!("customer {owner} has the same key and loses it");
                    self.fault(field, RecordFault::Duplicate, message);
                }
                Some(_) => self.note(field, RecordFault::Duplicate, "key is listed twice"),
                None => {}
            }
        }
    }

    fn check_limits(&mut self, limits: &CallerLimits) {
        let is_zero = [
            (ConfigField::MaxHeadBytes, limits.max_head_bytes == 0),
            (ConfigField::HeadTimeout, limits.head_timeout.is_zero()),
            (ConfigField::IdleTimeout, limits.idle_timeout.is_zero()),
        ];
        for (field, _) in is_zero.into_iter().filter(|(_, is_zero)| *is_zero) {
            self.fault(field, RecordFault::OutOfRange, "limit is zero, so no call can be read");
        }
        let memory_bytes = self.run.settings.map_or(u64::MAX, |settings| settings.memory_bytes);
        if limits.max_body_bytes as u64 > memory_bytes {
            let message = format!("a single body may exceed the memory of {memory_bytes} bytes");
            self.note(ConfigField::MaxBodyBytes, RecordFault::Contradiction, message);
        }
    }

    /// Service that is in effect under a name.
    fn service(&self, name: &str) -> Option<&'a ServiceRow> {
        self.run.entries.services.iter().rev().find(|service| &*service.name == name)
    }
}
