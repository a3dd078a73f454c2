//! Cold servers under many nodes that share nothing but these servers: none is pushed over.

use corkhollow_laboratory::cold::{play, Outcome, Setting};

const MS: u64 = 1_000_000;

/// Few long requests, so that each counts for much: 20 a second at a warm server.
fn long(nodes: u32) -> Setting {
    Setting { nodes, work: 200 * MS, ..Setting::default() }
}

fn plays(setting: &Setting, most: f64) -> Outcome {
    let outcome = play(setting).expect("sound settings");
    assert!(outcome.cold.nearest_mean <= most, "{outcome:?} of {setting:?}");
    outcome
}

/// Up to full load no window of any server holds more than what pushes it over, each request counted with the mean work.
/// With twice the pace it would: 1.16 to 1.44 where all are cold.
fn all(nodes: u32) {
    for (cold, replaced) in [(1.0, 0.0), (0.2, 0.0), (0.0, 0.1), (0.0, 1.0), (0.0, 4.0)] {
        for load in [0.1, 0.3, 0.6, 1.0] {
            let setting = Setting { cold, replaced, load, ..long(nodes) };
            plays(&setting, 1.0);
            // Beyond it the draw of lengths is small beside what each server gets.
            let outcome = plays(&Setting { work: 40 * MS, load: 1.3 * load, ..setting.clone() }, 0.75);
            assert!(outcome.cold.nearest < 0.85, "{outcome:?} of {setting:?}");
        }
    }
}

#[test]
fn five_nodes_push_nobody_over() {
    all(5);
}

#[test]
fn sixty_nodes_push_nobody_over() {
    all(60);
}

#[test]
fn three_hundred_nodes_push_nobody_over() {
    all(300);
}

/// Load that jumps threefold while half or all are cold; one node with ten times the mean; one core, or many.
#[test]
fn nor_when_it_is_hard() {
    let half = Setting { nodes: 60, cold: 0.5, load: 0.35, ..Setting::default() };
    for after in [200, 2_000, 6_000] {
        for cold in [0.5, 1.0] {
            plays(&Setting { jump: Some((after * MS, 3.0)), cold, ..half.clone() }, 0.75);
            plays(&Setting { jump: Some((after * MS, 3.0)), cold, ..long(60) }, 1.0);
        }
    }
    for load in [0.3, 1.0] {
        plays(&Setting { first_share: 0.14, load, ..half.clone() }, 0.75);
        plays(&Setting { cores: 1, work: 10 * MS, load, ..half.clone() }, 0.75);
        plays(&Setting { cores: 16, work: 160 * MS, load, ..half.clone() }, 0.75);
    }
}

/// Where a part is cold or servers are replaced one after another, little is refused while most have room.
#[test]
fn a_part_that_is_cold_costs_little() {
    for nodes in [5, 60, 300] {
        for (cold, replaced) in [(0.2, 0.0), (0.0, 1.0)] {
            let outcome = plays(&Setting { nodes, cold, replaced, load: 0.3, ..Setting::default() }, 0.75);
            assert!(outcome.refused < 0.02, "{nodes} nodes, {cold}, {replaced}: {outcome:?}");
        }
    }
}
