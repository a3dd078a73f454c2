//! One node of the fleet as a state machine: time and datagrams in, datagrams and events out.

mod claims;
mod receive;
mod timers;

use crate::health::Health;
use crate::member::{Claim, MemberRecord, MemberState};
use crate::probe::{Probe, Relay, Turns};
use crate::rumours::{times, Rumours};
use crate::snapshot::{GroupPosition, MemberView, Snapshot, Stats};
use crate::table::Table;
use crate::wire::{Body, DatagramKind, Head, Seal};
use crate::Nanos;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How fast a node probes, and how long it waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// From one probe to the next.
    pub probe_interval: Nanos,
    /// A probe that is not answered after this goes by others too; less than `probe_every`.
    pub probe_timeout: Nanos,
    /// How long a suspect has to object, where several accuse it.
    pub suspicion_timeout: Nanos,
}

/// Lifeguard's additions to SWIM, and the notice that a node takes of its own stalls. All on but for measurements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Extensions {
    /// A node that may itself be at fault gives others more time.
    pub local_health: bool,
    /// A suspect that one node alone accuses has longer.
    pub dynamic_suspicion: bool,
    /// A suspect is told so by whoever sends it anything.
    pub buddy_system: bool,
    /// A node that stood still puts off all that it waited for by as much.
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

/// What a node is told.
#[derive(Clone)]
pub struct Config {
    /// The fleet's name.
    pub fleet: String,
    /// The node's own.
    pub name: String,
    /// Its zone; empty where it has none.
    pub zone: String,
    /// Where others reach it.
    pub address: SocketAddr,
    /// Where some members are reached.
    pub seeds: Vec<SocketAddr>,
    /// The fleet's key, if it has one.
    pub key: Option<[u8; 32]>,
    /// Its times.
    pub timing: Timing,
    /// The largest datagram that it sends, in bytes.
    pub max_datagram_bytes: usize,
    /// What it does beside plain SWIM.
    pub extensions: Extensions,
    /// Above the incarnation that another process under this name is known to have had; 1 where none is known.
    pub initial_incarnation: u64,
}

/// Where the node stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeStatus {
    /// It asks who is there, and whether its name is free.
    Joining,
    /// It is a member.
    Member,
    /// It has left.
    Left,
    /// Another process, which has been there for longer, has its name: it is no member, and looks on.
    Refused {
        /// Where that process is reached.
        by: SocketAddr,
    },
}

/// Why a member's state has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It was heard itself.
    HeardDirectly,
    /// That node told so.
    ReportedBy(String),
    /// It did not answer a probe of this node, nor of so many others that were asked.
    ProbeFailed {
        /// Others that were asked to probe it.
        indirect_probes: u32,
    },
    /// It did not object in time to what these said.
    NotRefuted(Vec<String>),
    /// It said so itself.
    SelfReported,
}

/// Something that operators should hear of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A member is held for something else.
    StateChanged {
        /// Who.
        name: String,
        /// For what.
        state: MemberState,
        /// At which incarnation.
        incarnation: u64,
        /// Why.
        cause: Cause,
    },
    /// The node was accused, and has objected.
    Refuted {
        /// By whom.
        by: String,
        /// Of what.
        state: MemberState,
        /// Its incarnation from now on.
        incarnation: u64,
    },
    /// It came so late to its own timers that it put them off.
    Stalled(Nanos),
    /// It is a member; how many others are there.
    Joined(usize),
    /// Another process has its name.
    Refused(SocketAddr),
}

/// What is to be done: datagrams by where they go, and what has happened.
#[derive(Debug, Default)]
pub struct Outbox {
    /// To be sent.
    pub datagrams: Vec<(SocketAddr, Vec<u8>)>,
    /// To be told.
    pub events: Vec<Event>,
}

/// The node.
pub struct Node {
    config: Config,
    seal: Seal,
    rng: Pcg64Mcg,
    status: NodeStatus,
    me: MemberRecord,
    started: Nanos,
    /// When its standing or its view last changed.
    changed: Nanos,
    /// What it last asked to be woken for.
    wake: Nanos,
    health: Health,
    table: Table,
    rumours: Rumours,
    turns: Turns,
    probe: Option<Probe>,
    relays: BTreeMap<u32, Relay>,
    next_probe: Nanos,
    next_gossip: Nanos,
    next_reach: Nanos,
    next_ask: Nanos,
    next_join: Nanos,
    /// While it joins: when it goes ahead, whatever has come.
    join_by: Nanos,
    /// What is held of its name while it joins, if another process has or had it.
    namesake: Option<Claim>,
    /// It has heard from a member.
    met: bool,
    /// Claims that cannot be true of living members are checked with these, a bounded number at a time.
    checks: u32,
    /// Numbers of datagrams that are answered.
    seq: u32,
    stats: Stats,
    out: Outbox,
}

impl Node {
    /// One that begins to join, with nothing known.
    pub fn new(config: Config, now: Nanos, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let me = MemberRecord {
            name: config.name.clone(),
            incarnation: config.initial_incarnation.max(1),
            instance_id: rng.next_u32(),
            address: config.address,
            zone: config.zone.clone(),
            is_draining: false,
        };
        let seal = Seal::new(&config.fleet, config.key);
        let health =
            if config.extensions.local_health { Health::default() } else { Health::never_in_doubt() };
        let mut table = Table::default();
        table.count(&me, true);
        let every = config.timing.probe_interval;
        // Nodes that start together should not probe in step.
        let phase = rng.next_u64() % every;
        let seq = rng.next_u32();
        Node {
            seal,
            rng,
            status: NodeStatus::Joining,
            me,
            started: now,
            changed: now,
            wake: now,
            health,
            table,
            rumours: Rumours::default(),
            turns: Turns::default(),
            probe: None,
            relays: BTreeMap::new(),
            next_probe: now + phase,
            next_gossip: now,
            next_reach: now + phase + every,
            next_ask: now,
            next_join: now,
            join_by: now + 2 * every,
            namesake: None,
            met: false,
            checks: 0,
            seq,
            stats: Stats::default(),
            out: Outbox::default(),
            config,
        }
    }

    /// What is to be done since this was last asked.
    pub fn take_outbox(&mut self) -> Outbox {
        std::mem::take(&mut self.out)
    }

    /// Where it stands.
    pub fn status(&self) -> NodeStatus {
        self.status
    }

    /// What it has done and seen.
    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// Its incarnation, and where the members that are there are reached: for a process that takes its place.
    pub fn handover_state(&self) -> (u64, Vec<SocketAddr>) {
        (self.me.incarnation, self.table.present().map(|held| held.claim.record.address).collect())
    }

    /// Says that it leaves, to as many as would say it on. Nothing is sent or believed from here on.
    pub fn leave(&mut self, now: Nanos) {
        if self.status == NodeStatus::Member {
            let claim = Claim { state: MemberState::Left, ..Claim::alive(self.me.clone()) };
            self.rumours.spread(&claim);
            // Each of these passes it on; that all of them miss it is as unlikely as that a rumour dies out.
            for address in self.some_present(2 * times(self.table.count_present()) as usize) {
                self.send(address, Body::Gossip, None);
            }
        }
        self.status = NodeStatus::Left;
        self.changed = now;
    }

    /// Its operator empties it, or no longer.
    pub fn set_draining(&mut self, now: Nanos, drains: bool) {
        if self.me.is_draining != drains {
            self.renew(now, self.me.incarnation, |me| me.is_draining = drains);
        }
    }

    /// Goes by other seeds, times, key and zone from here on. Its name, fleet and address are for good.
    pub fn reconfigure(&mut self, now: Nanos, config: &Config) {
        self.config.seeds = config.seeds.clone();
        self.config.timing = config.timing;
        self.config.max_datagram_bytes = config.max_datagram_bytes;
        self.config.key = config.key;
        self.seal = Seal::new(&self.config.fleet, config.key);
        if self.me.zone != config.zone {
            let zone = config.zone.clone();
            self.renew(now, self.me.incarnation, |me| me.zone = zone);
        }
    }

    /// The view at this moment.
    pub fn snapshot(&self, now: Nanos) -> Snapshot {
        let own = MemberView {
            name: self.me.name.clone(),
            address: self.me.address,
            zone: self.me.zone.clone(),
            state: if self.status == NodeStatus::Left { MemberState::Left } else { MemberState::Alive },
            incarnation: self.me.incarnation,
            state_age: now.saturating_sub(self.started),
            is_draining: self.me.is_draining,
        };
        let other = |held: &crate::table::Held| MemberView {
            name: held.claim.record.name.clone(),
            address: held.claim.record.address,
            zone: held.claim.record.zone.clone(),
            state: held.claim.state,
            incarnation: held.claim.record.incarnation,
            state_age: now.saturating_sub(held.since),
            is_draining: held.claim.record.is_draining,
        };
        let mut members: Vec<_> = self.table.all().map(other).chain([own]).collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        Snapshot {
            fleet: self.config.fleet.clone(),
            node: self.me.name.clone(),
            incarnation: self.me.incarnation,
            view_digest: self.table.view(),
            is_settled: self.is_settled(now),
            members,
            group_position: self.group_position(),
        }
    }

    /// Its place among those that are there. One that has not been told who is there yet counts its seeds as there: it must
    /// not take the whole of what is meant for all.
    pub fn group_position(&self) -> GroupPosition {
        let names = self.table.present().map(|held| held.claim.record.name.as_str());
        let ordinal = names.filter(|name| *name < self.me.name.as_str()).count();
        let mut size = self.table.count_present() + 1;
        if !self.met {
            size = size.max(self.other_seeds().count() + 1);
        }
        GroupPosition { ordinal: ordinal as u32, size: size as u32 }
    }

    /// How many others are there, as it holds.
    pub fn other_member_count(&self) -> usize {
        self.table.count_present()
    }

    /// The digest of its view.
    pub fn view_digest(&self) -> u64 {
        self.table.view()
    }

    /// Whether nobody is suspected, nothing has changed for two probes, and all that were heard of late and since then have
    /// the same view: two of them at least, where there are as many.
    pub fn is_settled(&self, now: Nanos) -> bool {
        let every = self.config.timing.probe_interval;
        let since = now.saturating_sub(8 * every).max(self.changed + every / 2);
        let heard = || self.table.present().filter(|held| held.heard > since);
        let alone = !self.met && self.other_seeds().next().is_some();
        self.status == NodeStatus::Member
            && !alone
            && now >= self.changed + 2 * every
            && self.table.suspects().is_empty()
            && heard().count() >= self.table.count_present().min(2)
            && heard().all(|held| held.view == Some(self.table.view()))
    }

    fn other_seeds(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.config.seeds.iter().copied().filter(|seed| *seed != self.me.address)
    }

    /// Another incarnation above this one, told to all.
    fn renew(&mut self, now: Nanos, above: u64, change: impl FnOnce(&mut MemberRecord)) {
        self.table.count(&self.me, false);
        // What comes in is bounded, so that this cannot overflow.
        self.me.incarnation = self.me.incarnation.max(above) + 1;
        change(&mut self.me);
        self.table.count(&self.me, true);
        self.changed = now;
        if self.status == NodeStatus::Member {
            self.rumours.spread(&Claim::alive(self.me.clone()));
        }
    }

    /// Addresses of up to so many others that are there.
    fn some_present(&mut self, count: usize) -> Vec<SocketAddr> {
        let all = self.table.present().map(|held| held.claim.record.address).collect();
        crate::probe::pick(&mut self.rng, all, count)
    }

    /// Sends a datagram with as many rumours as fit. Whoever is named and is not held for alive is told so first.
    fn send(&mut self, address: SocketAddr, body: Body, to: Option<&str>) {
        let held = to.filter(|_| self.config.extensions.buddy_system).and_then(|name| self.table.get(name));
        let told = held.map(|held| &held.claim).filter(|claim| claim.state != MemberState::Alive).cloned();
        let gossips = matches!(self.status, NodeStatus::Member) && !matches!(body, Body::Records);
        let kind = body.kind();
        let mut bytes = self.begin(body);
        let room = self.seal.room(self.config.max_datagram_bytes);
        if let Some(claim) = told.and_then(|claim| postcard::to_stdvec(&claim).ok()) {
            if bytes.len() + claim.len() <= room {
                bytes.extend(claim);
            }
        }
        if gossips {
            self.rumours.fill(&mut bytes, room, times(self.table.count_present()));
        }
        self.finish(address, kind, bytes);
    }

    fn begin(&self, body: Body) -> Vec<u8> {
        self.seal.open(&Head { from: self.me.clone(), view: self.table.view(), body })
    }

    fn finish(&mut self, address: SocketAddr, kind: DatagramKind, mut bytes: Vec<u8>) {
        self.seal.close(&mut bytes);
        let (count, sum) = &mut self.stats.sent[kind as usize];
        *count += 1;
        *sum += bytes.len() as u64;
        self.out.datagrams.push((address, bytes));
    }

    fn number(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }
}
