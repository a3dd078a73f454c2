//! The release adapter over its pipes, with frames laid out by hand.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const CONF: &str =
    "caps.cancelling=true\ncaps.maxAttempts=3\ncaps.maxRetryAfterNs=500000000\ncaps.mayProbe=false\n\
caps.peers=false\ncaps.retryAfter=true\ncaps.secondCopies=true\nclasses.count=1\nclasses.0.aimNs=400000000\n\
classes.0.effect=pure\nclasses.0.giveUpNs=800000000\nclasses.0.group=all\nclasses.0.worth=1.0\n\
guarantees.coldFrom=0.3\nguarantees.fallNs=2000000000\nguarantees.rampTimeNs=9000000000\n\
guarantees.tipMultiple=2.5\ngroupSize=1\nordinal=0\nregistryMode=subscribe\nreport.names=depth,mystery\n\
report.via=piggyback\nsome.new.key=whatever\ntenants=\nweightSource=nominal\nzone=0\nzones=a,b\n";

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_corkhollow-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().unwrap();
    // The adapter may end early on bad input; what is left of it is then of no interest.
    let _ = stdin.write_all(input);
    drop(stdin);
    child.wait_with_output().unwrap()
}

fn frame(clock: u64, records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let length = 16 + 48 * records.len() + tail.len();
    let mut out = clock.to_be_bytes().to_vec();
    out.extend((length as u32).to_be_bytes());
    out.extend((records.len() as u32).to_be_bytes());
    for r in records {
        out.extend(r);
    }
    out.extend(tail);
    out
}

fn record(code: u8, node: u32, rest: &[&[u8]]) -> Vec<u8> {
    let mut r = vec![code];
    r.extend(node.to_be_bytes());
    rest.iter().for_each(|part| r.extend(*part));
    assert!(r.len() <= 48);
    r.resize(48, 0);
    r
}

fn enlist(node: u32, length: usize) -> Vec<u8> {
    record(50, node, &[&7u64.to_be_bytes(), &0u32.to_be_bytes(), &(length as u32).to_be_bytes()])
}

fn entry(k: u8, phase: u8) -> Vec<u8> {
    let mut e = vec![10, 0, 0, k, 0x1f, 0x90, 0, 0, 0, 0, 1, phase];
    e.extend(1.5f32.to_be_bytes());
    e.extend(0u64.to_be_bytes());
    e
}

fn list(node: u32, kind: u8, offset: usize, entries: u32) -> Vec<u8> {
    record(90, node, &[&1u32.to_be_bytes(), &[kind], &(offset as u32).to_be_bytes(), &entries.to_be_bytes()])
}

fn submit(node: u32, id: u32, give_up: u64) -> Vec<u8> {
    let none = [0u8; 12];
    record(
        10,
        node,
        &[&id.to_be_bytes(), &[0], &none, &give_up.to_be_bytes(), &[0; 8], &0xff00u16.to_be_bytes()],
    )
}

/// Splits the output into replies of (code, node, record bytes).
fn replies(output: &[u8]) -> Vec<Vec<Vec<u8>>> {
    let mut at = 0;
    let mut all = Vec::new();
    while at < output.len() {
        let word = |k: usize| u32::from_be_bytes(output[at + k..at + k + 4].try_into().unwrap()) as usize;
        let (count, length) = (word(0), word(4));
        all.push((0..count).map(|k| output[at + 8 + 24 * k..at + 32 + 24 * k].to_vec()).collect());
        at += length;
    }
    assert_eq!(at, output.len());
    all
}

fn start(node: u32) -> Vec<u8> {
    let mut tail = CONF.as_bytes().to_vec();
    tail.extend(entry(1, 1));
    tail.extend(entry(2, 2));
    frame(1_000_000_000, &[enlist(node, CONF.len()), list(node, 2, CONF.len(), 2)], &tail)
}

#[test]
fn a_short_life() {
    let mut input = frame(0, &[], &[]);
    input.extend(start(3));
    input.extend(frame(2_000_000_000, &[submit(3, 77, 2_800_000_000)], &[]));
    // An outcome with a load report, a hangup, a probe result, a message, a start of stream, a stale timer.
    let mut outcome = 77u32.to_be_bytes().to_vec();
    outcome.extend([10, 0, 0, 1, 0x1f, 0x90, 0, 1]);
    outcome.extend(50_000_000u64.to_be_bytes());
    outcome.extend([0, 0, 2]);
    outcome.extend(3f32.to_be_bytes());
    outcome.extend(f32::NAN.to_be_bytes());
    let records = [
        record(100, 3, &[&outcome]),
        record(40, 3, &[&5u32.to_be_bytes()]),
        record(30, 3, &[&[10, 0, 0, 1, 0x1f, 0x90, 0, 0]]),
        record(60, 3, &[&2u32.to_be_bytes(), &0u32.to_be_bytes(), &4u32.to_be_bytes()]),
        record(20, 3, &[&9u32.to_be_bytes()]),
        record(70, 3, &[&123u32.to_be_bytes()]),
        record(80, 3, &[]),
    ];
    input.extend(frame(2_050_000_000, &records, b"hi 7"));
    let output = run(&input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let all = replies(&output.stdout);
    assert_eq!(all.len(), 4);
    assert_eq!(&output.stdout[..8], &[0, 0, 0, 0, 0, 0, 0, 8]);
    // The cached list makes it subscribe; the one ready server gets the request, until the client gives up.
    let subscribe = [vec![80, 0, 0, 0, 3, 1], vec![0; 18]].concat();
    assert_eq!(all[1], [subscribe]);
    let route = [vec![100, 0, 0, 0, 3, 0, 0, 0, 77, 10, 0, 0, 1, 0x1f, 0x90], vec![0; 9]].concat();
    assert!(all[2].contains(&route), "{:?}", all[2]);
    assert!(all[3].iter().all(|r| ![100, 40, 10].contains(&r[0])), "{:?}", all[3]);
}

#[test]
fn a_restart_in_one_batch_forgets() {
    let mut input = start(3);
    let conf = CONF.as_bytes();
    let records = [record(80, 3, &[]), enlist(3, conf.len()), submit(3, 5, 4_000_000_000)];
    input.extend(frame(3_000_000_000, &records, conf));
    let all = replies(&run(&input).stdout);
    // The new life knows no server: the request is refused.
    assert_eq!(all[1][0][..9], [40, 0, 0, 0, 3, 0, 0, 0, 5]);
}

#[test]
fn instances_do_not_sway_each_other() {
    let life = |node| [start(node), frame(2_000_000_000, &[submit(node, 1, 2_800_000_000)], &[])];
    let alone = run(&life(3).concat());
    let (a, b) = (life(3), life(4));
    let both = run(&[a[0].clone(), b[0].clone(), b[1].clone(), a[1].clone()].concat());
    assert_eq!(replies(&alone.stdout)[1], replies(&both.stdout)[3]);
}

#[test]
fn malformed_input_is_named() {
    let conf = |text: &str| frame(1, &[enlist(0, text.len())], text.as_bytes());
    let cases: Vec<(Vec<u8>, &str)> = vec![
        (vec![0; 7], "inside a frame header: 7 of 16"),
        (start(0)[..60].to_vec(), "inside a frame: 60 of"),
        ([&[0; 8][..], &[0, 0, 0, 20, 0, 0, 0, 9]].concat(), "frame length 20"),
        ([&[0; 8][..], &[255, 255, 255, 255, 0, 0, 0, 1], &[0; 99]].concat(), "inside a frame"),
        (frame(1, &[record(99, 0, &[])], &[]), "record 0: unknown event code 99"),
        (frame(1, &[list(0, 7, 0, 0)], &[]), "unknown list kind 7"),
        (frame(1, &[list(0, 1, 4, 1)], &[0; 24]), "tail reference 4+1"),
        (frame(1, &[list(0, 1, 0, 1)], &entry(1, 9)), "unknown phase 9"),
        (frame(1, &[record(30, 0, &[&[0, 0, 0, 0, 0, 0, 0, 77]])], &[]), "unknown outcome code 77"),
        (frame(1, &[enlist(0, 50)], &[]), "tail reference 0+50"),
        (conf("no pairs here"), "no `=`"),
        (conf(""), "is missing"),
        (conf(&CONF.replace("giveUpNs=800000000", "giveUpNs=soon")), "classes.0.giveUpNs"),
        (conf(&CONF.replace("aimNs=400000000", "aimNs=0")), "`aim` must be above zero"),
        (conf(&CONF.replace("effect=pure", "effect=odd")), "classes.0.effect"),
        (conf(&CONF.replace("zone=0", "zone=2")), "`zone` is 2"),
    ];
    for (input, message) in cases {
        let output = run(&input);
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(1), "{message}: {error}");
        assert!(error.contains(message) && !error.contains("panicked"), "{message}: {error}");
    }
    assert!(run(&[]).status.success());
}
