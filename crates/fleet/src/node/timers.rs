//! Actions by time: joining, probes, suspicion timeouts, gossip rounds, and contact with dead members and
//! unknown seeds.

use super::{Cause, Event, Node, NodeStatus};
use crate::member::{Claim, MemberState};
use crate::probe::{sample, Probe};
use crate::wire::Body;
use crate::Nanos;

/// Maximum number of members that are asked for an indirect probe (SWIM's k).
const INDIRECT_PROBES: usize = 3;
/// Maximum number of members that receive each gossip round.
const GOSSIP_FANOUT: usize = 3;
const GOSSIP_ROUNDS_PER_PROBE_INTERVAL: u64 = 3;
/// Maximum number of datagrams in reaction to outdated claims, from one probe or gossip round to the next.
pub(super) const MAX_CORRECTIONS: u32 = 4;

impl Node {
    /// Performs all actions that are due. To be called no later than [`Node::next_tick_at`], and after all
    /// received datagrams have been handled: after a stall these must count before any timeout does.
    pub fn tick(&mut self, now: Nanos) {
        self.check_timer_lag(now);
        if self.status == NodeStatus::Joining {
            self.continue_join(now);
        }
        if self.status == NodeStatus::Member {
            self.send_due_nacks(now);
            self.continue_probe(now);
            self.expire_suspicions(now);
            if now >= self.next_probe_at {
                self.start_probe(now);
            }
            if now >= self.next_gossip_at {
                self.next_gossip_at =
                    now + self.config.timing.probe_interval / GOSSIP_ROUNDS_PER_PROBE_INTERVAL;
                self.remaining_corrections = MAX_CORRECTIONS;
                self.send_gossip();
            }
            if now >= self.next_reconnect_at {
                self.next_reconnect_at = now + 2 * self.config.timing.probe_interval;
                self.reconnect();
                self.table.reap(now);
            }
        }
        self.expected_tick_at = self.next_tick_at();
    }

    /// When [`Node::tick`] is due again.
    pub fn next_tick_at(&self) -> Nanos {
        match self.status {
            NodeStatus::Joining => self.next_join_at.min(self.join_deadline),
            NodeStatus::Member => {
                let probe = self.probe.as_ref().map(|probe| probe.indirect_at.unwrap_or(probe.deadline));
                let nack = self.relayed_probes.values().map(|relayed| relayed.nack_at).min();
                let suspicion = self.table.next_suspicion_deadline();
                let gossip = Some(self.next_gossip_at).filter(|_| !self.gossip_queue.is_empty());
                let timers = [probe, nack, suspicion, gossip, Some(self.next_reconnect_at)];
                timers.into_iter().flatten().fold(self.next_probe_at, Nanos::min)
            }
            NodeStatus::Left | NodeStatus::Refused { .. } => Nanos::MAX,
        }
    }

    /// Records how late the node runs, and postpones all deadlines by that time if it is long: while the
    /// process was stalled, it could not receive the awaited datagrams.
    pub(super) fn check_timer_lag(&mut self, now: Nanos) {
        let lag = now.saturating_sub(self.expected_tick_at);
        self.stats.timer_lag = lag;
        self.stats.max_timer_lag = self.stats.max_timer_lag.max(lag);
        if lag <= self.config.timing.probe_timeout / 2 {
            return;
        }
        self.expected_tick_at = now;
        self.local_health.degrade();
        if !self.config.extensions.stall_compensation {
            return;
        }
        if lag >= self.config.timing.probe_interval {
            self.outbox.events.push(Event::Stalled(lag));
        }
        self.table.postpone_suspicions(lag);
        if let Some(probe) = &mut self.probe {
            probe.indirect_at = probe.indirect_at.map(|at| at + lag);
            probe.deadline += lag;
        }
        for relayed in self.relayed_probes.values_mut() {
            relayed.nack_at += lag;
        }
        for timer in [&mut self.next_probe_at, &mut self.join_deadline] {
            *timer = timer.saturating_add(lag);
        }
    }

    fn continue_join(&mut self, now: Nanos) {
        if self.other_seeds().next().is_none() || now >= self.join_deadline {
            return self.complete_join(now);
        }
        if now >= self.next_join_at {
            self.next_join_at = now + self.config.timing.probe_timeout;
            let mut addresses: Vec<_> = self.other_seeds().collect();
            // A process that has this node's name answers with a name conflict.
            addresses.extend(self.namesake_address());
            for address in addresses {
                self.send(address, Body::Join, None);
            }
        }
    }

    /// Becomes a member, with an incarnation above that of an earlier process of the same name.
    pub(super) fn complete_join(&mut self, now: Nanos) {
        let former_incarnation = self.namesake.take().map_or(0, |claim| claim.record.incarnation);
        self.status = NodeStatus::Member;
        if former_incarnation >= self.own_record.incarnation {
            self.raise_incarnation(now, former_incarnation, |_| ());
        }
        self.last_change_at = now;
        self.gossip_queue.push(&Claim::alive(self.own_record.clone()));
        self.next_gossip_at = now;
        self.next_sync_at = now;
        self.outbox.events.push(Event::Joined(self.table.present_count()));
    }

    /// The address of a present process with this node's name. A process at this node's own address is a
    /// predecessor that has ended.
    pub(super) fn namesake_address(&self) -> Option<std::net::SocketAddr> {
        let present = self.namesake.as_ref().filter(|claim| claim.state.is_present());
        present.map(|claim| claim.record.address).filter(|address| *address != self.own_record.address)
    }

    fn send_due_nacks(&mut self, now: Nanos) {
        let due: Vec<_> = self
            .relayed_probes
            .iter()
            .filter(|(_, relayed)| now >= relayed.nack_at)
            .map(|(seq, _)| *seq)
            .collect();
        for seq in due {
            if let Some(relayed) = self.relayed_probes.remove(&seq) {
                self.send(
                    relayed.requester.1,
                    Body::Nack { seq: relayed.requester_seq },
                    Some(&relayed.requester.0),
                );
            }
        }
    }

    fn start_probe(&mut self, now: Nanos) {
        let timing = self.config.timing;
        let multiplier = self.local_health.timeout_multiplier();
        self.next_probe_at = now + timing.probe_interval * multiplier;
        self.remaining_corrections = MAX_CORRECTIONS;
        if self.probe.is_some() {
            return;
        }
        let table = &self.table;
        let names = || table.present().map(|entry| entry.claim.record.name.as_str()).collect();
        let is_present = |name: &str| table.get(name).is_some_and(|entry| entry.claim.state.is_present());
        let Some(target) = self.probe_schedule.next_target(&mut self.rng, names, is_present) else { return };
        let Some(entry) = self.table.get(&target) else { return };
        let (address, incarnation) = (entry.claim.record.address, entry.claim.record.incarnation);
        let seq = self.next_seq();
        self.send(address, Body::Ping { seq, target: target.clone() }, Some(&target));
        let indirect_at = Some(now + timing.probe_timeout * multiplier);
        let deadline = self.next_probe_at;
        self.probe =
            Some(Probe { target, incarnation, seq, indirect_at, deadline, indirect_probes: 0, nacks: 0 });
    }

    /// Fails the probe in progress at its deadline, or requests indirect probes when they are due.
    fn continue_probe(&mut self, now: Nanos) {
        let Some(probe) = &mut self.probe else { return };
        if now >= probe.deadline {
            let probe = self.probe.take();
            return probe.into_iter().for_each(|probe| self.handle_failed_probe(now, &probe));
        }
        if probe.indirect_at.is_none_or(|at| now < at) {
            return;
        }
        probe.indirect_at = None;
        let (target, seq) = (probe.target.clone(), probe.seq);
        let Some(entry) = self.table.get(&target) else { return };
        let address = entry.claim.record.address;
        // Members heard recently are preferred: under partial connectivity the others may be unreachable.
        let heard_after = now.saturating_sub(8 * self.config.timing.probe_interval);
        let others = self.table.present().filter(|entry| entry.claim.record.name != target);
        let (recent, silent): (Vec<_>, Vec<_>) = others.partition(|entry| entry.last_heard_at > heard_after);
        let name_and_address =
            |entry: &crate::table::MemberEntry| (entry.claim.record.name.clone(), entry.claim.record.address);
        let (recent, silent) = (
            recent.into_iter().map(name_and_address).collect(),
            silent.into_iter().map(name_and_address).collect(),
        );
        let mut helpers = sample(&mut self.rng, recent, INDIRECT_PROBES);
        let silent_helpers = sample(&mut self.rng, silent, INDIRECT_PROBES - helpers.len());
        helpers.extend(silent_helpers);
        if let Some(probe) = &mut self.probe {
            probe.indirect_probes = helpers.len() as u32;
        }
        for (helper, helper_address) in helpers {
            self.send(
                helper_address,
                Body::PingRequest { seq, target: target.clone(), address },
                Some(&helper),
            );
        }
        // The first ping may have been lost.
        self.send(address, Body::Ping { seq, target: target.clone() }, Some(&target));
    }

    /// Suspects the target of a failed probe, and degrades the local health if nacks are missing.
    fn handle_failed_probe(&mut self, now: Nanos, probe: &Probe) {
        if probe.nacks < probe.indirect_probes || probe.indirect_probes == 0 {
            // This node may not receive datagrams: reachable helpers would have sent nacks.
            self.local_health.degrade();
        }
        let Some(entry) = self.table.get(&probe.target) else { return };
        // A new incarnation since the probe started shows that the target is alive.
        if entry.claim.record.incarnation != probe.incarnation || !entry.claim.state.is_present() {
            return;
        }
        let claim = Claim {
            state: MemberState::Suspect,
            record: entry.claim.record.clone(),
            reported_by: self.own_record.name.clone(),
        };
        self.suspect(now, claim, Cause::ProbeFailed { indirect_probes: probe.indirect_probes });
    }

    /// Declares suspects dead that have not refuted in time.
    fn expire_suspicions(&mut self, now: Nanos) {
        if self.table.next_suspicion_deadline().is_none_or(|deadline| now < deadline) {
            return;
        }
        let is_expired = |name: &&String| {
            let suspicion = self.table.get(name).and_then(|entry| entry.suspicion.as_ref());
            suspicion.is_some_and(|suspicion| now >= suspicion.deadline())
        };
        let expired: Vec<String> = self.table.suspects().iter().filter(is_expired).cloned().collect();
        for name in expired {
            let Some(entry) = self.table.get(&name) else { continue };
            let accusers =
                entry.suspicion.as_ref().map(|suspicion| suspicion.accusers().to_vec()).unwrap_or_default();
            let record = entry.claim.record.clone();
            let claim = Claim { state: MemberState::Dead, record, reported_by: self.own_record.name.clone() };
            self.accept_claim(now, claim, None, Cause::NotRefuted(accusers));
        }
    }

    fn send_gossip(&mut self) {
        if self.gossip_queue.is_empty() {
            return;
        }
        // All but one receiver are chosen from the members heard recently, if there are enough: under partial
        // connectivity the others may be unreachable.
        let heard_after = self.expected_tick_at.saturating_sub(8 * self.config.timing.probe_interval);
        let recent = self.table.present().filter(|entry| entry.last_heard_at > heard_after);
        let recent = recent.map(|entry| entry.claim.record.address).collect();
        let mut receivers = sample(&mut self.rng, recent, GOSSIP_FANOUT - 1);
        let missing = GOSSIP_FANOUT - receivers.len();
        receivers.extend(self.sample_present_addresses(missing));
        for address in receivers {
            if self.gossip_queue.is_empty() {
                break;
            }
            self.send(address, Body::Gossip, None);
        }
    }

    /// Pings a random dead member and sends digests to a random seed that is not a present member: after a
    /// partition both sides have given each other up and would otherwise stay apart.
    fn reconnect(&mut self) {
        let dead = self.table.all().filter(|entry| entry.claim.state == MemberState::Dead);
        let dead: Vec<_> =
            dead.map(|entry| (entry.claim.record.name.clone(), entry.claim.record.address)).collect();
        for (name, address) in sample(&mut self.rng, dead, 1) {
            let seq = self.next_seq();
            self.send(address, Body::Ping { seq, target: name.clone() }, Some(&name));
        }
        let is_member = |seed: &std::net::SocketAddr| {
            self.table.present().any(|entry| entry.claim.record.address == *seed)
        };
        let seeds: Vec<_> = self.other_seeds().filter(|seed| !is_member(seed)).collect();
        for address in sample(&mut self.rng, seeds, 1) {
            self.send_digests(address, true);
        }
    }

    /// Sends the digests of the member table, to be answered with the claims of the buckets that differ.
    pub(super) fn send_digests(&mut self, address: std::net::SocketAddr, wants_digests: bool) {
        let digests = self.table.bucket_digests();
        self.send(address, Body::Digests { digests, wants_digests }, None);
    }
}
