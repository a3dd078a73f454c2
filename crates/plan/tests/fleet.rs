//! The table `[fleet]` of the operator's file.

use corkhollow_plan::config::parse_config;
use corkhollow_plan::plan::Fleet;
use std::path::Path;

const REST: &str = "[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n[[route]]\nname = \"all\"\nanswer = { status = 204 }\n";

fn fleet(lines: &str) -> Result<Fleet, Vec<String>> {
    let text = format!("[fleet]\nname = \"perth\"\nnode = \"n3\"\n{lines}\n{REST}");
    let read = parse_config(&text, Path::new("/etc/site"));
    read.map(|checked| checked.plan.fleet.unwrap())
        .map_err(|faults| faults.iter().map(ToString::to_string).collect())
}

#[test]
fn what_is_absent_has_its_default() {
    let told = fleet("listen = \"127.0.0.1:7946\"\nkey_file = \"fleet.key\"").unwrap();
    assert_eq!(
        (told.probe_every, told.probe_timeout, told.suspect_for),
        (500_000_000, 200_000_000, 2_500_000_000)
    );
    assert_eq!((told.datagram, told.seeds.len(), told.advertise), (1200, 0, None));
    assert_eq!(told.key_file.as_deref(), Some(Path::new("/etc/site/fleet.key")));
    assert!(parse_config(REST, Path::new("")).unwrap().plan.fleet.is_none());
}

#[test]
fn each_fault_is_named_with_its_place() {
    let listen = "listen = \"127.0.0.1:7946\"\n";
    for (lines, said) in [
        ("".to_owned(), "fleet.listen: `listen` is missing"),
        ("listen = \"0.0.0.0:7946\"".to_owned(), "4:10: error: fleet.listen: others cannot reach"),
        (format!("{listen}advertise = \"10.0.0.1:0\""), "5:13: error: fleet.advertise: others cannot reach"),
        (
            format!("{listen}seeds = [\"10.0.0.1:1\", \"10.0.0.1:0\"]"),
            "fleet.seeds[1]: nobody can be reached",
        ),
        (format!("{listen}probe_every = \"10ms\""), "fleet.probe_every: out of range: 50ms to 1m"),
        (format!("{listen}probe_timeout = \"500ms\""), "fleet.probe_timeout: must be shorter than"),
        (format!("{listen}suspect_for = \"999ms\""), "fleet.suspect_for: must be at least twice"),
        (format!("{listen}datagram_bytes = 255"), "255 is out of range; allowed: "),
        (format!("{listen}probe_evry = \"1s\""), "did you mean `probe_every`?"),
    ] {
        let faults = fleet(&lines).unwrap_err().join("\n");
        assert!(faults.contains(said), "{lines}: {faults}");
    }
    let long = format!("[fleet]\nname = \"f\"\nnode = \"{}\"\n{listen}{REST}", "n".repeat(33));
    let faults = parse_config(&long, Path::new("")).unwrap_err();
    assert!(
        faults[0].to_string().contains("fleet.node: a node's name in a fleet has at most 32"),
        "{faults:?}"
    );
}

#[test]
fn a_key_is_read_whole_or_not_at_all() {
    let text = format!(" {}\n", "0123456789abcdefABCDEF0000000000".repeat(2));
    assert_eq!(Fleet::key(&text).unwrap()[..4], [0x01, 0x23, 0x45, 0x67]);
    for (bad, said) in [
        ("".to_owned(), "here are 0 characters"),
        ("0".repeat(63), "here are 63 characters"),
        (format!("{}+f", "0".repeat(62)), "characters 63 and 64 are no hex digits"),
        ("\u{e9}".repeat(32), "here are 32 characters"),
    ] {
        assert!(Fleet::key(&bad).unwrap_err().contains(said), "{bad}");
    }
}

#[test]
fn what_needs_a_restart_is_known() {
    let listen = "listen = \"127.0.0.1:7946\"\n";
    let old = fleet(listen).unwrap();
    assert_eq!(
        old.fixed(&fleet(&format!("{listen}seeds = [\"10.0.0.1:1\"]\nprobe_every = \"1s\"")).unwrap()),
        None
    );
    assert_eq!(old.fixed(&fleet(&format!("{listen}advertise = \"10.0.0.1:1\"")).unwrap()), Some("advertise"));
}
