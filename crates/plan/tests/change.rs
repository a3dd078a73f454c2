//! The difference between two plans, on random sequences of configuration files.

use corkhollow_plan::change::{Change, ChangeCounts, PoolChange, PoolDifferences};
use corkhollow_plan::config::parse_config;
use corkhollow_plan::plan::{Plan, Source};
use http::HeaderValue;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::path::Path;

/// Name, maximum attempts, connect timeout in seconds, and servers with their weights.
type PoolSpec = (u8, u8, u8, Vec<(u8, u8)>);

/// The content of a configuration file, by numbers that stand for names and values.
#[derive(Clone, Debug, PartialEq)]
struct FileSpec {
    /// Names and effects.
    classes: Vec<(u8, u8)>,
    /// Names and quotas.
    tenants: Vec<(u8, u8)>,
    pools: Vec<PoolSpec>,
    /// Names, indices of pools and classes, and paths.
    routes: Vec<(u8, usize, usize, u8)>,
}

fn unique_by_name<T: Clone>(items: Vec<T>, name: impl Fn(&T) -> u8) -> Vec<T> {
    let mut seen = BTreeSet::new();
    items.into_iter().filter(|item| seen.insert(name(item))).collect()
}

fn file_spec() -> impl Strategy<Value = FileSpec> {
    let servers = || vec((0..6u8, 1..3u8), 0..5).prop_map(|s| unique_by_name(s, |s| s.0));
    (
        vec((0..4u8, 0..2u8), 1..4),
        vec((0..12u8, 1..4u8), 0..10),
        vec((0..5u8, 1..3u8, 1..3u8, servers()), 1..5),
        vec((0..8u8, 0..4usize, 0..3usize, 0..3u8), 1..8),
    )
        .prop_map(|(classes, tenants, pools, routes)| FileSpec {
            classes: unique_by_name(classes, |c| c.0),
            tenants: unique_by_name(tenants, |t| t.0),
            pools: unique_by_name(pools, |p| p.0),
            routes: unique_by_name(routes, |r| r.0),
        })
}

impl FileSpec {
    fn text(&self) -> String {
        let mut out = String::from("[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n[tenants]\n");
        for (name, rate) in &self.tenants {
            let _ = writeln!(out, "[[tenants.tenant]]\nname = \"t{name}\"\nrate = {rate}.0");
        }
        for (name, effect) in &self.classes {
            let effect = ["safe", "unsafe"][usize::from(*effect)];
            let _ = writeln!(out, "[[class]]\nname = \"c{name}\"\neffect = \"{effect}\"");
        }
        for (name, attempts, timeout, servers) in &self.pools {
            let _ = writeln!(out, "[[pool]]\nname = \"p{name}\"\nmax_attempts = {attempts}\nconnect_timeout = \"{timeout}s\"\nservers = [");
            for (server, weight) in servers {
                let _ = writeln!(
                    out,
                    "{{ address = \"127.0.0.1:{}\", name = \"s{server}\", weight = {weight}.0 }},",
                    9000 + u16::from(*server)
                );
            }
            out += "]\n";
        }
        for (name, pool, class, path) in &self.routes {
            let (pool, class) =
                (self.pools[pool % self.pools.len()].0, self.classes[class % self.classes.len()].0);
            let _ = writeln!(
                out,
                "[[route]]\nname = \"r{name}\"\npath = \"/{path}\"\npool = \"p{pool}\"\nclass = \"c{class}\""
            );
        }
        out
    }

    fn plan(&self) -> Plan {
        match parse_config(&self.text(), Path::new("")) {
            Ok(checked) => checked.plan,
            Err(diagnostics) => panic!("{}\n{}", diagnostics[0], self.text()),
        }
    }

    /// The name and a description of each item of a kind; the descriptions differ where the items do.
    fn described_items(&self, kind: &str) -> Vec<(String, String)> {
        let item = |name: &dyn std::fmt::Display, description: String| (name.to_string(), description);
        match kind {
            "classes" => {
                let configured = self.classes.iter().map(|(n, e)| item(&format!("c{n}"), e.to_string()));
                configured.chain([item(&"read", String::new()), item(&"write", String::new())]).collect()
            }
            "tenants" => self.tenants.iter().map(|(n, s)| item(n, s.to_string())).collect(),
            "pools" => {
                // The settings of a pool contain those of all classes, without their names.
                let classes: Vec<_> = self.classes.iter().map(|(_, effect)| effect).collect();
                self.pools.iter().map(|(n, a, t, s)| item(n, format!("{a} {t} {s:?} {classes:?}"))).collect()
            }
            "routes" => {
                let describe = |(_, pool, class, path): &(u8, usize, usize, u8)| {
                    let class = self.classes[class % self.classes.len()].0;
                    format!("{} {class} {path}", self.pools[pool % self.pools.len()].0)
                };
                self.routes.iter().map(|r| item(&r.0, describe(r))).collect()
            }
            _ => Vec::new(),
        }
    }
}

/// The expected differences, from comparing every pair of names.
fn expected_counts(old: &[(String, String)], new: &[(String, String)], ordered: bool) -> ChangeCounts {
    let find = |all: &[(String, String)], name: &str| all.iter().position(|(n, _)| n == name);
    let kept: Vec<_> = new.iter().filter_map(|(name, _)| find(old, name)).collect();
    // The length of the longest increasing subsequence that ends at each position.
    let mut lengths: Vec<usize> = Vec::new();
    for (position, old_index) in kept.iter().enumerate() {
        let before = (0..position).filter(|j| kept[*j] < *old_index).map(|j| lengths[j]).max().unwrap_or(0);
        lengths.push(before + 1);
    }
    ChangeCounts {
        added: new.len() - kept.len(),
        removed: old.iter().filter(|(name, _)| find(new, name).is_none()).count(),
        changed: new
            .iter()
            .filter(|(name, description)| find(old, name).is_some_and(|index| old[index].1 != *description))
            .count(),
        moved: if ordered { kept.len() - lengths.iter().max().copied().unwrap_or(0) } else { 0 },
    }
}

fn tenant_number(plan: &Plan, name: u8) -> Option<u32> {
    let value = HeaderValue::try_from(format!("t{name}")).unwrap();
    plan.tenants.number(Some(&value))
}

/// For each pool, whether it is reused without any difference.
fn unchanged_pools(change: &Change) -> Vec<bool> {
    let is_unchanged =
        |pool: &PoolChange| matches!(pool, PoolChange::Reused { differences, .. } if !differences.any());
    change.pools.iter().map(is_unchanged).collect()
}

proptest! {
    // A fixed seed makes the cases reproducible.
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]

    /// The reported differences are exactly those between the files, a tenant's number is stable and unique, and pools
    /// are unchanged exactly where the files agree.
    #[test]
    fn the_reported_differences_are_those_between_the_files(files in vec(file_spec(), 2..7)) {
        let mut plan = files[0].plan();
        let mut names_by_number: BTreeMap<u32, u8> = BTreeMap::new();
        files[0].tenants.iter().for_each(|(name, _)| { names_by_number.insert(tenant_number(&plan, *name).unwrap(), *name); });
        for (old, new) in files.iter().zip(&files[1..]) {
            let before = plan.clone();
            let fresh = new.plan();
            let (next, change) = fresh.clone().rebase_on(&plan);
            plan = next;
            for (kind, ordered) in [("classes", true), ("tenants", false), ("pools", false), ("routes", true)] {
                let expected = expected_counts(&old.described_items(kind), &new.described_items(kind), ordered);
                prop_assert_eq!(change.count(kind), expected, "{} of {:?}, then {:?}", kind, old, new);
            }
            prop_assert_eq!((change.from, change.to), (before.version, plan.version));
            prop_assert_eq!(change.from == change.to, old.text() == new.text());
            for (name, rate) in &new.tenants {
                let number = tenant_number(&plan, *name).unwrap();
                prop_assert_eq!(plan.tenants.quotas().get(number), Some(f64::from(*rate)));
                prop_assert!(tenant_number(&before, *name).is_none_or(|before| before == number), "a tenant's number changed");
                prop_assert_eq!(*names_by_number.entry(number).or_insert(*name), *name, "a number was reused for another tenant");
            }
            prop_assert_eq!(plan.tenants.len(), new.tenants.len());
            prop_assert_eq!(change.quotas_changed, plan.tenants.quotas() != before.tenants.quotas());
            let class_names = |file: &FileSpec| file.classes.iter().map(|c| c.0).collect::<Vec<_>>();
            for ((pool, is_unchanged), reported) in new.pools.iter().zip(unchanged_pools(&change)).zip(&change.pools) {
                let old_index = old.pools.iter().position(|p| p.0 == pool.0);
                let is_same = old_index.is_some_and(|index| old.pools[index] == *pool) && old.classes == new.classes;
                prop_assert_eq!(is_unchanged, is_same, "{:?}: {:?}", reported, pool);
                let expected = old_index.map(|old_index| PoolChange::Reused {
                    old_index,
                    differences: PoolDifferences {
                        settings: old.classes != new.classes || old.pools[old_index].1 != pool.1,
                        timeouts: old.pools[old_index].2 != pool.2,
                        source: old.pools[old_index].3 != pool.3,
                    },
                });
                prop_assert_eq!(*reported, expected.unwrap_or(PoolChange::Created));
            }
            let indexes: Vec<_> = class_names(new).iter().map(|c| class_names(old).iter().position(|o| o == c)).collect();
            prop_assert_eq!(&change.old_class_indexes[..indexes.len()], &indexes[..]);
            // Shared pools have the content of the new file.
            for (pool, fresh_pool) in plan.pools.iter().zip(&fresh.pools) {
                prop_assert_eq!(pool, fresh_pool);
            }
        }
        // The same file again changes nothing.
        let same = files.last().unwrap().plan();
        let (_, change) = same.rebase_on(&plan);
        prop_assert_eq!(change.changed_pools(), 0);
        prop_assert_eq!(change.to_string(), "nothing differs");
    }
}

/// A tenant that is removed and added again gets a new number, and reordering tenants changes no number.
#[test]
fn tenant_numbers_are_not_reused_and_do_not_depend_on_the_order() {
    let file = |tenants: &[(usize, f64)]| {
        let mut text = String::from(
            "[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n[[pool]]\nname = \"p\"\nservers = []\n[[route]]\nname = \"r\"\npool = \"p\"\n[tenants]\n",
        );
        for (name, rate) in tenants {
            let _ = writeln!(text, "[[tenants.tenant]]\nname = \"t{name}\"\nrate = {rate:?}");
        }
        parse_config(&text, Path::new("")).expect("a valid file").plan
    };
    let number = |plan: &Plan, name: usize| {
        plan.tenants.number(Some(&HeaderValue::try_from(format!("t{name}")).unwrap()))
    };
    let two = file(&[(1, 1.0), (2, 2.0)]);
    let (one, change) = file(&[(2, 2.0)]).rebase_on(&two);
    assert_eq!((number(&one, 1), number(&one, 2)), (None, Some(1)));
    assert_eq!(change.to_string(), "tenants: 1 removed");
    let (back, change) = file(&[(1, 1.0), (2, 3.0)]).rebase_on(&one);
    assert_eq!((number(&back, 1), number(&back, 2)), (Some(2), Some(1)));
    assert_eq!(change.to_string(), "tenants: 1 added, 1 changed");
    assert_eq!(back.tenants.quota("t2"), Some(3.0));

    let mut all: Vec<_> = (0..15_000).map(|k| (k, k as f64)).collect();
    let first = file(&all);
    all.reverse();
    let (second, change) = file(&all).rebase_on(&first);
    assert_eq!(
        (change.to_string().as_str(), change.quotas_changed, change.changed_pools()),
        ("nothing differs", false, 0)
    );
    assert!((0..15_000).all(|k| number(&first, k) == number(&second, k)));
    // A value that is not UTF-8 names no tenant.
    assert_eq!(second.tenants.number(Some(&HeaderValue::from_bytes(b"\xff").unwrap())), None);
    assert_eq!(second.tenants.number(None), None);
}

#[test]
fn a_pool_is_created_anew_only_if_it_cannot_be_updated() {
    let file = |pool: &str, other_tables: &str| {
        let text = format!(
            "{other_tables}[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n[[pool]]\nname = \"p\"\n{pool}\n[[route]]\nname = \"r\"\npool = \"p\"\n"
        );
        parse_config(&text, Path::new("")).unwrap_or_else(|diagnostics| panic!("{}", diagnostics[0])).plan
    };
    let old = file("servers = [{ address = \"127.0.0.1:1\" }]", "");
    for (pool, other_tables, expected) in [
        ("servers = [{ address = \"127.0.0.1:1\" }]", "", Some(PoolDifferences::default())),
        (
            "servers = [{ address = \"127.0.0.1:2\" }]",
            "",
            Some(PoolDifferences { source: true, ..PoolDifferences::default() }),
        ),
        (
            "servers = [{ address = \"127.0.0.1:1\" }]\nidle_timeout = \"3s\"",
            "",
            Some(PoolDifferences { timeouts: true, ..PoolDifferences::default() }),
        ),
        (
            "servers = [{ address = \"127.0.0.1:1\" }]\nconcurrency = 3",
            "",
            Some(PoolDifferences { settings: true, ..PoolDifferences::default() }),
        ),
        ("servers = [{ address = \"127.0.0.1:1\" }]\nmax_waiting = 3", "", None),
        ("servers = [{ address = \"127.0.0.1:1\" }]\ncheck = { path = \"/\" }", "", None),
        ("watch = \"list.toml\"", "", None),
        ("servers = [{ address = \"127.0.0.1:1\" }]", "[limits]\nheader_timeout = \"3s\"\n", None),
    ] {
        let (plan, change) = file(pool, other_tables).rebase_on(&old);
        let expected = expected
            .map_or(PoolChange::Created, |differences| PoolChange::Reused { old_index: 0, differences });
        assert_eq!(change.pools, [expected], "{pool} {other_tables}");
        let has_servers = matches!(plan.pools[0].source, Source::Static(_));
        assert_eq!(
            change.count("servers").removed,
            usize::from(!has_servers || pool.contains(":2")),
            "{pool}: {change}"
        );
    }
}
