//! A short soak test for CI. `crates/soak` has the program for longer ones.

use corkhollow_soak::{run, RunOptions};
use std::time::Duration;

#[test]
fn no_rule_is_violated_under_overlapping_faults() {
    for seed in [1, 2] {
        let options = RunOptions {
            seed,
            processes: 5,
            clients: 3,
            servers: 6,
            late_servers: 1,
            duration: Duration::from_secs(7),
        };
        let report = run(options).unwrap();
        let violations: Vec<_> = report.violations.iter().map(ToString::to_string).collect();
        assert!(violations.is_empty(), "seed {seed}: {}", violations.join("\n"));
        assert!(
            report.records.requests.len() > 300,
            "seed {seed}: {} requests",
            report.records.requests.len()
        );
        assert!(report.script.0.len() >= 14, "seed {seed}: {} faults", report.script.0.len());
    }
}
