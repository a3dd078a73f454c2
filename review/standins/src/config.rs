//! The platform's configuration of a node, with the names of the interface page.

use std::net::SocketAddr;

/// The memory limit of a node, the most that a node has on the scored days.
pub const MEMORY_MB: u64 = 192;

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    pub name: &'static str,
    pub effect: &'static str,
    pub aim_ms: u64,
    pub give_up_ms: u64,
    pub worth: f64,
}

/// The classes of the site's page.
pub fn site_classes() -> Vec<Class> {
    vec![
        Class { name: "status", effect: "pure", aim_ms: 250, give_up_ms: 600, worth: 5.0 },
        Class { name: "gauges", effect: "pure", aim_ms: 600, give_up_ms: 1500, worth: 1.0 },
        Class { name: "acknowledge", effect: "side_effect", aim_ms: 600, give_up_ms: 2500, worth: 10.0 },
    ]
}

/// The file that `GW_CONFIG` names.
pub fn platform_file(
    listen: SocketAddr,
    operator: SocketAddr,
    discovery: SocketAddr,
    known: &str,
    classes: &[Class],
) -> String {
    let classes: Vec<_> = classes
        .iter()
        .map(|class| {
            format!(
                r#"{{"name":"{}","effect":"{}","aimNs":{},"giveUpNs":{},"worth":{:?},"lateWorth":0.0,"group":"all","windowNs":5000000000,"stream":false}}"#,
                class.name,
                class.effect,
                class.aim_ms * 1_000_000,
                class.give_up_ms * 1_000_000,
                class.worth
            )
        })
        .collect();
    format!(
        r#"{{"name":"n0","listen":"{listen}","operator":"{operator}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{MEMORY_MB},"sockets":1024}},
"known":{known},
"settings":{{
"groupSize":1,"ordinal":0,"registryMode":"automatic","zone":0,"zones":["belmont"],"skus":["std-1","slow-1"],
"stage":0,"stages":["warning-web"],"domainType":"proxy","countedBy":"request","weightSource":"nominal","overShareWorth":0.05,"tickNs":4000000,
"classes":[{}],
"caps":{{"cancelling":true,"connIdleNs":10000000000,"connectTimeoutNs":120000000,"cpuUsPerRequest":10.0,"cpuUsPerS":15000,"maxAttempts":3,"maxRetryAfterNs":2000000000,"maxStreams":1,"mayProbe":false,"mostHeld":20000,"peers":false,"retryAfter":true,"secondCopies":true}},
"clients":{{"marksRetry":true}},"familyInfo":{{"warmKeys":false}},
"guarantees":{{"answerSlackNs":16000000,"askWithinNs":10000000000,"coldFrom":0.14,"fallNs":2000000000,"rampTimeNs":23000000000,"stopSendingWithinNs":250000000,"tipMultiple":3.0}},
"prices":{{"connection":0.0,"crossZone":0.08,"handshake":0.0,"lateFail":0.03,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.0,"registryMode":0.0,"waste":0.02}},
"report":{{"names":[],"via":"silent"}},
"scoringMix":{{"whole":0.7,"worstClass":0.1,"worstTenant":0.1,"worstWindow":0.1}},
"tenants":[{{"name":"swan-valley","quotaPerS":54.0,"share":0.37}},{{"name":"canning-river","quotaPerS":51.0,"share":0.35}},{{"name":"serpentine","quotaPerS":41.0,"share":0.28}}]
}}}}
"#,
        classes.join(",")
    )
}
