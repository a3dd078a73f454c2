//! One fleet member as a state machine: time and datagrams in, datagrams and events out.

mod claims;
mod receive;
mod timers;

use crate::gossip_queue::{max_transmissions, GossipQueue};
use crate::health::LocalHealth;
use crate::member::{Claim, MemberRecord, MemberState};
use crate::probe::{Probe, ProbeSchedule, RelayedProbe};
use crate::snapshot::{GroupPosition, MemberView, Snapshot, Stats};
use crate::table::MemberTable;
use crate::wire::{Body, Codec, DatagramKind, Header};
use crate::Nanos;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Intervals and timeouts of the failure detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Interval between probes.
    pub probe_interval: Nanos,
    /// Time without an ack after which indirect probes are requested; less than `probe_interval`.
    pub probe_timeout: Nanos,
    /// Minimum time that a suspect has to refute, which applies once several members suspect it.
    pub suspicion_timeout: Nanos,
}

/// Extensions of plain SWIM: those of Lifeguard, and compensation for stalls of the process. Each can be
/// switched off to measure its effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Extensions {
    /// Local health multiplier: a node that may itself be at fault extends its timeouts.
    pub local_health: bool,
    /// Dynamic suspicion timeout: a suspect has longer to refute while only one member suspects it.
    pub dynamic_suspicion: bool,
    /// Buddy system: every datagram to a suspect tells it of the suspicion.
    pub buddy_system: bool,
    /// After a stall of the process, its deadlines are postponed by the length of the stall.
    pub stall_compensation: bool,
}

impl Default for Extensions {
    fn default() -> Self {
        Extensions {
            local_health: true,
            dynamic_suspicion: true,
            buddy_system: true,
            stall_compensation: true,
        }
    }
}

/// Configuration of a node.
#[derive(Clone)]
pub struct Config {
    /// Name of the fleet.
    pub fleet: String,
    /// Name of the node, unique in the fleet.
    pub name: String,
    /// Zone, or empty.
    pub zone: String,
    /// Address at which other members reach the node.
    pub address: SocketAddr,
    /// Addresses of members to join through.
    pub seeds: Vec<SocketAddr>,
    /// Key that authenticates the fleet's datagrams.
    pub key: Option<[u8; 32]>,
    /// Intervals and timeouts.
    pub timing: Timing,
    /// Maximum size of sent datagrams.
    pub max_datagram_bytes: usize,
    /// Extensions of plain SWIM.
    pub extensions: Extensions,
    /// First incarnation: higher than any known incarnation of an earlier process of this name, otherwise 1.
    pub initial_incarnation: u64,
}

/// Membership status of the node itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeStatus {
    /// It requests the members and checks whether its name is free.
    Joining,
    /// It is a member.
    Member,
    /// It has left.
    Left,
    /// Another process with a longer uptime has its name: it is not a member, but still follows the fleet.
    Refused {
        /// Address of that process.
        by: SocketAddr,
    },
}

/// Why the state of a member changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// A datagram arrived from the member.
    HeardDirectly,
    /// The named member reported it.
    ReportedBy(String),
    /// Neither this node's probe nor the indirect probes were answered.
    ProbeFailed {
        /// Number of members that were asked for an indirect probe.
        indirect_probes: u32,
    },
    /// The member did not refute its suspicion by these accusers in time.
    NotRefuted(Vec<String>),
    /// The member announced it.
    SelfReported,
}

/// An event for the operator's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The state of a member changed.
    StateChanged {
        /// Name of the member.
        name: String,
        /// New state.
        state: MemberState,
        /// Incarnation of the member.
        incarnation: u64,
        /// Reason of the change.
        cause: Cause,
    },
    /// The node refuted a claim about itself.
    Refuted {
        /// Name of the node that made the claim.
        by: String,
        /// Claimed state.
        state: MemberState,
        /// New incarnation of the node.
        incarnation: u64,
    },
    /// The node ran this much later than its earliest timer, and postponed its deadlines.
    Stalled(Nanos),
    /// The node became a member beside this number of present members.
    Joined(usize),
    /// Another process, at this address, has the node's name.
    Refused(SocketAddr),
}

/// Output of the node.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Datagrams to send, with their destinations.
    pub datagrams: Vec<(SocketAddr, Vec<u8>)>,
    /// Events to log.
    pub events: Vec<Event>,
}

/// The state machine of one node.
pub struct Node {
    config: Config,
    codec: Codec,
    rng: Pcg64Mcg,
    status: NodeStatus,
    own_record: MemberRecord,
    started_at: Nanos,
    /// When the node's status, its own record or its view last changed.
    last_change_at: Nanos,
    /// When the node expected to run next; the basis of the timer lag.
    expected_tick_at: Nanos,
    local_health: LocalHealth,
    table: MemberTable,
    gossip_queue: GossipQueue,
    probe_schedule: ProbeSchedule,
    probe: Option<Probe>,
    /// Indirect probes for other members, by the sequence number of the ping.
    relayed_probes: BTreeMap<u32, RelayedProbe>,
    next_probe_at: Nanos,
    next_gossip_at: Nanos,
    next_reconnect_at: Nanos,
    next_sync_at: Nanos,
    next_join_at: Nanos,
    /// When a joining node becomes a member even without an answer.
    join_deadline: Nanos,
    /// While joining: the claim with the highest precedence on another process of the node's name.
    namesake: Option<Claim>,
    /// Whether any member has been heard.
    has_heard_member: bool,
    /// Datagrams in reaction to outdated claims that may still be sent before the next probe or gossip round.
    remaining_corrections: u32,
    /// Sequence number of the last ping.
    last_seq: u32,
    stats: Stats,
    outbox: Outbox,
}

impl Node {
    /// Creates a node that starts to join.
    pub fn new(config: Config, now: Nanos, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let own_record = MemberRecord {
            name: config.name.clone(),
            incarnation: config.initial_incarnation.max(1),
            instance_id: rng.next_u32(),
            address: config.address,
            zone: config.zone.clone(),
            is_draining: false,
        };
        let codec = Codec::new(&config.fleet, config.key);
        let local_health =
            if config.extensions.local_health { LocalHealth::default() } else { LocalHealth::disabled() };
        let mut table = MemberTable::default();
        table.update_digest(&own_record, true);
        let interval = config.timing.probe_interval;
        // Spreads the probes of nodes that start together.
        let phase = rng.next_u64() % interval;
        let last_seq = rng.next_u32();
        Node {
            codec,
            rng,
            status: NodeStatus::Joining,
            own_record,
            started_at: now,
            last_change_at: now,
            expected_tick_at: now,
            local_health,
            table,
            gossip_queue: GossipQueue::default(),
            probe_schedule: ProbeSchedule::default(),
            probe: None,
            relayed_probes: BTreeMap::new(),
            next_probe_at: now + phase,
            next_gossip_at: now,
            next_reconnect_at: now + phase + interval,
            next_sync_at: now,
            next_join_at: now,
            join_deadline: now + 2 * interval,
            namesake: None,
            has_heard_member: false,
            remaining_corrections: 0,
            last_seq,
            stats: Stats::default(),
            outbox: Outbox::default(),
            config,
        }
    }

    /// Takes the datagrams and events that have accumulated since the last call.
    pub fn take_outbox(&mut self) -> Outbox {
        std::mem::take(&mut self.outbox)
    }

    /// Membership status of the node.
    pub fn status(&self) -> NodeStatus {
        self.status
    }

    /// Counters since the node started.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// The node's incarnation and the addresses of the present members, for its successor process.
    pub fn handover_state(&self) -> (u64, Vec<SocketAddr>) {
        (self.own_record.incarnation, self.table.present().map(|entry| entry.claim.record.address).collect())
    }

    /// Leaves the fleet and announces it to some members. Afterwards the node ignores datagrams and sends
    /// none.
    pub fn leave(&mut self, now: Nanos) {
        if self.status == NodeStatus::Member {
            let claim = Claim { state: MemberState::Left, ..Claim::alive(self.own_record.clone()) };
            self.gossip_queue.push(&claim);
            // Each of them disseminates the claim, which is lost only if all of these datagrams are.
            for address in
                self.sample_present_addresses(2 * max_transmissions(self.table.present_count()) as usize)
            {
                self.send(address, Body::Gossip, None);
            }
        }
        self.status = NodeStatus::Left;
        self.last_change_at = now;
    }

    /// Publishes whether the operator drains the node.
    pub fn set_draining(&mut self, now: Nanos, is_draining: bool) {
        if self.own_record.is_draining != is_draining {
            self.raise_incarnation(now, self.own_record.incarnation, |own_record| {
                own_record.is_draining = is_draining
            });
        }
    }

    /// Applies the seeds, timing, datagram size, key and zone of a new configuration. Name, fleet and address
    /// cannot change.
    pub fn reconfigure(&mut self, now: Nanos, config: &Config) {
        self.config.seeds = config.seeds.clone();
        self.config.timing = config.timing;
        self.config.max_datagram_bytes = config.max_datagram_bytes;
        self.config.key = config.key;
        self.codec = Codec::new(&self.config.fleet, config.key);
        if self.own_record.zone != config.zone {
            let zone = config.zone.clone();
            self.raise_incarnation(now, self.own_record.incarnation, |own_record| own_record.zone = zone);
        }
    }

    /// The current view.
    pub fn snapshot(&self, now: Nanos) -> Snapshot {
        let own_view = MemberView {
            name: self.own_record.name.clone(),
            address: self.own_record.address,
            zone: self.own_record.zone.clone(),
            state: if self.status == NodeStatus::Left { MemberState::Left } else { MemberState::Alive },
            incarnation: self.own_record.incarnation,
            state_age: now.saturating_sub(self.started_at),
            is_draining: self.own_record.is_draining,
        };
        let member_view = |entry: &crate::table::MemberEntry| MemberView {
            name: entry.claim.record.name.clone(),
            address: entry.claim.record.address,
            zone: entry.claim.record.zone.clone(),
            state: entry.claim.state,
            incarnation: entry.claim.record.incarnation,
            state_age: now.saturating_sub(entry.state_since),
            is_draining: entry.claim.record.is_draining,
        };
        let mut members: Vec<_> = self.table.all().map(member_view).chain([own_view]).collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        Snapshot {
            fleet: self.config.fleet.clone(),
            node: self.own_record.name.clone(),
            incarnation: self.own_record.incarnation,
            view_digest: self.table.view_digest(),
            is_settled: self.is_settled(now),
            members,
            group_position: self.group_position(),
        }
    }

    /// The node's position among the present members. A node that has not heard any member counts its seeds
    /// as present, so that it does not take all of a fleet-wide limit.
    pub fn group_position(&self) -> GroupPosition {
        let names = self.table.present().map(|entry| entry.claim.record.name.as_str());
        let ordinal = names.filter(|name| *name < self.own_record.name.as_str()).count();
        let mut size = self.table.present_count() + 1;
        if !self.has_heard_member {
            size = size.max(self.other_seeds().count() + 1);
        }
        GroupPosition { ordinal: ordinal as u32, size: size as u32 }
    }

    /// Number of other members that are present.
    pub fn other_member_count(&self) -> usize {
        self.table.present_count()
    }

    /// Digest of the node's view.
    pub fn view_digest(&self) -> u64 {
        self.table.view_digest()
    }

    /// Whether no member is suspect, nothing has changed for two probe intervals, and all members heard
    /// recently and since the last change have the same view. At least two such members are required, or all
    /// if there are fewer.
    pub fn is_settled(&self, now: Nanos) -> bool {
        let interval = self.config.timing.probe_interval;
        let heard_after = now.saturating_sub(8 * interval).max(self.last_change_at + interval / 2);
        let heard_members = || self.table.present().filter(|entry| entry.last_heard_at > heard_after);
        let is_isolated = !self.has_heard_member && self.other_seeds().next().is_some();
        self.status == NodeStatus::Member
            && !is_isolated
            && now >= self.last_change_at + 2 * interval
            && self.table.suspects().is_empty()
            && heard_members().count() >= self.table.present_count().min(2)
            && heard_members().all(|entry| entry.view_digest == Some(self.table.view_digest()))
    }

    fn other_seeds(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.config.seeds.iter().copied().filter(|seed| *seed != self.own_record.address)
    }

    /// Changes the node's own record under an incarnation higher than its current one and `above`, and
    /// disseminates it.
    fn raise_incarnation(&mut self, now: Nanos, above: u64, change: impl FnOnce(&mut MemberRecord)) {
        self.table.update_digest(&self.own_record, false);
        // Cannot overflow: received incarnations are at most `MAX_INCARNATION`.
        self.own_record.incarnation = self.own_record.incarnation.max(above) + 1;
        change(&mut self.own_record);
        self.table.update_digest(&self.own_record, true);
        self.last_change_at = now;
        if self.status == NodeStatus::Member {
            self.gossip_queue.push(&Claim::alive(self.own_record.clone()));
        }
    }

    /// Addresses of up to `count` random present members.
    fn sample_present_addresses(&mut self, count: usize) -> Vec<SocketAddr> {
        let addresses = self.table.present().map(|entry| entry.claim.record.address).collect();
        crate::probe::sample(&mut self.rng, addresses, count)
    }

    /// Sends a datagram with as many queued claims as fit. With the buddy system, the claim on a receiver
    /// that is named and not considered alive comes first.
    fn send(&mut self, address: SocketAddr, body: Body, receiver: Option<&str>) {
        let entry =
            receiver.filter(|_| self.config.extensions.buddy_system).and_then(|name| self.table.get(name));
        let receiver_claim =
            entry.map(|entry| &entry.claim).filter(|claim| claim.state != MemberState::Alive).cloned();
        let carries_gossip = matches!(self.status, NodeStatus::Member) && !matches!(body, Body::Records);
        let kind = body.kind();
        let mut bytes = self.start_datagram(body);
        let max_bytes = self.codec.max_bytes_before_mac(self.config.max_datagram_bytes);
        if let Some(claim) = receiver_claim.and_then(|claim| postcard::to_stdvec(&claim).ok()) {
            if bytes.len() + claim.len() <= max_bytes {
                bytes.extend(claim);
            }
        }
        if carries_gossip {
            self.gossip_queue.append_claims(
                &mut bytes,
                max_bytes,
                max_transmissions(self.table.present_count()),
            );
        }
        self.finish_datagram(address, kind, bytes);
    }

    fn start_datagram(&self, body: Body) -> Vec<u8> {
        self.codec.encode_header(&Header {
            sender: self.own_record.clone(),
            view_digest: self.table.view_digest(),
            body,
        })
    }

    fn finish_datagram(&mut self, address: SocketAddr, kind: DatagramKind, mut bytes: Vec<u8>) {
        self.codec.append_mac(&mut bytes);
        let (datagram_count, byte_count) = &mut self.stats.sent[kind as usize];
        *datagram_count += 1;
        *byte_count += bytes.len() as u64;
        self.outbox.datagrams.push((address, bytes));
    }

    fn next_seq(&mut self) -> u32 {
        self.last_seq = self.last_seq.wrapping_add(1);
        self.last_seq
    }
}
