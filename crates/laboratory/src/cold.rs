//! Simulates servers that start cold: compares the work that all nodes together send them with the work that
//! overloads them.

use crate::fleet::{safe_classes, ColdServerLoad, Model, Stream};
use corkhollow_balance::interface::{Nanos, SettingsError};

const MS: Nanos = 1_000_000;
/// Time before the first replacement, in which nodes learn how long requests take.
const WARM_UP_TIME: Nanos = 10_000 * MS;
/// The aim of the class, as a multiple of the mean work.
const AIM_PER_MEAN_WORK: f64 = 12.0;

/// The parameters of a run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Number of nodes.
    pub nodes: u32,
    /// Number of servers.
    pub servers: u64,
    /// Requests that a server runs at once.
    pub cores: usize,
    /// Mean time that one core of a warm server takes for a request.
    pub mean_work: Nanos,
    /// Offered work as a fraction of the capacity of all servers when warm.
    pub load: f64,
    /// The fraction of the servers that is replaced at once, at the start.
    pub cold_fraction: f64,
    /// Servers replaced per second from then on, one at a time.
    pub replacements_per_second: f64,
    /// How long the run lasts after the first replacement.
    pub duration: Nanos,
    /// Time after which the load is multiplied, and the factor.
    pub load_jump: Option<(Nanos, f64)>,
    /// The fraction of all requests that go to the first node.
    pub first_node_fraction: f64,
    /// The fraction of its capacity at which a server starts.
    pub cold_from: f64,
    /// Time from the start of a server until it is warm.
    pub ramp: Nanos,
    /// Seed of all random draws.
    pub seed: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            nodes: 60,
            servers: 60,
            cores: 4,
            mean_work: 40 * MS,
            load: 0.5,
            cold_fraction: 0.0,
            replacements_per_second: 0.0,
            duration: 25_000 * MS,
            load_jump: None,
            first_node_fraction: 0.0,
            cold_from: 0.14,
            ramp: 20_000 * MS,
            seed: 1,
        }
    }
}

/// The result of a run.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// The work that cold servers received.
    pub cold_load: ColdServerLoad,
    /// The fraction of requests answered within the aim, from the first replacement on.
    pub served: f64,
    /// The fraction of requests refused, from the first replacement on.
    pub refused: f64,
}

/// Runs a scenario.
///
/// # Errors
/// The settings are invalid.
pub fn run_scenario(scenario: &Scenario) -> Result<Outcome, SettingsError> {
    let aim = (AIM_PER_MEAN_WORK * scenario.mean_work as f64) as Nanos;
    let mut settings = safe_classes(&[1.0], aim, 2 * aim);
    (settings.cold_from, settings.ramp) = (scenario.cold_from, scenario.ramp);
    let mut model =
        Model::with_cores(settings, scenario.nodes, scenario.servers, scenario.cores, scenario.seed)?;
    model.first_node_fraction = scenario.first_node_fraction;
    let capacity = scenario.servers as f64 * scenario.cores as f64 / (scenario.mean_work as f64 / 1e9);
    let stream = model
        .add_stream(0, Stream { spread: 2.0, ..Stream::new(scenario.load * capacity, scenario.mean_work) });
    model.run_for(WARM_UP_TIME);
    model.take_counts();
    for old in model
        .active_servers()
        .into_iter()
        .take((scenario.cold_fraction * scenario.servers as f64).round() as usize)
    {
        model.replace_server(old);
    }
    let (end, run_start) = (model.now + scenario.duration, model.now);
    while model.now < end {
        model.run_for(match scenario.replacements_per_second > 0.0 {
            true => ((1e9 / scenario.replacements_per_second) as Nanos).min(end - model.now),
            false => 250 * MS,
        });
        if let Some((delay, factor)) = scenario.load_jump {
            if model.now >= run_start + delay {
                model.streams[stream].1.rate = scenario.load * capacity * factor;
            }
        }
        if scenario.replacements_per_second > 0.0 {
            let oldest = model.active_servers()[0];
            model.replace_server(oldest);
        }
    }
    let count = model.take_counts()[stream];
    let offered = f64::from(count.offered.max(1));
    Ok(Outcome {
        cold_load: model.cold_load(),
        served: count.in_time_fraction(),
        refused: f64::from(count.refused) / offered,
    })
}
