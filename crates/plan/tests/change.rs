//! What a plan changes of the one in force, on files made and changed at random.

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

/// A pool: its name, attempts, connection times, servers with their weights.
type Pool = (u8, u8, u8, Vec<(u8, u8)>);

/// A file in few words.
#[derive(Clone, Debug, PartialEq)]
struct Site {
    /// Names and effects.
    classes: Vec<(u8, u8)>,
    /// Names and shares.
    tenants: Vec<(u8, u8)>,
    pools: Vec<Pool>,
    /// Names, pools, classes, paths.
    routes: Vec<(u8, usize, usize, u8)>,
}

fn unlike<T: Clone>(all: Vec<T>, name: impl Fn(&T) -> u8) -> Vec<T> {
    let mut seen = BTreeSet::new();
    all.into_iter().filter(|thing| seen.insert(name(thing))).collect()
}

fn site() -> impl Strategy<Value = Site> {
    let servers = || vec((0..6u8, 1..3u8), 0..5).prop_map(|s| unlike(s, |s| s.0));
    (
        vec((0..4u8, 0..2u8), 1..4),
        vec((0..12u8, 1..4u8), 0..10),
        vec((0..5u8, 1..3u8, 1..3u8, servers()), 1..5),
        vec((0..8u8, 0..4usize, 0..3usize, 0..3u8), 1..8),
    )
        .prop_map(|(classes, tenants, pools, routes)| Site {
            classes: unlike(classes, |c| c.0),
            tenants: unlike(tenants, |t| t.0),
            pools: unlike(pools, |p| p.0),
            routes: unlike(routes, |r| r.0),
        })
}

impl Site {
    fn text(&self) -> String {
        let mut out = String::from("[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n[tenants]\n");
        for (name, share) in &self.tenants {
            let _ = writeln!(out, "[[tenants.tenant]]\nname = \"t{name}\"\nrate = {share}.0");
        }
        for (name, effect) in &self.classes {
            let effect = ["safe", "unsafe"][usize::from(*effect)];
            let _ = writeln!(out, "[[class]]\nname = \"c{name}\"\neffect = \"{effect}\"");
        }
        for (name, attempts, time, servers) in &self.pools {
            let _ = writeln!(out, "[[pool]]\nname = \"p{name}\"\nmax_attempts = {attempts}\nconnect_timeout = \"{time}s\"\nservers = [");
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
            Err(faults) => panic!("{}\n{}", faults[0], self.text()),
        }
    }

    /// Each thing of a kind by its name, in words that differ where it does.
    fn words(&self, kind: &str) -> Vec<(String, String)> {
        let word = |name: &dyn std::fmt::Display, rest: String| (name.to_string(), rest);
        match kind {
            "classes" => {
                let own = self.classes.iter().map(|(n, e)| word(&format!("c{n}"), e.to_string()));
                own.chain([word(&"read", String::new()), word(&"write", String::new())]).collect()
            }
            "tenants" => self.tenants.iter().map(|(n, s)| word(n, s.to_string())).collect(),
            "pools" => {
                // All pools are told of all classes' rules, and not of their names.
                let classes: Vec<_> = self.classes.iter().map(|(_, effect)| effect).collect();
                self.pools.iter().map(|(n, a, t, s)| word(n, format!("{a} {t} {s:?} {classes:?}"))).collect()
            }
            "routes" => {
                let of = |(_, pool, class, path): &(u8, usize, usize, u8)| {
                    let class = self.classes[class % self.classes.len()].0;
                    format!("{} {class} {path}", self.pools[pool % self.pools.len()].0)
                };
                self.routes.iter().map(|r| word(&r.0, of(r))).collect()
            }
            _ => Vec::new(),
        }
    }
}

/// What has changed, found by trying each name against each other one.
fn counted(old: &[(String, String)], new: &[(String, String)], ordered: bool) -> ChangeCounts {
    let find = |all: &[(String, String)], name: &str| all.iter().position(|(n, _)| n == name);
    let kept: Vec<_> = new.iter().filter_map(|(name, _)| find(old, name)).collect();
    // The longest rise that ends at each place.
    let mut rises: Vec<usize> = Vec::new();
    for (k, place) in kept.iter().enumerate() {
        let before = (0..k).filter(|j| kept[*j] < *place).map(|j| rises[j]).max().unwrap_or(0);
        rises.push(before + 1);
    }
    ChangeCounts {
        added: new.len() - kept.len(),
        removed: old.iter().filter(|(name, _)| find(new, name).is_none()).count(),
        changed: new
            .iter()
            .filter(|(name, rest)| find(old, name).is_some_and(|at| old[at].1 != *rest))
            .count(),
        moved: if ordered { kept.len() - rises.iter().max().copied().unwrap_or(0) } else { 0 },
    }
}

fn number(plan: &Plan, name: u8) -> Option<u32> {
    let value = HeaderValue::try_from(format!("t{name}")).unwrap();
    plan.tenants.number(Some(&value))
}

fn rests(change: &Change) -> Vec<bool> {
    let rests =
        |pool: &PoolChange| matches!(pool, PoolChange::Reused { differences, .. } if !differences.any());
    change.pools.iter().map(rests).collect()
}

proptest! {
    // The same cases every time.
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]

    /// After any sequence of files: what is told to have changed has, and nothing else; a tenant's number is its name's for as long
    /// as it stays, and was never another name's; pools that rest are the same, and those that are the same rest.
    #[test]
    fn changes_are_those_that_were_made(sites in vec(site(), 2..7)) {
        let mut plan = sites[0].plan();
        let mut names: BTreeMap<u32, u8> = BTreeMap::new();
        sites[0].tenants.iter().for_each(|(name, _)| { names.insert(number(&plan, *name).unwrap(), *name); });
        for (old, new) in sites.iter().zip(&sites[1..]) {
            let before = plan.clone();
            let fresh = new.plan();
            let (next, change) = fresh.clone().rebase_on(&plan);
            plan = next;
            for (kind, ordered) in [("classes", true), ("tenants", false), ("pools", false), ("routes", true)] {
                let expected = counted(&old.words(kind), &new.words(kind), ordered);
                prop_assert_eq!(change.count(kind), expected, "{} of {:?}, then {:?}", kind, old, new);
            }
            prop_assert_eq!((change.from, change.to), (before.version, plan.version));
            prop_assert_eq!(change.from == change.to, old.text() == new.text());
            for (name, share) in &new.tenants {
                let own = number(&plan, *name).unwrap();
                prop_assert_eq!(plan.tenants.quotas().get(own), Some(f64::from(*share)));
                prop_assert!(number(&before, *name).is_none_or(|before| before == own), "it keeps its number");
                prop_assert_eq!(*names.entry(own).or_insert(*name), *name, "a number of another name");
            }
            prop_assert_eq!(plan.tenants.len(), new.tenants.len());
            prop_assert_eq!(change.quotas_changed, plan.tenants.quotas() != before.tenants.quotas());
            let same_order = |site: &Site| site.classes.iter().map(|c| c.0).collect::<Vec<_>>();
            for ((pool, rests), of) in new.pools.iter().zip(rests(&change)).zip(&change.pools) {
                let was = old.pools.iter().position(|p| p.0 == pool.0);
                let same = was.is_some_and(|at| old.pools[at] == *pool) && old.classes == new.classes;
                prop_assert_eq!(rests, same, "{:?}: {:?}", of, pool);
                let expected = was.map(|old_index| PoolChange::Reused {
                    old_index,
                    differences: PoolDifferences {
                        settings: old.classes != new.classes || old.pools[old_index].1 != pool.1,
                        timeouts: old.pools[old_index].2 != pool.2,
                        source: old.pools[old_index].3 != pool.3,
                    },
                });
                prop_assert_eq!(*of, expected.unwrap_or(PoolChange::Created));
            }
            // The place of each name that stays, wherever it stands.
            let places: Vec<_> = same_order(new).iter().map(|c| same_order(old).iter().position(|o| o == c)).collect();
            prop_assert_eq!(&change.old_class_indexes[..places.len()], &places[..]);
            // What is held in common is what the file says.
            for (pool, of_fresh) in plan.pools.iter().zip(&fresh.pools) {
                prop_assert_eq!(pool, of_fresh);
            }
        }
        // The same once more is no change.
        let text = sites.last().unwrap().plan();
        let (_, change) = text.rebase_on(&plan);
        prop_assert_eq!(change.changed_pools(), 0);
        prop_assert_eq!(change.to_string(), "nothing differs");
    }
}

/// A tenant that was gone is another one, and its old number is nobody's; 15,000 that stand in another order are the same.
#[test]
fn tenants_come_back_as_others_and_keep_their_numbers_in_any_order() {
    let file = |tenants: &[(usize, f64)]| {
        let mut text = String::from(
            "[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n[[pool]]\nname = \"p\"\nservers = []\n[[route]]\nname = \"r\"\npool = \"p\"\n[tenants]\n",
        );
        for (name, rate) in tenants {
            let _ = writeln!(text, "[[tenants.tenant]]\nname = \"t{name}\"\nrate = {rate:?}");
        }
        parse_config(&text, Path::new("")).expect("a sound file").plan
    };
    let of = |plan: &Plan, name: usize| {
        plan.tenants.number(Some(&HeaderValue::try_from(format!("t{name}")).unwrap()))
    };
    let two = file(&[(1, 1.0), (2, 2.0)]);
    let (one, change) = file(&[(2, 2.0)]).rebase_on(&two);
    assert_eq!((of(&one, 1), of(&one, 2)), (None, Some(1)));
    assert_eq!(change.to_string(), "tenants: 1 removed");
    let (back, change) = file(&[(1, 1.0), (2, 3.0)]).rebase_on(&one);
    assert_eq!((of(&back, 1), of(&back, 2)), (Some(2), Some(1)));
    assert_eq!(change.to_string(), "tenants: 1 added, 1 changed");
    assert_eq!(back.tenants.share("t2"), Some(3.0));

    let mut all: Vec<_> = (0..15_000).map(|k| (k, k as f64)).collect();
    let first = file(&all);
    all.reverse();
    let (second, change) = file(&all).rebase_on(&first);
    assert_eq!(
        (change.to_string().as_str(), change.quotas_changed, change.changed_pools()),
        ("nothing differs", false, 0)
    );
    assert!((0..15_000).all(|k| of(&first, k) == of(&second, k)));
    // A value that is no text names nobody.
    assert_eq!(second.tenants.number(Some(&HeaderValue::from_bytes(b"\xff").unwrap())), None);
    assert_eq!(second.tenants.number(None), None);
}

/// What needs a new pool, and what does not.
#[test]
fn a_pool_starts_anew_only_where_it_has_to() {
    let file = |pool: &str, more: &str| {
        let text = format!(
            "{more}[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n[[pool]]\nname = \"p\"\n{pool}\n[[route]]\nname = \"r\"\npool = \"p\"\n"
        );
        parse_config(&text, Path::new("")).unwrap_or_else(|faults| panic!("{}", faults[0])).plan
    };
    let old = file("servers = [{ address = \"127.0.0.1:1\" }]", "");
    for (pool, more, expected) in [
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
        let (plan, change) = file(pool, more).rebase_on(&old);
        let expected = expected
            .map_or(PoolChange::Created, |differences| PoolChange::Reused { old_index: 0, differences });
        assert_eq!(change.pools, [expected], "{pool} {more}");
        let servers = matches!(plan.pools[0].source, Source::Static(_));
        assert_eq!(
            change.count("servers").removed,
            usize::from(!servers || pool.contains(":2")),
            "{pool}: {change}"
        );
    }
}
