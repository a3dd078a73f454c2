//! The adapter program over its standard input and output, with hand-encoded frames.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str =
    "caps.cancelling=true\ncaps.maxAttempts=3\ncaps.maxRetryAfterNs=500000000\ncaps.mayProbe=false\n\
caps.peers=false\ncaps.retryAfter=true\ncaps.secondCopies=true\nclasses.count=1\nclasses.0.aimNs=400000000\n\
classes.0.effect=pure\nclasses.0.giveUpNs=800000000\nclasses.0.group=all\nclasses.0.worth=1.0\n\
guarantees.coldFrom=0.3\nguarantees.fallNs=2000000000\nguarantees.rampTimeNs=9000000000\n\
guarantees.tipMultiple=2.5\ngroupSize=1\nordinal=0\nregistryMode=subscribe\nreport.names=depth,mystery\n\
report.via=piggyback\nsome.new.key=whatever\ntenants=\nweightSource=nominal\nzone=0\nzones=a,b\n";

fn run_adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_corkhollow-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().unwrap();
    // The adapter may exit early on malformed input, so the write may fail.
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

fn record(code: u8, instance: u32, rest: &[&[u8]]) -> Vec<u8> {
    let mut r = vec![code];
    r.extend(instance.to_be_bytes());
    rest.iter().for_each(|part| r.extend(*part));
    assert!(r.len() <= 48);
    r.resize(48, 0);
    r
}

fn start_record(instance: u32, length: usize) -> Vec<u8> {
    record(50, instance, &[&7u64.to_be_bytes(), &0u32.to_be_bytes(), &(length as u32).to_be_bytes()])
}

fn list_entry(last_octet: u8, phase: u8) -> Vec<u8> {
    let mut e = vec![10, 0, 0, last_octet, 0x1f, 0x90, 0, 0, 0, 0, 1, phase];
    e.extend(1.5f32.to_be_bytes());
    e.extend(0u64.to_be_bytes());
    e
}

fn list_record(instance: u32, kind: u8, offset: usize, entries: u32) -> Vec<u8> {
    record(
        90,
        instance,
        &[&1u32.to_be_bytes(), &[kind], &(offset as u32).to_be_bytes(), &entries.to_be_bytes()],
    )
}

fn request_record(instance: u32, id: u32, give_up_at: u64) -> Vec<u8> {
    let no_tenant_or_key = [0u8; 12];
    record(
        10,
        instance,
        &[
            &id.to_be_bytes(),
            &[0],
            &no_tenant_or_key,
            &give_up_at.to_be_bytes(),
            &[0; 8],
            &0xff00u16.to_be_bytes(),
        ],
    )
}

/// Splits the output into replies, each a list of action records.
fn decode_replies(output: &[u8]) -> Vec<Vec<Vec<u8>>> {
    let mut at = 0;
    let mut all = Vec::new();
    while at < output.len() {
        let u32_at = |k: usize| u32::from_be_bytes(output[at + k..at + k + 4].try_into().unwrap()) as usize;
        let (count, length) = (u32_at(0), u32_at(4));
        all.push((0..count).map(|k| output[at + 8 + 24 * k..at + 32 + 24 * k].to_vec()).collect());
        at += length;
    }
    assert_eq!(at, output.len());
    all
}

fn started_instance_frame(instance: u32) -> Vec<u8> {
    let mut tail = SETTINGS.as_bytes().to_vec();
    tail.extend(list_entry(1, 1));
    tail.extend(list_entry(2, 2));
    frame(
        1_000_000_000,
        &[start_record(instance, SETTINGS.len()), list_record(instance, 2, SETTINGS.len(), 2)],
        &tail,
    )
}

#[test]
fn a_session_subscribes_and_sends_the_request_to_the_ready_server() {
    let mut input = frame(0, &[], &[]);
    input.extend(started_instance_frame(3));
    input.extend(frame(2_000_000_000, &[request_record(3, 77, 2_800_000_000)], &[]));
    // An outcome with a load report, a client that left, a probe result, a message, a stream start, an
    // unknown timer, and the end of the instance.
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
    let output = run_adapter(&input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let replies = decode_replies(&output.stdout);
    assert_eq!(replies.len(), 4);
    assert_eq!(&output.stdout[..8], &[0, 0, 0, 0, 0, 0, 0, 8]);
    // The cached list makes the balancer subscribe; the only ready server gets the request, with
    // timeout 0 (none).
    let subscribe_record = [vec![80, 0, 0, 0, 3, 1], vec![0; 18]].concat();
    assert_eq!(replies[1], [subscribe_record]);
    let send_record = [vec![100, 0, 0, 0, 3, 0, 0, 0, 77, 10, 0, 0, 1, 0x1f, 0x90], vec![0; 9]].concat();
    assert!(replies[2].contains(&send_record), "{:?}", replies[2]);
    assert!(replies[3].iter().all(|r| ![100, 40, 10].contains(&r[0])), "{:?}", replies[3]);
}

#[test]
fn a_restart_within_one_batch_forgets_the_servers() {
    let mut input = started_instance_frame(3);
    let settings = SETTINGS.as_bytes();
    let records = [record(80, 3, &[]), start_record(3, settings.len()), request_record(3, 5, 4_000_000_000)];
    input.extend(frame(3_000_000_000, &records, settings));
    let replies = decode_replies(&run_adapter(&input).stdout);
    // The restarted instance knows no server and refuses the request.
    assert_eq!(replies[1][0][..9], [40, 0, 0, 0, 3, 0, 0, 0, 5]);
}

#[test]
fn instances_do_not_affect_each_other() {
    let frames_of = |instance| {
        [
            started_instance_frame(instance),
            frame(2_000_000_000, &[request_record(instance, 1, 2_800_000_000)], &[]),
        ]
    };
    let alone = run_adapter(&frames_of(3).concat());
    let (a, b) = (frames_of(3), frames_of(4));
    let both = run_adapter(&[a[0].clone(), b[0].clone(), b[1].clone(), a[1].clone()].concat());
    assert_eq!(decode_replies(&alone.stdout)[1], decode_replies(&both.stdout)[3]);
}

#[test]
fn malformed_input_fails_with_the_location_and_cause() {
    let settings_frame = |text: &str| frame(1, &[start_record(0, text.len())], text.as_bytes());
    let cases: Vec<(Vec<u8>, &str)> = vec![
        (vec![0; 7], "inside a frame header: 7 of 16"),
        (started_instance_frame(0)[..60].to_vec(), "inside a frame: 60 of"),
        ([&[0; 8][..], &[0, 0, 0, 20, 0, 0, 0, 9]].concat(), "frame length 20"),
        ([&[0; 8][..], &[255, 255, 255, 255, 0, 0, 0, 1], &[0; 99]].concat(), "inside a frame"),
        (frame(1, &[record(99, 0, &[])], &[]), "record 0: unknown event code 99"),
        (frame(1, &[list_record(0, 7, 0, 0)], &[]), "unknown list kind 7"),
        (frame(1, &[list_record(0, 1, 4, 1)], &[0; 24]), "tail reference 4+1"),
        (frame(1, &[list_record(0, 1, 0, 1)], &list_entry(1, 9)), "unknown phase 9"),
        (frame(1, &[record(30, 0, &[&[0, 0, 0, 0, 0, 0, 0, 77]])], &[]), "unknown outcome code 77"),
        (frame(1, &[start_record(0, 50)], &[]), "tail reference 0+50"),
        (settings_frame("no pairs here"), "no `=`"),
        (settings_frame(""), "is missing"),
        (settings_frame(&SETTINGS.replace("giveUpNs=800000000", "giveUpNs=soon")), "classes.0.giveUpNs"),
        (settings_frame(&SETTINGS.replace("aimNs=400000000", "aimNs=0")), "`aim` must be above zero"),
        (settings_frame(&SETTINGS.replace("effect=pure", "effect=odd")), "classes.0.effect"),
        (settings_frame(&SETTINGS.replace("zone=0", "zone=2")), "`zone` is 2"),
    ];
    for (input, message) in cases {
        let output = run_adapter(&input);
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(1), "{message}: {error}");
        assert!(error.contains(message) && !error.contains("panicked"), "{message}: {error}");
    }
    assert!(run_adapter(&[]).status.success());
}
