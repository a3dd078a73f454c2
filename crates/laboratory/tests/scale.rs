//! Generated configurations of the planned size and of fractions of it.

use corkhollow_laboratory::scale::{Change, ConfigFrame, Dimension, GeneratedConfig, PlannedSize, PowerFit};
use corkhollow_plan::config::{parse_config, CheckedConfig};
use std::net::SocketAddr;
use std::path::Path;

fn size() -> PlannedSize {
    PlannedSize::parse(PlannedSize::FILE_TEXT).expect("a valid size file")
}

fn text(config: &GeneratedConfig) -> String {
    let address = |k: u32| SocketAddr::from(([127, 64, (k >> 8) as u8, k as u8], 9000));
    let head = "[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n\n";
    config.to_toml(&ConfigFrame { head, pool: "", address: &address })
}

fn checked(config: &GeneratedConfig) -> CheckedConfig {
    parse_config(&text(config), Path::new("")).expect("a valid file")
}

#[test]
fn size_file_is_complete_and_rejects_unknown_and_invalid_values() {
    let size = size();
    let whole = size.counts(1.0);
    assert_eq!((whole.servers, whole.services), (size.servers, size.services));
    assert_eq!((whole.routes, whole.tenants), (size.routes, size.tenants));
    for (from, to) in
        [("nodes = 440\n", ""), ("nodes = 440", "nodes = 440\nnodse = 1"), ("nodes = 440", "nodes = -1")]
    {
        assert!(PlannedSize::FILE_TEXT.contains(from));
        assert!(PlannedSize::parse(&PlannedSize::FILE_TEXT.replacen(from, to, 1)).is_err(), "{from} as {to}");
    }
}

/// The same seed gives the same file, the counts are those asked for, and the file is valid without warnings.
#[test]
fn generated_files_are_deterministic_valid_and_of_the_given_counts() {
    for fraction in [0.001, 0.0625, 0.25] {
        let counts = size().counts(fraction);
        let config = GeneratedConfig::new(counts, 3);
        assert_eq!(config.counts(), counts, "{fraction}");
        assert_eq!(text(&config), text(&GeneratedConfig::new(counts, 3)));
        assert_ne!(text(&config), text(&GeneratedConfig::new(counts, 4)));
        let CheckedConfig { plan, warnings, .. } = checked(&config);
        assert!(warnings.is_empty(), "{fraction}: {:?}", warnings.first());
        let servers: usize = plan.pools.iter().map(|pool| pool_size(&pool.source)).sum();
        assert_eq!((plan.pools.len(), servers), (counts.services as usize, counts.servers as usize));
        assert_eq!(plan.routes.routes().len(), counts.routes as usize);
    }
    for dimension in Dimension::ALL {
        let (base, with_one) = (size().counts(0.0625), size().counts_with_one(0.0625, dimension, 0.25));
        let same = [
            with_one.servers == base.servers,
            with_one.services == base.services,
            with_one.routes == base.routes,
            with_one.tenants == base.tenants,
        ];
        assert_eq!(same.iter().filter(|same| !**same).count(), 1, "{dimension:?}: {with_one:?}");
    }
}

fn pool_size(source: &corkhollow_plan::plan::Source) -> usize {
    match source {
        corkhollow_plan::plan::Source::Static(servers) => servers.len(),
        _ => 0,
    }
}

/// A tenth of the services has more than half of the servers, and each service has at least one.
#[test]
fn a_few_services_have_most_of_the_servers() {
    let config = GeneratedConfig::new(size().counts(1.0), 1);
    let mut sizes: Vec<_> = config.pools.iter().map(|pool| pool.servers.len()).collect();
    sizes.sort_unstable_by(|a, b| b.cmp(a));
    let servers_of_largest_tenth: usize = sizes[..41].iter().sum();
    assert!(servers_of_largest_tenth > 7_000 / 2, "{servers_of_largest_tenth}");
    assert!(*sizes.last().unwrap() >= 1);
}

/// Each change affects what its name says, and the file stays valid.
#[test]
fn each_change_affects_what_its_name_says() {
    let before = GeneratedConfig::new(size().counts(0.02), 5);
    for change in Change::ALL {
        let mut after = before.clone();
        after.apply(change, 11);
        let changed = [
            before.routes.iter().zip(&after.routes).filter(|(a, b)| a != b).count(),
            before.tenants.iter().zip(&after.tenants).filter(|(a, b)| a != b).count(),
            before.pools.iter().zip(&after.pools).filter(|(a, b)| a != b).count(),
        ];
        let counts = before.counts();
        let expected = match change {
            Change::Nothing => [0, 0, 0],
            Change::Route => [1, 0, 0],
            Change::Tenant => [0, 1, 0],
            Change::Server | Change::Weight => [0, 0, 1],
            Change::Everything => [counts.routes as usize, counts.tenants as usize, counts.services as usize],
        };
        assert_eq!(changed, expected, "{change:?}");
        assert!(checked(&after).warnings.is_empty(), "{change:?}");
    }
}

#[test]
fn a_fit_describes_the_growth_of_a_value() {
    let points = |value: fn(f64) -> f64| [0.0625, 0.25, 0.5, 1.0].map(|x| (x, value(x)));
    for (value, growth) in [
        ((|_| 3.0) as fn(f64) -> f64, "constant"),
        (|x| 7.0 * x, "linear"),
        (|x| 2.0 * x * x, "quadratic"),
        (|x| x.powi(3), "more than quadratic"),
        (|x| x.sqrt(), "less than linear"),
    ] {
        let fit = PowerFit::of(&points(value)).expect("a fit");
        assert_eq!(fit.growth(), growth, "{fit:?}");
        assert!(fit.residual < 1e-9 && (fit.value_at(2.0) / value(2.0) - 1.0).abs() < 1e-9, "{fit:?}");
    }
    let not_a_power = PowerFit::of(&points(|x| x + 0.5)).expect("a fit");
    assert!(not_a_power.residual > 0.05, "{not_a_power:?}");
    assert_eq!(PowerFit::of(&[(1.0, 1.0), (2.0, 2.0)]), None);
    assert_eq!(PowerFit::of(&points(|_| 0.0)), None);
}

/// The table in the capacity page must list the values of `size.toml` and no others.
#[test]
fn capacity_page_lists_the_values_of_the_size_file() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/CAPACITY.md");
    let page = std::fs::read_to_string(path).expect("the page is readable");
    let (mut group, mut row_count) = (String::new(), 0);
    for line in PlannedSize::FILE_TEXT.lines().filter(|line| !line.starts_with('#') && !line.is_empty()) {
        if let Some(name) = line.strip_prefix('[') {
            group = name.replace(']', ".");
            continue;
        }
        let (name, value) = line.split_once(" = ").expect("a key and a value");
        let row = format!("| {group}{name} | {value} |");
        assert!(page.lines().any(|line| line.starts_with(&row)), "{row} is not in the page");
        row_count += 1;
    }
    // The table has no other rows.
    let rows = page
        .split("| --- | --- | --- |\n")
        .nth(1)
        .map_or(0, |t| t.lines().take_while(|l| l.starts_with('|')).count());
    assert_eq!(rows, row_count);
}
