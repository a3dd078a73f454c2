//! The servers of one pool as reported to the decision module: the list of servers combined with the results of
//! health checks.

use crate::plan::{HealthCheck, Server};
use corkhollow_balance::interface::{Nanos, Phase};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A server as reported to the decision module.
#[derive(Clone, Debug, PartialEq)]
pub struct RosterEntry {
    /// Its name, unique in the pool.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its zone. Backups have separate zones, numbered after all others.
    pub zone: u8,
    /// Its kind of machine, numbered from 1 in the order of first appearance; 0 if unknown.
    pub kind: u16,
    /// Its capacity relative to the other servers.
    pub weight: f64,
    /// Ready, or draining while health checks fail or the list drains it.
    pub phase: Phase,
    /// When it was added or recovered, the start of its slow start; 0 for none.
    pub started_at: Nanos,
}

struct Member {
    entry: RosterEntry,
    /// Whether health checks have taken it out.
    is_unhealthy: bool,
    /// Whether the list drains it.
    is_drained: bool,
    /// The number of consecutive checks whose result contradicts `is_unhealthy`.
    contradicting_checks: u32,
}

/// The servers of a pool, with the state of their health checks.
pub struct Roster {
    members: BTreeMap<String, Member>,
    /// The kinds of machines seen so far.
    kinds: Vec<String>,
    backup_zone: u8,
    check: Option<HealthCheck>,
    /// Whether servers that are added or recover begin with a slow start.
    slow_start: bool,
    /// Whether the first list has been received. Its servers are assumed to be warm, later ones to be just started.
    has_list: bool,
}

impl Roster {
    /// An empty roster. Backups get zones from `backup_zone` on.
    pub fn new(backup_zone: u8, check: Option<HealthCheck>, slow_start: bool) -> Self {
        Roster {
            members: BTreeMap::new(),
            kinds: Vec::new(),
            backup_zone,
            check,
            slow_start,
            has_list: false,
        }
    }

    /// Replaces the list, and returns the entries to report. Servers that keep their name and address keep their state.
    pub fn replace_list(&mut self, now: Nanos, servers: &[Server]) -> Vec<RosterEntry> {
        let mut previous = std::mem::take(&mut self.members);
        let mut entries = Vec::with_capacity(servers.len());
        for server in servers {
            let old = previous.remove(&server.name).filter(|m| m.entry.address == server.address);
            let zone = if server.backup { self.backup_zone.saturating_add(server.zone) } else { server.zone };
            let is_unhealthy = old.as_ref().is_some_and(|m| m.is_unhealthy);
            let entry = RosterEntry {
                name: server.name.clone(),
                address: server.address,
                zone,
                kind: server.kind.as_ref().map_or(0, |kind| self.kind_number(kind)),
                weight: server.weight,
                phase: if is_unhealthy || server.drain { Phase::Draining } else { Phase::Ready },
                started_at: old
                    .as_ref()
                    .map_or(if self.has_list && self.slow_start { now } else { 0 }, |m| m.entry.started_at),
            };
            entries.push(entry.clone());
            let contradicting_checks = old.map_or(0, |m| m.contradicting_checks);
            self.members.insert(
                server.name.clone(),
                Member { entry, is_unhealthy, is_drained: server.drain, contradicting_checks },
            );
        }
        self.has_list = true;
        entries
    }

    fn kind_number(&mut self, name: &str) -> u16 {
        let known = self.kinds.iter().position(|k| k == name);
        let index = known.unwrap_or_else(|| {
            self.kinds.push(name.to_owned());
            self.kinds.len() - 1
        });
        u16::try_from(index + 1).unwrap_or(u16::MAX)
    }

    /// The names and addresses of the servers to check.
    pub fn servers_to_check(&self) -> Vec<(String, SocketAddr)> {
        self.members.iter().map(|(name, m)| (name.clone(), m.entry.address)).collect()
    }

    /// Records the result of a check, and returns the entry to report if the server's health changes.
    pub fn record_check(&mut self, now: Nanos, name: &str, passed: bool) -> Option<RosterEntry> {
        let check = self.check.as_ref()?;
        let member = self.members.get_mut(name)?;
        if passed != member.is_unhealthy {
            member.contradicting_checks = 0;
            return None;
        }
        member.contradicting_checks += 1;
        if member.contradicting_checks < if member.is_unhealthy { check.rise } else { check.fall } {
            return None;
        }
        member.contradicting_checks = 0;
        member.is_unhealthy = !member.is_unhealthy;
        member.entry.phase =
            if member.is_unhealthy || member.is_drained { Phase::Draining } else { Phase::Ready };
        if !member.is_unhealthy {
            // The server may have restarted while it was out, so it begins with a slow start.
            member.entry.started_at = if self.slow_start { now } else { 0 };
        }
        Some(member.entry.clone())
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
    fn servers_added_later_start_slowly_and_backups_get_their_own_zones() {
        let mut roster = Roster::new(4, None, true);
        let first = roster.replace_list(10, &[server("a", 1, false), server("b", 2, true)]);
        assert_eq!(first.iter().map(|l| (l.zone, l.started_at)).collect::<Vec<_>>(), [(1, 0), (5, 0)]);
        let next =
            roster.replace_list(20, &[server("a", 1, false), server("b", 3, true), server("c", 4, false)]);
        let started: Vec<_> = next.iter().map(|l| l.started_at).collect();
        assert_eq!(started, [0, 20, 20], "a server at a new address is a new one");
        let kind = |name: &str, kind: &str| Server { kind: Some(kind.into()), ..server(name, 9, false) };
        let entries = roster
            .replace_list(30, &[kind("x", "m2"), kind("y", "m1"), kind("z", "m2"), server("a", 1, false)]);
        assert_eq!(entries.iter().map(|l| l.kind).collect::<Vec<_>>(), [1, 2, 1, 0]);
    }

    #[test]
    fn consecutive_check_results_take_a_server_out_and_bring_it_back() {
        let mut roster = Roster::new(1, check(2, 3), true);
        roster.replace_list(0, &[server("a", 1, false)]);
        let reported: Vec<_> = [false, false, true, false, false, false, true, false, true, true]
            .into_iter()
            .enumerate()
            .map(|(index, passed)| {
                roster.record_check(100 + index as u64, "a", passed).map(|l| (l.phase, l.started_at))
            })
            .collect();
        let mut expected = vec![None; 10];
        expected[5] = Some((Phase::Draining, 0));
        expected[9] = Some((Phase::Ready, 109));
        assert_eq!(reported, expected);
        assert!(roster.record_check(0, "unknown", false).is_none());
    }

    #[test]
    fn a_new_list_does_not_reset_health_checks() {
        let mut roster = Roster::new(1, check(1, 1), true);
        roster.replace_list(0, &[server("a", 1, false)]);
        assert!(roster.record_check(5, "a", false).is_some());
        assert_eq!(roster.replace_list(9, &[server("a", 1, false)])[0].phase, Phase::Draining);
        let drained = Server { drain: true, ..server("a", 1, false) };
        assert_eq!(roster.replace_list(10, &[drained])[0].phase, Phase::Draining);
        assert_eq!(
            roster.record_check(11, "a", true).map(|l| l.phase),
            Some(Phase::Draining),
            "the list drains it"
        );
        assert_eq!(roster.replace_list(12, &[server("a", 1, false)])[0].phase, Phase::Ready);
    }
}
