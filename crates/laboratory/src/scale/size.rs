//! The size, read from `size.toml`, and parts of it.

use serde::Deserialize;

/// The size that is coming. What each figure is stands in the file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs)] // Each figure is told of once, in the file.
pub struct Size {
    pub nodes: u32,
    pub servers: u32,
    pub services: u32,
    pub routes: u32,
    pub tenants: u32,
    pub requests_a_second: u32,
    pub regions: u32,
    pub zones: u32,
    pub added_ms: f64,
    pub changes: Changes,
    pub control: Control,
    pub faults: Faults,
}

/// See [`Size`].
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs)]
pub struct Changes {
    pub a_day: u32,
    pub in_force_s: f64,
}

/// See [`Size`].
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs)]
pub struct Control {
    pub core_percent: f64,
    pub memory_mb: u32,
    pub bytes_a_second: u32,
    pub machines: u32,
}

/// See [`Size`].
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs)]
pub struct Faults {
    pub machines_a_day: u32,
    pub replaced_a_day: u32,
    pub racks_a_week: u32,
    pub zones_a_year: u32,
    pub regions_apart_s: u32,
}

impl Size {
    /// The file's text.
    pub const TEXT: &str = include_str!("../../size.toml");

    /// Reads such a file.
    ///
    /// # Errors
    /// Where a figure is missing, unknown or none.
    pub fn read(text: &str) -> Result<Self, toml::de::Error> {
        toml::from_str(text)
    }

    /// How many there are of each thing that a configuration names, in a part of the size: at least one.
    pub fn counts(&self, part: f64) -> Counts {
        let part = |count: u32| ((f64::from(count) * part).round() as u32).max(1);
        Counts {
            servers: part(self.servers).max(part(self.services)),
            services: part(self.services),
            routes: part(self.routes).max(part(self.services)),
            tenants: part(self.tenants),
            zones: self.zones,
        }
    }

    /// The same with one count of the whole size, or of a part of its own.
    pub fn alone(&self, rest: f64, count: Count, part: f64) -> Counts {
        let (rest, own) = (self.counts(rest), self.counts(part));
        match count {
            // Each service has a server and a route.
            Count::Services => Counts {
                services: own.services,
                servers: rest.servers.max(own.services),
                routes: rest.routes.max(own.services),
                ..rest
            },
            Count::Servers => Counts { servers: own.servers.max(rest.services), ..rest },
            Count::Routes => Counts { routes: own.routes.max(rest.services), ..rest },
            Count::Tenants => Counts { tenants: own.tenants, ..rest },
        }
    }
}

/// What is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Count {
    /// Services.
    Services,
    /// Servers.
    Servers,
    /// Routes.
    Routes,
    /// Tenants.
    Tenants,
}

impl Count {
    /// All of them.
    pub const ALL: [Count; 4] = [Count::Services, Count::Servers, Count::Routes, Count::Tenants];
}

/// How many there are of each thing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Counts {
    /// Servers, of all services.
    pub servers: u32,
    /// Services.
    pub services: u32,
    /// Routes.
    pub routes: u32,
    /// Tenants.
    pub tenants: u32,
    /// Zones.
    pub zones: u32,
}
