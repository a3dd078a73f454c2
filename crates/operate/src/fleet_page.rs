//! The node's view of its fleet: the JSON of the fleet page and the fleet metrics.

use crate::metrics::FleetMetrics;
use corkhollow_fleet::{DatagramError, DatagramKind, GroupPosition, MemberState, Nanos, Snapshot, Stats};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// JSON body of `GET /-/fleet`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetPage {
    /// Name of the fleet.
    pub fleet: String,
    /// Name of this node.
    pub node: String,
    /// Incarnation of this node.
    pub incarnation: u64,
    /// Digest of the view, in hex. Views with the same names, incarnations and presence have the same digest.
    pub view: String,
    /// Whether the view is stable and agrees with those of the nodes that this one hears from.
    pub settled: bool,
    /// Rank of this node among the present members, from 0.
    pub ordinal: u32,
    /// Number of present members, this node included. Fleet-wide limits are divided by it.
    pub size: u32,
    /// Address of an older process with the same name; while it is there, this node only observes the fleet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused_by: Option<SocketAddr>,
    /// All members by name, this node included.
    pub members: Vec<FleetMember>,
}

/// One member of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetMember {
    /// Name of the node.
    pub node: String,
    /// Address for datagrams of the fleet.
    pub address: SocketAddr,
    /// Zone of the node; empty if it has none.
    pub zone: String,
    /// State in this node's view: `alive`, `suspect`, `dead` or `left`.
    pub state: String,
    /// Incarnation of the node.
    pub incarnation: u64,
    /// Time since the state changed, in milliseconds.
    pub since_ms: u64,
    /// Whether the node is draining.
    pub drains: bool,
}

impl FleetPage {
    /// Builds the page from a snapshot taken `age` nanoseconds ago.
    pub fn new(snapshot: &Snapshot, refused_by: Option<SocketAddr>, age: Nanos) -> Self {
        let member = |member: &corkhollow_fleet::MemberView| FleetMember {
            node: member.name.clone(),
            address: member.address,
            zone: member.zone.clone(),
            state: member.state.name().to_owned(),
            incarnation: member.incarnation,
            since_ms: (member.state_age + age) / 1_000_000,
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

    /// Serialises the page.
    pub fn to_json(&self) -> String {
        // Serialisation of this type cannot fail.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Parses the page of another node.
    ///
    /// # Errors
    /// If the bytes are not a fleet page.
    pub fn from_json(json: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(json)
    }
}

impl FleetMetrics {
    /// Updates the metrics from a snapshot and the node's counters.
    pub fn update(&self, snapshot: &Snapshot, stats: &Stats) {
        for state in MemberState::ALL {
            let count = snapshot.members.iter().filter(|member| member.state == state).count();
            self.members.with_label_values(&[state.name()]).set(count as i64);
        }
        let raise_to = |counter: &prometheus::IntCounter, total: u64| {
            counter.inc_by(total.saturating_sub(counter.get()))
        };
        raise_to(&self.changes, stats.state_changes);
        raise_to(&self.refuted, stats.refutations);
        for kind in DatagramKind::ALL {
            for (way, counters) in [("out", &stats.sent), ("in", &stats.received)] {
                let (datagrams, bytes) = counters[kind as usize];
                raise_to(&self.datagrams.with_label_values(&[kind.name(), way]), datagrams);
                raise_to(&self.bytes.with_label_values(&[kind.name(), way]), bytes);
            }
        }
        for error in DatagramError::ALL {
            raise_to(&self.refused.with_label_values(&[error.name()]), stats.rejected[error as usize]);
        }
        self.timer_lag_seconds.set(stats.timer_lag as f64 / 1e9);
        self.max_timer_lag_seconds.set(stats.max_timer_lag as f64 / 1e9);
        self.settled.set(i64::from(snapshot.is_settled));
        self.size.set(i64::from(snapshot.group_position.size));
    }
}
