//! The servers of one pool as the decision module is to see them: what a list names, less what checks have found.

use crate::plan::{HealthCheck, Server};
use corkhollow_balance::interface::{Nanos, Phase};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A server as it is told to the decision module.
#[derive(Clone, Debug, PartialEq)]
pub struct RosterEntry {
    /// Its identity.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone; backups stand in zones of their own behind all others.
    pub zone: u8,
    /// Its kind of machine, numbered from 1 in the order in which kinds were met; 0 where not told.
    pub kind: u16,
    /// Its size beside the others'.
    pub weight: f64,
    /// Ready, draining while checks fail, or gone.
    pub phase: Phase,
    /// When it came or came back; 0 for long ago.
    pub started_at: Nanos,
}

struct Member {
    listed: RosterEntry,
    /// Checks have taken it out.
    out: bool,
    /// The list has it drain.
    drains: bool,
    /// Checks in a row that speak against its present phase.
    against: u32,
}

/// Who is in a pool.
pub struct Roster {
    members: BTreeMap<String, Member>,
    /// Kinds of machines that were met.
    kinds: Vec<String>,
    backup_zone: u8,
    check: Option<HealthCheck>,
    /// Whoever comes is cold.
    slow_start: bool,
    /// The first list is the fleet as it was found; whoever comes later has just been started.
    met: bool,
}

impl Roster {
    /// Nobody yet. Backups get zones from `backup_zone` on; with `cold`, whoever comes later is cold.
    pub fn new(backup_zone: u8, check: Option<HealthCheck>, slow_start: bool) -> Self {
        Roster { members: BTreeMap::new(), kinds: Vec::new(), backup_zone, check, slow_start, met: false }
    }

    /// Takes over a list: everybody who is to be told of, those who have left among them.
    pub fn replace_list(&mut self, now: Nanos, servers: &[Server]) -> Vec<RosterEntry> {
        let mut before = std::mem::take(&mut self.members);
        let mut told = Vec::with_capacity(servers.len());
        for server in servers {
            let old = before.remove(&server.name).filter(|m| m.listed.address == server.address);
            let zone = if server.backup { self.backup_zone.saturating_add(server.zone) } else { server.zone };
            let out = old.as_ref().is_some_and(|m| m.out);
            let listed = RosterEntry {
                name: server.name.clone(),
                address: server.address,
                zone,
                kind: server.kind.as_ref().map_or(0, |kind| self.kind(kind)),
                weight: server.weight,
                phase: if out || server.drain { Phase::Draining } else { Phase::Ready },
                started_at: old
                    .as_ref()
                    .map_or(if self.met && self.slow_start { now } else { 0 }, |m| m.listed.started_at),
            };
            told.push(listed.clone());
            let against = old.map_or(0, |m| m.against);
            self.members.insert(server.name.clone(), Member { listed, out, drains: server.drain, against });
        }
        self.met = true;
        told
    }

    fn kind(&mut self, name: &str) -> u16 {
        let known = self.kinds.iter().position(|k| k == name);
        let at = known.unwrap_or_else(|| {
            self.kinds.push(name.to_owned());
            self.kinds.len() - 1
        });
        u16::try_from(at + 1).unwrap_or(u16::MAX)
    }

    /// Who is to be checked, and where.
    pub fn servers_to_check(&self) -> Vec<(String, SocketAddr)> {
        self.members.iter().map(|(name, m)| (name.clone(), m.listed.address)).collect()
    }

    /// Takes a check's result into account; what is to be told where it changes something.
    pub fn record_check(&mut self, now: Nanos, name: &str, passed: bool) -> Option<RosterEntry> {
        let check = self.check.as_ref()?;
        let member = self.members.get_mut(name)?;
        if passed != member.out {
            member.against = 0;
            return None;
        }
        member.against += 1;
        if member.against < if member.out { check.rise } else { check.fall } {
            return None;
        }
        member.against = 0;
        member.out = !member.out;
        member.listed.phase = if member.out || member.drains { Phase::Draining } else { Phase::Ready };
        if !member.out {
            // Whatever took it down, it may have started anew: it gets no more than a cold server's share.
            member.listed.started_at = if self.slow_start { now } else { 0 };
        }
        Some(member.listed.clone())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn server(name: &str, port: u16, backup: bool) -> Server {
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        Server { name: name.into(), address, weight: 1.0, zone: 1, kind: None, drain: false, backup }
    }

    fn check(rise: u32, fall: u32) -> Option<HealthCheck> {
        Some(HealthCheck { path: "/".into(), interval: 1, timeout: 1, rise, fall, status: vec![200] })
    }

    #[test]
    fn who_comes_later_is_cold_and_backups_stand_apart() {
        let mut roster = Roster::new(4, None, true);
        let first = roster.replace_list(10, &[server("a", 1, false), server("b", 2, true)]);
        assert_eq!(first.iter().map(|l| (l.zone, l.started_at)).collect::<Vec<_>>(), [(1, 0), (5, 0)]);
        let next =
            roster.replace_list(20, &[server("a", 1, false), server("b", 3, true), server("c", 4, false)]);
        let started: Vec<_> = next.iter().map(|l| l.started_at).collect();
        assert_eq!(started, [0, 20, 20], "one at a new address is another machine");
        let kind = |name: &str, kind: &str| Server { kind: Some(kind.into()), ..server(name, 9, false) };
        let told = roster
            .replace_list(30, &[kind("x", "m2"), kind("y", "m1"), kind("z", "m2"), server("a", 1, false)]);
        assert_eq!(told.iter().map(|l| l.kind).collect::<Vec<_>>(), [1, 2, 1, 0]);
    }

    #[test]
    fn checks_take_out_and_bring_back() {
        let mut roster = Roster::new(1, check(2, 3), true);
        roster.replace_list(0, &[server("a", 1, false)]);
        let told: Vec<_> = [false, false, true, false, false, false, true, false, true, true]
            .into_iter()
            .enumerate()
            .map(|(k, passed)| {
                roster.record_check(100 + k as u64, "a", passed).map(|l| (l.phase, l.started_at))
            })
            .collect();
        let mut expected = vec![None; 10];
        expected[5] = Some((Phase::Draining, 0));
        expected[9] = Some((Phase::Ready, 109));
        assert_eq!(told, expected);
        assert!(roster.record_check(0, "nobody", false).is_none());
    }

    #[test]
    fn a_list_does_not_undo_what_checks_found() {
        let mut roster = Roster::new(1, check(1, 1), true);
        roster.replace_list(0, &[server("a", 1, false)]);
        assert!(roster.record_check(5, "a", false).is_some());
        assert_eq!(roster.replace_list(9, &[server("a", 1, false)])[0].phase, Phase::Draining);
        let drains = Server { drain: true, ..server("a", 1, false) };
        assert_eq!(roster.replace_list(10, &[drains])[0].phase, Phase::Draining);
        assert_eq!(
            roster.record_check(11, "a", true).map(|l| l.phase),
            Some(Phase::Draining),
            "its list has it drain"
        );
        assert_eq!(roster.replace_list(12, &[server("a", 1, false)])[0].phase, Phase::Ready);
    }
}
