//! The work that a change of the configuration causes, counted in operations rather than time, and how it
//! grows with the size.

use corkhollow_laboratory::scale::{Change, ConfigFrame, GeneratedConfig, PlannedSize};
use corkhollow_plan::config::parse_config;
use corkhollow_plan::plan::Plan;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

fn generate(fraction: f64) -> GeneratedConfig {
    GeneratedConfig::new(
        PlannedSize::parse(PlannedSize::FILE_TEXT).expect("a valid size file").counts(fraction),
        9,
    )
}

fn text(config: &GeneratedConfig) -> String {
    let address = |k: u32| SocketAddr::from(([127, 64, (k >> 8) as u8, k as u8], 9000));
    let head = "[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n\n";
    config.to_toml(&ConfigFrame { head, pool: "", address: &address })
}

fn plan(config: &GeneratedConfig) -> Plan {
    parse_config(&text(config), Path::new("")).expect("a valid file").plan
}

/// The number of servers, services, routes and tenants in a file.
fn item_count(config: &GeneratedConfig) -> usize {
    let counts = config.counts();
    (counts.servers + counts.services + counts.routes + counts.tenants) as usize
}

/// Lookups of names must grow linearly with the file, whatever changes; guards against a search of all
/// tenants for each pool.
#[test]
fn lookups_grow_linearly_for_every_change() {
    let count_lookups = |fraction: f64, change: Change| {
        let mut config = generate(fraction);
        let before = plan(&config);
        config.apply(change, 5);
        let (_, differences) = plan(&config).rebase_on(&before);
        (differences.lookups, item_count(&config))
    };
    for change in Change::ALL {
        let ((small, small_items), (large, large_items)) =
            (count_lookups(0.0625, change), count_lookups(0.25, change));
        assert!(
            small <= 4 * small_items && large <= 4 * large_items,
            "{change:?}: {small} of {small_items}, {large} of {large_items}"
        );
        assert!(large <= 5 * small, "{change:?}: {small}, then {large} at four times the size");
    }
}

/// Only pools that differ are changed; all others are shared with the previous plan and not copied.
#[test]
fn unchanged_pools_are_shared_with_the_previous_plan() {
    let config = generate(0.0625);
    let before = plan(&config);
    let pools = before.pools.len();
    for (change, changed_count) in [
        (Change::Nothing, 0),
        (Change::Route, 0),
        (Change::Tenant, 0),
        (Change::Server, 1),
        (Change::Weight, 1),
        (Change::Everything, pools),
    ] {
        let mut config = config.clone();
        config.apply(change, 5);
        let (after, differences) = plan(&config).rebase_on(&before);
        assert_eq!(differences.changed_pools(), changed_count, "{change:?}: {differences}");
        let shared =
            after.pools.iter().filter(|pool| before.pools.iter().any(|p| Arc::ptr_eq(p, pool))).count();
        assert_eq!(shared, pools - changed_count, "{change:?}: shared pools");
        // All pools share one table of quotas, which is kept if no quota has changed.
        assert_eq!(
            differences.quotas_changed,
            matches!(change, Change::Tenant | Change::Everything),
            "{change:?}"
        );
        let bytes: usize = after.pools.iter().map(|pool| pool.settings.tenant_quota.len()).sum();
        assert_eq!(bytes, 0, "a pool has its own copy of the quotas");
    }
}

/// Checks compare each route with only a few others, and the length of the file grows linearly with its counts.
#[test]
fn comparisons_of_routes_grow_linearly() {
    let measure = |fraction: f64| {
        let config = generate(fraction);
        let (covered, comparisons) = plan(&config).routes.covered_with_comparisons();
        assert!(covered.iter().all(Option::is_none), "a route is unreachable");
        (comparisons, config.counts().routes as usize, text(&config).len())
    };
    let ((small, small_items, small_bytes), (large, large_items, large_bytes)) =
        (measure(0.0625), measure(0.25));
    // Guards against a comparison of all pairs of routes.
    assert!(
        small <= 2 * small_items && large <= 2 * large_items,
        "{small} of {small_items}, {large} of {large_items}"
    );
    assert!(large_bytes <= 9 * small_bytes / 2, "{small_bytes} and {large_bytes} bytes");
}
