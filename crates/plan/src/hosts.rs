//! The list of servers as the platform's discovery words it.

use serde::Deserialize;
use std::net::SocketAddr;

/// One line of discovery.
#[derive(Clone, Debug, Deserialize)]
pub struct HostList {
    /// Its version.
    pub seq: u64,
    /// All servers, not only those that changed.
    #[serde(default)]
    pub whole: bool,
    /// The entries.
    pub hosts: Vec<Host>,
}

/// One server, as discovery words it.
#[derive(Clone, Debug, Deserialize)]
pub struct Host {
    /// The same at every node.
    pub host: String,
    /// Where it listens for this node.
    pub dial: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub site: Option<String>,
    /// Its kind of machine.
    #[serde(default)]
    pub class: Option<String>,
    /// Its group of shared key memory.
    #[serde(default)]
    pub block: Option<u16>,
    /// Where it stands in its life.
    pub health: Health,
    /// Its listed size.
    #[serde(default)]
    pub share: Option<f32>,
    /// When its process last started, Unix time in milliseconds; 0 for long ago.
    #[serde(default)]
    pub born_ms: Option<u64>,
}

/// Where a server stands in its life, in discovery's words.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// Takes work.
    Active,
    /// Finishes what it has, wants nothing new.
    Leaving,
    /// Gone.
    Left,
}
