//! Servers that start cold under many nodes: what these send them together, against what would push them over.

use crate::fleet::{classes, Cold, Model, Stream};
use corkhollow_balance::interface::{Nanos, SettingsError};

const MS: Nanos = 1_000_000;
/// The servers are warm and the nodes know their work after this.
const BEGUN: Nanos = 10_000 * MS;
/// What an answer may take, in mean works.
const AIM: f64 = 12.0;

/// What is played.
#[derive(Clone, Debug)]
pub struct Setting {
    /// Nodes.
    pub nodes: u32,
    /// Servers.
    pub servers: u64,
    /// Requests that a server works on at once.
    pub cores: usize,
    /// Mean work of a request.
    pub work: Nanos,
    /// Work that comes, as a part of what the servers can do when all are warm.
    pub load: f64,
    /// The part of the servers that is replaced at once.
    pub cold: f64,
    /// Servers that are replaced each second from then on, one after another.
    pub replaced: f64,
    /// How long it goes on.
    pub lasts: Nanos,
    /// After this the load is multiplied.
    pub jump: Option<(Nanos, f64)>,
    /// The part of all requests that the first node gets alone.
    pub first_share: f64,
    /// A server starts at this share of its capacity, and is warm after the ramp.
    pub cold_from: f64,
    /// See `cold_from`.
    pub ramp: Nanos,
    /// Settles the rest.
    pub seed: u64,
}

impl Default for Setting {
    fn default() -> Self {
        Setting {
            nodes: 60,
            servers: 60,
            cores: 4,
            work: 40 * MS,
            load: 0.5,
            cold: 0.0,
            replaced: 0.0,
            lasts: 25_000 * MS,
            jump: None,
            first_share: 0.0,
            cold_from: 0.14,
            ramp: 20_000 * MS,
            seed: 1,
        }
    }
}

/// How it went.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// What the cold servers got.
    pub cold: Cold,
    /// The part of the requests that was answered in time, from the first replacement on.
    pub served: f64,
    /// The part that was refused.
    pub refused: f64,
}

/// Plays it.
///
/// # Errors
/// Where no node could act on the settings.
pub fn play(setting: &Setting) -> Result<Outcome, SettingsError> {
    let aim = (AIM * setting.work as f64) as Nanos;
    let mut settings = classes(&[1.0], aim, 2 * aim);
    (settings.cold_from, settings.ramp) = (setting.cold_from, setting.ramp);
    let mut model = Model::with_cores(settings, setting.nodes, setting.servers, setting.cores, setting.seed)?;
    model.first_share = setting.first_share;
    let capacity = setting.servers as f64 * setting.cores as f64 / (setting.work as f64 / 1e9);
    let stream =
        model.stream(0, Stream { spread: 2.0, ..Stream::new(setting.load * capacity, setting.work) });
    model.play(BEGUN);
    model.take();
    for old in model.serving().into_iter().take((setting.cold * setting.servers as f64).round() as usize) {
        model.replace(old);
    }
    let (end, start) = (model.now + setting.lasts, model.now);
    while model.now < end {
        model.play(match setting.replaced > 0.0 {
            true => ((1e9 / setting.replaced) as Nanos).min(end - model.now),
            false => 250 * MS,
        });
        if let Some((after, times)) = setting.jump {
            if model.now >= start + after {
                model.streams[stream].1.rate = setting.load * capacity * times;
            }
        }
        if setting.replaced > 0.0 {
            let oldest = model.serving()[0];
            model.replace(oldest);
        }
    }
    let count = model.take()[stream];
    let offered = f64::from(count.offered.max(1));
    Ok(Outcome { cold: model.cold(), served: count.served(), refused: f64::from(count.refused) / offered })
}
