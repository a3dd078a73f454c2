//! The serde model of the configuration file. The keys are described in [`super::schema`].
#![allow(missing_docs)] // Each key is documented once, in the schema.

use super::values::{ByteSize, Duration};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ConfigFile {
    pub node: Node,
    pub operator: Operator,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fleet: Option<Fleet>,
    pub limits: Limits,
    pub listener: Vec<Listener>,
    pub class: Vec<Class>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tenants: Option<Tenants>,
    pub pool: Vec<Pool>,
    pub route: Vec<Route>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub listen: Option<SocketAddr>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    pub name: String,
    pub node: String,
    pub listen: SocketAddr,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertise: Option<SocketAddr>,
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key_file: Option<String>,
    #[serde(default = "default_probe_every")]
    pub probe_every: Duration,
    #[serde(default = "default_probe_timeout")]
    pub probe_timeout: Duration,
    #[serde(default = "default_suspect_for")]
    pub suspect_for: Duration,
    #[serde(default = "default_datagram_bytes")]
    pub datagram_bytes: usize,
}

fn default_probe_every() -> Duration {
    Duration::from_millis(500)
}

fn default_probe_timeout() -> Duration {
    Duration::from_millis(200)
}

fn default_suspect_for() -> Duration {
    Duration::from_millis(2_500)
}

fn default_datagram_bytes() -> usize {
    1_200
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Node {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    pub zones: Vec<String>,
    pub drain_timeout: Duration,
}

impl Default for Node {
    fn default() -> Self {
        Node { zone: None, zones: Vec::new(), drain_timeout: Duration::from_millis(30_000) }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    pub descriptors: usize,
    pub memory: ByteSize,
    pub replay_buffer: ByteSize,
    pub header_bytes: ByteSize,
    pub header_timeout: Duration,
    pub idle_timeout: Duration,
    pub stall_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            descriptors: 1024,
            memory: ByteSize(192_000_000),
            replay_buffer: ByteSize(64 << 10),
            header_bytes: ByteSize(16 << 10),
            header_timeout: Duration::from_millis(10_000),
            idle_timeout: Duration::from_millis(90_000),
            stall_timeout: Duration::from_millis(20_000),
        }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Forwarded {
    #[default]
    None,
    XForwarded,
    Forwarded,
    Both,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listener {
    pub name: String,
    pub address: SocketAddr,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub via: Option<String>,
    #[serde(default)]
    pub forwarded: Forwarded,
    #[serde(default)]
    pub trust_forwarded: bool,
    #[serde(default = "default_request_id")]
    pub request_id: String,
    #[serde(default = "default_true")]
    pub merge_slashes: bool,
    #[serde(default)]
    pub keep_escaped_slashes: bool,
}

fn default_request_id() -> String {
    "x-request-id".to_owned()
}

fn default_true() -> bool {
    true
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    Safe,
    Keyed,
    Unsafe,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    #[default]
    All,
    Zone,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    pub name: String,
    pub effect: Effect,
    #[serde(default)]
    pub methods: Vec<String>,
    #[serde(default = "one_second")]
    pub aim: Duration,
    #[serde(default = "default_deadline")]
    pub deadline: Duration,
    #[serde(default = "one")]
    pub worth: f64,
    #[serde(default = "default_late_worth")]
    pub late_worth: f64,
    #[serde(default)]
    pub group: Group,
    #[serde(default = "ten_seconds")]
    pub window: Duration,
}

impl Class {
    /// A class with defaults for all other keys.
    pub fn new(name: &str, effect: Effect, methods: &[&str]) -> Self {
        Class {
            name: name.to_owned(),
            effect,
            methods: methods.iter().map(|m| (*m).to_owned()).collect(),
            aim: one_second(),
            deadline: default_deadline(),
            worth: one(),
            late_worth: default_late_worth(),
            group: Group::All,
            window: ten_seconds(),
        }
    }
}

fn one_second() -> Duration {
    Duration::from_millis(1_000)
}

fn default_deadline() -> Duration {
    Duration::from_millis(30_000)
}

fn one() -> f64 {
    1.0
}

fn default_late_worth() -> f64 {
    0.5
}

fn ten_seconds() -> Duration {
    Duration::from_millis(10_000)
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tenants {
    pub header: String,
    pub over_share_worth: f64,
    pub tenant: Vec<Tenant>,
}

impl Default for Tenants {
    fn default() -> Self {
        Tenants { header: "x-tenant-id".to_owned(), over_share_worth: 0.05, tenant: Vec::new() }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    pub name: String,
    pub rate: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    pub name: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub servers: Option<Vec<Server>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub watch: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub discovery: Option<SocketAddr>,
    #[serde(default = "three")]
    pub max_attempts: u32,
    #[serde(default)]
    pub second_copies: bool,
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
    #[serde(default = "default_connect_timeout")]
    pub connect_timeout: Duration,
    #[serde(default = "ten_seconds")]
    pub idle_timeout: Duration,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_connections: Option<usize>,
    #[serde(default = "default_max_waiting")]
    pub max_waiting: usize,
    #[serde(default = "default_cold_from")]
    pub cold_from: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold_ramp: Option<Duration>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub check: Option<Check>,
}

fn three() -> u32 {
    3
}

fn default_concurrency() -> u32 {
    64
}

fn default_connect_timeout() -> Duration {
    Duration::from_millis(500)
}

fn default_max_waiting() -> usize {
    256
}

fn default_cold_from() -> f64 {
    0.3
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    pub address: SocketAddr,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub name: Option<String>,
    #[serde(default = "one")]
    pub weight: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<String>,
    #[serde(default)]
    pub drain: bool,
    #[serde(default)]
    pub backup: bool,
}

impl Server {
    /// The server's identity within its pool: its name, or its address if it has none.
    pub fn identity(&self) -> String {
        self.name.clone().unwrap_or_else(|| self.address.to_string())
    }
}

/// The file named by a pool's `watch`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerList {
    pub servers: Vec<Server>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Check {
    pub path: String,
    #[serde(default = "default_check_interval")]
    pub every: Duration,
    #[serde(default = "one_second")]
    pub timeout: Duration,
    #[serde(default = "two")]
    pub rise: u32,
    #[serde(default = "three")]
    pub fall: u32,
    #[serde(default = "default_check_status")]
    pub status: Vec<u16>,
}

fn default_check_interval() -> Duration {
    Duration::from_millis(2_000)
}

fn two() -> u32 {
    2
}

fn default_check_status() -> Vec<u16> {
    vec![200]
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FieldCondition {
    pub name: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub is: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub begins: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub matches: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub present: Option<bool>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HeaderEdits {
    pub remove: Vec<String>,
    pub set: BTreeMap<String, String>,
    pub add: BTreeMap<String, String>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rewrite {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub path: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub prefix: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub regex: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub with: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    pub request: HeaderEdits,
    pub response: HeaderEdits,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Redirect {
    pub to: String,
    #[serde(default = "default_redirect_status")]
    pub status: u16,
}

fn default_redirect_status() -> u16 {
    302
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Answer {
    pub status: u16,
    #[serde(default)]
    pub body: String,
    #[serde(default = "default_content_type")]
    pub content_type: String,
}

fn default_content_type() -> String {
    "text/plain; charset=utf-8".to_owned()
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    pub name: String,
    #[serde(default)]
    pub listeners: Vec<String>,
    #[serde(default)]
    pub hosts: Vec<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub path: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub path_prefix: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub path_regex: Option<String>,
    #[serde(default)]
    pub methods: Vec<String>,
    #[serde(default)]
    pub headers: Vec<FieldCondition>,
    #[serde(default)]
    pub query: Vec<FieldCondition>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rewrite: Option<Rewrite>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub redirect: Option<Redirect>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<Answer>,
}
