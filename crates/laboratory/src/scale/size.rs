//! The planned size of a deployment, read from `size.toml`, and counts for fractions of it.

use serde::Deserialize;

/// The planned size of a deployment. The keys are explained in `size.toml`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs)] // The keys are explained in `size.toml`.
pub struct PlannedSize {
    pub nodes: u32,
    pub servers: u32,
    pub services: u32,
    pub routes: u32,
    pub tenants: u32,
    #[serde(rename = "requests_a_second")]
    pub requests_per_second: u32,
    pub regions: u32,
    pub zones: u32,
    #[serde(rename = "added_ms")]
    pub max_added_latency_ms: f64,
    pub changes: ChangeRates,
    pub control: ControlBudget,
    pub faults: FaultRates,
}

/// Changes of the configuration.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs)]
pub struct ChangeRates {
    #[serde(rename = "a_day")]
    pub per_day: u32,
    #[serde(rename = "in_force_s")]
    pub max_apply_seconds: f64,
}

/// What a node may spend on control work.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs)]
pub struct ControlBudget {
    pub core_percent: f64,
    pub memory_mb: u32,
    #[serde(rename = "bytes_a_second")]
    pub bytes_per_second: u32,
    pub machines: u32,
}

/// Expected failures of machines, racks, zones and regions.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs)]
pub struct FaultRates {
    #[serde(rename = "machines_a_day")]
    pub machines_per_day: u32,
    #[serde(rename = "replaced_a_day")]
    pub replacements_per_day: u32,
    #[serde(rename = "racks_a_week")]
    pub racks_per_week: u32,
    #[serde(rename = "zones_a_year")]
    pub zones_per_year: u32,
    #[serde(rename = "regions_apart_s")]
    pub region_partition_seconds: u32,
}

impl PlannedSize {
    /// The text of `size.toml`.
    pub const FILE_TEXT: &str = include_str!("../../size.toml");

    /// Parses a file like `size.toml`.
    ///
    /// # Errors
    /// A key is missing or unknown, or its value is not a valid number.
    pub fn parse(text: &str) -> Result<Self, toml::de::Error> {
        toml::from_str(text)
    }

    /// The counts of a configuration of a fraction of the size, each at least one.
    pub fn counts(&self, fraction: f64) -> Counts {
        let fraction = |count: u32| ((f64::from(count) * fraction).round() as u32).max(1);
        Counts {
            servers: fraction(self.servers).max(fraction(self.services)),
            services: fraction(self.services),
            routes: fraction(self.routes).max(fraction(self.services)),
            tenants: fraction(self.tenants),
            zones: self.zones,
        }
    }

    /// Like [`PlannedSize::counts`] of `base`, with one dimension at its own `fraction` instead.
    pub fn counts_with_one(&self, base: f64, dimension: Dimension, fraction: f64) -> Counts {
        let (base, own) = (self.counts(base), self.counts(fraction));
        match dimension {
            // Each service needs at least one server and one route.
            Dimension::Services => Counts {
                services: own.services,
                servers: base.servers.max(own.services),
                routes: base.routes.max(own.services),
                ..base
            },
            Dimension::Servers => Counts { servers: own.servers.max(base.services), ..base },
            Dimension::Routes => Counts { routes: own.routes.max(base.services), ..base },
            Dimension::Tenants => Counts { tenants: own.tenants, ..base },
        }
    }
}

/// What a configuration has many of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dimension {
    /// Services.
    Services,
    /// Servers.
    Servers,
    /// Routes.
    Routes,
    /// Tenants.
    Tenants,
}

impl Dimension {
    /// All dimensions.
    pub const ALL: [Dimension; 4] =
        [Dimension::Services, Dimension::Servers, Dimension::Routes, Dimension::Tenants];
}

/// The counts of a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Counts {
    /// Servers of all services.
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
