//! The `[fleet]` table of the configuration file.

use corkhollow_plan::config::parse_config;
use corkhollow_plan::plan::Fleet;
use std::path::Path;

const MINIMAL_CONFIG: &str = "[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n[[route]]\nname = \"all\"\nanswer = { status = 204 }\n";

fn parse_fleet(lines: &str) -> Result<Fleet, Vec<String>> {
    let text = format!("[fleet]\nname = \"perth\"\nnode = \"n3\"\n{lines}\n{MINIMAL_CONFIG}");
    let result = parse_config(&text, Path::new("/etc/site"));
    result
        .map(|checked| checked.plan.fleet.unwrap())
        .map_err(|diagnostics| diagnostics.iter().map(ToString::to_string).collect())
}

#[test]
fn absent_keys_get_defaults() {
    let fleet = parse_fleet("listen = \"127.0.0.1:7946\"\nkey_file = \"fleet.key\"").unwrap();
    assert_eq!(
        (fleet.probe_every, fleet.probe_timeout, fleet.suspect_for),
        (500_000_000, 200_000_000, 2_500_000_000)
    );
    assert_eq!((fleet.max_datagram_bytes, fleet.seeds.len(), fleet.advertise), (1200, 0, None));
    assert_eq!(fleet.key_file.as_deref(), Some(Path::new("/etc/site/fleet.key")));
    assert!(parse_config(MINIMAL_CONFIG, Path::new("")).unwrap().plan.fleet.is_none());
}

#[test]
fn errors_name_the_key() {
    let listen = "listen = \"127.0.0.1:7946\"\n";
    for (lines, expected) in [
        ("".to_owned(), "fleet.listen: `listen` is missing"),
        (
            "listen = \"0.0.0.0:7946\"".to_owned(),
            "4:10: error: fleet.listen: other nodes cannot reach an unspecified address",
        ),
        (
            format!("{listen}advertise = \"10.0.0.1:0\""),
            "5:13: error: fleet.advertise: other nodes cannot reach this address",
        ),
        (
            format!("{listen}seeds = [\"10.0.0.1:1\", \"10.0.0.1:0\"]"),
            "fleet.seeds[1]: no node can be reached at this address",
        ),
        (format!("{listen}probe_every = \"10ms\""), "fleet.probe_every: must be from 50ms to 1m"),
        (format!("{listen}probe_timeout = \"500ms\""), "fleet.probe_timeout: must be shorter than"),
        (format!("{listen}suspect_for = \"999ms\""), "fleet.suspect_for: must be at least twice"),
        (format!("{listen}datagram_bytes = 255"), "255 is out of range; allowed: "),
        (format!("{listen}probe_evry = \"1s\""), "did you mean `probe_every`?"),
    ] {
        let printed = parse_fleet(&lines).unwrap_err().join("\n");
        assert!(printed.contains(expected), "{lines}: {printed}");
    }
    let long_name = format!("[fleet]\nname = \"f\"\nnode = \"{}\"\n{listen}{MINIMAL_CONFIG}", "n".repeat(33));
    let diagnostics = parse_config(&long_name, Path::new("")).unwrap_err();
    assert!(
        diagnostics[0]
            .to_string()
            .contains("fleet.node: a node's name in a fleet must be at most 32 characters"),
        "{diagnostics:?}"
    );
}

#[test]
fn only_a_key_of_64_hex_digits_is_accepted() {
    let text = format!(" {}\n", "0123456789abcdefABCDEF0000000000".repeat(2));
    assert_eq!(Fleet::parse_key(&text).unwrap()[..4], [0x01, 0x23, 0x45, 0x67]);
    for (invalid, expected) in [
        ("".to_owned(), "this one has 0 characters"),
        ("0".repeat(63), "this one has 63 characters"),
        (format!("{}+f", "0".repeat(62)), "characters 63 and 64 are not hex digits"),
        ("\u{e9}".repeat(32), "this one has 32 characters"),
    ] {
        assert!(Fleet::parse_key(&invalid).unwrap_err().contains(expected), "{invalid}");
    }
}

#[test]
fn a_change_that_requires_a_restart_is_detected() {
    let listen = "listen = \"127.0.0.1:7946\"\n";
    let old = parse_fleet(listen).unwrap();
    assert_eq!(
        old.changed_fixed_key(
            &parse_fleet(&format!("{listen}seeds = [\"10.0.0.1:1\"]\nprobe_every = \"1s\"")).unwrap()
        ),
        None
    );
    assert_eq!(
        old.changed_fixed_key(&parse_fleet(&format!("{listen}advertise = \"10.0.0.1:1\"")).unwrap()),
        Some("advertise")
    );
}
