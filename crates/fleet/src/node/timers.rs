//! What a node does by itself: joining, probes, suspicions that end, rumours, looking for those that are gone.

use super::{Cause, Event, Node, NodeStatus};
use crate::member::{Claim, MemberState};
use crate::probe::{pick, Probe};
use crate::wire::Body;
use crate::Nanos;

/// Members that a node asks to probe another one.
const HELPERS: usize = 3;
/// Members that hear each round of rumours.
const FAN_OUT: usize = 3;
/// Rounds of rumours in the time from one probe to the next.
const ROUNDS: u64 = 3;
/// Members that a round of rumours may check on.
pub(super) const CHECKS: u32 = 4;

impl Node {
    /// Does what is due. To be called no later than [`Node::next`], and after all that has come has been handled: a node
    /// that stood still must hear first what it missed.
    pub fn tick(&mut self, now: Nanos) {
        self.notice(now);
        if self.status == NodeStatus::Joining {
            self.join(now);
        }
        if self.status == NodeStatus::Member {
            self.relay(now);
            self.go_on_with_probe(now);
            self.end_suspicions(now);
            if now >= self.next_probe {
                self.begin_probe(now);
            }
            if now >= self.next_gossip {
                self.next_gossip = now + self.config.timing.probe_interval / ROUNDS;
                self.checks = CHECKS;
                self.gossip();
            }
            if now >= self.next_reach {
                self.next_reach = now + 2 * self.config.timing.probe_interval;
                self.reach();
                self.table.reap(now);
            }
        }
        self.wake = self.next_tick_at();
    }

    /// When [`Node::tick`] is due again.
    pub fn next_tick_at(&self) -> Nanos {
        match self.status {
            NodeStatus::Joining => self.next_join.min(self.join_by),
            NodeStatus::Member => {
                let probe = self.probe.as_ref().map(|probe| probe.ask_others.unwrap_or(probe.end));
                let nacks = self.relays.values().map(|relay| relay.nack_at).min();
                let ends = self.table.next_end();
                let gossip = Some(self.next_gossip).filter(|_| !self.rumours.is_empty());
                let dues = [probe, nacks, ends, gossip, Some(self.next_reach)];
                dues.into_iter().flatten().fold(self.next_probe, Nanos::min)
            }
            NodeStatus::Left | NodeStatus::Refused { .. } => Nanos::MAX,
        }
    }

    /// Whether it comes so late that what it waited for says nothing: then it waits for as long again. A process may have
    /// stood still between any two instructions.
    pub(super) fn notice(&mut self, now: Nanos) {
        let late = now.saturating_sub(self.wake);
        self.stats.timer_lag = late;
        self.stats.max_timer_lag = self.stats.max_timer_lag.max(late);
        if late <= self.config.timing.probe_timeout / 2 {
            return;
        }
        self.wake = now;
        self.health.worse();
        if !self.config.extensions.stall_compensation {
            return;
        }
        if late >= self.config.timing.probe_interval {
            self.out.events.push(Event::Stalled(late));
        }
        self.table.put_off(late);
        if let Some(probe) = &mut self.probe {
            probe.ask_others = probe.ask_others.map(|at| at + late);
            probe.end += late;
        }
        for relay in self.relays.values_mut() {
            relay.nack_at += late;
        }
        for due in [&mut self.next_probe, &mut self.join_by] {
            *due = due.saturating_add(late);
        }
    }

    fn join(&mut self, now: Nanos) {
        if self.other_seeds().next().is_none() || now >= self.join_by {
            return self.become_member(now);
        }
        if now >= self.next_join {
            self.next_join = now + self.config.timing.probe_timeout;
            let mut calls: Vec<_> = self.other_seeds().collect();
            // Somebody else may have this node's name: it is asked itself.
            calls.extend(self.double());
            for address in calls {
                self.send(address, Body::Join, None);
            }
        }
    }

    /// Nobody who was asked has anything against it.
    pub(super) fn become_member(&mut self, now: Nanos) {
        let former = self.namesake.take().map_or(0, |claim| claim.record.incarnation);
        self.status = NodeStatus::Member;
        if former >= self.me.incarnation {
            self.renew(now, former, |_| ());
        }
        self.changed = now;
        self.rumours.spread(&Claim::alive(self.me.clone()));
        self.next_gossip = now;
        self.next_ask = now;
        self.out.events.push(Event::Joined(self.table.count_present()));
    }

    /// Where a process that is held for there under this node's name is reached, unless it is this node's own place: what was
    /// there is gone then.
    pub(super) fn double(&self) -> Option<std::net::SocketAddr> {
        let there = self.namesake.as_ref().filter(|claim| claim.state.is_present());
        there.map(|claim| claim.record.address).filter(|address| *address != self.me.address)
    }

    fn relay(&mut self, now: Nanos) {
        let due: Vec<_> = self.relays.iter().filter(|(_, r)| now >= r.nack_at).map(|(seq, _)| *seq).collect();
        for seq in due {
            if let Some(relay) = self.relays.remove(&seq) {
                self.send(relay.asker.1, Body::Nack { seq: relay.asked }, Some(&relay.asker.0));
            }
        }
    }

    fn begin_probe(&mut self, now: Nanos) {
        let timing = self.config.timing;
        let factor = self.health.factor();
        self.next_probe = now + timing.probe_interval * factor;
        self.checks = CHECKS;
        if self.probe.is_some() {
            return;
        }
        let table = &self.table;
        let names = || table.present().map(|held| held.claim.record.name.as_str()).collect();
        let there = |name: &str| table.get(name).is_some_and(|held| held.claim.state.is_present());
        let Some(name) = self.turns.next(&mut self.rng, names, there) else { return };
        let Some(held) = self.table.get(&name) else { return };
        let (address, incarnation) = (held.claim.record.address, held.claim.record.incarnation);
        let seq = self.number();
        self.send(address, Body::Ping { seq, to: name.clone() }, Some(&name));
        let ask_others = Some(now + timing.probe_timeout * factor);
        let end = self.next_probe;
        self.probe = Some(Probe { name, incarnation, seq, ask_others, end, helpers: 0, nacks: 0 });
    }

    fn go_on_with_probe(&mut self, now: Nanos) {
        let Some(probe) = &mut self.probe else { return };
        if now >= probe.end {
            let probe = self.probe.take();
            return probe.into_iter().for_each(|probe| self.missed(now, &probe));
        }
        if probe.ask_others.is_none_or(|at| now < at) {
            return;
        }
        probe.ask_others = None;
        let (name, seq) = (probe.name.clone(), probe.seq);
        let Some(held) = self.table.get(&name) else { return };
        let address = held.claim.record.address;
        // Those that were heard of late are the likelier to hear this: where only some reach each other, others are no help.
        let of_late = now.saturating_sub(8 * self.config.timing.probe_interval);
        let others = self.table.present().filter(|held| held.claim.record.name != name);
        let (near, far): (Vec<_>, Vec<_>) = others.partition(|held| held.heard > of_late);
        let address_of =
            |held: &crate::table::Held| (held.claim.record.name.clone(), held.claim.record.address);
        let (near, far) =
            (near.into_iter().map(address_of).collect(), far.into_iter().map(address_of).collect());
        let mut helpers = pick(&mut self.rng, near, HELPERS);
        let more = pick(&mut self.rng, far, HELPERS - helpers.len());
        helpers.extend(more);
        if let Some(probe) = &mut self.probe {
            probe.helpers = helpers.len() as u32;
        }
        for (helper, at) in helpers {
            self.send(at, Body::PingRequest { seq, to: name.clone(), address }, Some(&helper));
        }
        // The first may have been lost.
        self.send(address, Body::Ping { seq, to: name.clone() }, Some(&name));
    }

    /// A probe has failed, whoever's fault it is.
    fn missed(&mut self, now: Nanos, probe: &Probe) {
        if probe.nacks < probe.helpers || probe.helpers == 0 {
            // Not even those that should have said no were heard.
            self.health.worse();
        }
        let Some(held) = self.table.get(&probe.name) else { return };
        // What it has told of itself since counts for more.
        if held.claim.record.incarnation != probe.incarnation || !held.claim.state.is_present() {
            return;
        }
        let claim = Claim {
            state: MemberState::Suspect,
            record: held.claim.record.clone(),
            reported_by: self.me.name.clone(),
        };
        self.suspect(now, claim, Cause::ProbeFailed { indirect_probes: probe.helpers });
    }

    fn end_suspicions(&mut self, now: Nanos) {
        if self.table.next_end().is_none_or(|end| now < end) {
            return;
        }
        let over = |name: &&String| {
            let suspicion = self.table.get(name).and_then(|held| held.suspicion.as_ref());
            suspicion.is_some_and(|suspicion| now >= suspicion.end())
        };
        let over: Vec<String> = self.table.suspects().iter().filter(over).cloned().collect();
        for name in over {
            let Some(held) = self.table.get(&name) else { continue };
            let accusers = held.suspicion.as_ref().map(|s| s.accusers().to_vec()).unwrap_or_default();
            let record = held.claim.record.clone();
            let claim = Claim { state: MemberState::Dead, record, reported_by: self.me.name.clone() };
            self.settle_on(now, claim, None, Cause::NotRefuted(accusers));
        }
    }

    fn gossip(&mut self) {
        if self.rumours.is_empty() {
            return;
        }
        // Mostly those that were heard of late: where only some reach each other, the others never hear it from here.
        let of_late = self.wake.saturating_sub(8 * self.config.timing.probe_interval);
        let near = self.table.present().filter(|held| held.heard > of_late);
        let near = near.map(|held| held.claim.record.address).collect();
        let mut hearers = pick(&mut self.rng, near, FAN_OUT - 1);
        let more = FAN_OUT - hearers.len();
        hearers.extend(self.some_present(more));
        for address in hearers {
            if self.rumours.is_empty() {
                break;
            }
            self.send(address, Body::Gossip, None);
        }
    }

    /// Looks for one that is gone and for one seed that nobody answers for: after a cut both sides have given each other up,
    /// and neither would ever ask.
    fn reach(&mut self) {
        let dead = self.table.all().filter(|held| held.claim.state == MemberState::Dead);
        let dead: Vec<_> =
            dead.map(|held| (held.claim.record.name.clone(), held.claim.record.address)).collect();
        for (name, address) in pick(&mut self.rng, dead, 1) {
            let seq = self.number();
            self.send(address, Body::Ping { seq, to: name.clone() }, Some(&name));
        }
        let known =
            |seed: &std::net::SocketAddr| self.table.present().any(|held| held.claim.record.address == *seed);
        let seeds: Vec<_> = self.other_seeds().filter(|seed| !known(seed)).collect();
        for address in pick(&mut self.rng, seeds, 1) {
            self.ask(address, true);
        }
    }

    /// Tells somebody the digests of this node's view, and hears where theirs differs.
    pub(super) fn ask(&mut self, address: std::net::SocketAddr, back: bool) {
        let digests = self.table.parts();
        self.send(address, Body::Digests { digests, back }, None);
    }
}
