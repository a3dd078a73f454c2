//! The platform's configuration file, which the environment variable `GW_CONFIG` names: parsing, validation, and
//! compilation into a plan.

pub use crate::raw_config::RawConfig;

use crate::discovery_list::HostList;
use crate::plan::{
    connection_buffer_share, Dialect, Discovery, Limits as PlanLimits, Listener, Plan, Pool, RequestClass,
    Source,
};
use crate::routes::{PathPattern, PathRules, Route, RouteAction, RouteTable};
use crate::tenants::Tenants;
use crate::version::Version;
use corkhollow_balance::interface::{Nanos, Quotas, Settings};
use corkhollow_balance::settings::{self, Pairs};
use http::header::HeaderName;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

/// A request body is buffered for retries up to the memory limit divided by this.
const REPLAY_BUFFER_MEMORY_DIVISOR: u64 = 16;
/// The longest head, which is also the smallest read buffer of a connection: it bounds the memory that 1,000
/// connections hold.
const MAX_HEADER_BYTES: usize = 16 * 1024;
/// The longest head on a node with little memory for each descriptor: a connection's buffer holds a head.
const MIN_HEADER_BYTES: usize = 8 * 1024;
/// The 2 s that the platform allows a client for a head, and a margin for network delay.
const HEADER_TIMEOUT: Nanos = 2_200_000_000;
/// The 3 s after connecting in which the platform wants bad clients let go, less the interval of the checks and a margin.
const FIRST_REQUEST_TIMEOUT: Nanos = 2_600_000_000;
const CLIENT_IDLE_TIMEOUT: Nanos = 90_000_000_000;
/// A slow client makes some progress within this time; one that makes none is disconnected.
const STALL_TIMEOUT: Nanos = 20_000_000_000;
/// The longest deadline of a class that is awaited after SIGTERM: SIGKILL follows after the longest deadline, which
/// the platform counts as 3 s where it is longer, and [`DRAIN_MARGIN`].
const MAX_DRAIN_DEADLINE: Nanos = 3_000_000_000;
/// The time from the longest deadline after SIGTERM until the platform sends SIGKILL.
const DRAIN_MARGIN: Nanos = 700_000_000;

/// Why a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
#[allow(missing_docs)] // The messages describe the variants.
pub enum ConfigError {
    #[error("GW_CONFIG does not name a configuration file")]
    Unset,
    #[error("cannot read {path}: {error}")]
    Unreadable { path: String, error: std::io::Error },
    #[error("{path}: {error}")]
    Malformed { path: String, error: serde_json::Error },
    #[error("{path}: settings: {error}")]
    Settings { path: String, error: String },
    #[error("{path}: `{key}` is missing; the configuration in force has it")]
    MissingKey { path: String, key: String },
    #[error("{path}: `{key}` must be a number above 0")]
    NotPositive { path: String, key: String },
    #[error("`{key}` can only change with a restart")]
    RequiresRestart { key: &'static str },
    #[error("GW_OPERATOR is `{text}`; allowed: an IP address with a port")]
    InvalidOperatorAddress { text: String },
    #[error("{path}: `limits.{name}` is too low")]
    LimitTooLow { path: String, name: &'static str },
}

#[derive(Deserialize)]
struct PlatformFile {
    listen: SocketAddr,
    operator: Option<SocketAddr>,
    discovery: SocketAddr,
    #[serde(default)]
    seed: String,
    limits: Limits,
    known: Option<HostList>,
    settings: Value,
}

/// The resources that the node may use.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    /// Memory, in MiB.
    pub memory_mb: u64,
    /// The number of file descriptors.
    pub sockets: usize,
}

/// The parsed configuration.
#[derive(Debug)]
pub struct Config {
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The address of the operator interface, if it is enabled.
    pub operator: Option<SocketAddr>,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The seed of random numbers, different for each start.
    pub seed: u64,
    /// The resources that the node may use.
    pub limits: Limits,
    /// The last list of servers that an earlier process of this node received.
    pub known: Option<HostList>,
    /// The settings of the decision module.
    pub settings: Settings,
    /// How long a connection may be idle before its server may close it.
    pub server_idle_timeout: Nanos,
    /// How long connecting to a server may take.
    pub connect_timeout: Nanos,
    /// The names of the classes, by their index in the settings.
    pub classes: Vec<String>,
    /// The names of the tenants, by their index in the settings.
    pub tenants: Vec<String>,
    /// The names of the zones, by their index.
    pub zones: Vec<String>,
    /// The names of the machine kinds, by their index.
    pub kinds: Vec<String>,
    /// The version of the file.
    pub version: Version,
    /// The file as JSON.
    pub raw: RawConfig,
}

impl Config {
    /// Reads the file that `GW_CONFIG` names, to replace the configuration `old`.
    ///
    /// # Errors
    /// If the file cannot be used, or lacks a key that `old` has.
    pub fn reload(old: &RawConfig) -> Result<Self, ConfigError> {
        let config = Self::load()?;
        match old.missing_key(&config.raw) {
            Some(key) => {
                Err(ConfigError::MissingKey { path: std::env::var("GW_CONFIG").unwrap_or_default(), key })
            }
            None => Ok(config),
        }
    }

    /// Reads the file that `GW_CONFIG` names.
    ///
    /// # Errors
    /// If the file cannot be used.
    pub fn load() -> Result<Self, ConfigError> {
        let path = std::env::var("GW_CONFIG").map_err(|_| ConfigError::Unset)?;
        let bytes = crate::stable_read::read(Path::new(&path))
            .map_err(|error| ConfigError::Unreadable { path: path.clone(), error })?;
        let mut config = Self::parse(&path, &bytes)?;
        // A successor shares the file with the process it replaces, but needs another operator address.
        if let Ok(text) = std::env::var("GW_OPERATOR") {
            let address = text.parse().map_err(|_| ConfigError::InvalidOperatorAddress { text })?;
            config.operator = Some(address);
        }
        Ok(config)
    }

    fn parse(path: &str, bytes: &[u8]) -> Result<Self, ConfigError> {
        let path = path.to_owned();
        let malformed = |error| ConfigError::Malformed { path: path.clone(), error };
        let raw: Value = serde_json::from_slice(bytes).map_err(malformed)?;
        let file = PlatformFile::deserialize(&raw).map_err(malformed)?;
        let raw = RawConfig::new(raw);
        if let Some(key) = raw.non_positive_number() {
            return Err(ConfigError::NotPositive { path, key });
        }
        for (name, value, min) in
            [("memory_mb", file.limits.memory_mb, 16), ("sockets", file.limits.sockets as u64, 48)]
        {
            if value < min {
                return Err(ConfigError::LimitTooLow { path, name });
            }
        }
        let mut pairs = Pairs::default();
        flatten("", &file.settings, &mut pairs);
        let settings_error = |error| ConfigError::Settings { path: path.clone(), error };
        let (settings, _) = settings::parse(&pairs).map_err(settings_error)?;
        let names = |list: &str| names(&file.settings[list]);
        Ok(Config {
            server_idle_timeout: pairs.get("caps.connIdleNs").map_err(settings_error)?,
            connect_timeout: pairs.get("caps.connectTimeoutNs").map_err(settings_error)?,
            classes: check_unique_names(names("classes")).map_err(settings_error)?,
            tenants: names("tenants"),
            zones: names("zones"),
            kinds: names("skus"),
            listen: file.listen,
            operator: file.operator,
            discovery: file.discovery,
            // Any text is accepted as a seed, since it only has to differ with each start.
            seed: u64::from_str_radix(&file.seed, 16)
                .unwrap_or_else(|_| crate::stable_hash(file.seed.as_bytes())),
            limits: file.limits,
            known: file.known,
            settings,
            version: Version::of(bytes),
            raw,
        })
    }
}

/// Rejects class names that are empty or occur twice: a request names its class.
fn check_unique_names(names: Vec<String>) -> Result<Vec<String>, String> {
    let invalid =
        names.iter().enumerate().find(|(index, name)| names[..*index].contains(name) || name.is_empty());
    match invalid {
        Some((index, name)) => Err(format!("`classes.{index}.name` is `{name}`; allowed: a unique name")),
        None => Ok(names),
    }
}

/// The names in a list of strings or of objects with the key `name`.
fn names(list: &Value) -> Vec<String> {
    let name = |item: &Value| item.as_str().or(item["name"].as_str()).unwrap_or_default().to_owned();
    list.as_array().map(|items| items.iter().map(name).collect()).unwrap_or_default()
}

/// Turns nested JSON into the pairs of dotted keys and values that [`settings::parse`] reads: objects in a list are
/// numbered and counted, other lists joined by commas.
fn flatten(path: &str, value: &Value, pairs: &mut Pairs) {
    let child = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(name, v)| flatten(&child(name), v, pairs)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.set(&child("count"), &items.len().to_string());
            items.iter().enumerate().for_each(|(index, v)| flatten(&child(&index.to_string()), v, pairs));
        }
        Value::Array(items) => pairs.set(path, &items.iter().map(scalar_text).collect::<Vec<_>>().join(",")),
        Value::Null => {}
        _ => pairs.set(path, &scalar_text(value)),
    }
}

fn scalar_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace([' ', ','], "_"),
        // Writes 2e9 as an integer.
        Value::Number(n) if n.is_f64() => n.as_f64().unwrap_or(f64::NAN).to_string(),
        other => other.to_string(),
    }
}

const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");
const TENANT_HEADER: HeaderName = HeaderName::from_static("x-tenant-id");

impl Config {
    /// Compiles the plan that replaces `old`. Limits and the operator address stay those of `old`.
    ///
    /// # Errors
    /// If a key differs that can only change with a restart.
    pub fn plan_replacing(&self, old: &Plan) -> Result<Plan, ConfigError> {
        let plan = self.plan();
        let addresses = |plan: &Plan| plan.listeners.iter().map(|l| l.address).collect::<Vec<_>>();
        let unchanged = [
            ("listen", addresses(&plan) == addresses(old)),
            ("settings.zones", plan.zones == old.zones),
            ("settings.zone", plan.zone == old.zone),
        ];
        match unchanged.iter().find(|(_, same)| !same) {
            Some((key, _)) => Err(ConfigError::RequiresRestart { key }),
            None => Ok(Plan { limits: old.limits, operator: old.operator, ..plan }),
        }
    }

    /// Compiles the configuration into a plan in the platform's dialect: one listener, one pool, and for each class a
    /// route whose path prefix is the name of the class.
    pub fn plan(&self) -> Plan {
        let settings = &self.settings;
        let unchanged_paths = PathRules { merge_slashes: false, keep_escaped_slashes: true };
        let class = |(index, name): (usize, &String)| RequestClass {
            name: name.clone(),
            class: settings.classes[index].clone(),
            methods: Vec::new(),
        };
        let route = |(index, name): (usize, &String)| Route {
            name: name.clone(),
            listeners: Vec::new(),
            hosts: Vec::new(),
            path: Some(PathPattern::Prefix(format!("/{name}"))),
            methods: Vec::new(),
            headers: Vec::new(),
            query: Vec::new(),
            class: Some(index),
            action: RouteAction::Forward { pool: 0, rewrite: Box::default() },
        };
        let max_deadline = settings.classes.iter().map(|c| c.give_up).max().unwrap_or(MAX_DRAIN_DEADLINE);
        let quotas = self.tenants.iter().cloned().zip(settings.tenant_quota.iter().map(|(_, quota)| quota));
        Plan {
            version: self.version,
            zone: settings.zone,
            zones: self.zones.clone(),
            drain_timeout: max_deadline.min(MAX_DRAIN_DEADLINE) + DRAIN_MARGIN,
            operator: self.operator,
            // The platform's file has no keys for a fleet of nodes.
            fleet: None,
            limits: PlanLimits {
                descriptors: self.limits.sockets,
                memory_bytes: self.limits.memory_mb << 20,
                replay_buffer_bytes: (self.limits.memory_mb << 20) / REPLAY_BUFFER_MEMORY_DIVISOR,
                header_bytes: max_header_bytes(self.limits.memory_mb << 20, self.limits.sockets),
                header_timeout: HEADER_TIMEOUT,
                first_request_timeout: Some(FIRST_REQUEST_TIMEOUT),
                idle_timeout: CLIENT_IDLE_TIMEOUT,
                stall_timeout: STALL_TIMEOUT,
            },
            listeners: vec![Listener {
                name: "platform".to_owned(),
                address: self.listen,
                dialect: Dialect::Platform,
                via: None,
                x_forwarded: false,
                forwarded: false,
                trust_forwarded: false,
                request_id: REQUEST_ID_HEADER,
                paths: unchanged_paths,
            }],
            classes: self.classes.iter().enumerate().map(class).collect(),
            tenants: Tenants::new(TENANT_HEADER, quotas, settings.over_share_worth),
            pools: vec![Arc::new(Pool {
                name: "platform".to_owned(),
                source: Source::Discovery(Box::new(Discovery {
                    address: self.discovery,
                    zones: self.zones.clone(),
                    kinds: self.kinds.clone(),
                    known: self.known.clone(),
                })),
                dialect: Dialect::Platform,
                settings: Settings { tenant_quota: Quotas::default(), ..settings.clone() },
                connect_timeout: self.connect_timeout,
                idle_timeout: self.server_idle_timeout,
                max_connections: None,
                max_waiting: 0,
                slow_start: true,
                check: None,
            })],
            routes: RouteTable::new(self.classes.iter().enumerate().map(route).collect(), 1),
            seed: Some(self.seed),
        }
    }
}

/// The longest head of a request or answer.
fn max_header_bytes(memory_bytes: u64, descriptors: usize) -> usize {
    (connection_buffer_share(memory_bytes, descriptors) as usize).clamp(MIN_HEADER_BYTES, MAX_HEADER_BYTES)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn json_is_flattened_to_dotted_keys() {
        let json = serde_json::json!({"zone": 1, "zones": ["a b", "c"], "caps": {"x": true, "none": null},
            "classes": [{"name": "status", "aimNs": 5}], "tenants": []});
        let mut pairs = Pairs::default();
        flatten("", &json, &mut pairs);
        let get = |key: &str| pairs.get::<String>(key).ok();
        assert_eq!(get("zones").as_deref(), Some("a_b,c"));
        assert_eq!(get("classes.count").as_deref(), Some("1"));
        assert_eq!(get("classes.0.aimNs").as_deref(), Some("5"));
        assert_eq!(get("caps.x").as_deref(), Some("true"));
        assert_eq!(get("caps.none"), None);
        assert_eq!(names(&json["classes"]), ["status"]);
    }
}
