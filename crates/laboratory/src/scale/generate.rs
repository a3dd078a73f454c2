//! Generates configuration files of any size from a seed. Sizes are skewed: a few services have most of the
//! servers and routes, and a few tenants have most of the rate.

use super::Counts;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::fmt::Write as _;
use std::net::SocketAddr;

/// Exponent of the power law of sizes: the k-th largest service or tenant has a weight of `k` to this power.
const SIZE_EXPONENT: f64 = -0.9;
/// One in this many routes matches its path by a regular expression.
const ROUTES_PER_REGEX: u32 = 200;
/// One in this many routes requires a header.
const ROUTES_PER_HEADER_MATCH: u32 = 50;
/// One in this many routes is limited to some methods.
const ROUTES_PER_METHOD_MATCH: u32 = 10;
/// The sum of all tenants' rates, in requests per second.
const TOTAL_TENANT_REQUESTS_PER_SECOND: f64 = 50_000.0;

/// The pool of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct GeneratedPool {
    /// Its name.
    pub name: String,
    /// Number in the whole file, weight and zone of each server.
    pub servers: Vec<(u32, f64, u32)>,
}

/// A route to a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct GeneratedRoute {
    /// Its name.
    pub name: String,
    /// Index of the pool.
    pub pool: usize,
    /// The conditions of the route, as lines of the file.
    pub matches: String,
    /// The path that the route rewrites to.
    pub rewrite_path: String,
}

/// A generated configuration, which can be changed and written as a file.
#[derive(Clone, Debug, PartialEq)]
pub struct GeneratedConfig {
    /// One pool for each service.
    pub pools: Vec<GeneratedPool>,
    /// Routes, in their order.
    pub routes: Vec<GeneratedRoute>,
    /// Names and rates of the tenants.
    pub tenants: Vec<(String, f64)>,
    zones: u32,
    next_server: u32,
}

/// One change of a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// No change: the same file is loaded again.
    Nothing,
    /// One route rewrites to another path.
    Route,
    /// One tenant has another rate.
    Tenant,
    /// One server is added.
    Server,
    /// One server has another weight.
    Weight,
    /// All routes, tenants and weights of servers change.
    Everything,
}

impl Change {
    /// All kinds of changes.
    pub const ALL: [Change; 6] =
        [Change::Nothing, Change::Route, Change::Tenant, Change::Server, Change::Weight, Change::Everything];
}

/// The parts of a file that are not generated.
pub struct ConfigFrame<'f> {
    /// Text at the head of the file, such as listeners.
    pub head: &'f str,
    /// Lines that are added to each pool.
    pub pool: &'f str,
    /// Returns the address of a server by its number.
    pub address: &'f dyn Fn(u32) -> SocketAddr,
}

/// Splits a total by [`SIZE_EXPONENT`] into `parts` counts of at least one.
fn split_by_size(total: u32, parts: u32) -> Vec<u32> {
    let weights: Vec<f64> = (1..=parts).map(|k| f64::from(k).powf(SIZE_EXPONENT)).collect();
    let sum: f64 = weights.iter().sum();
    let extra = f64::from(total.saturating_sub(parts));
    let mut sizes: Vec<u32> = weights.iter().map(|w| 1 + (extra * w / sum) as u32).collect();
    // The remainder from rounding goes to the first parts.
    let remainder = total.saturating_sub(sizes.iter().sum());
    (0..remainder as usize).for_each(|k| sizes[k % parts as usize] += 1);
    sizes
}

impl GeneratedConfig {
    /// Generates a configuration with these counts.
    pub fn new(counts: Counts, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut next_server = 0;
        let mut pools: Vec<_> = split_by_size(counts.servers, counts.services)
            .into_iter()
            .enumerate()
            .map(|(k, servers)| {
                let servers = (next_server..next_server + servers)
                    .map(|server| (server, 1.0, rng.next_u32() % counts.zones.max(1)))
                    .collect::<Vec<_>>();
                next_server += servers.len() as u32;
                GeneratedPool { name: format!("service-{k}"), servers }
            })
            .collect();
        shuffle(&mut pools, &mut rng);
        let mut routes = Vec::new();
        for (pool, count) in split_by_size(counts.routes, counts.services).into_iter().enumerate() {
            for k in 0..count {
                let drawn = rng.next_u32();
                let mut matches = format!("hosts = [\"{}.example.org\"]\n", pools[pool].name);
                // The last route of a service matches all that is left.
                match drawn % ROUTES_PER_REGEX {
                    _ if k + 1 == count => {}
                    0 => drop(writeln!(matches, "path_regex = \"/part-{k}/[0-9]+\"")),
                    _ => drop(writeln!(matches, "path_prefix = \"/part-{k}\"")),
                }
                if k + 1 < count && (drawn >> 8) % ROUTES_PER_HEADER_MATCH == 0 {
                    matches += "headers = [{ name = \"x-release\", is = \"next\" }]\n";
                }
                if k + 1 < count && (drawn >> 16) % ROUTES_PER_METHOD_MATCH == 0 {
                    matches += "methods = [\"GET\", \"HEAD\"]\n";
                }
                let rewrite_path = format!("/v1/{pool}/{k}");
                routes.push(GeneratedRoute {
                    name: format!("route-{pool}-{k}"),
                    pool,
                    matches,
                    rewrite_path,
                });
            }
        }
        let tenants =
            (0..counts.tenants).map(|k| (format!("tenant-{k}"), f64::from(k + 1).powf(SIZE_EXPONENT)));
        let mut tenants: Vec<_> = tenants.collect();
        let sum: f64 = tenants.iter().map(|(_, rate)| rate).sum();
        tenants.iter_mut().for_each(|(_, rate)| {
            *rate = (*rate / sum * TOTAL_TENANT_REQUESTS_PER_SECOND * 1000.0).round() / 1000.0
        });
        shuffle(&mut tenants, &mut rng);
        GeneratedConfig { pools, routes, tenants, zones: counts.zones, next_server }
    }

    /// The counts of this configuration.
    pub fn counts(&self) -> Counts {
        Counts {
            servers: self.pools.iter().map(|pool| pool.servers.len() as u32).sum(),
            services: self.pools.len() as u32,
            routes: self.routes.len() as u32,
            tenants: self.tenants.len() as u32,
            zones: self.zones,
        }
    }

    /// Applies a change; `selector` picks the item that changes.
    pub fn apply(&mut self, change: Change, selector: usize) {
        let weight = |weight: f64| if weight > 1.5 { 1.0 } else { 2.0 };
        match change {
            Change::Nothing => {}
            Change::Route => {
                let index = selector % self.routes.len();
                self.routes[index].rewrite_path += "x";
            }
            Change::Tenant => {
                let index = selector % self.tenants.len();
                self.tenants[index].1 += 1.0;
            }
            Change::Server => {
                let index = selector % self.pools.len();
                self.pools[index].servers.push((self.next_server, 1.0, 0));
                self.next_server += 1;
            }
            Change::Weight => {
                let index = selector % self.pools.len();
                let server = &mut self.pools[index].servers[0];
                server.1 = weight(server.1);
            }
            Change::Everything => {
                self.routes.iter_mut().for_each(|route| route.rewrite_path += "x");
                self.tenants.iter_mut().for_each(|tenant| tenant.1 += 1.0);
                let servers = self.pools.iter_mut().flat_map(|pool| &mut pool.servers);
                servers.for_each(|server| server.1 = weight(server.1));
            }
        }
    }

    /// Renders the configuration file.
    pub fn to_toml(&self, frame: &ConfigFrame<'_>) -> String {
        let mut text = String::from(frame.head);
        let zones: Vec<_> = (0..self.zones).map(|zone| format!("\"zone-{zone}\"")).collect();
        let _ = writeln!(text, "[node]\nzone = \"zone-0\"\nzones = [{}]\n", zones.join(", "));
        text += "[[class]]\nname = \"read\"\neffect = \"safe\"\nmethods = [\"GET\", \"HEAD\"]\n\n[tenants]\n";
        for (name, rate) in &self.tenants {
            let _ = writeln!(text, "[[tenants.tenant]]\nname = \"{name}\"\nrate = {rate:?}");
        }
        for pool in &self.pools {
            let _ = writeln!(text, "[[pool]]\nname = \"{}\"\n{}servers = [", pool.name, frame.pool);
            for (server, weight, zone) in &pool.servers {
                let address = (frame.address)(*server);
                let _ = writeln!(
                    text,
                    "    {{ address = \"{address}\", name = \"s-{server}\", weight = {weight:?}, zone = \"zone-{zone}\" }},"
                );
            }
            text += "]\n";
        }
        for route in &self.routes {
            let pool = &self.pools[route.pool].name;
            let _ = writeln!(
                text,
                "[[route]]\nname = \"{}\"\n{}pool = \"{pool}\"\nrewrite = {{ path = \"{}\" }}",
                route.name, route.matches, route.rewrite_path
            );
        }
        text
    }
}

fn shuffle<T>(items: &mut [T], rng: &mut Pcg64Mcg) {
    for k in (1..items.len()).rev() {
        items.swap(k, ((u64::from(rng.next_u32()) * (k as u64 + 1)) >> 32) as usize);
    }
}
