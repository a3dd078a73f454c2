//! What goes wrong when: a script drawn from a seed, in which faults come in groups that overlap.

use crate::servers::Mood;
use corkhollow_standin::Draw;
use std::fmt;
use std::time::Duration;

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A process is told to end, and started anew once it has; a SIGHUP may follow so long after it has begun to run.
    Restart {
        /// Its place.
        place: usize,
        /// When the SIGHUP comes.
        hang_up_after: Option<Duration>,
    },
    /// A process is killed and started anew.
    Kill {
        /// Its place.
        place: usize,
    },
    /// A process is told that discovery has moved, or of half a file.
    Reload {
        /// Its place.
        place: usize,
        /// The file is half a file.
        broken: bool,
    },
    /// A process stands still.
    Pause {
        /// Its place.
        place: usize,
        /// For so long.
        time: Duration,
    },
    /// A server behaves otherwise.
    Misbehave {
        /// The server.
        server: usize,
        /// How.
        mood: Mood,
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
    /// The discovery agent of a place is down.
    DiscoveryDown {
        /// The place.
        place: usize,
        /// It takes calls and says nothing, in place of resetting them.
        silent: bool,
        /// For so long.
        time: Duration,
    },
    /// The watches of a place fall silent and stay open.
    SilentWatch {
        /// The place.
        place: usize,
    },
    /// Idle connections take all descriptors that a process gives to clients.
    IdleFlood {
        /// Its place.
        place: usize,
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
    pub places: usize,
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
    /// The script of a seed: groups of two to four faults, at one place or one server where that is possible, so that they overlap.
    pub fn draw(seed: u64, size: Size) -> Self {
        let mut draw = Draw::new(seed);
        let span = size.time.saturating_sub(QUIET_START + QUIET_END);
        let groups = (size.places as u64).max(size.time.as_secs() * 2);
        let mut faults = Vec::new();
        for _ in 0..groups {
            let begin = QUIET_START + span.mul_f64(draw.share());
            let place = draw.number() as usize % size.places;
            let server = draw.number() as usize % size.servers;
            for _ in 0..2 + draw.number() % 3 {
                let at = begin + Duration::from_millis(draw.number() % GROUP);
                faults.push((at, fault(&mut draw, place, server, size)));
            }
        }
        faults.sort_by_key(|(at, _)| *at);
        Script(faults)
    }
}

fn fault(draw: &mut Draw, place: usize, server: usize, size: Size) -> Fault {
    let time = |draw: &mut Draw, least: u64, more: u64| Duration::from_millis(least + draw.number() % more);
    match draw.number() % 20 {
        0..=2 => {
            let hang_up = draw.number().is_multiple_of(2);
            let after = time(draw, 3, 17);
            Fault::Restart { place, hang_up_after: hang_up.then_some(after) }
        }
        3 => Fault::Kill { place },
        4 | 5 => Fault::Reload { place, broken: draw.number().is_multiple_of(4) },
        6 | 7 => Fault::Pause { place, time: time(draw, 20, 130) },
        8..=11 => {
            let moods = [Mood::Slow, Mood::Hangs, Mood::Resets, Mood::Fails, Mood::TurnsAway, Mood::Closes];
            let mood = moods[draw.number() as usize % moods.len()];
            Fault::Misbehave { server, mood, time: time(draw, 500, 2_000) }
        }
        12..=14 => Fault::Drain { server, time: time(draw, 800, 2_000) },
        15 if size.late > 0 => {
            let number = draw.number() as usize % size.late;
            Fault::LateServer { number, time: time(draw, 300, 1_200) }
        }
        15 | 16 => Fault::DiscoveryDown {
            place,
            silent: draw.number().is_multiple_of(2),
            time: time(draw, 500, 2_500),
        },
        17 => Fault::SilentWatch { place },
        18 => Fault::IdleFlood { place, time: time(draw, 500, 1_500) },
        _ => Fault::Drain { server, time: time(draw, 800, 2_000) },
    }
}
