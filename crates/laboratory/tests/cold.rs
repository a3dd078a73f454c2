//! Cold servers must not be overloaded by many nodes that do not communicate with each other.

use corkhollow_laboratory::cold::{run_scenario, Outcome, Scenario};

const MS: u64 = 1_000_000;

/// A scenario of few long requests: 20 per second at a warm server.
fn long_requests(nodes: u32) -> Scenario {
    Scenario { nodes, mean_work: 200 * MS, ..Scenario::default() }
}

fn run_and_check(scenario: &Scenario, max_peak_ratio: f64) -> Outcome {
    let outcome = run_scenario(scenario).expect("valid settings");
    assert!(outcome.cold_load.peak_ratio_at_mean_work <= max_peak_ratio, "{outcome:?} of {scenario:?}");
    outcome
}

/// Up to full load, with each request counted at the mean work, no cold server receives more than overloads it.
fn check_all_replacements(nodes: u32) {
    for (cold_fraction, replacements_per_second) in
        [(1.0, 0.0), (0.2, 0.0), (0.0, 0.1), (0.0, 1.0), (0.0, 4.0)]
    {
        for load in [0.1, 0.3, 0.6, 1.0] {
            let scenario = Scenario { cold_fraction, replacements_per_second, load, ..long_requests(nodes) };
            run_and_check(&scenario, 1.0);
            // With shorter requests the random work of single requests matters less.
            let outcome =
                run_and_check(&Scenario { mean_work: 40 * MS, load: 1.3 * load, ..scenario.clone() }, 0.75);
            assert!(outcome.cold_load.peak_ratio < 0.85, "{outcome:?} of {scenario:?}");
        }
    }
}

#[test]
fn five_nodes_overload_no_cold_server() {
    check_all_replacements(5);
}

#[test]
fn sixty_nodes_overload_no_cold_server() {
    check_all_replacements(60);
}

#[test]
fn three_hundred_nodes_overload_no_cold_server() {
    check_all_replacements(300);
}

/// Threefold load while half or all servers are cold; one node with ten times the mean traffic; 1 or 16 cores.
#[test]
fn load_jumps_uneven_nodes_and_core_counts_overload_no_cold_server() {
    let half_cold = Scenario { nodes: 60, cold_fraction: 0.5, load: 0.35, ..Scenario::default() };
    for delay_ms in [200, 2_000, 6_000] {
        for cold_fraction in [0.5, 1.0] {
            run_and_check(
                &Scenario { load_jump: Some((delay_ms * MS, 3.0)), cold_fraction, ..half_cold.clone() },
                0.75,
            );
            run_and_check(
                &Scenario { load_jump: Some((delay_ms * MS, 3.0)), cold_fraction, ..long_requests(60) },
                1.0,
            );
        }
    }
    for load in [0.3, 1.0] {
        run_and_check(&Scenario { first_node_fraction: 0.14, load, ..half_cold.clone() }, 0.75);
        run_and_check(&Scenario { cores: 1, mean_work: 10 * MS, load, ..half_cold.clone() }, 0.75);
        run_and_check(&Scenario { cores: 16, mean_work: 160 * MS, load, ..half_cold.clone() }, 0.75);
    }
}

/// While only some servers are cold, few requests are refused.
#[test]
fn few_requests_are_refused_while_some_servers_are_cold() {
    for nodes in [5, 60, 300] {
        for (cold_fraction, replacements_per_second) in [(0.2, 0.0), (0.0, 1.0)] {
            let outcome = run_and_check(
                &Scenario { nodes, cold_fraction, replacements_per_second, load: 0.3, ..Scenario::default() },
                0.75,
            );
            assert!(
                outcome.refused < 0.02,
                "{nodes} nodes, {cold_fraction}, {replacements_per_second}: {outcome:?}"
            );
        }
    }
}
