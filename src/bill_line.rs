//! Bill of one request.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::ids;

/// Bill of one request, with every cascade step that was tried.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillLine {
    /// Request that is billed.
    #[serde(rename = "r", with = "request_hex")]
    pub request: ids::RequestId,
    /// Customer that pays.
    #[serde(rename = "c")]
    pub customer: ids::CustomerName,
    /// Steps in the order in which they ran.
    #[serde(rename = "s")]
    pub steps: SmallVec<[BillStep; 1]>,
}

/// Tokens and cost of one step. Serialized as an array to keep batches small.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    into = "(ids::ModelName, ids::VersionName, u64, u64, ids::Microcredits)",
    from = "(ids::ModelName, ids::VersionName, u64, u64, ids::Microcredits)"
)]
pub struct BillStep {
    /// Model.
    pub model: ids::ModelName,
    /// Version.
    pub version: ids::VersionName,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
    /// Cost.
    pub cost: ids::Microcredits,
}

type StepParts = (ids::ModelName, ids::VersionName, u64, u64, ids::Microcredits);

impl From<BillStep> for StepParts {
    fn from(step: BillStep) -> Self {
        (step.model, step.version, step.prompt_tokens, step.completion_tokens, step.cost)
    }
}

impl From<StepParts> for BillStep {
    fn from(parts: StepParts) -> Self {
        let (model, version, prompt_tokens, completion_tokens, cost) = parts;
        Self { model, version, prompt_tokens, completion_tokens, cost }
    }
}

impl BillLine {
    /// Cost of all steps.
    pub fn cost(&self) -> ids::Microcredits {
        self.steps.iter().map(|step| step.cost).sum()
    }

    /// Tokens of all steps, prompt and generated.
    pub fn tokens(&self) -> u64 {
        self.steps.iter().map(|step| step.prompt_tokens + step.completion_tokens).sum()
    }

    /// Upper estimate of the bytes that the line takes in a batch.
    ///
    /// 72 bytes cover the request id, a number of 12 digits and the punctuation; another 72
    /// per step cover three numbers of 20 digits and the punctuation.
    pub fn size_bytes(&self) -> usize {
        let steps = self.steps.iter();
        72 + self.customer.len()
            + steps.map(|step| 72 + step.model.len() + step.version.len()).sum::<usize>()
    }
}

/// Request identifiers as 32 hexadecimal digits.
pub mod request_hex {
    use serde::{Deserialize as _, Deserializer, Serializer, de::Error as _};

    use crate::ids;

    /// Writes the digits.
    pub fn serialize<S: Serializer>(
        request: &ids::RequestId,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&format_args!("{request:032x}"))
    }

    /// Reads the digits.
    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<ids::RequestId, D::Error> {
        let text = String::deserialize(deserializer)?;
        ids::RequestId::from_str_radix(&text, 16).map_err(D::Error::custom)
    }
}
