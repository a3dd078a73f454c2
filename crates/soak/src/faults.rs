//! Fault scripts drawn from a seed: groups of faults that overlap.

use crate::servers::Behaviour;
use corkhollow_test_support::SeededRng;
use std::fmt;
use std::time::Duration;

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Terminates a process with SIGTERM and starts a new one, which may get SIGHUP early in its start.
    Restart {
        /// The slot of the process.
        slot: usize,
        /// Time from the start of execution to SIGHUP.
        sighup_after: Option<Duration>,
    },
    /// Kills a process and starts a new one.
    Kill {
        /// The slot of the process.
        slot: usize,
    },
    /// Reloads a process with a file that names the other discovery agent, or with a truncated file.
    Reload {
        /// The slot of the process.
        slot: usize,
        /// The file is truncated.
        is_truncated: bool,
    },
    /// Stops a process for a while.
    Pause {
        /// The slot of the process.
        slot: usize,
        /// How long.
        duration: Duration,
    },
    /// Changes the behaviour of a server for a while.
    Misbehave {
        /// The index of the server.
        server: usize,
        /// The behaviour.
        behaviour: Behaviour,
        /// How long.
        duration: Duration,
    },
    /// Drains a server, removes it from discovery and lists it again.
    Drain {
        /// The index of the server.
        server: usize,
        /// How long it drains.
        duration: Duration,
    },
    /// Lists a server that accepts connections later.
    LateServer {
        /// The index among the late servers.
        index: usize,
        /// The delay of its connections.
        duration: Duration,
    },
    /// Takes the discovery agents of a slot down.
    DiscoveryDown {
        /// The slot.
        slot: usize,
        /// The agents accept calls without answering, instead of resetting them.
        is_silent: bool,
        /// How long.
        duration: Duration,
    },
    /// Silences the open watches of a slot.
    SilentWatch {
        /// The slot.
        slot: usize,
    },
    /// Exhausts the descriptors that a process has for clients with idle connections.
    IdleFlood {
        /// The slot of the process.
        slot: usize,
        /// How long.
        duration: Duration,
    },
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// Faults with their times since the start of the clients, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Script(pub Vec<(Duration, Fault)>);

/// The dimensions that a script is drawn for.
#[derive(Clone, Copy, Debug)]
pub struct ScriptSize {
    /// Number of slots.
    pub slots: usize,
    /// Servers listed from the start.
    pub servers: usize,
    /// Servers that accept connections late.
    pub late_servers: usize,
    /// How long clients run.
    pub duration: Duration,
}

/// Time before the first fault.
const FAULT_FREE_START: Duration = Duration::from_millis(700);
/// Time at the end in which no fault begins.
const FAULT_FREE_END: Duration = Duration::from_millis(2_500);
/// Time within which the faults of a group begin.
const GROUP_SPAN_MS: u64 = 400;

impl Script {
    /// Draws a script: groups of two to four faults, at the same slot or server where possible.
    pub fn generate(seed: u64, size: ScriptSize) -> Self {
        let mut rng = SeededRng::new(seed);
        let span = size.duration.saturating_sub(FAULT_FREE_START + FAULT_FREE_END);
        let groups = (size.slots as u64).max(size.duration.as_secs() * 2);
        let mut faults = Vec::new();
        for _ in 0..groups {
            let begin = FAULT_FREE_START + span.mul_f64(rng.next_fraction());
            let slot = rng.next_u64() as usize % size.slots;
            let server = rng.next_u64() as usize % size.servers;
            for _ in 0..2 + rng.next_u64() % 3 {
                let at = begin + Duration::from_millis(rng.next_u64() % GROUP_SPAN_MS);
                faults.push((at, draw_fault(&mut rng, slot, server, size)));
            }
        }
        faults.sort_by_key(|(at, _)| *at);
        Script(faults)
    }
}

fn draw_fault(rng: &mut SeededRng, slot: usize, server: usize, size: ScriptSize) -> Fault {
    let draw_duration = |rng: &mut SeededRng, min_ms: u64, range_ms: u64| {
        Duration::from_millis(min_ms + rng.next_u64() % range_ms)
    };
    match rng.next_u64() % 20 {
        0..=2 => {
            let sends_sighup = rng.next_u64().is_multiple_of(2);
            let delay = draw_duration(rng, 3, 17);
            Fault::Restart { slot, sighup_after: sends_sighup.then_some(delay) }
        }
        3 => Fault::Kill { slot },
        4 | 5 => Fault::Reload { slot, is_truncated: rng.next_u64().is_multiple_of(4) },
        6 | 7 => Fault::Pause { slot, duration: draw_duration(rng, 20, 130) },
        8..=11 => {
            let behaviours = [
                Behaviour::Slow,
                Behaviour::Hangs,
                Behaviour::Resets,
                Behaviour::Fails,
                Behaviour::Rejects,
                Behaviour::Closes,
            ];
            let behaviour = behaviours[rng.next_u64() as usize % behaviours.len()];
            Fault::Misbehave { server, behaviour, duration: draw_duration(rng, 500, 2_000) }
        }
        12..=14 => Fault::Drain { server, duration: draw_duration(rng, 800, 2_000) },
        15 if size.late_servers > 0 => {
            let index = rng.next_u64() as usize % size.late_servers;
            Fault::LateServer { index, duration: draw_duration(rng, 300, 1_200) }
        }
        15 | 16 => Fault::DiscoveryDown {
            slot,
            is_silent: rng.next_u64().is_multiple_of(2),
            duration: draw_duration(rng, 500, 2_500),
        },
        17 => Fault::SilentWatch { slot },
        18 => Fault::IdleFlood { slot, duration: draw_duration(rng, 500, 1_500) },
        _ => Fault::Drain { server, duration: draw_duration(rng, 800, 2_000) },
    }
}
