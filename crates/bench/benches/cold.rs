//! What a decision costs while servers are cold, beside warm ones: each pair in one run, as a ratio. A cold server's pace is
//! looked at for each server that is drawn, so whatever that costs is paid several times a request, by every node, after
//! each release.

use corkhollow_balance::interface::{
    Action, Ending, Event, ListKind, Nanos, Request, Server, ServerId, Settings,
};
use corkhollow_balance::Balancer;
use std::time::{Duration, Instant};

const FLEETS: [u64; 3] = [60, 200, 2_000];
const DECISIONS: u32 = 20_000;
const PAIRS: usize = 5;
const WORK: Nanos = 20_000_000;
/// So long that no server gets warm while it is measured.
const RAMP: Nanos = 1 << 50;

/// Time for a request and its answer, refused or not, on average.
fn decide(servers: u64, cold: bool) -> Duration {
    let settings =
        Settings { ramp: RAMP, cold_from: 0.15, ..Settings::single_class(400_000_000, 800_000_000) };
    let mut balancer = Balancer::new(settings, 17).expect("sound settings");
    let mut now = 1_000_000_000_000;
    let started_at = if cold { now } else { 0 };
    let id = |k: u64| ServerId(k.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let servers = (0..servers).map(|k| Server { started_at, ..Server::warm(id(k)) }).collect();
    let mut actions = Vec::new();
    balancer.handle(now, Event::List { kind: ListKind::Full, servers }, &mut actions);
    let start = Instant::now();
    for request in 0..DECISIONS {
        now += 1_000_000;
        actions.clear();
        balancer.handle(now, Event::Request(Request::new(request, now + 800_000_000)), &mut actions);
        let to = actions.iter().find_map(|action| match action {
            Action::Send { server, .. } => Some(*server),
            _ => None,
        });
        if let Some(server) = to {
            let outcome = Event::Outcome {
                request,
                server,
                attempt: 0,
                finished: true,
                took: WORK,
                ending: Ending::Ok,
                body_consumed: false,
                report: None,
            };
            balancer.handle(now, outcome, &mut actions);
        }
    }
    start.elapsed() / DECISIONS
}

fn main() {
    println!("servers  warm (us)  cold (us)  ratio of medians, {PAIRS} pairs of {DECISIONS} decisions");
    for servers in FLEETS {
        let mut pairs: Vec<_> = (0..PAIRS).map(|_| (decide(servers, false), decide(servers, true))).collect();
        pairs.sort_unstable_by_key(|p| p.0);
        let warm = pairs[PAIRS / 2].0.as_secs_f64() * 1e6;
        pairs.sort_unstable_by_key(|p| p.1);
        let cold = pairs[PAIRS / 2].1.as_secs_f64() * 1e6;
        println!("{servers:>7}  {warm:>9.2}  {cold:>9.2}  {:.2}", cold / warm);
    }
}
