//! Runs balancer instances for a simulator: reads frames of events from standard input and writes frames of
//! the balancers' actions to standard output. Malformed input ends the program with an error message and a
//! non-zero status.

mod wire;

use corkhollow_balance::interface::{Action, Event};
use corkhollow_balance::settings::{self, Pairs, ReportField};
use corkhollow_balance::Balancer;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::process::ExitCode;
use wire::{Frame, Record, Reply, WireError};

struct Instance {
    balancer: Balancer,
    report_fields: Vec<ReportField>,
}

#[derive(Default)]
struct AdapterState {
    instances: BTreeMap<u32, Instance>,
    actions: Vec<Action>,
    reply: Reply,
}

impl AdapterState {
    fn handle_batch(&mut self, bytes: &[u8]) -> Result<Vec<u8>, WireError> {
        let frame = Frame::new(bytes)?;
        for index in 0..frame.record_count() {
            let (id, record) = frame.decode_record(index)?;
            self.handle_record(frame.time, index, id, record)?;
        }
        Ok(self.reply.take_bytes())
    }

    fn handle_record(
        &mut self,
        now: u64,
        index: usize,
        id: u32,
        record: Record<'_>,
    ) -> Result<(), WireError> {
        let event = match record {
            Record::Start { seed, settings } => {
                let settings_error = |message| WireError::Settings { record: index, message };
                let pairs = Pairs::from_lines(settings).map_err(settings_error)?;
                let (settings, report_fields) = settings::parse(&pairs).map_err(settings_error)?;
                let balancer =
                    Balancer::new(settings, seed).map_err(|error| settings_error(error.to_string()))?;
                self.instances.insert(id, Instance { balancer, report_fields });
                return Ok(());
            }
            Record::Stop => {
                self.instances.remove(&id);
                return Ok(());
            }
            Record::List { kind, servers } => Event::List { kind, servers },
            Record::Request(request) => Event::Request(request),
            Record::Message { from, bytes } => Event::Message { from, bytes: bytes.to_vec() },
            Record::ClientGone { request } => Event::ClientGone { request },
            Record::Probed { server, ending, took, report } => {
                let report = self
                    .instances
                    .get(&id)
                    .and_then(|instance| report.assign_fields(&instance.report_fields));
                Event::Probed { server, ending, took, report }
            }
            Record::Outcome { request, server, attempt, finished, took, ending, report } => {
                let report = self
                    .instances
                    .get(&id)
                    .and_then(|instance| report.assign_fields(&instance.report_fields));
                Event::Outcome {
                    request,
                    server,
                    attempt,
                    finished,
                    took,
                    ending,
                    body_consumed: false,
                    report,
                }
            }
            Record::StreamStarted { request, attempt, server, took } => {
                Event::StreamStarted { request, attempt, server, took }
            }
            Record::Timer { token } => Event::Timer { token },
        };
        // Events for an instance that has been stopped are dropped.
        if let Some(instance) = self.instances.get_mut(&id) {
            instance.balancer.handle(now, event, &mut self.actions);
            for action in self.actions.drain(..) {
                self.reply.push(id, &action);
            }
        }
        Ok(())
    }
}

#[derive(Debug, thiserror::Error)]
enum AdapterError {
    #[error("batch {batch}: {error}")]
    Wire { batch: u64, error: WireError },
    #[error("standard input or output: {0}")]
    Io(#[from] io::Error),
}

/// Reads until `buffer` holds `want` bytes or the input ends.
fn read_up_to(input: &mut impl Read, buffer: &mut Vec<u8>, want: usize) -> io::Result<()> {
    let missing = want.saturating_sub(buffer.len()) as u64;
    input.take(missing).read_to_end(buffer).map(|_| ())
}

fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), AdapterError> {
    let mut state = AdapterState::default();
    let mut buffer = Vec::new();
    for batch in 0.. {
        let wire_error = |error| AdapterError::Wire { batch, error };
        buffer.clear();
        read_up_to(&mut input, &mut buffer, wire::FRAME_HEADER_BYTES)?;
        if buffer.is_empty() {
            break;
        }
        let Ok(header) = <[u8; wire::FRAME_HEADER_BYTES]>::try_from(buffer.as_slice()) else {
            let (have, want) = (buffer.len(), wire::FRAME_HEADER_BYTES);
            return Err(wire_error(WireError::Truncated { what: "frame header", have, want }));
        };
        read_up_to(&mut input, &mut buffer, Frame::declared_length(&header).map_err(wire_error)?)?;
        output.write_all(&state.handle_batch(&buffer).map_err(wire_error)?)?;
        output.flush()?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("corkhollow-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
