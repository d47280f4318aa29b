//! Settings of the daemon.

use std::collections::BTreeMap;

use yuccareel::settings::{self, Settings, SettingsError, SettingsRequest};

const HASH: &str = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
const SECRET: &str = "sixteen bytes or more";

fn complete() -> BTreeMap<&'static str, &'static str> {
    BTreeMap::from([
        ("YUCCAREEL_ADVERTISE", "10.0.0.5:8080"),
        ("YUCCAREEL_PEER_LISTEN", "10.0.0.5:8090"),
        ("YUCCAREEL_NAME", "node-a"),
        ("YUCCAREEL_DATA_CENTRE", "evesham"),
        ("YUCCAREEL_KV_URL", "http://10.0.1.1:2379/"),
        ("YUCCAREEL_INSTANCE_LIST_URL", "http://10.0.1.2:80"),
        ("YUCCAREEL_PEER_SECRET", SECRET),
        ("YUCCAREEL_OPERATOR_TOKEN_SHA256", HASH),
    ])
}

fn parse(
    environment: &BTreeMap<&'static str, &'static str>,
    arguments: &[&str],
) -> Result<Settings, SettingsError> {
    let arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
    let variable = |name: &str| environment.get(name).map(ToString::to_string);
    match settings::parse(&arguments, variable)? {
        SettingsRequest::Run(settings) => Ok(*settings),
        SettingsRequest::Help(text) => panic!("{text}"),
    }
}

/// Guards against a setting that is read from the wrong place, and against a printed secret.
#[test]
fn flags_win_over_environment_and_defaults() {
    let arguments = ["--name", "node-b", "--body-timeout-ms=250", "--weight-store-url", ""];
    let settings = parse(&complete(), &arguments).unwrap();
    assert_eq!(&*settings.name, "node-b");
    assert_eq!(&*settings.data_centre, "evesham");
    assert_eq!(settings.kv_url, "http://10.0.1.1:2379");
    assert_eq!(settings.peer_advertise, settings.peer_listen);
    assert_eq!(settings.limits.body_timeout.as_millis(), 250);
    assert_eq!(settings.limits.body_bytes, 4 << 20);
    assert_eq!(settings.weight_store_url, None);
    assert_eq!(settings.operator_token_sha256[..2], [0xba, 0x78]);
    assert_eq!(settings.peer_secret.bytes(), SECRET.as_bytes());
    assert!(!format!("{settings:?}").contains(SECRET));
}

/// Guards against a start that reports one fault at a time, or starts with a faulty value.
#[test]
fn faults_are_reported_together() {
    struct Case {
        name: &'static str,
        arguments: &'static [&'static str],
        findings: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "five at once",
            arguments: &[
                "--listen=nowhere",
                "--kv-url=https://kv",
                "--name=a b",
                "--log-level=loud",
                "x",
            ],
            findings: &["\"x\"", "--listen ", "--name ", "--kv-url ", "--log-level "],
        },
        Case {
            name: "out of range",
            arguments: &["--body-bytes-max=1", "--request-timeout-ms=600001"],
            findings: &["found 1", "found 600001"],
        },
        Case {
            name: "shutdown that cuts requests",
            arguments: &["--request-timeout-ms=9000", "--shutdown-timeout-ms=8999"],
            findings: &["--shutdown-timeout-ms "],
        },
        Case {
            name: "address that nobody can connect to",
            arguments: &["--advertise=", "--listen=0.0.0.0:1", "--peer-advertise=[::]:1"],
            findings: &["--advertise ", "--peer-advertise "],
        },
        Case {
            name: "secrets",
            arguments: &["--peer-secret=short", "--operator-token-sha256=my-token"],
            findings: &["found 5", "64 lower-case"],
        },
        Case { name: "unknown flag", arguments: &["--colour"], findings: &["colour"] },
    ];
    for case in &cases {
        let SettingsError(findings) = parse(&complete(), case.arguments).unwrap_err();
        assert_eq!(findings.len(), case.findings.len(), "{}: {findings:#?}", case.name);
        for (found, expected) in findings.iter().zip(case.findings) {
            assert!(found.contains(expected), "{}: {found}", case.name);
            assert!(!found.contains("my-token"), "{}: {found}", case.name);
        }
    }
    let SettingsError(findings) = parse(&BTreeMap::new(), &[]).unwrap_err();
    insta::assert_snapshot!(findings.join("\n"));
}

/// Guards against a setting without unit, default or variable in the help text.
#[test]
fn help_lists_every_setting() {
    let request = settings::parse(&["--help".to_owned()], |_| None).unwrap();
    let SettingsRequest::Help(text) = request else { panic!("no help") };
    insta::assert_snapshot!(text);
}

/// Guards against a daemon that does not start and says so in no line of the log.
#[test]
fn a_daemon_that_cannot_start_writes_why() {
    struct StartCase {
        name: &'static str,
        arguments: &'static [&'static str],
        code: i32,
        event: &'static str,
    }
    let cases = [
        StartCase {
            name: "unknown setting",
            arguments: &["--no-such-setting"],
            code: 2,
            event: "settings_invalid",
        },
        StartCase { name: "no settings", arguments: &[], code: 2, event: "settings_invalid" },
    ];
    for StartCase { name, arguments, code, event } in cases {
        let done = std::process::Command::new(env!("CARGO_BIN_EXE_yuccareeld"))
            .args(arguments)
            .env_clear()
            .output()
            .unwrap();
        assert_eq!(done.status.code(), Some(code), "{name}");
        let line: serde_json::Value = serde_json::from_slice(&done.stdout).unwrap();
        assert_eq!(line["code"], event, "{name}: {line}");
        assert!(!line["error"].as_str().unwrap().is_empty(), "{name}: {line}");
    }
}
