//! Merging of claims about other members into the member table.

use super::timers::MAX_CORRECTIONS;
use super::{Cause, Event, Node, NodeStatus};
use crate::member::{Claim, MemberRecord, MemberState};
use crate::probe::random_below;
use crate::suspicion::Suspicion;
use crate::wire::{Body, DatagramError};
use crate::Nanos;

/// Expected number of members that, having heard of a suspicion, probe the suspect next.
const EXPECTED_VERIFIERS: usize = 4;

impl Node {
    /// Merges a claim that a present member sent, about any member. Of its claims about itself only a leave
    /// counts here: its record in the header has been merged before.
    pub(super) fn merge_claim(
        &mut self,
        now: Nanos,
        claim: Claim,
        sender: &MemberRecord,
    ) -> Result<(), DatagramError> {
        if self.handle_claim_about_self(now, &claim, sender)
            || claim.record.name == sender.name && claim.state != MemberState::Left
        {
            return Ok(());
        }
        let Some(entry) = self.table.get(&claim.record.name) else {
            return match claim.state {
                MemberState::Alive => self.set_alive(now, claim, Cause::ReportedBy(sender.name.clone())),
                MemberState::Suspect => self.add_suspect(now, claim, sender),
                MemberState::Dead | MemberState::Left => self.add_departed(now, claim),
            };
        };
        let precedence = claim.compare_precedence(&entry.claim);
        let is_same_record = entry.claim.record.incarnation == claim.record.incarnation
            && entry.claim.record.instance_id == claim.record.instance_id;
        let is_present = entry.claim.state.is_present();
        match claim.state {
            MemberState::Suspect if is_same_record && entry.claim.state == MemberState::Suspect => {
                self.confirm_suspicion(claim)
            }
            // The sender has either heard the member recently or missed its death: a ping to the member
            // settles it.
            MemberState::Alive if is_same_record && !is_present => self.verify_member(&claim.record),
            _ if precedence.is_le() => {}
            MemberState::Alive => self.set_alive(now, claim, Cause::ReportedBy(sender.name.clone()))?,
            MemberState::Left => self.accept_claim(now, claim, None, Cause::SelfReported),
            MemberState::Dead if !is_present => {
                self.accept_claim(now, claim, None, Cause::ReportedBy(sender.name.clone()))
            }
            // The claim may come from nodes that a partition separated from the member.
            MemberState::Dead => self.verify_death(now, claim, sender),
            MemberState::Suspect => {
                let cause = Cause::ReportedBy(if claim.reported_by.is_empty() {
                    sender.name.clone()
                } else {
                    claim.reported_by.clone()
                });
                self.suspect(now, claim, cause);
            }
        }
        Ok(())
    }

    /// Accepts a claim that a member is alive, and disseminates it.
    pub(super) fn set_alive(&mut self, now: Nanos, claim: Claim, cause: Cause) -> Result<(), DatagramError> {
        let name = claim.record.name.clone();
        let previous_state = self.table.get(&name).map(|entry| entry.claim.state);
        let incarnation = claim.record.incarnation;
        if !self.table.put(now, claim.clone(), None) {
            return Err(DatagramError::TableFull);
        }
        self.last_change_at = now;
        self.gossip_queue.push(&claim);
        if previous_state.is_none_or(|state| !state.is_present()) {
            self.probe_schedule.insert(&mut self.rng, &name);
        }
        // A new record of a member that was alive already is no change of its state.
        if previous_state != Some(MemberState::Alive) {
            self.stats.state_changes += 1;
            self.outbox.events.push(Event::StateChanged {
                name,
                state: MemberState::Alive,
                incarnation,
                cause,
            });
        }
        Ok(())
    }

    /// Accepts a claim that a member is suspect, dead or has left, and disseminates it.
    pub(super) fn accept_claim(
        &mut self,
        now: Nanos,
        claim: Claim,
        suspicion: Option<Suspicion>,
        cause: Cause,
    ) {
        let previous_state = self.table.get(&claim.record.name).map(|entry| entry.claim.state);
        let (name, state) = (claim.record.name.clone(), claim.state);
        let incarnation = claim.record.incarnation;
        if !self.table.put(now, claim.clone(), suspicion) {
            return;
        }
        self.last_change_at = now;
        self.gossip_queue.push(&claim);
        if previous_state != Some(state) {
            self.stats.state_changes += 1;
            self.outbox.events.push(Event::StateChanged { name, state, incarnation, cause });
        }
    }

    /// Starts a suspicion of a present member, or confirms the running one.
    pub(super) fn suspect(&mut self, now: Nanos, claim: Claim, cause: Cause) {
        if let Some(entry) = self.table.get(&claim.record.name) {
            if entry.claim.state == MemberState::Suspect && entry.claim.record == claim.record {
                return self.confirm_suspicion(claim);
            }
        }
        // A few of the members that hear of a suspicion probe the suspect next, to confirm it or to let the
        // suspect refute it.
        let others = self.table.present_count().max(1);
        if claim.reported_by != self.own_record.name
            && random_below(&mut self.rng, others) < EXPECTED_VERIFIERS
        {
            self.probe_schedule.prioritize(&claim.record.name);
        }
        let suspicion = self.new_suspicion(now, &claim.reported_by);
        self.accept_claim(now, claim, Some(suspicion), cause);
    }

    fn new_suspicion(&self, now: Nanos, accuser: &str) -> Suspicion {
        let members = self.table.present_count() + 1;
        // Dissemination takes longer in larger fleets: beyond 100 members the timeout grows with the
        // logarithm of their number.
        let scale = (members as f64).log10().max(2.0) / 2.0;
        let min_timeout = (self.config.timing.suspicion_timeout as f64 * scale) as Nanos;
        Suspicion::new(
            now,
            min_timeout,
            members.saturating_sub(2),
            accuser,
            self.config.extensions.dynamic_suspicion,
        )
    }

    /// Adds an unknown member that is claimed to be suspect: as alive first, so that it can refute the
    /// suspicion.
    fn add_suspect(&mut self, now: Nanos, claim: Claim, sender: &MemberRecord) -> Result<(), DatagramError> {
        let alive_claim = Claim::alive(claim.record.clone());
        self.set_alive(now, alive_claim, Cause::ReportedBy(sender.name.clone()))?;
        self.suspect(now, claim, Cause::ReportedBy(sender.name.clone()));
        Ok(())
    }

    /// Records that another member suspects the suspect too, and disseminates it if it counts.
    fn confirm_suspicion(&mut self, claim: Claim) {
        let suspicion = self.table.get_mut(&claim.record.name).and_then(|entry| entry.suspicion.as_mut());
        if suspicion.is_some_and(|suspicion| suspicion.confirm(&claim.reported_by)) {
            self.gossip_queue.push(&claim);
        }
    }

    /// Handles a claim that a present member is dead: the member is suspected and pinged, and has two probe
    /// intervals to refute.
    fn verify_death(&mut self, now: Nanos, claim: Claim, sender: &MemberRecord) {
        let name = claim.record.name.clone();
        let suspect_claim = Claim { state: MemberState::Suspect, ..claim };
        let takes_precedence =
            |entry: &crate::table::MemberEntry| suspect_claim.compare_precedence(&entry.claim).is_gt();
        if self.table.get(&name).is_some_and(takes_precedence) {
            self.suspect(now, suspect_claim.clone(), Cause::ReportedBy(sender.name.clone()));
        }
        let deadline = now + 2 * self.config.timing.probe_interval;
        if let Some(suspicion) = self.table.get_mut(&name).and_then(|entry| entry.suspicion.as_mut()) {
            suspicion.limit_deadline(deadline);
        }
        self.verify_member(&suspect_claim.record);
    }

    /// Whether another datagram in reaction to an outdated claim may be sent. The limit keeps two nodes that
    /// consider each other dead from answering each other without end.
    pub(super) fn take_correction(&mut self) -> bool {
        let is_allowed = self.remaining_corrections > 0 && self.status == NodeStatus::Member;
        self.remaining_corrections -= u32::from(is_allowed);
        is_allowed
    }

    /// Pings a member outside of the probe schedule, within the limit on corrections.
    fn verify_member(&mut self, record: &MemberRecord) {
        if self.take_correction() {
            let seq = self.next_seq();
            self.send(record.address, Body::Ping { seq, target: record.name.clone() }, Some(&record.name));
        }
    }

    /// Stores a dead or left member that was unknown, so that late datagrams cannot revive it.
    fn add_departed(&mut self, now: Nanos, claim: Claim) -> Result<(), DatagramError> {
        self.table.put(now, claim, None).then_some(()).ok_or(DatagramError::TableFull)
    }
}

const _: () = assert!(MAX_CORRECTIONS > 0);
