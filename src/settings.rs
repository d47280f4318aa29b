//! Settings of the daemon from flags and environment, validated once at start.
//!
//! A flag `--kv-url` and the variable `YUCCAREEL_KV_URL` say the same; the flag wins.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::setting_reader::{self, SettingReader};
use crate::{field_reader, ids, record_fields};

/// Shortest secret between instances in bytes; shorter ones can be guessed offline.
const SECRET_BYTES_MIN: usize = 16;

/// Validated settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address for callers and operators.
    pub listen: SocketAddr,
    /// Address for other instances.
    pub peer_listen: SocketAddr,
    /// Address that callers are given; port 0 stands for the port that is bound.
    pub advertise: SocketAddr,
    /// Address that other instances are given; port 0 as above.
    pub peer_advertise: SocketAddr,
    /// Name of this instance.
    pub name: ids::InstanceName,
    /// Data centre of this instance.
    pub data_centre: ids::DataCentreName,
    /// Base URL of the key-value service.
    pub kv_url: String,
    /// Base URL of the instance list.
    pub instance_list_url: String,
    /// Base URL of the rating service; without it, learned pass rates alone are used.
    pub rating_url: Option<String>,
    /// Base URL of the weight store; without it, this instance orders no loads.
    pub weight_store_url: Option<String>,
    /// Secret shared by all instances.
    pub peer_secret: PeerSecret,
    /// SHA-256 of the operators' token.
    pub operator_token_sha256: [u8; 32],
    /// Limits on requests.
    pub limits: RequestLimits,
    /// Least severe level that is logged.
    pub log_level: slog::Level,
}

/// Limits on requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Largest body in bytes.
    pub body_bytes: usize,
    /// Largest headers in bytes.
    pub header_bytes: usize,
    /// Time to receive the headers.
    pub header_timeout: Duration,
    /// Time to receive the body.
    pub body_timeout: Duration,
    /// Deadline of a request that names none.
    pub request_timeout: Duration,
    /// Time for requests in flight at shutdown.
    pub shutdown_timeout: Duration,
}

/// Secret that is never printed.
#[derive(Clone, PartialEq, Eq)]
pub struct PeerSecret(Arc<[u8]>);

impl PeerSecret {
    /// Secret of some bytes.
    pub fn new(bytes: &[u8]) -> Self {
        Self(Arc::from(bytes))
    }

    /// Bytes of the secret.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for PeerSecret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("PeerSecret(..)")
    }
}

/// What the command line asks for.
#[derive(Clone, Debug)]
pub enum SettingsRequest {
    /// Run with these settings.
    Run(Box<Settings>),
    /// Print this help text.
    Help(String),
}

/// Everything that is wrong with the settings.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", .0.join("\n"))]
pub struct SettingsError(pub Vec<String>);

/// Reads the settings.
///
/// # Errors
/// One line for each fault, all together.
pub fn parse(
    arguments: &[String],
    variable: impl Fn(&str) -> Option<String>,
) -> Result<SettingsRequest, SettingsError> {
    let options = setting_reader::definitions();
    let matches = options.parse(arguments).map_err(|fail| SettingsError(vec![fail.to_string()]))?;
    if matches.opt_present("help") {
        return Ok(SettingsRequest::Help(setting_reader::help()));
    }
    let mut reader = SettingReader::new(&matches, &variable);
    let settings = read(&mut reader);
    match (settings, reader.finish()) {
        (Some(settings), findings) if findings.is_empty() => {
            Ok(SettingsRequest::Run(Box::new(settings)))
        }
        (_, findings) => Err(SettingsError(findings)),
    }
}

/// Reads every setting before it gives up, so that all findings are collected.
fn read(reader: &mut SettingReader<'_>) -> Option<Settings> {
    let listen = reader.parsed("listen", "an address such as 10.0.0.5:8080");
    let peer_listen = reader.parsed("peer-listen", "an address such as 10.0.0.5:8090");
    let advertise = read_advertise(reader, "advertise", listen);
    let peer_advertise = read_advertise(reader, "peer-advertise", peer_listen);
    let name = read_name(reader, "name");
    let data_centre = read_name(reader, "data-centre");
    let kv_url = reader.url("kv-url");
    let instance_list_url = reader.url("instance-list-url");
    let rating_url = reader.optional_url("rating-url");
    let weight_store_url = reader.optional_url("weight-store-url");
    let peer_secret = read_secret(reader);
    let operator_token_sha256 = read_hash(reader);
    let limits = read_limits(reader);
    let log_level = reader.parsed("log-level", "critical, error, warning, info, debug or trace");
    Some(Settings {
        listen: listen?,
        peer_listen: peer_listen?,
        advertise: advertise?,
        peer_advertise: peer_advertise?,
        name: name?,
        data_centre: data_centre?,
        kv_url: kv_url?,
        instance_list_url: instance_list_url?,
        rating_url: rating_url?,
        weight_store_url: weight_store_url?,
        peer_secret: peer_secret?,
        operator_token_sha256: operator_token_sha256?,
        limits: limits?,
        log_level: log_level?,
    })
}

/// Address that others connect to; by default the one that is listened on.
fn read_advertise(
    reader: &mut SettingReader<'_>,
    flag: &'static str,
    listen: Option<SocketAddr>,
) -> Option<SocketAddr> {
    let address = if reader.is_set(flag) {
        reader.parsed(flag, "an address such as 10.0.0.5:8080")?
    } else {
        listen?
    };
    if address.ip().is_unspecified() {
        reader.report(flag, format!("{address} cannot be connected to; name an address"));
        return None;
    }
    Some(address)
}

fn read_name(reader: &mut SettingReader<'_>, flag: &'static str) -> Option<Arc<str>> {
    let text = reader.required(flag)?;
    if !field_reader::valid_name(&text) {
        reader.report(flag, format!("{text:?} is no name"));
        return None;
    }
    Some(Arc::from(text))
}

fn read_secret(reader: &mut SettingReader<'_>) -> Option<PeerSecret> {
    let text = reader.required("peer-secret")?;
    if text.len() < SECRET_BYTES_MIN {
        let message = format!("expected at least {SECRET_BYTES_MIN} bytes, found {}", text.len());
        reader.report("peer-secret", message);
        return None;
    }
    Some(PeerSecret::new(text.as_bytes()))
}

fn read_hash(reader: &mut SettingReader<'_>) -> Option<[u8; 32]> {
    let text = reader.required("operator-token-sha256")?;
    if !record_fields::valid_hash(&text) {
        // The text is not repeated: it may be the token itself.
        let message = "expected 64 lower-case hexadecimal digits, see `yuccareel hash-token`";
        reader.report("operator-token-sha256", message);
        return None;
    }
    let mut hash = [0; 32];
    for (index, byte) in hash.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(hash)
}

fn read_limits(reader: &mut SettingReader<'_>) -> Option<RequestLimits> {
    let body_bytes = reader.bounded("body-bytes-max", 1_024..=1 << 30);
    let header_bytes = reader.bounded("header-bytes-max", 1_024..=1 << 20);
    let header_timeout = reader.milliseconds("header-timeout-ms", 10..=60_000);
    let body_timeout = reader.milliseconds("body-timeout-ms", 10..=600_000);
    let request_timeout = reader.milliseconds("request-timeout-ms", 100..=600_000);
    let shutdown_timeout = reader.milliseconds("shutdown-timeout-ms", 0..=900_000);
    if let (Some(shutdown), Some(request)) = (shutdown_timeout, request_timeout)
        && shutdown < request
    {
        let message = "shorter than --request-timeout-ms; a shutdown would cut requests";
        reader.report("shutdown-timeout-ms", message);
    }
    Some(RequestLimits {
        body_bytes: usize::try_from(body_bytes?).ok()?,
        header_bytes: usize::try_from(header_bytes?).ok()?,
        header_timeout: header_timeout?,
        body_timeout: body_timeout?,
        request_timeout: request_timeout?,
        shutdown_timeout: shutdown_timeout?,
    })
}
