//! Configurations of the size that is coming, and of parts of it.

use corkhollow_laboratory::scale::{Change, Count, Fit, Frame, Generated, Size};
use corkhollow_plan::config::{parse_config, CheckedConfig};
use std::net::SocketAddr;
use std::path::Path;

fn size() -> Size {
    Size::read(Size::TEXT).expect("the file is sound")
}

fn text(site: &Generated) -> String {
    let address = |k: u32| SocketAddr::from(([127, 64, (k >> 8) as u8, k as u8], 9000));
    let head = "[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n\n";
    site.text(&Frame { head, pool: "", address: &address })
}

fn checked(site: &Generated) -> CheckedConfig {
    parse_config(&text(site), Path::new("")).expect("a sound file")
}

#[test]
fn the_size_is_told_whole() {
    let size = size();
    let whole = size.counts(1.0);
    assert_eq!((whole.servers, whole.services), (size.servers, size.services));
    assert_eq!((whole.routes, whole.tenants), (size.routes, size.tenants));
    for (from, to) in
        [("nodes = 440\n", ""), ("nodes = 440", "nodes = 440\nnodse = 1"), ("nodes = 440", "nodes = -1")]
    {
        assert!(Size::TEXT.contains(from));
        assert!(Size::read(&Size::TEXT.replacen(from, to, 1)).is_err(), "{from} as {to}");
    }
}

/// The same seed gives the same file, each part has its counts, and the program takes it as it is.
#[test]
fn parts_are_seeded_sound_and_as_large_as_told() {
    for part in [0.001, 0.0625, 0.25] {
        let counts = size().counts(part);
        let site = Generated::new(counts, 3);
        assert_eq!(site.counts(), counts, "{part}");
        assert_eq!(text(&site), text(&Generated::new(counts, 3)));
        assert_ne!(text(&site), text(&Generated::new(counts, 4)));
        let CheckedConfig { plan, warnings, .. } = checked(&site);
        assert!(warnings.is_empty(), "{part}: {:?}", warnings.first());
        let servers: usize = plan.pools.iter().map(|pool| pool_size(&pool.source)).sum();
        assert_eq!((plan.pools.len(), servers), (counts.services as usize, counts.servers as usize));
        assert_eq!(plan.routes.routes().len(), counts.routes as usize);
    }
    for count in Count::ALL {
        let (rest, alone) = (size().counts(0.0625), size().alone(0.0625, count, 0.25));
        let same = [
            alone.servers == rest.servers,
            alone.services == rest.services,
            alone.routes == rest.routes,
            alone.tenants == rest.tenants,
        ];
        assert_eq!(same.iter().filter(|same| !**same).count(), 1, "{count:?}: {alone:?}");
    }
}

fn pool_size(source: &corkhollow_plan::plan::Source) -> usize {
    match source {
        corkhollow_plan::plan::Source::Static(servers) => servers.len(),
        _ => 0,
    }
}

/// Few have most, and nobody has nothing.
#[test]
fn the_skew_is_that_of_a_few_large_services() {
    let site = Generated::new(size().counts(1.0), 1);
    let mut sizes: Vec<_> = site.pools.iter().map(|pool| pool.servers.len()).collect();
    sizes.sort_unstable_by(|a, b| b.cmp(a));
    let tenth: usize = sizes[..41].iter().sum();
    assert!(tenth > 7_000 / 2, "{tenth}");
    assert!(*sizes.last().unwrap() >= 1);
}

/// Each change of a file is what it is called, and all stay sound.
#[test]
fn changes_change_what_they_say() {
    let before = Generated::new(size().counts(0.02), 5);
    for change in Change::ALL {
        let mut after = before.clone();
        after.change(change, 11);
        let differ = [
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
        assert_eq!(differ, expected, "{change:?}");
        assert!(checked(&after).warnings.is_empty(), "{change:?}");
    }
}

#[test]
fn a_fit_tells_how_a_figure_grows() {
    let points = |figure: fn(f64) -> f64| [0.0625, 0.25, 0.5, 1.0].map(|x| (x, figure(x)));
    for (figure, word) in [
        ((|_| 3.0) as fn(f64) -> f64, "constant"),
        (|x| 7.0 * x, "linear"),
        (|x| 2.0 * x * x, "quadratic"),
        (|x| x.powi(3), "more than quadratic"),
        (|x| x.sqrt(), "less than linear"),
    ] {
        let fit = Fit::of(&points(figure)).expect("a fit");
        assert_eq!(fit.word(), word, "{fit:?}");
        assert!(fit.residual < 1e-9 && (fit.at(2.0) / figure(2.0) - 1.0).abs() < 1e-9, "{fit:?}");
    }
    let bent = Fit::of(&points(|x| x + 0.5)).expect("a fit");
    assert!(bent.residual > 0.05, "{bent:?}");
    assert_eq!(Fit::of(&[(1.0, 1.0), (2.0, 2.0)]), None);
    assert_eq!(Fit::of(&points(|_| 0.0)), None);
}

/// The page goes by the size that the run goes by.
#[test]
fn the_page_has_the_size_of_the_file() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/CAPACITY.md");
    let page = std::fs::read_to_string(path).expect("the page is there");
    let (mut group, mut told) = (String::new(), 0);
    for line in Size::TEXT.lines().filter(|line| !line.starts_with('#') && !line.is_empty()) {
        if let Some(name) = line.strip_prefix('[') {
            group = name.replace(']', ".");
            continue;
        }
        let (name, figure) = line.split_once(" = ").expect("a figure");
        let row = format!("| {group}{name} | {figure} |");
        assert!(page.lines().any(|line| line.starts_with(&row)), "{row} is not in the page");
        told += 1;
    }
    // No other figure stands in the table.
    let rows = page
        .split("| --- | --- | --- |\n")
        .nth(1)
        .map_or(0, |t| t.lines().take_while(|l| l.starts_with('|')).count());
    assert_eq!(rows, told);
}
