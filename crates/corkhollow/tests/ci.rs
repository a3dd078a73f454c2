//! The script `.ci/known-red`: CI ignores exactly the failures that KNOWN-RED.txt lists, and fails where a
//! listed test passes.

use corkhollow_test_support::TempFolder;
use std::process::Command;

/// The output and exit status of `cargo test --no-fail-fast` for two targets, from their tests and whether
/// each passes.
fn cargo_output(site_tests: &[(&str, bool)], plan_tests: &[(&str, bool)]) -> (String, i32) {
    let mut log = String::from("   Compiling corkhollow v0.2.0\n");
    let mut failed = Vec::new();
    for (source, target, tests) in [
        ("tests/site.rs", "-p corkhollow --test site", site_tests),
        ("unittests src/lib.rs", "-p corkhollow-plan --lib", plan_tests),
    ] {
        log += &format!(
            "     Running {source} (target/debug/deps/x-0123456789abcdef)\n\nrunning {} tests\n",
            tests.len()
        );
        for (name, passes) in tests {
            log += &format!("test {name} ... {}\n", if *passes { "ok" } else { "FAILED" });
        }
        let failures = tests.iter().filter(|(_, passes)| !passes).count();
        let result = if failures > 0 { "FAILED" } else { "ok" };
        log += &format!(
            "\ntest result: {result}. {} passed; {failures} failed; 0 ignored\n\n",
            tests.len() - failures
        );
        if failures > 0 {
            log += &format!("error: test failed, to rerun pass `{target}`\n");
            failed.push(format!("    `{target}`\n"));
        }
    }
    if failed.is_empty() {
        return (log, 0);
    }
    let noun = if failed.len() == 1 { "target" } else { "targets" };
    (format!("{log}error: {} {noun} failed:\n{}", failed.len(), failed.concat()), 101)
}

/// Runs the script on a list and cargo's output and status; whether CI passes, and what the script prints.
fn run_known_red(name: &str, list: &str, (log, status): (String, i32)) -> (bool, String) {
    let folder = TempFolder::new(&format!("known-red-{name}"));
    let (list_path, log_path) = (folder.0.join("KNOWN-RED.txt"), folder.0.join("log"));
    std::fs::write(&list_path, list).unwrap();
    std::fs::write(&log_path, log).unwrap();
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/../../.ci/known-red");
    let output = Command::new(script)
        .arg(&list_path)
        .arg(&log_path)
        .arg(status.to_string())
        .output()
        .expect("the script runs");
    (
        output.status.success(),
        String::from_utf8(output.stdout).unwrap() + &String::from_utf8_lossy(&output.stderr),
    )
}

const LISTED_FAILURE: &str = "corkhollow --test site a_pool_waits: the wait is not counted: issue 43\n";
const OTHER_FAILURE: &str =
    "corkhollow-plan --lib routes::tests::covers: an exact path is missed: issue 44\n";

#[test]
fn listed_failures_are_printed_and_ignored() {
    let site = [("a_pool_waits", false), ("others_go_on", true)];
    let (passes, printed) = run_known_red("one", LISTED_FAILURE, cargo_output(&site, &[("fine", true)]));
    assert!(passes && printed.contains(LISTED_FAILURE.trim()), "{printed}");
    let both = format!("\n{LISTED_FAILURE}{OTHER_FAILURE}");
    let (passes, printed) =
        run_known_red("two", &both, cargo_output(&site, &[("routes::tests::covers", false)]));
    assert!(
        passes && printed.contains(LISTED_FAILURE.trim()) && printed.contains(OTHER_FAILURE.trim()),
        "{printed}"
    );
}

#[test]
fn every_other_failure_or_invalid_list_fails_ci() {
    let failing_output = || cargo_output(&[("a_pool_waits", false)], &[("fine", true)]);
    let with_text = |text: &str| (failing_output().0 + text, 101);
    let without_text = |text: &str| (failing_output().0.replace(text, ""), 101);
    let four_lines: String = ["a", "b", "c", "d"].map(|n| LISTED_FAILURE.replace("a_pool_waits", n)).concat();
    let four_failures: Vec<_> = ["a", "b", "c", "d"].map(|n| (n, false)).to_vec();
    for (name, list, output, expected) in [
        (
            "another test",
            LISTED_FAILURE,
            cargo_output(&[("a_pool_waits", false), ("another", false)], &[]),
            "not listed: corkhollow --test site another",
        ),
        (
            "of another target",
            LISTED_FAILURE,
            cargo_output(&[], &[("a_pool_waits", false)]),
            "not listed: corkhollow-plan --lib a_pool_waits",
        ),
        ("it passes", LISTED_FAILURE, cargo_output(&[("a_pool_waits", true)], &[]), "passes or is not there"),
        ("it is not there", LISTED_FAILURE, cargo_output(&[("others", true)], &[]), "passes or is not there"),
        ("four lines", &four_lines, cargo_output(&four_failures, &[]), "three at most"),
        ("no cause", "corkhollow --test site a_pool_waits: issue 43\n", failing_output(), "not of the form"),
        ("no issue", "corkhollow --test site a_pool_waits: it waits\n", failing_output(), "not of the form"),
        ("listed twice", &LISTED_FAILURE.repeat(2), failing_output(), "listed twice"),
        (
            "a crash",
            LISTED_FAILURE,
            with_text("     Running tests/b.rs (x)\n\nrunning 1 test\n"),
            "before its last line",
        ),
        (
            "a crash of its own",
            LISTED_FAILURE,
            without_text("test result: FAILED. 0 passed; 1 failed; 0 ignored\n"),
            "before its last line",
        ),
        (
            "a crash elsewhere",
            LISTED_FAILURE,
            with_text("    `-p corkhollow-fleet --lib`\n"),
            "cargo tells of 2 targets",
        ),
        ("no build", LISTED_FAILURE, ("error: could not compile\n".to_owned(), 101), "before its tests"),
    ] {
        let (passes, printed) = run_known_red(&name.replace(' ', "-"), list, output);
        assert!(!passes && printed.contains(expected), "{name}: {passes}: {printed}");
    }
}
