//! Golden files of what operators and the platform write: every key, and the value that it sets.

use corkhollow_balance::interface::{Effect, Group, Settings};
use corkhollow_balance::settings::{parse, Pairs, ReportField};
use corkhollow_plan::config::model::{ConfigFile, ServerList};
use corkhollow_plan::config::schema::{Kind, Table, CONFIG, SERVER_LIST};
use corkhollow_plan::config::{parse_config, parse_server_list};
use corkhollow_plan::discovery_list::{Health, HostEntry, HostList, ListReader};
use corkhollow_plan::plan::Source;
use corkhollow_plan::platform::Config;
use std::path::{Path, PathBuf};

fn golden(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

fn golden_text(name: &str) -> String {
    std::fs::read_to_string(golden(name)).unwrap()
}

/// Compares with the bytes that are kept under `tests/golden`.
fn assert_golden(name: &str, bytes: &[u8]) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    let kept = std::fs::read(&path).unwrap();
    assert!(kept == bytes, "{name} differs from:\n{}\nnow:\n{}", kept.escape_ascii(), bytes.escape_ascii());
}

#[test]
fn an_operators_file_with_all_keys_is_read_and_written_with_the_same_names() {
    let text = golden_text("all-keys.toml");
    let folder = golden("");
    let checked = parse_config(&text, &folder).unwrap_or_else(|faults| panic!("{faults:?}"));
    let written = toml::to_string(&checked.file).unwrap();
    assert_golden("all-keys-written.toml", written.as_bytes());
    assert_eq!(toml::from_str::<ConfigFile>(&written).unwrap(), checked.file);
    let tables = |text: &str| toml::from_str::<toml::Table>(text).unwrap();
    let [given, written] = [&text, &written].map(|text| tables(text));
    assert_contains("", &toml::Value::Table(written), &toml::Value::Table(given));
}

/// All that is given is written, under the same keys and with the same values.
fn assert_contains(path: &str, written: &toml::Value, given: &toml::Value) {
    match (written, given) {
        (toml::Value::Table(written), toml::Value::Table(given)) => given.iter().for_each(|(key, value)| {
            let path = format!("{path}.{key}");
            let kept = written.get(key).unwrap_or_else(|| panic!("{path} is not written"));
            assert_contains(&path, kept, value);
        }),
        (toml::Value::Array(written), toml::Value::Array(given)) => {
            assert_eq!(written.len(), given.len(), "{path}");
            written.iter().zip(given).for_each(|(written, given)| assert_contains(path, written, given));
        }
        (toml::Value::String(written), toml::Value::String(given)) => {
            let same = written == given || Some(number(written)) == Some(number(given));
            assert!(same && !written.is_empty(), "{path}: {written} for {given}");
        }
        _ => assert_eq!(written, given, "{path}"),
    }
}

/// A duration in milliseconds or a size in bytes; other texts as they are.
fn number(text: &str) -> Result<u64, String> {
    let digits = text.len() - text.trim_start_matches(|c: char| c.is_ascii_digit()).len();
    let unit = match &text[digits..] {
        "ms" | "B" => 1,
        "s" | "kB" => 1_000,
        "MB" => 1_000_000,
        "KiB" => 1 << 10,
        _ => return Err(text.to_owned()),
    };
    text[..digits].parse::<u64>().map(|n| n * unit).map_err(|_| text.to_owned())
}

#[test]
fn a_watched_file_with_all_keys_is_read() {
    let text = golden_text("servers.toml");
    let zones = ["north".to_owned(), "south".to_owned()];
    let servers = parse_server_list(&text, 0, &zones).unwrap();
    assert_eq!(servers.len(), 2);
    let written = toml::to_string(&toml::from_str::<ServerList>(&text).unwrap()).unwrap();
    assert_golden("servers-written.toml", written.as_bytes());
}

fn list_keys(path: &str, table: &Table, keys: &mut String) {
    for field in table.keys {
        let path = if path.is_empty() { field.name.to_owned() } else { format!("{path}.{}", field.name) };
        keys.push_str(&format!("{path}\n"));
        match field.kind {
            Kind::Table(table) | Kind::ArrayOfTables(table) => list_keys(&path, table, keys),
            _ => {}
        }
    }
}

#[test]
fn the_schema_keeps_its_keys() {
    let mut keys = String::new();
    list_keys("", &CONFIG, &mut keys);
    list_keys("(watched file)", &SERVER_LIST, &mut keys);
    assert_golden("keys.txt", keys.as_bytes());
}

#[test]
fn a_platforms_file_with_all_keys_sets_the_same_values() {
    std::env::set_var("GW_CONFIG", golden("platform.json"));
    let config = Config::load().unwrap();
    assert_eq!(config.listen.to_string(), "127.0.0.1:8000");
    assert_eq!(config.discovery.to_string(), "127.0.0.1:8500");
    assert_eq!(config.operator.unwrap().to_string(), "127.0.0.1:9100");
    assert_eq!(config.seed, 0x8c1f_30d2_7a5b_e964);
    assert_eq!((config.limits.memory_mb, config.limits.sockets), (192, 1024));
    assert_eq!((config.server_idle_timeout, config.connect_timeout), (10_000_000_000, 120_000_000));
    assert_eq!(config.classes, ["status", "order", "write", "pay"]);
    assert_eq!(config.tenants, ["harbour", "ferry"]);
    assert_eq!((config.zones.join(","), config.kinds.join(",")), ("a,b".to_owned(), "std,big".to_owned()));
    let plan = config.plan();
    assert_eq!(plan.pools.len(), 1);
    assert!(matches!(plan.pools[0].source, Source::Discovery(_)));
    check_hosts(config.known.as_ref().unwrap());
    check_settings(&config.settings);
}

fn check_hosts(list: &HostList) {
    assert!(list.seq == 12 && list.whole);
    let full = HostEntry {
        host: "s1".to_owned(),
        dial: "127.0.0.1:9001".parse().unwrap(),
        site: Some("b".to_owned()),
        class: Some("big".to_owned()),
        block: Some(3),
        health: Health::Active,
        share: Some(1.5),
        born_ms: Some(1_764_700_000_000),
    };
    assert_eq!(list.hosts[0], full);
    assert_eq!(list.hosts[1].health, Health::Leaving);
    assert_eq!(list.hosts[2].health, Health::Left);
    // The same list as discovery sends it.
    let file: serde_json::Value = serde_json::from_str(&golden_text("platform.json")).unwrap();
    let lists = ListReader::default().feed(file["known"].to_string().as_bytes()).unwrap();
    assert_eq!(&lists[0], list);
}

fn check_settings(settings: &Settings) {
    let classes = &settings.classes;
    assert_eq!(classes.iter().map(|c| c.aim / 1_000_000).collect::<Vec<_>>(), [1_000, 900, 900, 800]);
    assert_eq!(
        classes.iter().map(|c| c.give_up / 1_000_000).collect::<Vec<_>>(),
        [3_000, 2_500, 2_500, 2_000]
    );
    assert_eq!(classes.iter().map(|c| c.worth).collect::<Vec<_>>(), [5.0, 2.0, 2.0, 9.0]);
    assert_eq!(classes.iter().map(|c| c.late_worth).collect::<Vec<_>>(), [0.5, 0.0, 0.0, 0.0]);
    let effects = [Effect::Safe, Effect::Keyed, Effect::Keyed, Effect::Unsafe];
    assert_eq!(classes.iter().map(|c| c.effect).collect::<Vec<_>>(), effects);
    assert_eq!(
        classes.iter().map(|c| c.group).collect::<Vec<_>>(),
        [Group::All, Group::Zone, Group::Cell, Group::All]
    );
    assert_eq!(classes.iter().map(|c| c.window / 1_000_000).collect::<Vec<_>>(), [0, 1_500, 1_400, 0]);
    assert_eq!(classes.iter().map(|c| c.stream).collect::<Vec<_>>(), [false, false, false, true]);
    assert_eq!(settings.tenant_quota.iter().collect::<Vec<_>>(), [(0, 40.0), (1, 20.0)]);
    assert_eq!((settings.over_share_worth, settings.worth_by_work), (0.1, true));
    assert_eq!((settings.zone, settings.ordinal, settings.group_size), (1, 2, 4));
    assert_eq!((settings.must_subscribe, settings.max_attempts), (true, 3));
    assert!(
        settings.second_copies
            && settings.cancel
            && settings.probes
            && settings.peers
            && settings.retry_after
    );
    assert_eq!(settings.max_retry_after, 2_000_000_000);
    assert_eq!((settings.cold_from, settings.ramp), (0.14, 23_000_000_000));
    assert_eq!((settings.tip_multiple, settings.overload_window), (3.0, 2_000_000_000));
    assert_eq!((settings.sizes_known, settings.warm_keys, settings.cross_price), (true, true, 0.02));
}

#[test]
fn load_report_fields_keep_their_names() {
    let names = ["concurrent", "depth", "load_share", "mean_ms", "tps", "err_ps", "odd"];
    let fields = [
        ReportField::Concurrent,
        ReportField::Queued,
        ReportField::Utilisation,
        ReportField::ServiceMs,
        ReportField::Rate,
        ReportField::ErrorRate,
        ReportField::Unknown,
    ];
    assert_eq!(names.map(ReportField::from_name), fields);
    assert!(parse(&Pairs::default()).is_err());
}
