//! Handling of received datagrams.

use super::{Cause, Event, Node, NodeStatus};
use crate::member::{Claim, MemberRecord, MemberState};
use crate::probe::RelayedProbe;
use crate::wire::{Body, Datagram, DatagramError, DatagramKind};
use crate::Nanos;
use std::net::SocketAddr;

/// Maximum number of datagrams in answer to a join or to digests; the next exchange of digests delivers the
/// rest.
const MAX_RECORDS_DATAGRAMS: usize = 32;
/// Two processes of one name whose uptimes differ by less count as started together: delays on the network
/// hide which is older.
const MIN_UPTIME_DIFFERENCE: Nanos = 250_000_000;
/// Maximum number of simultaneous indirect probes for other members.
const MAX_RELAYED_PROBES: usize = 256;

impl Node {
    /// Handles a datagram from any sender.
    ///
    /// # Errors
    /// If the datagram was rejected, or its claims about members other than the sender and this node were
    /// ignored in whole or in part.
    pub fn handle(&mut self, now: Nanos, bytes: &[u8]) -> Result<(), DatagramError> {
        self.check_timer_lag(now);
        let result = self.codec.decode(bytes).and_then(|datagram| {
            let (datagram_count, byte_count) = &mut self.stats.received[datagram.header.body.kind() as usize];
            *datagram_count += 1;
            *byte_count += bytes.len() as u64;
            self.handle_datagram(now, datagram)
        });
        if let Err(error) = result {
            self.stats.rejected[error as usize] += 1;
        }
        self.expected_tick_at = self.next_tick_at().max(now);
        result
    }

    fn handle_datagram(&mut self, now: Nanos, datagram: Datagram) -> Result<(), DatagramError> {
        if self.status == NodeStatus::Left {
            return Ok(());
        }
        let Datagram { header, claims } = datagram;
        let sender = header.sender;
        if sender.name == self.own_record.name {
            if sender.instance_id != self.own_record.instance_id {
                self.resolve_name_conflict(now, sender, &header.body);
            }
            return Ok(());
        }
        if header.body == Body::Join {
            self.answer_join(&sender);
            return Ok(());
        }
        let is_refused = matches!(self.status, NodeStatus::Refused { .. });
        let is_current = self.update_sender(now, &sender, header.view_digest)?;
        if !is_current {
            // The sender does not know that it has been given up. Its claims about this node still count,
            // since both sides of a partition give each other up; its claims about others are ignored. Its
            // pings are answered.
            for claim in &claims {
                self.handle_claim_about_self(now, claim, &sender);
            }
            if let Body::Ping { seq, target } = &header.body {
                self.answer_ping(&sender, *seq, target);
            } else if !is_refused && self.take_correction() {
                self.send_claim_about_sender(&sender);
            }
            return Err(DatagramError::StaleSender);
        }
        let mut is_table_full = false;
        for claim in claims {
            is_table_full |= self.merge_claim(now, claim, &sender).is_err();
        }
        if is_refused {
            return Ok(());
        }
        match header.body {
            Body::Ping { seq, target } => self.answer_ping(&sender, seq, &target),
            Body::Ack { seq } => self.handle_ack(seq),
            Body::PingRequest { seq, target, address } => {
                self.relay_probe(now, &sender, seq, target, address)
            }
            Body::Nack { seq } => {
                if let Some(probe) = self.probe.as_mut().filter(|probe| probe.seq == seq) {
                    probe.nacks += 1;
                }
            }
            Body::Digests { digests, wants_digests } => {
                self.answer_digests(&sender, &digests);
                if wants_digests {
                    self.send_digests(sender.address, false);
                }
            }
            Body::Records => self.handle_records(now),
            Body::Gossip | Body::Join | Body::NameConflict { .. } => {}
        }
        let is_suspect =
            self.table.get(&sender.name).is_some_and(|entry| entry.claim.state == MemberState::Suspect);
        if is_suspect && self.config.extensions.buddy_system {
            self.send(sender.address, Body::Gossip, Some(&sender.name));
        }
        self.sync_if_views_differ(now, &sender, header.view_digest);
        if is_table_full {
            return Err(DatagramError::TableFull);
        }
        Ok(())
    }

    /// Merges the sender's own record. Returns false if the sender is dead or has left, or if another process
    /// with precedence has its name.
    fn update_sender(
        &mut self,
        now: Nanos,
        sender: &MemberRecord,
        view_digest: u64,
    ) -> Result<bool, DatagramError> {
        let claim = Claim::alive(sender.clone());
        match self.table.get(&sender.name) {
            // Datagrams of a present member may arrive out of order.
            Some(entry) if entry.claim.compare_precedence(&claim).is_ge() => {
                if entry.claim.record.instance_id != sender.instance_id || !entry.claim.state.is_present() {
                    return Ok(false);
                }
            }
            _ => self.set_alive(now, claim, Cause::HeardDirectly)?,
        }
        if let Some(entry) = self.table.get_mut(&sender.name) {
            (entry.last_heard_at, entry.view_digest) = (now, Some(view_digest));
        }
        self.has_heard_member = true;
        Ok(true)
    }

    /// Sends the accepted claim on the sender's name, so that the sender can refute it or notice the other
    /// process.
    fn send_claim_about_sender(&mut self, sender: &MemberRecord) {
        let mut bytes = self.start_datagram(Body::Gossip);
        let claim = self.table.get(&sender.name).and_then(|entry| postcard::to_stdvec(&entry.claim).ok());
        bytes.extend(claim.unwrap_or_default());
        self.finish_datagram(sender.address, DatagramKind::Gossip, bytes);
    }

    /// Sends all claims to a joining process, which is not added to the table before it knows that its name
    /// is free.
    fn answer_join(&mut self, sender: &MemberRecord) {
        if !matches!(self.status, NodeStatus::Member) {
            return;
        }
        // The claim on the sender's own name comes first, so that it is never left out.
        let sender_claim = self.table.get(&sender.name).map(|entry| entry.claim.clone());
        let other_claims =
            self.table.all().map(|entry| &entry.claim).filter(|claim| claim.record.name != sender.name);
        let claims: Vec<_> = sender_claim.into_iter().chain(other_claims.cloned()).collect();
        self.send_records(sender.address, claims);
    }

    /// Sends the claims of all buckets whose digests differ.
    fn answer_digests(&mut self, sender: &MemberRecord, digests: &[u32; crate::wire::DIGEST_BUCKETS]) {
        let claims: Vec<_> = self.table.claims_in_differing_buckets(digests).cloned().collect();
        self.send_records(sender.address, claims);
    }

    /// Sends claims in at least one and at most [`MAX_RECORDS_DATAGRAMS`] datagrams.
    fn send_records(&mut self, address: SocketAddr, claims: Vec<Claim>) {
        let max_bytes = self.codec.max_bytes_before_mac(self.config.max_datagram_bytes);
        let start = crate::probe::random_below(&mut self.rng, claims.len().max(1));
        // All but the first claim are rotated at random, so that a limited answer leaves out other claims
        // each time.
        let rotated = claims
            .iter()
            .take(1)
            .chain(claims.iter().skip(1).cycle().skip(start).take(claims.len().saturating_sub(1)));
        let mut bytes = self.start_datagram(Body::Records);
        let mut sent_count = 0;
        for claim in rotated {
            let Ok(claim) = postcard::to_stdvec(claim) else { continue };
            if bytes.len() + claim.len() > max_bytes {
                self.finish_datagram(address, DatagramKind::Records, bytes);
                sent_count += 1;
                if sent_count == MAX_RECORDS_DATAGRAMS {
                    return;
                }
                bytes = self.start_datagram(Body::Records);
            }
            bytes.extend(claim);
        }
        self.finish_datagram(address, DatagramKind::Records, bytes);
    }

    /// Completes the join on the first answer, unless another process may have the node's name.
    fn handle_records(&mut self, now: Nanos) {
        if self.status != NodeStatus::Joining {
            return;
        }
        if self.namesake_address().is_none() {
            self.complete_join(now);
        } else {
            // The other process is contacted with the next join request, and has time to answer.
            let timeout = self.config.timing.probe_timeout;
            self.next_join_at = self.next_join_at.min(now);
            self.join_deadline = self.join_deadline.max(self.started_at + 6 * timeout);
        }
    }

    /// Handles a datagram of another process with the node's name: the process with the longer uptime keeps
    /// the name. Uptimes need no common clock.
    fn resolve_name_conflict(&mut self, now: Nanos, sender: MemberRecord, body: &Body) {
        let uptime = now.saturating_sub(self.started_at);
        match (self.status, body) {
            (NodeStatus::Left | NodeStatus::Refused { .. }, _) => {}
            (_, Body::NameConflict { uptime: other_uptime })
                if self.should_yield_name(*other_uptime, uptime, sender.instance_id) =>
            {
                self.table.update_digest(&self.own_record, false);
                self.status = NodeStatus::Refused { by: sender.address };
                self.outbox.events.push(Event::Refused(sender.address));
            }
            _ => {
                self.send(sender.address, Body::NameConflict { uptime }, None);
                if *body != Body::Join && sender.incarnation >= self.own_record.incarnation {
                    self.raise_incarnation(now, sender.incarnation, |_| ());
                }
            }
        }
    }

    /// Whether the other process keeps the name. A received uptime is too low by the time on the network,
    /// never too high, so that at most one process yields; the greater instance id decides between processes
    /// that started together.
    fn should_yield_name(&self, other_uptime: Nanos, own_uptime: Nanos, other_instance_id: u32) -> bool {
        other_uptime > own_uptime.saturating_add(MIN_UPTIME_DIFFERENCE)
            || (other_uptime.abs_diff(own_uptime) <= MIN_UPTIME_DIFFERENCE
                && other_instance_id > self.own_record.instance_id)
    }

    /// Answers a ping if it names this node; one that reached this address for another member is ignored.
    fn answer_ping(&mut self, sender: &MemberRecord, seq: u32, target: &str) {
        if target == self.own_record.name && self.status == NodeStatus::Member {
            self.send(sender.address, Body::Ack { seq }, Some(&sender.name));
        }
    }

    fn handle_ack(&mut self, seq: u32) {
        if self.probe.as_ref().is_some_and(|probe| probe.seq == seq) {
            self.probe = None;
            self.local_health.improve();
        } else if let Some(relayed) = self.relayed_probes.remove(&seq) {
            self.send(
                relayed.requester.1,
                Body::Ack { seq: relayed.requester_seq },
                Some(&relayed.requester.0),
            );
        }
    }

    fn relay_probe(
        &mut self,
        now: Nanos,
        requester: &MemberRecord,
        requester_seq: u32,
        target: String,
        address: SocketAddr,
    ) {
        if self.relayed_probes.len() >= MAX_RELAYED_PROBES || target == self.own_record.name {
            return;
        }
        let seq = self.next_seq();
        // Early enough for the nack to arrive before the requester's probe fails.
        let nack_at = now + self.config.timing.probe_timeout * 4 / 5;
        let requester = (requester.name.clone(), requester.address);
        self.relayed_probes.insert(seq, RelayedProbe { requester_seq, requester, nack_at });
        self.send(address, Body::Ping { seq, target: target.clone() }, Some(&target));
    }

    /// Sends digests to a member whose view differs, at most once per probe interval. While views still
    /// change, gossip gets time to deliver the changes first, but no more than eight intervals.
    fn sync_if_views_differ(&mut self, now: Nanos, sender: &MemberRecord, view_digest: u64) {
        let interval = self.config.timing.probe_interval;
        let is_quiet = now >= self.last_change_at + interval;
        let is_overdue = now >= self.next_sync_at + 8 * interval;
        let is_due = now >= self.next_sync_at && (is_quiet || is_overdue);
        if self.status == NodeStatus::Member && view_digest != self.table.view_digest() && is_due {
            self.next_sync_at = now + interval;
            self.send_digests(sender.address, true);
        }
    }

    /// Handles a claim on the node's own name: refutes it, or reacts to another process of that name. Returns
    /// false if the claim is about another member.
    pub(super) fn handle_claim_about_self(
        &mut self,
        now: Nanos,
        claim: &Claim,
        sender: &MemberRecord,
    ) -> bool {
        if claim.record.name != self.own_record.name {
            return false;
        }
        let is_own_instance = claim.record.instance_id == self.own_record.instance_id;
        match self.status {
            // Either a predecessor or a second process of this name: a join request to its address shows
            // which.
            NodeStatus::Joining
                if !is_own_instance
                    && self
                        .namesake
                        .as_ref()
                        .is_none_or(|namesake| claim.compare_precedence(namesake).is_gt()) =>
            {
                self.namesake = Some(claim.clone());
            }
            NodeStatus::Member if claim.record.incarnation >= self.own_record.incarnation => {
                if is_own_instance
                    && claim.state == MemberState::Alive
                    && claim.record.incarnation == self.own_record.incarnation
                {
                    return true;
                }
                if !is_own_instance
                    && claim.state.is_present()
                    && claim.record.address != self.own_record.address
                {
                    let uptime = now.saturating_sub(self.started_at);
                    self.send(claim.record.address, Body::NameConflict { uptime }, None);
                }
                self.raise_incarnation(now, claim.record.incarnation, |_| ());
                if is_own_instance && claim.state != MemberState::Alive {
                    self.local_health.degrade();
                    self.stats.refutations += 1;
                    let by = if claim.reported_by.is_empty() { &sender.name } else { &claim.reported_by };
                    let incarnation = self.own_record.incarnation;
                    self.outbox.events.push(Event::Refuted {
                        by: by.clone(),
                        state: claim.state,
                        incarnation,
                    });
                    // The refutation goes to the sender of the claim at once.
                    self.send(sender.address, Body::Gossip, Some(&sender.name));
                }
            }
            _ => {}
        }
        true
    }
}
