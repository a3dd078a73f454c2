//! Golden files of what other versions and operators' tools read: the hand-over, the fleet page, events and metric names.

use corkhollow_balance::interface::{Ending, Refusal, ServerId};
use corkhollow_balance::{ClassKnowledge, Knowledge, ServerKnowledge};
use corkhollow_fleet::{GroupPosition, MemberState, MemberView, Snapshot, Stats};
use corkhollow_operate::*;
use std::collections::BTreeSet;
use std::path::Path;

/// Compares with the bytes that are kept under `tests/golden`.
fn assert_golden(name: &str, bytes: &[u8]) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    let kept = std::fs::read(&path).unwrap();
    assert!(kept == bytes, "{name} differs from:\n{}\nnow:\n{}", kept.escape_ascii(), bytes.escape_ascii());
}

fn address(text: &str) -> std::net::SocketAddr {
    text.parse().unwrap()
}

/// A pool with two classes and two servers, every field away from its default.
fn pool(name: &str, at: u64) -> PoolHandover {
    let server = |k: u64| ServerKnowledge {
        id: ServerId(0x0a00_0001_1f90 + k),
        started_at: 1_700_000_000_000_000_000 + k,
        lag: 1.25,
        lag_at: at - 1,
        score: 17.5 + k as f64,
        consecutive_failures: 3,
        ejected_until: at + 2_000_000_000,
        failure_rate: 0.125,
        failure_rate_at: at - 2,
    };
    let class =
        |typical_nanos: f64| ClassKnowledge { typical_nanos, answer_count: 42.5, min_nanos: 250_000.0 };
    PoolHandover {
        name: name.to_owned(),
        classes: vec!["read".to_owned(), "write".to_owned()],
        knowledge: Knowledge {
            at,
            classes: vec![class(1.5e6), class(3.25e7)],
            servers: vec![server(0), server(1)],
        },
    }
}

#[test]
fn handover_of_a_drained_fleet_member_keeps_its_bytes() {
    let handover = Handover {
        drains: true,
        fleet: Some(FleetHandover {
            ordinal: 3,
            size: 9,
            incarnation: 17,
            members: vec![address("127.0.0.1:7101"), address("[::1]:7102")],
        }),
        pools: vec![pool("main", 1_764_700_000_000_000_000), pool("other", 1_764_700_000_500_000_000)],
    };
    let bytes = handover.encode().unwrap();
    assert_golden("handover.bin", &bytes);
    assert_eq!(Handover::decode(&bytes).unwrap(), handover);
}

#[test]
fn handover_without_optional_fields_is_read() {
    let handover =
        Handover { drains: false, fleet: None, pools: vec![pool("main", 1_764_700_000_000_000_000)] };
    let bytes = handover.encode().unwrap();
    assert_golden("handover-alone.bin", &bytes);
    assert_eq!(Handover::decode(&bytes).unwrap(), handover);
    // An earlier version wrote neither `drains` nor a class's `least`.
    let old = br#"{"pools":[{"name":"main","classes":["read"],"knowledge":{"at":7,"classes":[{"typical":2.0,"answers":3.0}],"servers":[]}}]}"#;
    let framed = [
        &b"corkhollow-handover 1\n"[..],
        &(old.len() as u32).to_be_bytes(),
        &crc32fast::hash(old).to_be_bytes(),
        old,
    ]
    .concat();
    let classes = vec![ClassKnowledge { typical_nanos: 2.0, answer_count: 3.0, min_nanos: 0.0 }];
    let knowledge = Knowledge { at: 7, classes, servers: Vec::new() };
    let pool = PoolHandover { name: "main".to_owned(), classes: vec!["read".to_owned()], knowledge };
    assert_eq!(
        Handover::decode(&framed).unwrap(),
        Handover { drains: false, fleet: None, pools: vec![pool] }
    );
}

fn snapshot() -> Snapshot {
    let member = |name: &str, port: u16, state: MemberState| MemberView {
        name: name.to_owned(),
        address: address(&format!("127.0.0.1:{port}")),
        zone: "north".to_owned(),
        state,
        incarnation: u64::from(port),
        state_age: 1_500_000_000,
        is_draining: state == MemberState::Left,
    };
    Snapshot {
        fleet: "perth".to_owned(),
        node: "a".to_owned(),
        incarnation: 4,
        view_digest: 0x0123_4567_89ab_cdef,
        is_settled: true,
        members: MemberState::ALL.into_iter().zip(1..).map(|(s, k)| member(&format!("m{k}"), k, s)).collect(),
        group_position: GroupPosition { ordinal: 1, size: 2 },
    }
}

#[test]
fn fleet_page_keeps_its_json() {
    let page = FleetPage::new(&snapshot(), Some(address("127.0.0.1:7999")), 2_000_000);
    assert_golden("fleet-page.json", page.to_json().as_bytes());
    assert_eq!(FleetPage::from_json(page.to_json().as_bytes()).unwrap(), page);
    let alone = FleetPage::new(&Snapshot { members: Vec::new(), is_settled: false, ..snapshot() }, None, 0);
    assert_golden("fleet-page-alone.json", alone.to_json().as_bytes());
}

const ENDINGS: [Ending; 9] = [
    Ending::Ok,
    Ending::Error,
    Ending::Rejected,
    Ending::Full,
    Ending::TimedOut,
    Ending::ConnectFailed,
    Ending::Reset,
    Ending::Cancelled,
    Ending::NotSent,
];

#[test]
fn events_page_keeps_its_lines() {
    let recorder = EventLog::default();
    let request = || Subject::Request { pool: "main".into(), number: 7 };
    recorder.record(1_500_000_000, request(), Event::Received(ClientRequestId::new(b"9b1f")));
    recorder.record(
        1_500_000_000,
        request(),
        Event::AttemptSent { attempt: 1, server: "s-1".into(), hedge: true },
    );
    for (at, ending) in (0..).zip(ENDINGS) {
        recorder.record(1_600_000_000 + 1_000 * at, request(), Event::AttemptEnded { attempt: 1, ending });
    }
    recorder.record(1_700_000_000, request(), Event::Denied("may-have-run"));
    recorder.record(1_700_000_000, request(), Event::Answered("failed"));
    recorder.record(1_700_000_000, request(), Event::ClientLeft);
    recorder.record(1_800_000_000, Subject::Connection(3), Event::Closed("leaving"));
    recorder.record(1_800_000_000, Subject::Connection(3), Event::ClientLeft);
    assert_golden("events.txt", recorder.render().as_bytes());
}

/// Metric names with their types and labels; help texts and values are left out.
#[test]
fn metrics_keep_names_types_and_labels() {
    let figures = Metrics::new().unwrap();
    figures.count_client_close("idle-timeout", true);
    figures.count_late_answer();
    figures.set_active_config("v1", Some(([0.1, 0.2, 0.3], 4)));
    figures.for_class("status");
    let pool = figures.for_pool("main");
    for ending in ENDINGS {
        pool.count_attempt(ending);
        pool.count_retry(ending);
    }
    Refusal::ALL.into_iter().for_each(|reason| pool.count_refusal(reason));
    pool.count_denial(DenialPoint::Decision, "may-have-run");
    pool.count_denial(DenialPoint::FirstByte, "out-of-time");
    figures.for_fleet().unwrap().update(&snapshot(), &Stats::default());
    let (page, content_type) = figures.render().unwrap();
    assert_eq!(content_type, "text/plain; version=0.0.4");
    let page = String::from_utf8(page).unwrap();
    let shown = page.lines().filter(|line| !line.starts_with("# HELP "));
    let names: BTreeSet<_> = shown
        .map(|line| if line.starts_with('#') { line } else { line.rsplit_once(' ').unwrap().0 })
        .collect();
    let names: String = names.into_iter().map(|name| format!("{name}\n")).collect();
    assert_golden("metrics.txt", names.as_bytes());
}
