//! After any sequence of reloads, the active plan behaves like one that was started with the last file,
//! except for what its pools have learned.

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

/// A pool: name, maximum of attempts, whether `max_waiting` differs (which needs a new pool), and servers
/// with name, weight and drain.
type Pool = (u8, u8, bool, Vec<(u8, u8, bool)>);

/// The parts of a configuration file that vary. Names are unique within each list.
#[derive(Clone, Debug)]
struct ConfigFile {
    classes: Vec<(u8, u8)>,
    tenants: Vec<(u8, u8)>,
    pools: Vec<Pool>,
    /// Name, pool, class and path.
    routes: Vec<(u8, usize, usize, u8)>,
}

fn unique_by_name<T>(all: Vec<T>, name: impl Fn(&T) -> u8) -> Vec<T> {
    let mut names = BTreeSet::new();
    all.into_iter().filter(|item| names.insert(name(item))).collect()
}

fn file() -> impl Strategy<Value = ConfigFile> {
    let servers = || vec((0..6u8, 1..4u8, any::<bool>()), 0..6).prop_map(|s| unique_by_name(s, |s| s.0));
    (
        vec((0..4u8, 0..3u8), 1..4),
        vec((0..8u8, 1..4u8), 0..8),
        vec((0..4u8, 1..3u8, any::<bool>(), servers()), 1..4),
        vec((0..6u8, 0..4usize, 0..3usize, 0..3u8), 1..6),
    )
        .prop_map(|(classes, tenants, pools, routes)| ConfigFile {
            classes: unique_by_name(classes, |c| c.0),
            tenants: unique_by_name(tenants, |t| t.0),
            pools: unique_by_name(pools, |p| p.0),
            routes: unique_by_name(routes, |r| r.0),
        })
}

impl ConfigFile {
    /// This file with the selected parts taken from the other one.
    fn with_parts_of(&self, other: &ConfigFile, parts: [bool; 4]) -> ConfigFile {
        let ConfigFile { classes, tenants, pools, routes } = self.clone();
        let [replace_classes, replace_tenants, replace_pools, replace_routes] = parts;
        ConfigFile {
            classes: if replace_classes { other.classes.clone() } else { classes },
            tenants: if replace_tenants { other.tenants.clone() } else { tenants },
            pools: if replace_pools { other.pools.clone() } else { pools },
            routes: if replace_routes { other.routes.clone() } else { routes },
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
        for (name, attempts, other_max_waiting, servers) in &self.pools {
            let max_waiting = if *other_max_waiting { 7 } else { 8 };
            let _ = writeln!(
                out,
                "[[pool]]\nname = \"p{name}\"\nmax_attempts = {attempts}\nmax_waiting = {max_waiting}\nservers = ["
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
        budget: Budget::new(1_000, 192 << 20, 16 << 10),
        metrics: Metrics::new().unwrap(),
        engines: Engines::default(),
    }
}

/// The behaviour of a pool, in a form that does not depend on its history.
#[derive(Clone, Debug, PartialEq)]
struct PoolBehaviour {
    name: String,
    /// Name and rules of each class of the plan.
    classes: Vec<(String, Class)>,
    /// All other settings of the decision module.
    settings: Settings,
    /// Quotas by the number in the tenant's name.
    quotas: Vec<Option<f64>>,
    servers: Vec<Server>,
}

fn behaviours(active: &ActivePlan) -> Vec<PoolBehaviour> {
    let pools = active.pools.iter().zip(&active.class_indexes).zip(&active.plan.pools);
    pools
        .map(|((pool, class_indexes), config)| {
            let (settings, mut servers) = pool.engine.settings_and_servers();
            // A draining server gets no requests, whether or not the module knows of it.
            servers.retain(|server| server.phase == Phase::Ready);
            servers.sort_by_key(|server| server.id);
            let class = |(k, class_index): (usize, &u16)| {
                (active.plan.classes[k].name.clone(), settings.classes[usize::from(*class_index)].clone())
            };
            let quota = |name: u8| {
                let value = HeaderValue::try_from(format!("t{name}")).unwrap();
                settings.tenant_quota.get(active.plan.tenants.number(Some(&value))?)
            };
            PoolBehaviour {
                name: config.name.clone(),
                classes: class_indexes.iter().enumerate().map(class).collect(),
                quotas: (0..8).map(quota).collect(),
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

/// The names of the pool and class of requests for each path.
fn destinations(active: &ActivePlan) -> Vec<Option<(String, String)>> {
    let (headers, method) = (HeaderMap::new(), Method::GET);
    let destination = |path: u8| {
        let path = format!("/{path}");
        let head = RequestHead {
            listener: 0,
            host: "a.org",
            path: &path,
            query: None,
            method: &method,
            headers: &headers,
        };
        let (_, route) = active.plan.routes.find(&head)?;
        let class = active.plan.class_of(route.class, &method);
        Some((active.plan.pools[route.pool()?].name.clone(), active.plan.classes[class].name.clone()))
    };
    (0..3).map(destination).collect()
}

proptest! {
    // The same cases every time.
    #![proptest_config(ProptestConfig { cases: 150, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    /// The fleet's view changes between reloads, or while a file is being compiled.
    #[test]
    fn a_reloaded_plan_behaves_like_a_fresh_one(
        files in vec((file(), any::<[bool; 4]>(), 0..3u32, any::<bool>()), 1..10),
        first in file(),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&runtime, async {
            let shared = shared();
            let group = |k: u32| (k > 0).then(|| GroupPosition { ordinal: k, size: 7 * k });
            let mut active = ActivePlan::start(first.plan(), &shared, 1, None).unwrap();
            let (mut position, mut last) = (0, first.clone());
            for (file, parts, view_position, changes_while_compiling) in &files {
                let file = last.with_parts_of(file, *parts);
                // The latest view applies, even if it changed while the file was being compiled.
                let set_group_from_view = async |active: &Rc<ActivePlan>| {
                    if let Some(group) = group(*view_position) {
                        active.set_group_position(group).await.unwrap();
                    }
                };
                if !changes_while_compiling {
                    set_group_from_view(&active).await;
                }
                let (plan, change) = file.plan().rebase_on(&active.plan);
                if *changes_while_compiling {
                    set_group_from_view(&active).await;
                }
                position = if *view_position > 0 { *view_position } else { position };
                let before: Vec<_> = active.pools.iter().map(Rc::as_ptr).collect();
                let old = active.clone();
                active = old.reload(plan, &change, &shared, 1, group(position)).unwrap();
                // Pools that are kept are the same objects.
                for (pool, change) in active.pools.iter().zip(&change.pools) {
                    if let PoolChange::Reused { old_index, .. } = change {
                        prop_assert_eq!(Rc::as_ptr(pool), before[*old_index]);
                    }
                }
                // An unchanged class keeps its index in the pool, and with it what was learned of it, even if
                // its position in the file changes.
                for (at, pool) in change.pools.iter().enumerate() {
                    let PoolChange::Reused { old_index, .. } = pool else { continue };
                    for (k, predecessor) in change.old_class_indexes.iter().enumerate() {
                        let Some(predecessor) = predecessor.filter(|predecessor| old.plan.classes[*predecessor] == active.plan.classes[k]) else { continue };
                        prop_assert_eq!(active.class_indexes[at][k], old.class_indexes[*old_index][predecessor]);
                    }
                }
                last = file;
            }
            let fresh = ActivePlan::start(last.plan(), &shared, 1, group(position)).unwrap();
            let (reloaded, expected) = (behaviours(&active), behaviours(&fresh));
            for (reloaded, expected) in reloaded.iter().zip(&expected) {
                // The start time of a server is learned, all else comes from the file.
                let without_start_time = |behaviours: &PoolBehaviour| behaviours.servers.iter().map(|s| Server { started_at: 0, ..*s }).collect::<Vec<_>>();
                prop_assert_eq!(without_start_time(reloaded), without_start_time(expected));
                prop_assert_eq!(&PoolBehaviour { servers: Vec::new(), ..reloaded.clone() }, &PoolBehaviour { servers: Vec::new(), ..expected.clone() });
            }
            prop_assert_eq!(reloaded.len(), expected.len());
            prop_assert_eq!(destinations(&active), destinations(&fresh));
            Ok(())
        })?;
    }

    /// Guards against a request that is handled as one of another class: while its body arrives it holds the plan
    /// under which its head arrived, and no reload gives that plan's class indexes to other classes. Without such
    /// requests the indexes are reused.
    #[test]
    fn a_plan_that_is_held_keeps_its_classes(files in vec((file(), any::<bool>()), 2..12), holds_plans in any::<bool>()) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&runtime, async {
            let shared = shared();
            let first = &files[0].0;
            let mut active = ActivePlan::start(first.plan(), &shared, 1, None).unwrap();
            let (mut held, mut most_classes) = (Vec::new(), active.plan.classes.len());
            for (file, is_held) in &files[1..] {
                let file = first.with_parts_of(file, [true, false, false, false]);
                let (plan, change) = file.plan().rebase_on(&active.plan);
                let new = active.reload(plan, &change, &shared, 1, None).unwrap();
                let old = std::mem::replace(&mut active, new);
                held.extend((holds_plans && *is_held).then_some(old));
                most_classes = most_classes.max(active.plan.classes.len());
                for active_plan in held.iter().chain([&active]) {
                    for (pool, indexes) in active_plan.pools.iter().zip(&active_plan.class_indexes) {
                        let classes = pool.engine.settings_and_servers().0.classes;
                        for (class, index) in active_plan.plan.classes.iter().zip(indexes.iter()) {
                            prop_assert_eq!(&classes[usize::from(*index)], &class.class);
                        }
                        prop_assert!(!held.is_empty() || classes.len() <= 2 * most_classes, "{} classes", classes.len());
                    }
                }
            }
            Ok(())
        })?;
    }
}
