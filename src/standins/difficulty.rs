//! Hidden difficulty of a prompt, shared by the engine and rating stand-ins.

use serde_json::Value;
use xxhash_rust::xxh3;

/// First word of an answer that meets the quality wanted.
pub const GOOD_MARK: &str = "good:";
/// First word of an answer that does not.
pub const POOR_MARK: &str = "poor:";

/// Difficulty of a prompt, uniform in 0 to 1.
pub fn difficulty(prompt: &str) -> f64 {
    xxh3::xxh3_64(prompt.as_bytes()) as f64 / u64::MAX as f64
}

/// Text of the messages of a chat-completions body.
pub fn prompt_text(body: &Value) -> String {
    let messages = body["messages"].as_array();
    let texts = messages.into_iter().flatten().filter_map(|message| message["content"].as_str());
    texts.collect::<Vec<_>>().join("\n")
}
