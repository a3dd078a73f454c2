//! From the file to the plan: names are resolved, and what only shows when the whole is seen is checked.

use super::model::{self, ConfigFile};
use super::routes;
use super::validator::{Severity, Validator};
use crate::plan::{
    Check, Dialect, Discovery, Fleet, Limits, Listener, Plan, Pool, RequestClass, Server, Source,
};
use crate::routes::{PathRules, RouteTable};
use crate::tenants::Tenants;
use crate::version::Version;
use corkhollow_balance::interface::{Class, Effect, Group, Settings};
use http::header::{HeaderName, HeaderValue};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;

/// Builds the plan; none where something in it could not be resolved. Faults go to the validator.
pub(super) fn compile(
    file: &ConfigFile,
    folder: &Path,
    version: Version,
    validator: &mut Validator<'_>,
) -> Option<Plan> {
    let zones = zones(file);
    if zones.len() > 127 {
        validator.error("pool", "more than 126 zones");
    }
    let zone = zones.iter().position(|z| Some(z) == file.node.zone.as_ref()).unwrap_or(0) as u8;
    let fleet = fleet(file, folder, validator);
    let listeners = listeners(file, validator);
    let classes = classes(file, validator);
    let tenants = tenants(file, validator)?;
    let limits = limits(file, validator);
    let told = |p: &model::Pool| settings(p, &classes, tenants.over_share_worth, zone, zones.len());
    let pools: Vec<_> = file
        .pool
        .iter()
        .enumerate()
        .map(|(k, p)| Arc::new(pool(p, k, told(p), &zones, folder, validator)))
        .collect();
    unique(file.pool.iter().map(|p| &p.name), "pool", validator);
    let compiled = routes::routes(file, &listeners, validator);
    let (drain_timeout, operator) = (file.node.drain_timeout.0, file.operator.listen);
    if validator.has_errors() {
        return None;
    }
    routes::warn_of_unused(file, validator);
    let routes = RouteTable::new(compiled.into_iter().flatten().collect(), listeners.len());
    routes::warn_of_covered(&routes, validator);
    Some(Plan {
        version,
        zone,
        zones,
        drain_timeout,
        operator,
        fleet,
        limits,
        listeners,
        classes,
        tenants,
        pools,
        routes,
        seed: None,
    })
}

/// More than this multiple of its present capacity, for so long, pushes a cold server over.
const TIP: (f64, u64) = (3.0, 2_000_000_000);
/// The ramp also sets how fast the module forgets; so where servers are warm from the start.
const MEMORY: u64 = 10_000_000_000;
/// The longest advice on when to come back.
const LONGEST_ADVICE: u64 = 30_000_000_000;

/// What a pool's decision module is told.
fn settings(
    pool: &model::Pool,
    classes: &[RequestClass],
    over_share_worth: f64,
    zone: u8,
    zones: usize,
) -> Settings {
    let longest = classes.iter().map(|c| c.class.give_up).max().unwrap_or(1);
    Settings {
        classes: classes.iter().map(|c| c.class.clone()).collect(),
        over_share_worth,
        zone,
        max_attempts: pool.max_attempts,
        second_copies: pool.second_copies,
        slots: f64::from(pool.concurrency),
        max_retry_after: longest.min(LONGEST_ADVICE),
        cold_from: pool.cold_from,
        ramp: pool.cold_ramp.map_or(MEMORY, |r| r.0),
        tip_multiple: TIP.0,
        overload_window: TIP.1,
        // Behind all zones comes one of their backups each.
        backup_zone: if pool.discovery.is_some() { u8::MAX } else { zones.min(127) as u8 },
        ..Settings::single_class(1, longest)
    }
}

/// Names go along in every datagram.
const LONGEST_FLEET_NAME: usize = 32;

fn fleet(file: &ConfigFile, folder: &Path, validator: &mut Validator<'_>) -> Option<Fleet> {
    let told = file.fleet.as_ref()?;
    let [every, timeout, suspect] = [told.probe_every.0, told.probe_timeout.0, told.suspect_for.0];
    if told.node.len() > LONGEST_FLEET_NAME {
        validator.error("fleet.node", "a node's name in a fleet has at most 32 characters");
    }
    if file.node.zone.as_ref().is_some_and(|zone| zone.len() > LONGEST_FLEET_NAME) {
        validator.error("node.zone", "in a fleet the name of a node's zone has at most 32 characters");
    }
    if told.advertise.is_none() && told.listen.ip().is_unspecified() {
        validator.error("fleet.listen", "others cannot reach this address; `advertise` says where they do");
    }
    let reachable = |address: &std::net::SocketAddr| address.port() != 0 && !address.ip().is_unspecified();
    if told.advertise.is_some_and(|address| !reachable(&address)) {
        validator.error("fleet.advertise", "others cannot reach this address");
    }
    for (k, _) in told.seeds.iter().enumerate().filter(|(_, seed)| !reachable(seed)) {
        validator.error(&format!("fleet.seeds[{k}]"), "nobody can be reached at this address");
    }
    if !(50_000_000..=60_000_000_000).contains(&every) {
        validator.error("fleet.probe_every", "out of range: 50ms to 1m");
    }
    if timeout >= every {
        validator.error("fleet.probe_timeout", "must be shorter than `probe_every`");
    }
    if suspect < 2 * every {
        validator.error("fleet.suspect_for", "must be at least twice `probe_every`");
    }
    Some(Fleet {
        name: told.name.clone(),
        node: told.node.clone(),
        listen: told.listen,
        advertise: told.advertise,
        seeds: told.seeds.clone(),
        key_file: told.key_file.as_ref().map(|path| folder.join(path)),
        probe_every: every,
        probe_timeout: timeout,
        suspect_for: suspect,
        datagram: told.datagram_bytes,
    })
}

/// All zones that are named; the first is the program's own.
fn zones(file: &ConfigFile) -> Vec<String> {
    let mut zones = vec![file.node.zone.clone().unwrap_or_default()];
    let named = file.pool.iter().flat_map(|p| p.servers.iter().flatten()).filter_map(|s| s.zone.clone());
    for zone in file.node.zones.iter().cloned().chain(named) {
        if !zones.contains(&zone) {
            zones.push(zone);
        }
    }
    zones
}

pub(super) fn unique<'n>(names: impl Iterator<Item = &'n String>, list: &str, validator: &mut Validator<'_>) {
    let mut first = BTreeMap::new();
    for (k, name) in names.enumerate() {
        if let Some(earlier) = first.insert(name, k) {
            first.insert(name, earlier);
            validator
                .error(&format!("{list}[{k}].name"), format!("{list}[{earlier}] has the name `{name}` too"));
        }
    }
}

fn listeners(file: &ConfigFile, validator: &mut Validator<'_>) -> Vec<Listener> {
    if file.listener.is_empty() {
        validator.error("listener", "there must be at least one listener");
    }
    unique(file.listener.iter().map(|l| &l.name), "listener", validator);
    let mut taken = BTreeMap::new();
    for (k, l) in file.listener.iter().enumerate().filter(|(_, l)| l.address.port() != 0) {
        if let Some(earlier) = taken.insert(l.address, k) {
            let what = format!("listener[{earlier}] has the address {} too", l.address);
            validator.error(&format!("listener[{k}].address"), what);
        }
    }
    let build = |l: &model::Listener| Listener {
        name: l.name.clone(),
        address: l.address,
        dialect: Dialect::Http,
        via: l.via.as_ref().and_then(|name| HeaderValue::try_from(format!("1.1 {name}")).ok()),
        x_forwarded: matches!(l.forwarded, model::Forwarded::XForwarded | model::Forwarded::Both),
        forwarded: matches!(l.forwarded, model::Forwarded::Forwarded | model::Forwarded::Both),
        trust_forwarded: l.trust_forwarded,
        request_id: header(&l.request_id).unwrap_or(HeaderName::from_static("x-request-id")),
        paths: PathRules { merge_slashes: l.merge_slashes, keep_escaped_slashes: l.keep_escaped_slashes },
    };
    file.listener.iter().map(build).collect()
}

fn limits(file: &ConfigFile, validator: &mut Validator<'_>) -> Limits {
    let l = &file.limits;
    for (name, value, least, most) in [
        ("memory", l.memory.0, 16_000_000, u64::MAX),
        ("header_bytes", l.header_bytes.0, 8 << 10, 1 << 20),
        ("replay_buffer", l.replay_buffer.0, 0, l.memory.0 / 8),
    ] {
        if value < least || value > most {
            let allowed = match name {
                "memory" => "16MB or more",
                "header_bytes" => "8KiB to 1MiB",
                _ => "at most an eighth of `limits.memory`",
            };
            let what = "the size is out of range".to_owned();
            validator.note(Severity::Error, &format!("limits.{name}"), what, allowed.to_owned());
        }
    }
    Limits {
        descriptors: l.descriptors,
        memory: l.memory.0,
        replay_buffer: l.replay_buffer.0,
        header_bytes: l.header_bytes.0 as usize,
        header_timeout: l.header_timeout.0,
        idle_timeout: l.idle_timeout.0,
        stall_timeout: l.stall_timeout.0,
    }
}

const READS: [&str; 4] = ["GET", "HEAD", "OPTIONS", "TRACE"];

/// The file's classes, and behind them the two that stand for what they leave open.
pub(super) fn with_defaults(file: &ConfigFile) -> Vec<model::Class> {
    let mut classes = file.class.clone();
    for (name, effect, methods) in
        [("read", model::Effect::Safe, &READS[..]), ("write", model::Effect::Unsafe, &[][..])]
    {
        if !classes.iter().any(|c| c.name == name) {
            classes.push(model::Class::new(name, effect, methods));
        }
    }
    // The last one stands for all methods that no class names.
    if let Some(at) = classes.iter().position(|c| c.name == "write") {
        let write = classes.remove(at);
        classes.push(write);
    }
    classes
}

fn classes(file: &ConfigFile, validator: &mut Validator<'_>) -> Vec<RequestClass> {
    unique(file.class.iter().map(|c| &c.name), "class", validator);
    let mut by_method: BTreeMap<&str, usize> = BTreeMap::new();
    for (k, class) in file.class.iter().enumerate() {
        let at = |key: &str| format!("class[{k}].{key}");
        if class.aim > class.deadline {
            validator.error(&at("aim"), format!("the aim is longer than the deadline, {}", class.deadline));
        }
        if class.effect != model::Effect::Keyed {
            if class.group != model::Group::All {
                validator.error(&at("group"), "only classes of effect \"keyed\" have a group");
            }
        } else if class.window < class.deadline {
            let what = "a repeat may come after the window; the module sends none then".to_owned();
            validator.note(Severity::Warning, &at("window"), what, format!("at least {}", class.deadline));
        }
        for (n, method) in class.methods.iter().enumerate() {
            if let Some(earlier) = by_method.insert(method, k) {
                let what = format!("class[{earlier}] is for {method} too");
                validator.error(&at(&format!("methods[{n}]")), what);
            }
        }
    }
    if with_defaults(file).len() > 255 {
        validator.error("class", "more than 253 classes");
    }
    let methods = |c: &model::Class| c.methods.iter().filter_map(|m| m.parse().ok()).collect();
    let build = |c: model::Class| RequestClass {
        class: Class {
            aim: c.aim.0,
            give_up: c.deadline.0,
            worth: c.worth,
            late_worth: c.late_worth,
            effect: match c.effect {
                model::Effect::Safe => Effect::Safe,
                model::Effect::Keyed => Effect::Keyed,
                model::Effect::Unsafe => Effect::Unsafe,
            },
            group: if c.group == model::Group::Zone { Group::Zone } else { Group::All },
            window: c.window.0,
            stream: false,
        },
        methods: methods(&c),
        name: c.name,
    };
    with_defaults(file).into_iter().map(build).collect()
}

fn tenants(file: &ConfigFile, validator: &mut Validator<'_>) -> Option<Tenants> {
    let tenants = file.tenants.clone().unwrap_or_default();
    unique(tenants.tenant.iter().map(|t| &t.name), "tenants.tenant", validator);
    let shares = tenants.tenant.iter().map(|t| (t.name.clone(), t.rate));
    Some(Tenants::new(header(&tenants.header)?, shares, tenants.over_share_worth))
}

fn pool(
    pool: &model::Pool,
    k: usize,
    settings: Settings,
    zones: &[String],
    folder: &Path,
    validator: &mut Validator<'_>,
) -> Pool {
    let at = |key: &str| format!("pool[{k}].{key}");
    let told = [pool.servers.is_some(), pool.watch.is_some(), pool.discovery.is_some()];
    if told.iter().filter(|t| **t).count() != 1 {
        let what = "exactly one of `servers`, `watch` and `discovery` says who its servers are";
        validator.error(&format!("pool[{k}]"), what);
    }
    let source = match (&pool.servers, &pool.watch, pool.discovery) {
        (_, Some(path), _) => Source::Watch(folder.join(path)),
        (_, _, Some(address)) => Source::Discovery(Box::new(Discovery {
            address,
            zones: zones.to_vec(),
            kinds: Vec::new(),
            known: None,
        })),
        (list, ..) => {
            let list = list.as_deref().unwrap_or_default();
            if pool.servers.is_some() && list.is_empty() {
                let what = "the pool has no servers: all its requests are refused".to_owned();
                validator.note(Severity::Warning, &at("servers"), what, String::new());
            }
            Source::Static(servers(list, &at("servers"), settings.zone, zones, validator))
        }
    };
    Pool {
        name: pool.name.clone(),
        source,
        dialect: Dialect::Http,
        settings,
        connect_timeout: pool.connect_timeout.0,
        idle_timeout: pool.idle_timeout.0,
        max_connections: pool.max_connections,
        max_waiting: pool.max_waiting,
        cold: pool.cold_ramp.is_some(),
        check: pool.check.as_ref().map(|c| Check {
            path: c.path.clone(),
            every: c.every.0,
            timeout: c.timeout.0,
            rise: c.rise,
            fall: c.fall,
            status: c.status.clone(),
        }),
    }
}

/// The servers of one list. Two of one name are an error; two of one address share a machine, which is worth a word.
pub(super) fn servers(
    list: &[model::Server],
    path: &str,
    zone: u8,
    zones: &[String],
    validator: &mut Validator<'_>,
) -> Vec<Server> {
    let (mut names, mut addresses) = (BTreeMap::new(), BTreeMap::new());
    let mut out = Vec::with_capacity(list.len());
    for (k, server) in list.iter().enumerate() {
        let name = server.identity();
        if let Some(earlier) = names.insert(name.clone(), k) {
            validator.error(&format!("{path}[{k}]"), format!("{path}[{earlier}] has the name `{name}` too"));
        } else if let Some(earlier) = addresses.insert(server.address, k) {
            let what =
                format!("{path}[{earlier}] has the address {} too: each gets a full share", server.address);
            validator.note(Severity::Warning, &format!("{path}[{k}].address"), what, String::new());
        }
        let own = match &server.zone {
            None => Some(zone),
            Some(name) => zones.iter().position(|z| z == name).map(|at| at as u8),
        };
        if own.is_none() {
            let allowed = zones.iter().filter(|z| !z.is_empty()).cloned().collect::<Vec<_>>().join(", ");
            let what = "the operator's file names no such zone".to_owned();
            validator.note(Severity::Error, &format!("{path}[{k}].zone"), what, allowed);
        }
        out.push(Server {
            name,
            address: server.address,
            weight: server.weight,
            zone: own.unwrap_or(zone),
            kind: server.kind.clone(),
            drain: server.drain,
            backup: server.backup,
        });
    }
    out
}

pub(super) fn header(name: &str) -> Option<HeaderName> {
    HeaderName::try_from(name).ok()
}
