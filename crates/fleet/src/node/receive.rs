//! What comes in.

use super::{Cause, Event, Node, NodeStatus};
use crate::member::{Claim, MemberRecord, MemberState};
use crate::probe::Relay;
use crate::wire::{Body, DatagramError, DatagramKind, Packet};
use crate::Nanos;
use std::net::SocketAddr;

/// Datagrams that answer one comparison of digests; what is left comes with the next.
const MOST_RECORDS: usize = 32;
/// Two processes under one name whose ages differ by less began together: which one is older cannot be told by datagrams.
const TOGETHER: Nanos = 250_000_000;
/// Probes for others that a node has under way at the most.
const MOST_RELAYS: usize = 256;

impl Node {
    /// Takes in a datagram, whoever has sent it.
    ///
    /// # Errors
    /// Where nothing, or nothing beyond the sender's own state, was taken from it.
    pub fn handle(&mut self, now: Nanos, bytes: &[u8]) -> Result<(), DatagramError> {
        self.notice(now);
        let handled = self.seal.read(bytes).and_then(|packet| {
            let (count, sum) = &mut self.stats.received[packet.head.body.kind() as usize];
            *count += 1;
            *sum += bytes.len() as u64;
            self.take_in(now, packet)
        });
        if let Err(why) = handled {
            self.stats.rejected[why as usize] += 1;
        }
        self.wake = self.next_tick_at().max(now);
        handled
    }

    fn take_in(&mut self, now: Nanos, packet: Packet) -> Result<(), DatagramError> {
        if self.status == NodeStatus::Left {
            return Ok(());
        }
        let Packet { head, claims } = packet;
        let from = head.from;
        if from.name == self.me.name {
            if from.instance_id != self.me.instance_id {
                self.meet_double(now, from, &head.body);
            }
            return Ok(());
        }
        if head.body == Body::Join {
            self.welcome(&from);
            return Ok(());
        }
        let refused = matches!(self.status, NodeStatus::Refused { .. });
        let heard = self.hear(now, &from, head.view)?;
        if !heard {
            // It has been given up and does not know: it is told, and what it believes of others does not count. It may be
            // well all the same: what it asks is answered.
            // What it says of this node does: both sides of a cut have given each other up.
            for claim in &claims {
                self.accused(now, claim, &from);
            }
            if let Body::Ping { seq, to } = &head.body {
                self.answer(&from, *seq, to);
            } else if !refused && self.may_check() {
                self.contradict(&from);
            }
            return Err(DatagramError::StaleSender);
        }
        let mut full = false;
        for claim in claims {
            full |= self.consider(now, claim, &from).is_err();
        }
        if refused {
            return Ok(());
        }
        match head.body {
            Body::Ping { seq, to } => self.answer(&from, seq, &to),
            Body::Ack { seq } => self.acknowledged(seq),
            Body::PingRequest { seq, to, address } => self.ping_for(now, &from, seq, to, address),
            Body::Nack { seq } => {
                if let Some(probe) = self.probe.as_mut().filter(|probe| probe.seq == seq) {
                    probe.nacks += 1;
                }
            }
            Body::Digests { digests, back } => {
                self.tell_of(&from, &digests);
                if back {
                    self.ask(from.address, false);
                }
            }
            Body::Records => self.welcomed(now),
            Body::Gossip | Body::Join | Body::NameConflict { .. } => {}
        }
        let suspected =
            self.table.get(&from.name).is_some_and(|held| held.claim.state == MemberState::Suspect);
        if suspected && self.config.extensions.buddy_system {
            self.send(from.address, Body::Gossip, Some(&from.name));
        }
        self.compare(now, &from, head.view);
        if full {
            return Err(DatagramError::TableFull);
        }
        Ok(())
    }

    /// The sender's own word on itself; false where this node has better knowledge: it has been given up, or another process
    /// has its name.
    fn hear(&mut self, now: Nanos, from: &MemberRecord, view: u64) -> Result<bool, DatagramError> {
        let word = Claim::alive(from.clone());
        match self.table.get(&from.name) {
            // What it sent before its latest word may come after it.
            Some(held) if held.claim.compare_precedence(&word).is_ge() => {
                if held.claim.record.instance_id != from.instance_id || !held.claim.state.is_present() {
                    return Ok(false);
                }
            }
            _ => self.settle_alive(now, word, Cause::HeardDirectly)?,
        }
        if let Some(held) = self.table.get_mut(&from.name) {
            (held.heard, held.view) = (now, Some(view));
        }
        self.met = true;
        Ok(true)
    }

    /// Tells a sender what is held of its name: that it has been given up, or that another process has it.
    fn contradict(&mut self, from: &MemberRecord) {
        let mut bytes = self.begin(Body::Gossip);
        let held = self.table.get(&from.name).and_then(|held| postcard::to_stdvec(&held.claim).ok());
        bytes.extend(held.unwrap_or_default());
        self.finish(from.address, DatagramKind::Gossip, bytes);
    }

    /// A process that joins gets no place before it knows whether its name is free.
    fn welcome(&mut self, from: &MemberRecord) {
        if !matches!(self.status, NodeStatus::Member) {
            return;
        }
        // What is held of its name comes first.
        let own = self.table.get(&from.name).map(|held| held.claim.clone());
        let others = self.table.all().map(|held| &held.claim).filter(|claim| claim.record.name != from.name);
        let claims: Vec<_> = own.into_iter().chain(others.cloned()).collect();
        self.send_records(from.address, claims);
    }

    /// Tells of all in the parts that differ.
    fn tell_of(&mut self, to: &MemberRecord, digests: &[u32; crate::wire::BUCKETS]) {
        let claims: Vec<_> = self.table.differing(digests).cloned().collect();
        self.send_records(to.address, claims);
    }

    /// Sends claims in as many datagrams as they take, up to a bound; one at least.
    fn send_records(&mut self, address: SocketAddr, claims: Vec<Claim>) {
        let room = self.seal.room(self.config.max_datagram_bytes);
        let start = crate::probe::draw(&mut self.rng, claims.len().max(1));
        // Where not all fit, another part of them comes first each time, but for the very first.
        let rotated = claims
            .iter()
            .take(1)
            .chain(claims.iter().skip(1).cycle().skip(start).take(claims.len().saturating_sub(1)));
        let mut bytes = self.begin(Body::Records);
        let mut sent = 0;
        for claim in rotated {
            let Ok(claim) = postcard::to_stdvec(claim) else { continue };
            if bytes.len() + claim.len() > room {
                self.finish(address, DatagramKind::Records, bytes);
                sent += 1;
                if sent == MOST_RECORDS {
                    return;
                }
                bytes = self.begin(Body::Records);
            }
            bytes.extend(claim);
        }
        self.finish(address, DatagramKind::Records, bytes);
    }

    /// Somebody has told who is there.
    fn welcomed(&mut self, now: Nanos) {
        if self.status != NodeStatus::Joining {
            return;
        }
        if self.double().is_none() {
            self.become_member(now);
        } else {
            // That one is asked as soon as may be, and gets its time.
            let timeout = self.config.timing.probe_timeout;
            self.next_join = self.next_join.min(now);
            self.join_by = self.join_by.max(self.started + 6 * timeout);
        }
    }

    /// Another process under the node's own name. Who has been there for longer keeps it: times of one's own need no common
    /// clock, and as what a process says of its age is old when it comes, two can never both give way.
    fn meet_double(&mut self, now: Nanos, from: MemberRecord, body: &Body) {
        let uptime = now.saturating_sub(self.started);
        match (self.status, body) {
            (NodeStatus::Left | NodeStatus::Refused { .. }, _) => {}
            (_, Body::NameConflict { uptime: theirs })
                if self.gives_way(*theirs, uptime, from.instance_id) =>
            {
                self.table.count(&self.me, false);
                self.status = NodeStatus::Refused { by: from.address };
                self.out.events.push(Event::Refused(from.address));
            }
            _ => {
                self.send(from.address, Body::NameConflict { uptime }, None);
                if *body != Body::Join && from.incarnation >= self.me.incarnation {
                    self.renew(now, from.incarnation, |_| ());
                }
            }
        }
    }

    /// Whether the other one stays, by its age when it told it and this node's now. What was told is old by the time that it took:
    /// the other is never taken for older than it is, so that not both give way, and of two that began together the greater
    /// life stays, so that one does.
    fn gives_way(&self, theirs: Nanos, own: Nanos, life: u32) -> bool {
        theirs > own.saturating_add(TOGETHER)
            || (theirs.abs_diff(own) <= TOGETHER && life > self.me.instance_id)
    }

    /// A probe is answered by the one that it names, at whatever address that one was reached.
    fn answer(&mut self, from: &MemberRecord, seq: u32, to: &str) {
        if to == self.me.name && self.status == NodeStatus::Member {
            self.send(from.address, Body::Ack { seq }, Some(&from.name));
        }
    }

    fn acknowledged(&mut self, seq: u32) {
        if self.probe.as_ref().is_some_and(|probe| probe.seq == seq) {
            self.probe = None;
            self.health.better();
        } else if let Some(relay) = self.relays.remove(&seq) {
            self.send(relay.asker.1, Body::Ack { seq: relay.asked }, Some(&relay.asker.0));
        }
    }

    fn ping_for(&mut self, now: Nanos, asker: &MemberRecord, asked: u32, to: String, address: SocketAddr) {
        if self.relays.len() >= MOST_RELAYS || to == self.me.name {
            return;
        }
        let seq = self.number();
        // Some time is left for the word that nothing has come.
        let nack_at = now + self.config.timing.probe_timeout * 4 / 5;
        let asker = (asker.name.clone(), asker.address);
        self.relays.insert(seq, Relay { asked, asker, nack_at });
        self.send(address, Body::Ping { seq, to: to.clone() }, Some(&to));
    }

    /// Compares views, where both have had the time to hear the latest rumours.
    fn compare(&mut self, now: Nanos, from: &MemberRecord, view: u64) {
        let every = self.config.timing.probe_interval;
        let quiet = now >= self.changed + every;
        let long_ago = now >= self.next_ask + 8 * every;
        let due = now >= self.next_ask && (quiet || long_ago);
        if self.status == NodeStatus::Member && view != self.table.view() && due {
            self.next_ask = now + every;
            self.ask(from.address, true);
        }
    }

    /// Whether the claim is on this node's own name, and what comes of it then.
    pub(super) fn accused(&mut self, now: Nanos, claim: &Claim, from: &MemberRecord) -> bool {
        if claim.record.name != self.me.name {
            return false;
        }
        let ours = claim.record.instance_id == self.me.instance_id;
        match self.status {
            // What was there before it, or a second one: who it is shows when that one is asked.
            NodeStatus::Joining
                if !ours
                    && self.namesake.as_ref().is_none_or(|held| claim.compare_precedence(held).is_gt()) =>
            {
                self.namesake = Some(claim.clone());
            }
            NodeStatus::Member if claim.record.incarnation >= self.me.incarnation => {
                if ours
                    && claim.state == MemberState::Alive
                    && claim.record.incarnation == self.me.incarnation
                {
                    return true;
                }
                if !ours && claim.state.is_present() && claim.record.address != self.me.address {
                    let uptime = now.saturating_sub(self.started);
                    self.send(claim.record.address, Body::NameConflict { uptime }, None);
                }
                self.renew(now, claim.record.incarnation, |_| ());
                if ours && claim.state != MemberState::Alive {
                    self.health.worse();
                    self.stats.refutations += 1;
                    let by = if claim.reported_by.is_empty() { &from.name } else { &claim.reported_by };
                    let incarnation = self.me.incarnation;
                    self.out.events.push(Event::Refuted { by: by.clone(), state: claim.state, incarnation });
                    // Whoever accuses it is answered at once.
                    self.send(from.address, Body::Gossip, Some(&from.name));
                }
            }
            _ => {}
        }
        true
    }
}
