//! Whether an attempt may be repeated, and how many may be.
//!
//! Each first attempt earns a tenth of a retry for its customer and for its
//! backend server. A retry is paid by the customer and by the server that it
//! goes to, so that a fault of one server does not fall upon the others.

use std::collections::HashMap;
use std::sync::Arc;

use crate::{ids, retry_reason::RetryReason};

/// Attempts of one request, the first included.
pub const MAX_ATTEMPTS: u32 = 3;
/// Units that one retry costs; a first attempt earns one unit.
const RETRY_COST: u32 = 10;
/// Most units saved, so that a long quiet time does not pay for a storm of retries.
const MAX_BALANCE: u32 = 10 * RETRY_COST;
/// Units at first use; quiet customers would otherwise have no retry at all.
const FIRST_BALANCE: u32 = RETRY_COST;

/// How far a failed attempt got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptProgress {
    /// No byte was sent.
    NotSent,
    /// The first byte of the request may have been sent.
    MaybeSent,
    /// Parts of the answer were passed on to the caller.
    AnswerStarted,
}

/// What may follow a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Repeat without drawing on the budget, because no work was sent.
    RetryOutsideBudget,
    /// Repeat if the budget pays for it.
    RetryWithinBudget,
    /// Resume the stream at its offset; nothing is generated twice.
    Resume,
    /// Do not repeat.
    DoNotRetry,
}

/// What may follow a failed attempt, before the budget is asked.
pub fn decide_retry(
    reason: RetryReason,
    repeatable: bool,
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
        (AttemptProgress::MaybeSent | AttemptProgress::AnswerStarted, _) if !repeatable => {
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

/// Retries that first attempts have earned.
#[derive(Debug, Default)]
pub struct RetryBudget {
    customers: HashMap<ids::CustomerName, u32>,
    backends: HashMap<ids::ReplicaName, u32>,
}

impl RetryBudget {
    /// Records a first attempt.
    pub fn record_first_attempt(
        &mut self,
        customer: &ids::CustomerName,
        backend: &ids::ReplicaName,
    ) {
        earn(&mut self.customers, customer);
        earn(&mut self.backends, backend);
    }

    /// Takes one retry or hedged request if both the customer and the server have earned it.
    pub fn try_take_retry(
        &mut self,
        customer: &ids::CustomerName,
        backend: &ids::ReplicaName,
    ) -> bool {
        let paid = balance(&mut self.customers, customer);
        let hosted = balance(&mut self.backends, backend);
        let allowed = *paid >= RETRY_COST && *hosted >= RETRY_COST;
        if allowed {
            *paid -= RETRY_COST;
            *hosted -= RETRY_COST;
        }
        allowed
    }

    /// Drops the rows of customers and servers that are gone.
    pub fn retain_known(
        &mut self,
        customer: impl Fn(&str) -> bool,
        backend: impl Fn(&str) -> bool,
    ) {
        self.customers.retain(|name, _| customer(name));
        self.backends.retain(|name, _| backend(name));
    }
}

fn balance<'a>(balances: &'a mut HashMap<Arc<str>, u32>, name: &Arc<str>) -> &'a mut u32 {
    balances.entry(name.clone()).or_insert(FIRST_BALANCE)
}

fn earn(balances: &mut HashMap<Arc<str>, u32>, name: &Arc<str>) {
    let balance = balance(balances, name);
    *balance = (*balance + 1).min(MAX_BALANCE);
}
