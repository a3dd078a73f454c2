//! A small part of the scale run, by counts of work and not by the clock: what a change makes the program look up and touch, and how
//! that grows with the size.

use corkhollow_laboratory::scale::{Change, Frame, Generated, Size};
use corkhollow_plan::config::parse_config;
use corkhollow_plan::plan::Plan;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

fn sized(part: f64) -> Generated {
    Generated::new(Size::read(Size::TEXT).expect("the file is sound").counts(part), 9)
}

fn text(site: &Generated) -> String {
    let address = |k: u32| SocketAddr::from(([127, 64, (k >> 8) as u8, k as u8], 9000));
    let head = "[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n\n";
    site.text(&Frame { head, pool: "", address: &address })
}

fn plan(site: &Generated) -> Plan {
    parse_config(&text(site), Path::new("")).expect("a sound file").plan
}

/// Things that a file names.
fn things(site: &Generated) -> usize {
    let counts = site.counts();
    (counts.servers + counts.services + counts.routes + counts.tenants) as usize
}

/// Whatever is changed, each name is looked up a few times at the most: the work grows like the file. (Each tenant sought among all,
/// once a pool, which it was, is 23 million comparisons at this part, and 64 times as many at four times the part.)
#[test]
fn names_are_looked_up_a_few_times_each() {
    let worked = |part: f64, change: Change| {
        let mut site = sized(part);
        let before = plan(&site);
        site.change(change, 5);
        let (_, told) = plan(&site).rebase_on(&before);
        (told.lookups, things(&site))
    };
    for change in Change::ALL {
        let ((small, few), (large, many)) = (worked(0.0625, change), worked(0.25, change));
        assert!(small <= 4 * few && large <= 4 * many, "{change:?}: {small} of {few}, {large} of {many}");
        assert!(large <= 5 * small, "{change:?}: {small}, then {large} at four times the part");
    }
}

/// Pools are touched where they differ, and nothing is copied for those that don't: they are held in common with the plan before.
#[test]
fn what_is_the_same_is_not_touched() {
    let site = sized(0.0625);
    let before = plan(&site);
    let pools = before.pools.len();
    for (change, touched) in [
        (Change::Nothing, 0),
        (Change::Route, 0),
        (Change::Tenant, 0),
        (Change::Server, 1),
        (Change::Weight, 1),
        (Change::Everything, pools),
    ] {
        let mut site = site.clone();
        site.change(change, 5);
        let (after, told) = plan(&site).rebase_on(&before);
        assert_eq!(told.changed_pools(), touched, "{change:?}: {told}");
        let shared =
            after.pools.iter().filter(|pool| before.pools.iter().any(|p| Arc::ptr_eq(p, pool))).count();
        assert_eq!(shared, pools - touched, "{change:?}: pools held in common");
        // One table of shares for all pools; where none has changed, the one of before.
        assert_eq!(told.quotas_changed, matches!(change, Change::Tenant | Change::Everything), "{change:?}");
        let bytes: usize = after.pools.iter().map(|pool| pool.settings.tenant_quota.len()).sum();
        assert_eq!(bytes, 0, "no pool has a copy of them");
    }
}

/// To check a file is to hold each route against a few others, and the file itself grows like what it names.
#[test]
fn checks_grow_like_the_file() {
    let of = |part: f64| {
        let site = sized(part);
        let (covered, held) = plan(&site).routes.covered_with_comparisons();
        assert!(covered.iter().all(Option::is_none), "no route is in another one's way");
        (held, site.counts().routes as usize, text(&site).len())
    };
    let ((small, few, short), (large, many, long)) = (of(0.0625), of(0.25));
    // Of each pair of routes one was held against the other: 195 thousand pairs at this part.
    assert!(small <= 2 * few && large <= 2 * many, "{small} of {few}, {large} of {many}");
    assert!(long <= 9 * short / 2, "{short} and {long} bytes");
}
