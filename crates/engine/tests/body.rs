//! Bodies: what those in memory keep and what the budget counts, and how long a streamed one may stall.

use bytes::Bytes;
use corkhollow_engine::{ArrivalProbe, BodyBuffer, UploadProgress};
use corkhollow_plan::limits::Budget;
use std::time::Duration;

const MEMORY_BYTES: u64 = 48 << 20;
/// Lengths of the buffers that connections are read into.
const READ_BUFFER_BYTES: [usize; 2] = [8 << 10, 64 << 10];

fn pattern(bytes: usize) -> Vec<u8> {
    (0..bytes).map(|k| (k % 251) as u8).collect()
}

fn contents(body: corkhollow_engine::BufferedBody) -> Vec<u8> {
    body.into_parts().0.concat()
}

/// Guards against memory far beyond the budget: each small piece of a body kept the read buffer that it came in.
#[test]
fn a_body_keeps_none_of_the_buffers_that_its_pieces_were_read_into() {
    for buffer_bytes in READ_BUFFER_BYTES {
        for piece_bytes in [1, 100, 256, 5_000, 8_192] {
            let budget = Budget::new(1_024, MEMORY_BYTES, READ_BUFFER_BYTES[0]);
            let mut body = BodyBuffer::new(budget.lease_for(None));
            let read_buffers: Vec<_> = (0..100).map(|_| Bytes::from(pattern(buffer_bytes))).collect();
            for read_buffer in &read_buffers {
                assert!(body.push(&read_buffer.slice(..piece_bytes)));
            }
            let kept = read_buffers.iter().filter(|buffer| !buffer.is_unique()).count();
            assert_eq!(kept, 0, "buffers of {buffer_bytes} bytes, pieces of {piece_bytes}");
            let expected = pattern(buffer_bytes)[..piece_bytes].repeat(100);
            assert!(contents(body.finish()) == expected, "pieces of {piece_bytes}");
        }
    }
}

/// The budget counts a body's memory, not its pieces: however a body arrives, it costs about the same.
#[test]
fn the_budget_counts_the_memory_of_a_body_in_pieces_of_any_size() {
    const BODY_BYTES: usize = 1 << 20;
    for piece_bytes in [1, 7, 256, 4_096, 16_384, 100_000] {
        let budget = Budget::new(1_024, MEMORY_BYTES, READ_BUFFER_BYTES[0]);
        let mut body = BodyBuffer::new(budget.lease_for(Some(BODY_BYTES as u64)));
        let bytes = pattern(BODY_BYTES);
        for piece in bytes.chunks(piece_bytes) {
            assert!(body.push(piece));
            assert!(budget.body_bytes_usage().0 as u64 >= body.len());
        }
        let counted = budget.body_bytes_usage().0;
        assert!(counted < BODY_BYTES + BODY_BYTES / 16, "{counted} bytes for pieces of {piece_bytes}");
        let body = body.finish();
        assert_eq!(budget.body_bytes_usage().0, counted, "the memory is counted until the body is dropped");
        assert!(contents(body) == bytes, "pieces of {piece_bytes}");
        assert_eq!(budget.body_bytes_usage().0, 0);
    }
}

/// A piece that does not fit is left to the caller, who streams it behind what is held.
#[test]
fn a_piece_beyond_the_budget_leaves_the_body_as_it_was() {
    let budget = Budget::new(1_024, MEMORY_BYTES, READ_BUFFER_BYTES[0]);
    let mut body = BodyBuffer::new(budget.lease_for(None));
    let bytes = pattern(MEMORY_BYTES as usize);
    let pieces = bytes.chunks(1_000).take_while(|piece| body.push(piece)).count();
    assert!(pieces < bytes.len() / 1_000, "the budget has no limit");
    let (used, limit) = budget.body_bytes_usage();
    assert!(used <= limit, "{used} of {limit}");
    assert_eq!(body.len(), 1_000 * pieces as u64);
    assert!(contents(body.finish()) == bytes[..1_000 * pieces]);
}

/// Guards against a request cut off while its server reads it: the server's kernel takes no more until the server has
/// read megabytes.
#[test]
fn a_server_that_was_sent_much_has_time_to_read_it_before_the_request_counts_as_stalled() {
    const SECOND: u64 = 1_000_000_000;
    let progress = UploadProgress::new(SECOND, Duration::from_secs(20));
    assert_eq!(progress.stalled_at(), 21 * SECOND);
    for (forwarded_bytes, stalled_after_secs) in [(640_000, 30), (640_000, 40), (30_000_000, 40)] {
        progress.record_forwarded(2 * SECOND, forwarded_bytes);
        assert_eq!(progress.stalled_at(), (2 + stalled_after_secs) * SECOND, "{forwarded_bytes} bytes more");
    }
}

/// Guards against a deadline that moves when a body that was read to its end is found to have arrived, too.
#[test]
fn a_body_has_arrived_when_it_was_read_or_found_on_this_machine_whichever_was_first() {
    let new_progress =
        || UploadProgress::new(0, Duration::from_secs(20)).with_arrival_probe(ArrivalProbe::new(|| true));
    let read_first = new_progress();
    read_first.ended_at.set(Some(5));
    assert_eq!(read_first.arrived_at(9), Some(5));
    let found_first = new_progress();
    assert_eq!(found_first.arrived_at(3), Some(3));
    found_first.ended_at.set(Some(5));
    assert_eq!(found_first.arrived_at(9), Some(3));
}
