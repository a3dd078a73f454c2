//! What others say of members, and what becomes of it.

use super::timers::CHECKS;
use super::{Cause, Event, Node, NodeStatus};
use crate::member::{Claim, MemberRecord, MemberState};
use crate::probe::draw;
use crate::suspicion::Suspicion;
use crate::wire::{Body, DatagramError};
use crate::Nanos;

/// Of all that hear an accusation, about so many probe the accused next.
const WITNESSES: usize = 4;

impl Node {
    /// Weighs what a member that is there says of another one.
    pub(super) fn consider(
        &mut self,
        now: Nanos,
        claim: Claim,
        from: &MemberRecord,
    ) -> Result<(), DatagramError> {
        if self.accused(now, &claim, from)
            || claim.record.name == from.name && claim.state != MemberState::Left
        {
            return Ok(());
        }
        let Some(held) = self.table.get(&claim.record.name) else {
            return match claim.state {
                MemberState::Alive => self.settle_alive(now, claim, Cause::ReportedBy(from.name.clone())),
                // Nobody is accused before it has been seen: it may well be there and object.
                MemberState::Suspect => self.suspect_stranger(now, claim, from),
                MemberState::Dead | MemberState::Left => self.remember(now, claim),
            };
        };
        let newer = claim.compare_precedence(&held.claim);
        let same = held.claim.record.incarnation == claim.record.incarnation
            && held.claim.record.instance_id == claim.record.instance_id;
        let there = held.claim.state.is_present();
        match claim.state {
            MemberState::Suspect if same && held.claim.state == MemberState::Suspect => self.confirm(claim),
            // Somebody has heard it of late, perhaps; perhaps somebody has only missed its death. It is asked itself.
            MemberState::Alive if same && !there => self.check(&claim.record),
            _ if newer.is_le() => {}
            MemberState::Alive => self.settle_alive(now, claim, Cause::ReportedBy(from.name.clone()))?,
            MemberState::Left => self.settle_on(now, claim, None, Cause::SelfReported),
            MemberState::Dead if !there => {
                self.settle_on(now, claim, None, Cause::ReportedBy(from.name.clone()))
            }
            // Those from whom a cut has parted it say so too, and it is there all the same.
            MemberState::Dead => self.doubt(now, claim, from),
            MemberState::Suspect => {
                let cause = Cause::ReportedBy(if claim.reported_by.is_empty() {
                    from.name.clone()
                } else {
                    claim.reported_by.clone()
                });
                self.suspect(now, claim, cause);
            }
        }
        Ok(())
    }

    /// A member is there.
    pub(super) fn settle_alive(
        &mut self,
        now: Nanos,
        claim: Claim,
        cause: Cause,
    ) -> Result<(), DatagramError> {
        let name = claim.record.name.clone();
        let before = self.table.get(&name).map(|held| held.claim.state);
        let incarnation = claim.record.incarnation;
        if !self.table.put(now, claim.clone(), None) {
            return Err(DatagramError::TableFull);
        }
        self.changed = now;
        self.rumours.spread(&claim);
        if before.is_none_or(|state| !state.is_present()) {
            self.turns.join(&mut self.rng, &name);
        }
        // A word of its own on something else is no change of its state.
        if before != Some(MemberState::Alive) {
            self.stats.state_changes += 1;
            self.out.events.push(Event::StateChanged { name, state: MemberState::Alive, incarnation, cause });
        }
        Ok(())
    }

    /// A member is held for something else, and all are told.
    pub(super) fn settle_on(&mut self, now: Nanos, claim: Claim, suspicion: Option<Suspicion>, cause: Cause) {
        let before = self.table.get(&claim.record.name).map(|held| held.claim.state);
        let (name, state) = (claim.record.name.clone(), claim.state);
        let incarnation = claim.record.incarnation;
        if !self.table.put(now, claim.clone(), suspicion) {
            return;
        }
        self.changed = now;
        self.rumours.spread(&claim);
        if before != Some(state) {
            self.stats.state_changes += 1;
            self.out.events.push(Event::StateChanged { name, state, incarnation, cause });
        }
    }

    /// Holds a member that is there for suspect.
    pub(super) fn suspect(&mut self, now: Nanos, claim: Claim, cause: Cause) {
        if let Some(held) = self.table.get(&claim.record.name) {
            if held.claim.state == MemberState::Suspect && held.claim.record == claim.record {
                return self.confirm(claim);
            }
        }
        // Some of those that hear it look for themselves: what they find confirms it soon, or lets the suspect object.
        let others = self.table.count_present().max(1);
        if claim.reported_by != self.me.name && draw(&mut self.rng, others) < WITNESSES {
            self.turns.first(&claim.record.name);
        }
        let suspicion = self.suspicion(now, &claim.reported_by);
        self.settle_on(now, claim, Some(suspicion), cause);
    }

    fn suspicion(&self, now: Nanos, by: &str) -> Suspicion {
        let members = self.table.count_present() + 1;
        // Rumours take longer in larger fleets (SWIM): by so much has a suspect longer beyond 100.
        let scale = (members as f64).log10().max(2.0) / 2.0;
        let shortest = (self.config.timing.suspicion_timeout as f64 * scale) as Nanos;
        Suspicion::new(now, shortest, members.saturating_sub(2), by, self.config.extensions.dynamic_suspicion)
    }

    fn suspect_stranger(
        &mut self,
        now: Nanos,
        claim: Claim,
        from: &MemberRecord,
    ) -> Result<(), DatagramError> {
        let word = Claim::alive(claim.record.clone());
        self.settle_alive(now, word, Cause::ReportedBy(from.name.clone()))?;
        self.suspect(now, claim, Cause::ReportedBy(from.name.clone()));
        Ok(())
    }

    /// Somebody else accuses a suspect too.
    fn confirm(&mut self, claim: Claim) {
        let suspicion = self.table.get_mut(&claim.record.name).and_then(|held| held.suspicion.as_mut());
        if suspicion.is_some_and(|suspicion| suspicion.confirm(&claim.reported_by)) {
            self.rumours.spread(&claim);
        }
    }

    /// Somebody says that a member is dead that this node holds for there: it is asked itself, and given up unless it objects
    /// within the time that a probe and its rumour take.
    fn doubt(&mut self, now: Nanos, claim: Claim, from: &MemberRecord) {
        let name = claim.record.name.clone();
        let suspect = Claim { state: MemberState::Suspect, ..claim };
        let newer = |held: &crate::table::Held| suspect.compare_precedence(&held.claim).is_gt();
        if self.table.get(&name).is_some_and(newer) {
            self.suspect(now, suspect.clone(), Cause::ReportedBy(from.name.clone()));
        }
        let end = now + 2 * self.config.timing.probe_interval;
        if let Some(suspicion) = self.table.get_mut(&name).and_then(|held| held.suspicion.as_mut()) {
            suspicion.cut(end);
        }
        self.check(&suspect.record);
    }

    /// Datagrams that answer what cannot be true are bounded: two that hold each other for gone must not go on about it.
    pub(super) fn may_check(&mut self) -> bool {
        let may = self.checks > 0 && self.status == NodeStatus::Member;
        self.checks -= u32::from(may);
        may
    }

    /// Asks a member itself whether it is there, and tells it what it is held for.
    fn check(&mut self, record: &MemberRecord) {
        if self.may_check() {
            let seq = self.number();
            self.send(record.address, Body::Ping { seq, to: record.name.clone() }, Some(&record.name));
        }
    }

    /// A member that this node has never seen is gone: that is kept, so that nothing late brings it back.
    fn remember(&mut self, now: Nanos, claim: Claim) -> Result<(), DatagramError> {
        self.table.put(now, claim, None).then_some(()).ok_or(DatagramError::TableFull)
    }
}

const _: () = assert!(CHECKS > 0);
