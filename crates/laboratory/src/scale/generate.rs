//! Operators' files of any size, seeded: few services have most of the servers, routes and requests, most tenants are rare.

use super::Counts;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::fmt::Write as _;
use std::net::SocketAddr;

/// How steeply services, routes and tenants differ: the k-th has a share of `k` to this power.
const SKEW: f64 = -0.9;
/// One in so many routes matches by an expression, wants a header, is for one method.
const EXPRESSIONS: u32 = 200;
const HEADERS: u32 = 50;
const METHODS: u32 = 10;
/// What all tenants' shares come to, in requests a second.
const SHARES: f64 = 50_000.0;

/// Servers that do the same work.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Its name.
    pub name: String,
    /// Names, weights and zones of its servers. The first part of a name is the server's number in the whole file.
    pub servers: Vec<(u32, f64, u32)>,
}

/// What leads to a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The pool, by its place.
    pub pool: usize,
    /// What it takes, as lines of the file.
    pub matches: String,
    /// What servers are asked for in place of the route's path.
    pub to: String,
}

/// A configuration that can be changed and written down.
#[derive(Clone, Debug, PartialEq)]
pub struct Generated {
    /// Services.
    pub pools: Vec<Pool>,
    /// Routes, in their order.
    pub routes: Vec<Route>,
    /// Names and shares.
    pub tenants: Vec<(String, f64)>,
    zones: u32,
    next_server: u32,
}

/// One change of a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing at all: the same file once more.
    Nothing,
    /// A route rewrites to another path.
    Route,
    /// A tenant gets another share.
    Tenant,
    /// A server more.
    Server,
    /// A server of another weight.
    Weight,
    /// Every route, every tenant's share, every server's weight.
    Everything,
}

impl Change {
    /// All of them.
    pub const ALL: [Change; 6] =
        [Change::Nothing, Change::Route, Change::Tenant, Change::Server, Change::Weight, Change::Everything];
}

/// What a file says beside the services: where it listens, and lines that are to stand in its pools.
pub struct Frame<'f> {
    /// Lines before all else.
    pub head: &'f str,
    /// Lines in each pool.
    pub pool: &'f str,
    /// Where a server is, by its number.
    pub address: &'f dyn Fn(u32) -> SocketAddr,
}

/// Shares out a total by the skew: at least one each.
fn share_out(total: u32, among: u32) -> Vec<u32> {
    let weights: Vec<f64> = (1..=among).map(|k| f64::from(k).powf(SKEW)).collect();
    let sum: f64 = weights.iter().sum();
    let spare = f64::from(total.saturating_sub(among));
    let mut shares: Vec<u32> = weights.iter().map(|w| 1 + (spare * w / sum) as u32).collect();
    // What rounding has left goes to the first ones.
    let left = total.saturating_sub(shares.iter().sum());
    (0..left as usize).for_each(|k| shares[k % among as usize] += 1);
    shares
}

impl Generated {
    /// A configuration with so many of each thing.
    pub fn new(counts: Counts, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut next_server = 0;
        let mut pools: Vec<_> = share_out(counts.servers, counts.services)
            .into_iter()
            .enumerate()
            .map(|(k, servers)| {
                let servers = (next_server..next_server + servers)
                    .map(|server| (server, 1.0, rng.next_u32() % counts.zones.max(1)))
                    .collect::<Vec<_>>();
                next_server += servers.len() as u32;
                Pool { name: format!("service-{k}"), servers }
            })
            .collect();
        shuffle(&mut pools, &mut rng);
        let mut routes = Vec::new();
        for (pool, count) in share_out(counts.routes, counts.services).into_iter().enumerate() {
            for k in 0..count {
                let drawn = rng.next_u32();
                let mut matches = format!("hosts = [\"{}.example.org\"]\n", pools[pool].name);
                // The last route of a service takes what the others leave.
                match drawn % EXPRESSIONS {
                    _ if k + 1 == count => {}
                    0 => drop(writeln!(matches, "path_regex = \"/part-{k}/[0-9]+\"")),
                    _ => drop(writeln!(matches, "path_prefix = \"/part-{k}\"")),
                }
                if k + 1 < count && (drawn >> 8) % HEADERS == 0 {
                    matches += "headers = [{ name = \"x-release\", is = \"next\" }]\n";
                }
                if k + 1 < count && (drawn >> 16) % METHODS == 0 {
                    matches += "methods = [\"GET\", \"HEAD\"]\n";
                }
                let to = format!("/v1/{pool}/{k}");
                routes.push(Route { name: format!("route-{pool}-{k}"), pool, matches, to });
            }
        }
        let tenants = (0..counts.tenants).map(|k| (format!("tenant-{k}"), f64::from(k + 1).powf(SKEW)));
        let mut tenants: Vec<_> = tenants.collect();
        let sum: f64 = tenants.iter().map(|(_, share)| share).sum();
        tenants.iter_mut().for_each(|(_, share)| *share = (*share / sum * SHARES * 1000.0).round() / 1000.0);
        shuffle(&mut tenants, &mut rng);
        Generated { pools, routes, tenants, zones: counts.zones, next_server }
    }

    /// How many there are of each thing.
    pub fn counts(&self) -> Counts {
        Counts {
            servers: self.pools.iter().map(|pool| pool.servers.len() as u32).sum(),
            services: self.pools.len() as u32,
            routes: self.routes.len() as u32,
            tenants: self.tenants.len() as u32,
            zones: self.zones,
        }
    }

    /// Changes it. What one of many is concerned is drawn by the number.
    pub fn change(&mut self, change: Change, drawn: usize) {
        let weight = |weight: f64| if weight > 1.5 { 1.0 } else { 2.0 };
        match change {
            Change::Nothing => {}
            Change::Route => {
                let at = drawn % self.routes.len();
                self.routes[at].to += "x";
            }
            Change::Tenant => {
                let at = drawn % self.tenants.len();
                self.tenants[at].1 += 1.0;
            }
            Change::Server => {
                let at = drawn % self.pools.len();
                self.pools[at].servers.push((self.next_server, 1.0, 0));
                self.next_server += 1;
            }
            Change::Weight => {
                let at = drawn % self.pools.len();
                let server = &mut self.pools[at].servers[0];
                server.1 = weight(server.1);
            }
            Change::Everything => {
                self.routes.iter_mut().for_each(|route| route.to += "x");
                self.tenants.iter_mut().for_each(|tenant| tenant.1 += 1.0);
                let servers = self.pools.iter_mut().flat_map(|pool| &mut pool.servers);
                servers.for_each(|server| server.1 = weight(server.1));
            }
        }
    }

    /// The operator's file.
    pub fn text(&self, frame: &Frame<'_>) -> String {
        let mut out = String::from(frame.head);
        let zones: Vec<_> = (0..self.zones).map(|zone| format!("\"zone-{zone}\"")).collect();
        let _ = writeln!(out, "[node]\nzone = \"zone-0\"\nzones = [{}]\n", zones.join(", "));
        out += "[[class]]\nname = \"read\"\neffect = \"safe\"\nmethods = [\"GET\", \"HEAD\"]\n\n[tenants]\n";
        for (name, share) in &self.tenants {
            let _ = writeln!(out, "[[tenants.tenant]]\nname = \"{name}\"\nrate = {share:?}");
        }
        for pool in &self.pools {
            let _ = writeln!(out, "[[pool]]\nname = \"{}\"\n{}servers = [", pool.name, frame.pool);
            for (server, weight, zone) in &pool.servers {
                let address = (frame.address)(*server);
                let _ = writeln!(
                    out,
                    "    {{ address = \"{address}\", name = \"s-{server}\", weight = {weight:?}, zone = \"zone-{zone}\" }},"
                );
            }
            out += "]\n";
        }
        for route in &self.routes {
            let pool = &self.pools[route.pool].name;
            let _ = writeln!(
                out,
                "[[route]]\nname = \"{}\"\n{}pool = \"{pool}\"\nrewrite = {{ path = \"{}\" }}",
                route.name, route.matches, route.to
            );
        }
        out
    }
}

fn shuffle<T>(all: &mut [T], rng: &mut Pcg64Mcg) {
    for k in (1..all.len()).rev() {
        all.swap(k, ((u64::from(rng.next_u32()) * (k as u64 + 1)) >> 32) as usize);
    }
}
