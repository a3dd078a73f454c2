//! Compiles the configuration file to the plan: resolves names, and checks what involves more than one key.

use super::model::{self, ConfigFile};
use super::routes;
use super::validator::{Severity, Validator};
use crate::plan::{
    Dialect, Discovery, Fleet, HealthCheck, Limits, Listener, Plan, Pool, RequestClass, Server, Source,
};
use crate::routes::{PathRules, RouteTable};
use crate::tenants::Tenants;
use crate::version::Version;
use corkhollow_balance::interface::{Class, Effect, Group, Settings};
use http::header::{HeaderName, HeaderValue};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;

/// Builds the plan, or returns `None` if there are errors. Diagnostics are reported to the validator.
pub(super) fn compile(
    file: &ConfigFile,
    folder: &Path,
    version: Version,
    validator: &mut Validator<'_>,
) -> Option<Plan> {
    let zones = collect_zones(file);
    if zones.len() > 127 {
        validator.error("pool", "too many zones; at most 126 besides the node's own");
    }
    let zone = zones.iter().position(|z| Some(z) == file.node.zone.as_ref()).unwrap_or(0) as u8;
    let fleet = build_fleet(file, folder, validator);
    let listeners = build_listeners(file, validator);
    let classes = build_classes(file, validator);
    let tenants = build_tenants(file, validator)?;
    let limits = build_limits(file, validator);
    let pool_settings =
        |p: &model::Pool| build_settings(p, &classes, tenants.over_share_worth, zone, zones.len());
    let pools: Vec<_> = file
        .pool
        .iter()
        .enumerate()
        .map(|(index, p)| Arc::new(build_pool(p, index, pool_settings(p), &zones, folder, validator)))
        .collect();
    check_unique_names(file.pool.iter().map(|p| &p.name), "pool", validator);
    let routes = routes::build_routes(file, &listeners, validator);
    let (drain_timeout, operator) = (file.node.drain_timeout.0, file.operator.listen);
    if validator.has_errors() {
        return None;
    }
    routes::warn_about_unused(file, validator);
    let routes = RouteTable::new(routes.into_iter().flatten().collect(), listeners.len());
    routes::warn_about_unreachable(&routes, validator);
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

/// A cold server is overloaded by more than this multiple of its current capacity for this many nanoseconds.
const OVERLOAD_MULTIPLE_AND_WINDOW_NANOS: (f64, u64) = (3.0, 2_000_000_000);
/// The ramp of pools without slow start, where it only sets how fast averages in the decision module decay.
const DEFAULT_RAMP_NANOS: u64 = 10_000_000_000;
/// Upper limit for `Retry-After`.
const MAX_RETRY_AFTER_NANOS: u64 = 30_000_000_000;

/// The settings of a pool's decision module.
fn build_settings(
    pool: &model::Pool,
    classes: &[RequestClass],
    over_share_worth: f64,
    zone: u8,
    zone_count: usize,
) -> Settings {
    let max_deadline = classes.iter().map(|c| c.class.give_up).max().unwrap_or(1);
    Settings {
        classes: classes.iter().map(|c| c.class.clone()).collect(),
        over_share_worth,
        zone,
        max_attempts: pool.max_attempts,
        second_copies: pool.second_copies,
        slots: f64::from(pool.concurrency),
        max_retry_after: max_deadline.min(MAX_RETRY_AFTER_NANOS),
        cold_from: pool.cold_from,
        ramp: pool.cold_ramp.map_or(DEFAULT_RAMP_NANOS, |r| r.0),
        tip_multiple: OVERLOAD_MULTIPLE_AND_WINDOW_NANOS.0,
        overload_window: OVERLOAD_MULTIPLE_AND_WINDOW_NANOS.1,
        // The backups of zone `z` form the zone `backup_zone + z`.
        backup_zone: if pool.discovery.is_some() { u8::MAX } else { zone_count.min(127) as u8 },
        ..Settings::single_class(1, max_deadline)
    }
}

/// Maximum length of names that every datagram carries.
const MAX_FLEET_NAME_BYTES: usize = 32;

fn build_fleet(file: &ConfigFile, folder: &Path, validator: &mut Validator<'_>) -> Option<Fleet> {
    let fleet = file.fleet.as_ref()?;
    let [probe_every, probe_timeout, suspect_for] =
        [fleet.probe_every.0, fleet.probe_timeout.0, fleet.suspect_for.0];
    if fleet.node.len() > MAX_FLEET_NAME_BYTES {
        validator.error("fleet.node", "a node's name in a fleet must be at most 32 characters long");
    }
    if file.node.zone.as_ref().is_some_and(|zone| zone.len() > MAX_FLEET_NAME_BYTES) {
        validator
            .error("node.zone", "the name of a node's zone in a fleet must be at most 32 characters long");
    }
    if fleet.advertise.is_none() && fleet.listen.ip().is_unspecified() {
        validator.error("fleet.listen", "other nodes cannot reach an unspecified address; set `advertise`");
    }
    let is_reachable = |address: &std::net::SocketAddr| address.port() != 0 && !address.ip().is_unspecified();
    if fleet.advertise.is_some_and(|address| !is_reachable(&address)) {
        validator.error("fleet.advertise", "other nodes cannot reach this address");
    }
    for (index, _) in fleet.seeds.iter().enumerate().filter(|(_, seed)| !is_reachable(seed)) {
        validator.error(&format!("fleet.seeds[{index}]"), "no node can be reached at this address");
    }
    if !(50_000_000..=60_000_000_000).contains(&probe_every) {
        validator.error("fleet.probe_every", "must be from 50ms to 1m");
    }
    if probe_timeout >= probe_every {
        validator.error("fleet.probe_timeout", "must be shorter than `probe_every`");
    }
    if suspect_for < 2 * probe_every {
        validator.error("fleet.suspect_for", "must be at least twice `probe_every`");
    }
    Some(Fleet {
        name: fleet.name.clone(),
        node: fleet.node.clone(),
        listen: fleet.listen,
        advertise: fleet.advertise,
        seeds: fleet.seeds.clone(),
        key_file: fleet.key_file.as_ref().map(|path| folder.join(path)),
        probe_every,
        probe_timeout,
        suspect_for,
        max_datagram_bytes: fleet.datagram_bytes,
    })
}

/// The names of all zones; the first is the node's own, empty if it has none.
fn collect_zones(file: &ConfigFile) -> Vec<String> {
    let mut zones = vec![file.node.zone.clone().unwrap_or_default()];
    let server_zones =
        file.pool.iter().flat_map(|p| p.servers.iter().flatten()).filter_map(|s| s.zone.clone());
    for zone in file.node.zones.iter().cloned().chain(server_zones) {
        if !zones.contains(&zone) {
            zones.push(zone);
        }
    }
    zones
}

/// Reports names that occur more than once in a list of tables.
pub(super) fn check_unique_names<'n>(
    names: impl Iterator<Item = &'n String>,
    list: &str,
    validator: &mut Validator<'_>,
) {
    let mut first_uses = BTreeMap::new();
    for (index, name) in names.enumerate() {
        if let Some(earlier) = first_uses.insert(name, index) {
            first_uses.insert(name, earlier);
            validator.error(
                &format!("{list}[{index}].name"),
                format!("the name `{name}` is already used by {list}[{earlier}]"),
            );
        }
    }
}

fn build_listeners(file: &ConfigFile, validator: &mut Validator<'_>) -> Vec<Listener> {
    if file.listener.is_empty() {
        validator.error("listener", "at least one listener is required");
    }
    check_unique_names(file.listener.iter().map(|l| &l.name), "listener", validator);
    let mut used_addresses = BTreeMap::new();
    for (index, l) in file.listener.iter().enumerate().filter(|(_, l)| l.address.port() != 0) {
        if let Some(earlier) = used_addresses.insert(l.address, index) {
            let message = format!("the address {} is already used by listener[{earlier}]", l.address);
            validator.error(&format!("listener[{index}].address"), message);
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
        request_id: parse_header_name(&l.request_id).unwrap_or(HeaderName::from_static("x-request-id")),
        paths: PathRules { merge_slashes: l.merge_slashes, keep_escaped_slashes: l.keep_escaped_slashes },
    };
    file.listener.iter().map(build).collect()
}

fn build_limits(file: &ConfigFile, validator: &mut Validator<'_>) -> Limits {
    let limits = &file.limits;
    for (key, value, min, max) in [
        ("memory", limits.memory.0, 16_000_000, u64::MAX),
        ("header_bytes", limits.header_bytes.0, 8 << 10, 1 << 20),
        ("replay_buffer", limits.replay_buffer.0, 0, limits.memory.0 / 8),
    ] {
        if value < min || value > max {
            let allowed = match key {
                "memory" => "16MB or more",
                "header_bytes" => "8KiB to 1MiB",
                _ => "at most an eighth of `limits.memory`",
            };
            let message = "the size is out of range".to_owned();
            validator.report(Severity::Error, &format!("limits.{key}"), message, allowed.to_owned());
        }
    }
    Limits {
        descriptors: limits.descriptors,
        memory_bytes: limits.memory.0,
        replay_buffer_bytes: limits.replay_buffer.0,
        header_bytes: limits.header_bytes.0 as usize,
        header_timeout: limits.header_timeout.0,
        first_request_timeout: None,
        idle_timeout: limits.idle_timeout.0,
        stall_timeout: limits.stall_timeout.0,
    }
}

/// Methods of the default class `read`.
const READ_METHODS: [&str; 4] = ["GET", "HEAD", "OPTIONS", "TRACE"];

/// The file's classes, followed by the default classes `read` and `write` unless the file defines them.
pub(super) fn classes_with_defaults(file: &ConfigFile) -> Vec<model::Class> {
    let mut classes = file.class.clone();
    for (name, effect, methods) in
        [("read", model::Effect::Safe, &READ_METHODS[..]), ("write", model::Effect::Unsafe, &[][..])]
    {
        if !classes.iter().any(|c| c.name == name) {
            classes.push(model::Class::new(name, effect, methods));
        }
    }
    // The last class applies to all methods that no class lists.
    if let Some(index) = classes.iter().position(|c| c.name == "write") {
        let write = classes.remove(index);
        classes.push(write);
    }
    classes
}

fn build_classes(file: &ConfigFile, validator: &mut Validator<'_>) -> Vec<RequestClass> {
    check_unique_names(file.class.iter().map(|c| &c.name), "class", validator);
    let mut class_by_method: BTreeMap<&str, usize> = BTreeMap::new();
    for (index, class) in file.class.iter().enumerate() {
        let key_path = |key: &str| format!("class[{index}].{key}");
        if class.aim > class.deadline {
            validator
                .error(&key_path("aim"), format!("the aim is longer than the deadline, {}", class.deadline));
        }
        if class.effect != model::Effect::Keyed {
            if class.group != model::Group::All {
                validator.error(&key_path("group"), "only classes of effect \"keyed\" have a group");
            }
        } else if class.window < class.deadline {
            let message = "shorter than the deadline: requests are not retried after the window".to_owned();
            validator.report(
                Severity::Warning,
                &key_path("window"),
                message,
                format!("at least {}", class.deadline),
            );
        }
        for (position, method) in class.methods.iter().enumerate() {
            if let Some(earlier) = class_by_method.insert(method, index) {
                let message = format!("{method} already belongs to class[{earlier}]");
                validator.error(&key_path(&format!("methods[{position}]")), message);
            }
        }
    }
    if classes_with_defaults(file).len() > 255 {
        validator.error("class", "too many classes; at most 253 besides `read` and `write`");
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
    classes_with_defaults(file).into_iter().map(build).collect()
}

fn build_tenants(file: &ConfigFile, validator: &mut Validator<'_>) -> Option<Tenants> {
    let tenants = file.tenants.clone().unwrap_or_default();
    check_unique_names(tenants.tenant.iter().map(|t| &t.name), "tenants.tenant", validator);
    let shares = tenants.tenant.iter().map(|t| (t.name.clone(), t.rate));
    Some(Tenants::new(parse_header_name(&tenants.header)?, shares, tenants.over_share_worth))
}

fn build_pool(
    pool: &model::Pool,
    index: usize,
    settings: Settings,
    zones: &[String],
    folder: &Path,
    validator: &mut Validator<'_>,
) -> Pool {
    let key_path = |key: &str| format!("pool[{index}].{key}");
    let sources = [pool.servers.is_some(), pool.watch.is_some(), pool.discovery.is_some()];
    if sources.iter().filter(|is_set| **is_set).count() != 1 {
        let message = "exactly one of `servers`, `watch` and `discovery` must be set";
        validator.error(&format!("pool[{index}]"), message);
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
                let message = "the pool has no servers; all its requests are refused".to_owned();
                validator.report(Severity::Warning, &key_path("servers"), message, String::new());
            }
            Source::Static(build_servers(list, &key_path("servers"), settings.zone, zones, validator))
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
        slow_start: pool.cold_ramp.is_some(),
        check: pool.check.as_ref().map(|c| HealthCheck {
            path: c.path.clone(),
            interval: c.every.0,
            timeout: c.timeout.0,
            rise: c.rise,
            fall: c.fall,
            status: c.status.clone(),
        }),
    }
}

/// Builds the servers of one list. A duplicate name is an error; one address under two names is a warning.
pub(super) fn build_servers(
    list: &[model::Server],
    path: &str,
    default_zone: u8,
    zones: &[String],
    validator: &mut Validator<'_>,
) -> Vec<Server> {
    let (mut names, mut addresses) = (BTreeMap::new(), BTreeMap::new());
    let mut servers = Vec::with_capacity(list.len());
    for (index, server) in list.iter().enumerate() {
        let name = server.identity();
        if let Some(earlier) = names.insert(name.clone(), index) {
            validator.error(
                &format!("{path}[{index}]"),
                format!("the name `{name}` is already used by {path}[{earlier}]"),
            );
        } else if let Some(earlier) = addresses.insert(server.address, index) {
            let message = format!(
                "the address {} is also that of {path}[{earlier}]; each entry gets a full share",
                server.address
            );
            validator.report(Severity::Warning, &format!("{path}[{index}].address"), message, String::new());
        }
        let zone = match &server.zone {
            None => Some(default_zone),
            Some(name) => zones.iter().position(|z| z == name).map(|position| position as u8),
        };
        if zone.is_none() {
            let allowed = zones.iter().filter(|z| !z.is_empty()).cloned().collect::<Vec<_>>().join(", ");
            let message = "the configuration file lists no such zone".to_owned();
            validator.report(Severity::Error, &format!("{path}[{index}].zone"), message, allowed);
        }
        servers.push(Server {
            name,
            address: server.address,
            weight: server.weight,
            zone: zone.unwrap_or(default_zone),
            kind: server.kind.clone(),
            drain: server.drain,
            backup: server.backup,
        });
    }
    servers
}

pub(super) fn parse_header_name(name: &str) -> Option<HeaderName> {
    HeaderName::try_from(name).ok()
}
