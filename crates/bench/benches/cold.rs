//! Measures the time of a load-balancing decision with cold servers relative to warm ones. The balancer
//! computes the pace of a cold server for each candidate of each request, so this cost affects all requests
//! after a release.

use corkhollow_balance::interface::{
    Action, Ending, Event, ListKind, Nanos, Request, Server, ServerId, Settings,
};
use corkhollow_balance::Balancer;
use std::time::{Duration, Instant};

const SERVER_COUNTS: [u64; 3] = [60, 200, 2_000];
const DECISIONS_PER_RUN: u32 = 20_000;
const RUN_PAIRS: usize = 5;
const RESPONSE_TIME: Nanos = 20_000_000;
/// Long enough that no server becomes warm during the measurement.
const SLOW_START_RAMP: Nanos = 1 << 50;

/// Returns the mean time of a request and its answer, including refused requests.
fn measure_decision(servers: u64, cold: bool) -> Duration {
    let settings = Settings {
        ramp: SLOW_START_RAMP,
        cold_from: 0.15,
        ..Settings::single_class(400_000_000, 800_000_000)
    };
    let mut balancer = Balancer::new(settings, 17).expect("valid settings");
    let mut now = 1_000_000_000_000;
    let started_at = if cold { now } else { 0 };
    let id = |index: u64| ServerId(index.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let servers = (0..servers).map(|k| Server { started_at, ..Server::warm(id(k)) }).collect();
    let mut actions = Vec::new();
    balancer.handle(now, Event::List { kind: ListKind::Full, servers }, &mut actions);
    let start = Instant::now();
    for request in 0..DECISIONS_PER_RUN {
        now += 1_000_000;
        actions.clear();
        balancer.handle(now, Event::Request(Request::new(request, now + 800_000_000)), &mut actions);
        let destination = actions.iter().find_map(|action| match action {
            Action::Send { server, .. } => Some(*server),
            _ => None,
        });
        if let Some(server) = destination {
            let outcome = Event::Outcome {
                request,
                server,
                attempt: 0,
                finished: true,
                took: RESPONSE_TIME,
                ending: Ending::Ok,
                body_consumed: false,
                report: None,
            };
            balancer.handle(now, outcome, &mut actions);
        }
    }
    start.elapsed() / DECISIONS_PER_RUN
}

fn main() {
    println!(
        "servers  warm (us)  cold (us)  ratio of medians, {RUN_PAIRS} pairs of {DECISIONS_PER_RUN} decisions"
    );
    for servers in SERVER_COUNTS {
        let mut pairs: Vec<_> = (0..RUN_PAIRS)
            .map(|_| (measure_decision(servers, false), measure_decision(servers, true)))
            .collect();
        pairs.sort_unstable_by_key(|p| p.0);
        let warm = pairs[RUN_PAIRS / 2].0.as_secs_f64() * 1e6;
        pairs.sort_unstable_by_key(|p| p.1);
        let cold = pairs[RUN_PAIRS / 2].1.as_secs_f64() * 1e6;
        println!("{servers:>7}  {warm:>9.2}  {cold:>9.2}  {:.2}", cold / warm);
    }
}
