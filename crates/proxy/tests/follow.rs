//! Sites that follow each other: after any sequence of files a site goes by the last one as a site does that has just started with
//! it, but for what was learnt.

use corkhollow_balance::interface::{Class, Phase, Server, Settings};
use corkhollow_engine::Clock;
use corkhollow_fleet::GroupPosition;
use corkhollow_operate::Metrics;
use corkhollow_plan::change::PoolChange;
use corkhollow_plan::config::parse_config;
use corkhollow_plan::limits::Budget;
use corkhollow_plan::plan::Plan;
use corkhollow_plan::routes::RequestHead;
use corkhollow_proxy::active_plan::ActivePlan;
use corkhollow_proxy::upstream::{Engines, PoolContext};
use http::{HeaderMap, HeaderValue, Method};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::path::Path;
use std::rc::Rc;
use tokio::task::LocalSet;

/// A pool: its name, attempts, whether it waits otherwise, which needs a new pool, and servers with weights and drains.
type Pool = (u8, u8, bool, Vec<(u8, u8, bool)>);

/// A file in few words: each list by names, of which each stands there once.
#[derive(Clone, Debug)]
struct File {
    classes: Vec<(u8, u8)>,
    tenants: Vec<(u8, u8)>,
    pools: Vec<Pool>,
    /// Names, pools, classes, paths.
    routes: Vec<(u8, usize, usize, u8)>,
}

fn once<T>(all: Vec<T>, name: impl Fn(&T) -> u8) -> Vec<T> {
    let mut seen = BTreeSet::new();
    all.into_iter().filter(|thing| seen.insert(name(thing))).collect()
}

fn file() -> impl Strategy<Value = File> {
    let servers = || vec((0..6u8, 1..4u8, any::<bool>()), 0..6).prop_map(|s| once(s, |s| s.0));
    (
        vec((0..4u8, 0..3u8), 1..4),
        vec((0..8u8, 1..4u8), 0..8),
        vec((0..4u8, 1..3u8, any::<bool>(), servers()), 1..4),
        vec((0..6u8, 0..4usize, 0..3usize, 0..3u8), 1..6),
    )
        .prop_map(|(classes, tenants, pools, routes)| File {
            classes: once(classes, |c| c.0),
            tenants: once(tenants, |t| t.0),
            pools: once(pools, |p| p.0),
            routes: once(routes, |r| r.0),
        })
}

impl File {
    /// This file with some of its parts as another one has them.
    fn with(&self, other: &File, parts: [bool; 4]) -> File {
        let File { classes, tenants, pools, routes } = self.clone();
        let [of_classes, of_tenants, of_pools, of_routes] = parts;
        File {
            classes: if of_classes { other.classes.clone() } else { classes },
            tenants: if of_tenants { other.tenants.clone() } else { tenants },
            pools: if of_pools { other.pools.clone() } else { pools },
            routes: if of_routes { other.routes.clone() } else { routes },
        }
    }

    fn plan(&self) -> Plan {
        let mut out = String::from("[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n[tenants]\n");
        for (name, share) in &self.tenants {
            let _ = writeln!(out, "[[tenants.tenant]]\nname = \"t{name}\"\nrate = {share}.0");
        }
        for (name, effect) in &self.classes {
            let effect = ["safe", "unsafe", "keyed"][usize::from(*effect)];
            let _ = writeln!(out, "[[class]]\nname = \"c{name}\"\neffect = \"{effect}\"\nwindow = \"30s\"");
        }
        for (name, attempts, waits, servers) in &self.pools {
            let waits = if *waits { 7 } else { 8 };
            let _ = writeln!(
                out,
                "[[pool]]\nname = \"p{name}\"\nmax_attempts = {attempts}\nmax_waiting = {waits}\nservers = ["
            );
            for (server, weight, drain) in servers {
                let port = 9000 + u16::from(*server);
                let _ = writeln!(out, "{{ address = \"127.0.0.1:{port}\", name = \"s{server}\", weight = {weight}.0, drain = {drain} }},");
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
        match parse_config(&out, Path::new("")) {
            Ok(checked) => checked.plan,
            Err(faults) => panic!("{}\n{out}", faults[0]),
        }
    }
}

fn shared() -> PoolContext {
    PoolContext {
        clock: Clock::start(),
        budget: Budget::new(1_000, 192 << 20),
        metrics: Metrics::new().unwrap(),
        engines: Engines::default(),
    }
}

/// What a pool does, in words that do not depend on what it has been through.
#[derive(Clone, Debug, PartialEq)]
struct Does {
    name: String,
    /// By class of the plan: its name and rules.
    classes: Vec<(String, Class)>,
    /// All else that the module is told.
    settings: Settings,
    /// By the tenants' names.
    shares: Vec<Option<f64>>,
    servers: Vec<Server>,
}

fn does(site: &ActivePlan) -> Vec<Does> {
    let pools = site.pools.iter().zip(&site.class_indexes).zip(&site.plan.pools);
    pools
        .map(|((pool, places), told)| {
            let (settings, mut servers) = pool.engine.settings_and_servers();
            // One that drains gets nothing, whether the module has met it before or not.
            servers.retain(|server| server.phase == Phase::Ready);
            servers.sort_by_key(|server| server.id);
            let class = |(k, place): (usize, &u16)| {
                (site.plan.classes[k].name.clone(), settings.classes[usize::from(*place)].clone())
            };
            let share = |name: u8| {
                let value = HeaderValue::try_from(format!("t{name}")).unwrap();
                settings.tenant_quota.get(site.plan.tenants.number(Some(&value))?)
            };
            Does {
                name: told.name.clone(),
                classes: places.iter().enumerate().map(class).collect(),
                shares: (0..8).map(share).collect(),
                settings: Settings {
                    classes: Vec::new(),
                    tenant_quota: Vec::new().into(),
                    ..settings.clone()
                },
                servers,
            }
        })
        .collect()
}

/// Where requests go: by path, the names of pool and class.
fn goes(site: &ActivePlan) -> Vec<Option<(String, String)>> {
    let (headers, method) = (HeaderMap::new(), Method::GET);
    let to = |path: u8| {
        let path = format!("/{path}");
        let target = RequestHead {
            listener: 0,
            host: "a.org",
            path: &path,
            query: None,
            method: &method,
            headers: &headers,
        };
        let (_, route) = site.plan.routes.find(&target)?;
        let class = site.plan.class_of(route.class, &method);
        Some((site.plan.pools[route.pool()?].name.clone(), site.plan.classes[class].name.clone()))
    };
    (0..3).map(to).collect()
}

proptest! {
    // The same cases every time.
    #![proptest_config(ProptestConfig { cases: 150, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    /// Files follow each other, the fleet's view changes in between, some files are compiled before it did: the site is as a fresh one.
    #[test]
    fn a_site_that_has_followed_is_as_a_fresh_one(
        files in vec((file(), any::<[bool; 4]>(), 0..3u32, any::<bool>()), 1..10),
        first in file(),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&runtime, async {
            let shared = shared();
            let group = |k: u32| (k > 0).then(|| GroupPosition { ordinal: k, size: 7 * k });
            let mut site = ActivePlan::start(first.plan(), &shared, 1, None).unwrap();
            let (mut counts, mut last) = (0, first.clone());
            for (file, parts, view, late) in &files {
                let file = last.with(file, *parts);
                // A view that changes while a file is being compiled is what counts when that is put in force.
                let regroup = async |site: &Rc<ActivePlan>| {
                    if let Some(group) = group(*view) {
                        site.set_group(group).await.unwrap();
                    }
                };
                if !late {
                    regroup(&site).await;
                }
                let (plan, change) = file.plan().rebase_on(&site.plan);
                if *late {
                    regroup(&site).await;
                }
                counts = if *view > 0 { *view } else { counts };
                let before: Vec<_> = site.pools.iter().map(Rc::as_ptr).collect();
                let old = site.clone();
                site = old.reload(plan, &change, &shared, 1, group(counts)).unwrap();
                // Pools that go on are the same ones.
                for (pool, change) in site.pools.iter().zip(&change.pools) {
                    if let PoolChange::Reused { old_index, .. } = change {
                        prop_assert_eq!(Rc::as_ptr(pool), before[*old_index]);
                    }
                }
                // A class that stays keeps its place there, and with it what is known of it, wherever it stands in the file.
                for (at, pool) in change.pools.iter().enumerate() {
                    let PoolChange::Reused { old_index, .. } = pool else { continue };
                    for (k, predecessor) in change.old_class_indexes.iter().enumerate() {
                        let Some(predecessor) = predecessor.filter(|predecessor| old.plan.classes[*predecessor] == site.plan.classes[k]) else { continue };
                        prop_assert_eq!(site.class_indexes[at][k], old.class_indexes[*old_index][predecessor]);
                    }
                }
                last = file;
            }
            let fresh = ActivePlan::start(last.plan(), &shared, 1, group(counts)).unwrap();
            let (own, expected) = (does(&site), does(&fresh));
            for (own, expected) in own.iter().zip(&expected) {
                // When a server came is learnt; what it is, is told.
                let plain = |does: &Does| does.servers.iter().map(|s| Server { started_at: 0, ..*s }).collect::<Vec<_>>();
                prop_assert_eq!(plain(own), plain(expected));
                prop_assert_eq!(&Does { servers: Vec::new(), ..own.clone() }, &Does { servers: Vec::new(), ..expected.clone() });
            }
            prop_assert_eq!(own.len(), expected.len());
            prop_assert_eq!(goes(&site), goes(&fresh));
            Ok(())
        })?;
    }
}
