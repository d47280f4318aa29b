//! Rules for retries: whether a failed attempt may be repeated, and a budget of retries.
//!
//! Each first attempt adds a tenth of a retry to the balances of its customer
//! and its backend server. A retry is deducted from the balances of the customer
//! and of the server that it goes to, so that the failure of one server cannot
//! overload the others.

use std::collections::HashMap;
use std::sync::Arc;

use crate::{ids, retry_reason::RetryReason};

/// Attempts of one request, including the first.
pub const MAX_ATTEMPTS: u32 = 3;
/// Price of a retry in units; a first attempt adds one unit.
const RETRY_COST_UNITS: u32 = 10;
/// Keeps a long time without failures from paying for a storm of retries.
const MAX_BALANCE_UNITS: u32 = 10 * RETRY_COST_UNITS;
/// Allows one retry to customers with few requests, which would otherwise have none.
const INITIAL_BALANCE_UNITS: u32 = RETRY_COST_UNITS;

/// How far a failed attempt got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptProgress {
    /// The server ran nothing: the request was not sent, or the server refused it.
    NotSent,
    /// The first byte of the request may have been sent.
    MaybeSent,
    /// Parts of the answer were relayed to the caller.
    AnswerStarted,
}

/// How to proceed after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry without charging the budget, because the server received no work.
    RetryOutsideBudget,
    /// Retry if the budget allows it.
    RetryWithinBudget,
    /// Resume the stream at its offset, so that nothing is generated twice.
    Resume,
    DoNotRetry,
}

/// Decides how to proceed after a failed attempt; does not check the budget.
///
/// `attempts` includes the failed one.
pub fn decide_retry(
    reason: RetryReason,
    is_repeatable: bool,
    progress: AttemptProgress,
    attempts: u32,
) -> RetryDecision {
    if attempts >= MAX_ATTEMPTS {
        return RetryDecision::DoNotRetry;
    }
    match (progress, reason) {
        (AttemptProgress::NotSent, RetryReason::ConnectFailed | RetryReason::VersionNotServed) => {
            RetryDecision::RetryOutsideBudget
        }
        (AttemptProgress::NotSent, _) => RetryDecision::RetryWithinBudget,
        (AttemptProgress::MaybeSent | AttemptProgress::AnswerStarted, _) if !is_repeatable => {
            RetryDecision::DoNotRetry
        }
        (AttemptProgress::MaybeSent, _) => RetryDecision::RetryWithinBudget,
        (
            AttemptProgress::AnswerStarted,
            RetryReason::ProgressTimeout
            | RetryReason::StreamTruncated
            | RetryReason::AnswerMismatched,
        ) => RetryDecision::Resume,
        (AttemptProgress::AnswerStarted, _) => RetryDecision::DoNotRetry,
    }
}

/// Balances of customers and backend servers, from which retries are paid.
#[derive(Debug, Default)]
pub struct RetryBudget {
    customer_balances: HashMap<ids::CustomerName, u32>,
    backend_balances: HashMap<ids::ReplicaName, u32>,
}

impl RetryBudget {
    /// Adds one unit to the balances of the customer and the server.
    pub fn record_first_attempt(
        &mut self,
        customer: &ids::CustomerName,
        backend: &ids::ReplicaName,
    ) {
        add_unit(&mut self.customer_balances, customer);
        add_unit(&mut self.backend_balances, backend);
    }

    /// Deducts one retry or hedged request if the balances of customer and server allow it.
    pub fn try_take_retry(
        &mut self,
        customer: &ids::CustomerName,
        backend: &ids::ReplicaName,
    ) -> bool {
        let customer_balance = balance_of(&mut self.customer_balances, customer);
        let backend_balance = balance_of(&mut self.backend_balances, backend);
        let is_allowed =
            *customer_balance >= RETRY_COST_UNITS && *backend_balance >= RETRY_COST_UNITS;
        if is_allowed {
            *customer_balance -= RETRY_COST_UNITS;
            *backend_balance -= RETRY_COST_UNITS;
        }
        is_allowed
    }

    /// Removes the balances of unknown customers and servers.
    pub fn retain_known(
        &mut self,
        is_customer: impl Fn(&str) -> bool,
        is_backend: impl Fn(&str) -> bool,
    ) {
        self.customer_balances.retain(|name, _| is_customer(name));
        self.backend_balances.retain(|name, _| is_backend(name));
    }
}

fn balance_of<'a>(balances: &'a mut HashMap<Arc<str>, u32>, name: &Arc<str>) -> &'a mut u32 {
    balances.entry(name.clone()).or_insert(INITIAL_BALANCE_UNITS)
}

fn add_unit(balances: &mut HashMap<Arc<str>, u32>, name: &Arc<str>) {
    let balance = balance_of(balances, name);
    *balance = (*balance + 1).min(MAX_BALANCE_UNITS);
}
