//! The node's view of its fleet, as operators see it.

use crate::metrics::FleetMetrics;
use corkhollow_fleet::{DatagramError, DatagramKind, GroupPosition, MemberState, Nanos, Snapshot, Stats};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What `GET /-/fleet` answers, in JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetPage {
    /// The fleet's name.
    pub fleet: String,
    /// The node's own.
    pub node: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// The digest of its view, in hex: equal exactly where names, incarnations and presence are.
    pub view: String,
    /// Whether its view stands still and those that it hears have the same.
    pub settled: bool,
    /// Its number among those that are there, from 0.
    pub ordinal: u32,
    /// How many are there: what a sum over all nodes is divided by.
    pub size: u32,
    /// Another process that has been there for longer has its name: it looks on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused_by: Option<SocketAddr>,
    /// All members by name, itself included.
    pub members: Vec<FleetMember>,
}

/// One member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetMember {
    /// Its name.
    pub node: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its zone; empty where it has none.
    pub zone: String,
    /// `alive`, `suspect`, `dead` or `left`.
    pub state: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// For how long the state has held, in milliseconds.
    pub since_ms: u64,
    /// Its operator empties it.
    pub drains: bool,
}

impl FleetPage {
    /// A view, as it was `ago` nanoseconds before.
    pub fn new(snapshot: &Snapshot, refused_by: Option<SocketAddr>, ago: Nanos) -> Self {
        let member = |member: &corkhollow_fleet::MemberView| FleetMember {
            node: member.name.clone(),
            address: member.address,
            zone: member.zone.clone(),
            state: member.state.name().to_owned(),
            incarnation: member.incarnation,
            since_ms: (member.state_age + ago) / 1_000_000,
            drains: member.is_draining,
        };
        let GroupPosition { ordinal, size } = snapshot.group_position;
        FleetPage {
            fleet: snapshot.fleet.clone(),
            node: snapshot.node.clone(),
            incarnation: snapshot.incarnation,
            view: format!("{:016x}", snapshot.view_digest),
            settled: snapshot.is_settled,
            ordinal,
            size,
            refused_by,
            members: snapshot.members.iter().map(member).collect(),
        }
    }

    /// In JSON.
    pub fn to_json(&self) -> String {
        // Nothing in it can fail to be written.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Reads what another node has answered.
    ///
    /// # Errors
    /// Where it is no such page.
    pub fn from_json(json: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(json)
    }
}

impl FleetMetrics {
    /// Brings the figures up to date.
    pub fn update(&self, snapshot: &Snapshot, stats: &Stats) {
        for state in MemberState::ALL {
            let count = snapshot.members.iter().filter(|member| member.state == state).count();
            self.members.with_label_values(&[state.name()]).set(count as i64);
        }
        let raise =
            |counter: &prometheus::IntCounter, to: u64| counter.inc_by(to.saturating_sub(counter.get()));
        raise(&self.changes, stats.state_changes);
        raise(&self.refuted, stats.refutations);
        for kind in DatagramKind::ALL {
            for (way, counts) in [("out", &stats.sent), ("in", &stats.received)] {
                let (datagrams, bytes) = counts[kind as usize];
                raise(&self.datagrams.with_label_values(&[kind.name(), way]), datagrams);
                raise(&self.bytes.with_label_values(&[kind.name(), way]), bytes);
            }
        }
        for why in DatagramError::ALL {
            raise(&self.refused.with_label_values(&[why.name()]), stats.rejected[why as usize]);
        }
        self.late.set(stats.timer_lag as f64 / 1e9);
        self.latest.set(stats.max_timer_lag as f64 / 1e9);
        self.settled.set(i64::from(snapshot.is_settled));
        self.size.set(i64::from(snapshot.group_position.size));
    }
}
