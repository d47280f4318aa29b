//! Definitions of the daemon's settings, and a reader that collects findings.

use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use getopts::{Matches, Options};

/// Setting with its documentation.
struct SettingSpec {
    flag: &'static str,
    hint: &'static str,
    default: Option<&'static str>,
    help: &'static str,
}

const fn spec(
    flag: &'static str,
    hint: &'static str,
    default: Option<&'static str>,
    help: &'static str,
) -> SettingSpec {
    SettingSpec { flag, hint, default, help }
}

#[rustfmt::skip]
const SPECS: [SettingSpec; 19] = [
    spec("listen", "ADDRESS", Some("0.0.0.0:8080"), "address for callers and operators"),
    spec("peer-listen", "ADDRESS", Some("0.0.0.0:8090"), "address for other instances"),
    spec("advertise", "ADDRESS", None, "address that callers are given; by default --listen"),
    spec("peer-advertise", "ADDRESS", None, "address that other instances are given; by default --peer-listen"),
    spec("name", "NAME", None, "unique name of this instance; required"),
    spec("data-centre", "NAME", None, "data centre of this instance; required"),
    spec("kv-url", "URL", None, "key-value service; required"),
    spec("instance-list-url", "URL", None, "instance list; required"),
    spec("rating-url", "URL", None, "answer-rating service; optional"),
    spec("weight-store-url", "URL", None, "weight store; optional"),
    spec("peer-secret", "TEXT", None, "secret shared by all instances, at least 16 bytes; required, best set by its variable"),
    spec("operator-token-sha256", "HEX", None, "SHA-256 of the operators' token; required"),
    spec("body-bytes-max", "BYTES", Some("4194304"), "largest request body"),
    spec("header-bytes-max", "BYTES", Some("32768"), "largest request headers"),
    spec("header-timeout-ms", "MILLISECONDS", Some("5000"), "time to receive the headers"),
    spec("body-timeout-ms", "MILLISECONDS", Some("30000"), "time to receive the body"),
    spec("request-timeout-ms", "MILLISECONDS", Some("120000"), "deadline of a request that names none"),
    spec("shutdown-timeout-ms", "MILLISECONDS", Some("600000"), "time for requests in flight at shutdown"),
    spec("log-level", "LEVEL", Some("info"), "least severe level that is logged"),
];

/// Options of the daemon.
pub fn definitions() -> Options {
    let mut options = Options::new();
    for spec in &SPECS {
        let default = spec.default.map(|text| format!(" (default {text})")).unwrap_or_default();
        let help = format!("{}{default} [{}]", spec.help, variable_name(spec.flag));
        options.optopt("", spec.flag, &help, spec.hint);
    }
    options.optflag("h", "help", "print this help");
    options
}

/// Help text with unit, default and variable of each setting.
pub fn help() -> String {
    definitions().usage("Usage: yuccareeld [OPTIONS]\n\nRuns an entry instance of yuccareel.")
}

/// Environment variable of a flag.
fn variable_name(flag: &str) -> String {
    format!("YUCCAREEL_{}", flag.to_uppercase().replace('-', "_"))
}

/// Reader of flags and environment.
pub struct SettingReader<'a> {
    matches: &'a Matches,
    variable: &'a dyn Fn(&str) -> Option<String>,
    findings: Vec<String>,
}

impl<'a> SettingReader<'a> {
    /// Reader of parsed flags and of an environment.
    pub fn new(matches: &'a Matches, variable: &'a dyn Fn(&str) -> Option<String>) -> Self {
        let unexpected = |argument: &String| format!("unexpected argument {argument:?}");
        let findings = matches.free.iter().map(unexpected).collect();
        Self { matches, variable, findings }
    }

    /// All findings.
    pub fn finish(self) -> Vec<String> {
        self.findings
    }

    /// Records a finding on a setting.
    pub fn report(&mut self, flag: &str, message: impl AsRef<str>) {
        let line = format!("--{flag} ({}): {}", variable_name(flag), message.as_ref());
        self.findings.push(line);
    }

    /// Whether a flag or its variable is set.
    pub fn is_set(&self, flag: &str) -> bool {
        self.given(flag).is_some()
    }

    /// Text of the flag, else of its variable; empty text counts as absent.
    fn given(&self, flag: &str) -> Option<String> {
        let text = self.matches.opt_str(flag).or_else(|| (self.variable)(&variable_name(flag)));
        text.filter(|text| !text.is_empty())
    }

    /// Text of a setting without which the daemon cannot run.
    pub fn required(&mut self, flag: &str) -> Option<String> {
        let default = SPECS.iter().find(|spec| spec.flag == flag).and_then(|spec| spec.default);
        let text = self.given(flag).or_else(|| default.map(str::to_owned));
        if text.is_none() {
            self.report(flag, "required");
        }
        text
    }

    /// Parsed value.
    pub fn parsed<T: FromStr>(&mut self, flag: &str, expected: &str) -> Option<T> {
        let text = self.required(flag)?;
        let parsed = text.parse().ok();
        if parsed.is_none() {
            self.report(flag, format!("expected {expected}, found {text:?}"));
        }
        parsed
    }

    /// Whole number in a range.
    pub fn bounded(&mut self, flag: &str, range: RangeInclusive<u64>) -> Option<u64> {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        let number = self.parsed(flag, &expected)?;
        if !range.contains(&number) {
            self.report(flag, format!("expected {expected}, found {number}"));
            return None;
        }
        Some(number)
    }

    /// Duration in milliseconds.
    pub fn milliseconds(&mut self, flag: &str, range: RangeInclusive<u64>) -> Option<Duration> {
        self.bounded(flag, range).map(Duration::from_millis)
    }

    /// Base URL without a slash at its end.
    pub fn url(&mut self, flag: &str) -> Option<String> {
        let text = self.required(flag)?;
        let url = reqwest::Url::parse(&text).ok();
        let valid = url
            .is_some_and(|url| url.scheme() == "http" && url.has_host() && url.query().is_none());
        if !valid {
            self.report(flag, format!("expected a URL with http://, found {text:?}"));
            return None;
        }
        Some(text.trim_end_matches('/').to_owned())
    }

    /// Base URL that may be absent.
    pub fn optional_url(&mut self, flag: &str) -> Option<Option<String>> {
        if self.is_set(flag) { self.url(flag).map(Some) } else { Some(None) }
    }
}
