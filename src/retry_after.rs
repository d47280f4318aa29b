//! Value of the `Retry-After` header of a server's answer.

use std::time::{Duration, SystemTime};

/// Longest time that is taken from a header. Longer ones, such as numbers too large for a duration,
/// count as this.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(3_600);

/// Parses seconds, which may include a fraction, or an HTTP date. `None` for anything else, for
/// negative numbers and for times that have passed.
pub fn parse(value: &str, now: SystemTime) -> Option<Duration> {
    let value = value.trim();
    let time = if value.starts_with(|first: char| first.is_ascii_digit() || first == '.') {
        let is_number = value.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
        let seconds: f64 = value.parse().ok().filter(|_| is_number)?;
        Duration::try_from_secs_f64(seconds).unwrap_or(MAX_RETRY_AFTER)
    } else {
        httpdate::parse_http_date(value).ok()?.duration_since(now).ok()?
    };
    (!time.is_zero()).then(|| time.min(MAX_RETRY_AFTER))
}
