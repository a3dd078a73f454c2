//! Golden file of the datagrams between nodes: each field and each variant is read by its position.

use corkhollow_fleet::*;
use std::net::SocketAddr;
use std::path::Path;

const MS: Nanos = 1_000_000;

/// Compares with the bytes that are kept under `tests/golden`.
fn assert_golden(name: &str, bytes: &[u8]) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    let kept = std::fs::read(&path).unwrap();
    assert!(kept == bytes, "{name} differs from:\n{}\nnow:\n{}", kept.escape_ascii(), bytes.escape_ascii());
}

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn node(name: &str, port: u16, now: Nanos, key: Option<[u8; 32]>) -> Node {
    let config = Config {
        fleet: "perth".to_owned(),
        name: name.to_owned(),
        zone: "north".to_owned(),
        address: at(port),
        seeds: vec![at(1)],
        key,
        timing: Timing { probe_interval: 500 * MS, probe_timeout: 200 * MS, suspicion_timeout: 2_500 * MS },
        max_datagram_bytes: MIN_DATAGRAM_BYTES,
        extensions: Extensions::default(),
        initial_incarnation: 5,
    };
    Node::new(config, now, u64::from(port))
}

/// Runs the nodes on one clock and returns all datagrams, each as it was sent.
fn run(nodes: &mut [(u16, Node)], now: &mut Nanos, ms: u64) -> Vec<Vec<u8>> {
    let mut sent = Vec::new();
    for _ in 0..ms / 10 {
        *now += 10 * MS;
        for k in 0..nodes.len() {
            if *now >= nodes[k].1.next_tick_at() {
                nodes[k].1.tick(*now);
            }
            for (to, bytes) in nodes[k].1.take_outbox().datagrams {
                if let Some((_, node)) = nodes.iter_mut().find(|(port, _)| *port == to.port()) {
                    let _ = node.handle(*now, &bytes);
                }
                sent.push(bytes);
            }
        }
    }
    sent
}

/// A fleet in which a member crashes, another drains and leaves, and a third's name is claimed twice: every kind of datagram, and
/// claims in every state.
fn history(key: Option<[u8; 32]>) -> (Vec<Vec<u8>>, Vec<(u16, Node)>) {
    let mut now = 1;
    let mut nodes: Vec<_> = [("a", 1), ("b", 2), ("c", 3), ("d", 4)]
        .map(|(name, port)| (port, node(name, port, now, key)))
        .into();
    let mut sent = run(&mut nodes, &mut now, 2_000);
    nodes[2].1.set_draining(now, true);
    sent.extend(run(&mut nodes, &mut now, 1_000));
    nodes.push((5, node("b", 5, now, key)));
    sent.extend(run(&mut nodes, &mut now, 1_000));
    nodes.retain(|(port, _)| *port != 4);
    sent.extend(run(&mut nodes, &mut now, 8_000));
    nodes[2].1.leave(now);
    sent.extend(run(&mut nodes, &mut now, 1_000));
    (sent, nodes)
}

fn hex(datagrams: &[Vec<u8>]) -> String {
    let line = |bytes: &Vec<u8>| {
        bytes.iter().map(|b| format!("{b:02x}")).chain(["\n".to_owned()]).collect::<String>()
    };
    datagrams.iter().map(line).collect()
}

#[test]
fn datagrams_keep_their_bytes() {
    let (sent, nodes) = history(None);
    assert_golden("datagrams.txt", hex(&sent).as_bytes());
    let mut kinds = [0; DatagramKind::ALL.len()];
    for (_, node) in &nodes {
        let sent = node.stats().sent;
        kinds.iter_mut().zip(sent).for_each(|(sum, (count, _))| *sum += count);
    }
    for kind in DatagramKind::ALL {
        assert!(kinds[kind as usize] > 0, "no {} was sent", kind.name());
    }
}

#[test]
fn keyed_datagrams_keep_their_bytes() {
    let (sent, _) = history(Some([7; 32]));
    assert_golden("keyed-datagrams.txt", hex(&sent[..60]).as_bytes());
}
