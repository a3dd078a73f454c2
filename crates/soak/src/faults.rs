//! What goes wrong when: a script drawn from a seed, in which faults come in groups that overlap.

use crate::servers::Behaviour;
use corkhollow_test_support::SeededRng;
use std::fmt;
use std::time::Duration;

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A process gets SIGTERM, and is started anew once it has; a SIGHUP may follow so long after it has begun to run.
    Restart {
        /// Its slot.
        slot: usize,
        /// When the SIGHUP comes.
        hang_up_after: Option<Duration>,
    },
    /// A process is killed and started anew.
    Kill {
        /// Its slot.
        slot: usize,
    },
    /// A process gets SIGHUP with a file that moves discovery, or with half a file.
    Reload {
        /// Its slot.
        slot: usize,
        /// The file is half a file.
        broken: bool,
    },
    /// A process stands still.
    Pause {
        /// Its slot.
        slot: usize,
        /// For so long.
        time: Duration,
    },
    /// A server behaves otherwise.
    Misbehave {
        /// The server.
        server: usize,
        /// How.
        behaviour: Behaviour,
        /// For so long.
        time: Duration,
    },
    /// A server drains, is taken from the list, and comes back.
    Drain {
        /// The server.
        server: usize,
        /// After so long.
        time: Duration,
    },
    /// A server is listed whose connections come up only after a while.
    LateServer {
        /// Which of the late ones.
        number: usize,
        /// After so long.
        time: Duration,
    },
    /// The discovery agent of a slot is down.
    DiscoveryDown {
        /// The slot.
        slot: usize,
        /// It takes calls and says nothing, in place of resetting them.
        silent: bool,
        /// For so long.
        time: Duration,
    },
    /// The watches of a slot fall silent and stay open.
    SilentWatch {
        /// The slot.
        slot: usize,
    },
    /// Idle connections take all descriptors that a process gives to clients.
    IdleFlood {
        /// Its slot.
        slot: usize,
        /// For so long.
        time: Duration,
    },
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// Faults by their time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Script(pub Vec<(Duration, Fault)>);

/// What a script is drawn for.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Places of processes.
    pub slots: usize,
    /// Servers that are listed from the start.
    pub servers: usize,
    /// Servers whose connections come up late.
    pub late: usize,
    /// How long clients run.
    pub time: Duration,
}

/// The first fault comes so long after the clients' start.
const QUIET_START: Duration = Duration::from_millis(700);
/// No fault begins so shortly before the end.
const QUIET_END: Duration = Duration::from_millis(2_500);
/// The faults of a group begin within this.
const GROUP: u64 = 400;

impl Script {
    /// The script of a seed: groups of two to four faults, at one slot or one server where that is possible, so that they overlap.
    pub fn draw(seed: u64, size: Size) -> Self {
        let mut draw = SeededRng::new(seed);
        let span = size.time.saturating_sub(QUIET_START + QUIET_END);
        let groups = (size.slots as u64).max(size.time.as_secs() * 2);
        let mut faults = Vec::new();
        for _ in 0..groups {
            let begin = QUIET_START + span.mul_f64(draw.next_fraction());
            let slot = draw.next_u64() as usize % size.slots;
            let server = draw.next_u64() as usize % size.servers;
            for _ in 0..2 + draw.next_u64() % 3 {
                let at = begin + Duration::from_millis(draw.next_u64() % GROUP);
                faults.push((at, fault(&mut draw, slot, server, size)));
            }
        }
        faults.sort_by_key(|(at, _)| *at);
        Script(faults)
    }
}

fn fault(draw: &mut SeededRng, slot: usize, server: usize, size: Size) -> Fault {
    let time =
        |draw: &mut SeededRng, least: u64, more: u64| Duration::from_millis(least + draw.next_u64() % more);
    match draw.next_u64() % 20 {
        0..=2 => {
            let hang_up = draw.next_u64().is_multiple_of(2);
            let after = time(draw, 3, 17);
            Fault::Restart { slot, hang_up_after: hang_up.then_some(after) }
        }
        3 => Fault::Kill { slot },
        4 | 5 => Fault::Reload { slot, broken: draw.next_u64().is_multiple_of(4) },
        6 | 7 => Fault::Pause { slot, time: time(draw, 20, 130) },
        8..=11 => {
            let behaviours = [
                Behaviour::Slow,
                Behaviour::Hangs,
                Behaviour::Resets,
                Behaviour::Fails,
                Behaviour::TurnsAway,
                Behaviour::Closes,
            ];
            let behaviour = behaviours[draw.next_u64() as usize % behaviours.len()];
            Fault::Misbehave { server, behaviour, time: time(draw, 500, 2_000) }
        }
        12..=14 => Fault::Drain { server, time: time(draw, 800, 2_000) },
        15 if size.late > 0 => {
            let number = draw.next_u64() as usize % size.late;
            Fault::LateServer { number, time: time(draw, 300, 1_200) }
        }
        15 | 16 => Fault::DiscoveryDown {
            slot,
            silent: draw.next_u64().is_multiple_of(2),
            time: time(draw, 500, 2_500),
        },
        17 => Fault::SilentWatch { slot },
        18 => Fault::IdleFlood { slot, time: time(draw, 500, 1_500) },
        _ => Fault::Drain { server, time: time(draw, 800, 2_000) },
    }
}
