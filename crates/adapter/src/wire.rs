//! Frames of the simulator's wire: batches of event records in, batches of action records out.

use corkhollow_balance::interface::{Action, Ending, ListKind, Phase, Report, Request, Server, ServerId};
use corkhollow_balance::settings::ReportField;
use std::fmt;

/// Bytes of a batch header, an event record, an action record and a list entry.
pub const HEADER: usize = 16;
pub const RECORD: usize = 48;
const ACTION: usize = 24;
const ENTRY: usize = 24;

/// What is wrong with a frame, and where.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    #[error("input ends inside a {what}: {have} of {want} bytes")]
    Truncated { what: &'static str, have: usize, want: usize },
    #[error("frame length {length} does not hold its header and {records} records")]
    Length { length: usize, records: usize },
    #[error("record {record}: unknown event code {code}")]
    UnknownEvent { record: usize, code: u8 },
    #[error("record {record}: unknown {what} {value}")]
    UnknownValue { record: usize, what: &'static str, value: u64 },
    #[error("record {record}: tail reference {offset}+{length} is out of range, the tail has {tail} bytes")]
    Tail { record: usize, offset: usize, length: usize, tail: usize },
    #[error("record {record}: settings: {message}")]
    Settings { record: usize, message: String },
}

/// Load values as they stand on the wire, up to four.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RawReport {
    pub count: u8,
    pub values: [f32; 4],
}

/// One event record, borrowed from its frame.
#[derive(Debug, PartialEq)]
pub enum Record<'a> {
    Start {
        seed: u64,
        settings: &'a [u8],
    },
    Stop,
    List {
        kind: ListKind,
        servers: Vec<Server>,
    },
    Request(Request),
    Message {
        from: u32,
        bytes: &'a [u8],
    },
    ClientGone {
        request: u32,
    },
    Probed {
        server: ServerId,
        ending: Ending,
        took: u64,
        report: RawReport,
    },
    Outcome {
        request: u32,
        server: ServerId,
        attempt: u8,
        finished: bool,
        took: u64,
        ending: Ending,
        report: RawReport,
    },
    StreamStarted {
        request: u32,
        attempt: u8,
        server: ServerId,
        took: u64,
    },
    Timer {
        token: u32,
    },
}

fn bytes_at<const N: usize>(b: &[u8], at: usize) -> [u8; N] {
    let mut out = [0; N];
    out.copy_from_slice(&b[at..at + N]);
    out
}

fn u16_at(b: &[u8], at: usize) -> u16 {
    u16::from_be_bytes(bytes_at(b, at))
}

fn u32_at(b: &[u8], at: usize) -> u32 {
    u32::from_be_bytes(bytes_at(b, at))
}

fn u64_at(b: &[u8], at: usize) -> u64 {
    u64::from_be_bytes(bytes_at(b, at))
}

fn f32_at(b: &[u8], at: usize) -> f32 {
    f32::from_be_bytes(bytes_at(b, at))
}

/// Six bytes on the wire: an IPv4 address and a port.
fn server_at(b: &[u8], at: usize) -> ServerId {
    ServerId((u64::from(u32_at(b, at)) << 16) | u64::from(u16_at(b, at + 4)))
}

/// A frame that has been read whole: its clock and its records.
pub struct Frame<'a> {
    pub clock: u64,
    bytes: &'a [u8],
    records: usize,
}

impl<'a> Frame<'a> {
    /// Length of the whole frame and its number of records, as a header claims.
    pub fn claimed(header: &[u8; HEADER]) -> Result<usize, WireError> {
        let (length, records) = (u32_at(header, 8) as usize, u32_at(header, 12) as usize);
        match records.checked_mul(RECORD).and_then(|n| n.checked_add(HEADER)) {
            Some(least) if least <= length => Ok(length),
            _ => Err(WireError::Length { length, records }),
        }
    }

    /// Takes the bytes of one frame, header included.
    pub fn new(bytes: &'a [u8]) -> Result<Self, WireError> {
        if bytes.len() < HEADER {
            return Err(WireError::Truncated { what: "frame header", have: bytes.len(), want: HEADER });
        }
        let length = Self::claimed(&bytes_at(bytes, 0))?;
        if bytes.len() != length {
            return Err(WireError::Truncated { what: "frame", have: bytes.len(), want: length });
        }
        Ok(Frame { clock: u64_at(bytes, 0), bytes, records: u32_at(bytes, 12) as usize })
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records
    }

    fn tail(&self, record: usize, at: usize, size: usize) -> Result<&'a [u8], WireError> {
        let r = &self.bytes[HEADER + record * RECORD..];
        let (offset, length) = (u32_at(r, at) as usize, u32_at(r, at + 4) as usize);
        let tail = &self.bytes[HEADER + self.records * RECORD..];
        length
            .checked_mul(size)
            .and_then(|n| n.checked_add(offset))
            .and_then(|end| tail.get(offset..end))
            .ok_or(WireError::Tail { record, offset, length, tail: tail.len() })
    }

    /// The instance and the event of one record.
    pub fn record(&self, record: usize) -> Result<(u32, Record<'a>), WireError> {
        let r = &self.bytes[HEADER + record * RECORD..HEADER + (record + 1) * RECORD];
        let ending = |at| ending(u16_at(r, at), record);
        let event = match r[0] {
            50 => Record::Start { seed: u64_at(r, 5), settings: self.tail(record, 13, 1)? },
            80 => Record::Stop,
            90 => Record::List { kind: list_kind(r[9], record)?, servers: self.entries(record)? },
            10 => Record::Request(request(r)),
            60 => Record::Message { from: u32_at(r, 5), bytes: self.tail(record, 9, 1)? },
            40 => Record::ClientGone { request: u32_at(r, 5) },
            30 => Record::Probed {
                server: server_at(r, 5),
                ending: ending(11)?,
                took: u64_at(r, 13),
                report: report(r, 21),
            },
            100 => Record::Outcome {
                request: u32_at(r, 5),
                server: server_at(r, 9),
                attempt: r[15],
                finished: r[16] != 0,
                took: u64_at(r, 17),
                ending: ending(25)?,
                report: report(r, 27),
            },
            20 => Record::StreamStarted {
                request: u32_at(r, 5),
                attempt: r[9],
                server: server_at(r, 10),
                took: u64_at(r, 16),
            },
            70 => Record::Timer { token: u32_at(r, 5) },
            code => return Err(WireError::UnknownEvent { record, code }),
        };
        Ok((u32_at(r, 1), event))
    }

    fn entries(&self, record: usize) -> Result<Vec<Server>, WireError> {
        self.tail(record, 10, ENTRY)?
            .chunks_exact(ENTRY)
            .map(|e| {
                Ok(Server {
                    id: server_at(e, 0),
                    zone: e[6],
                    kind: u16_at(e, 7),
                    cell: u16_at(e, 9),
                    phase: match e[11] {
                        0 => Phase::Removed,
                        1 => Phase::Ready,
                        2 => Phase::Draining,
                        v => {
                            return Err(WireError::UnknownValue { record, what: "phase", value: v.into() });
                        }
                    },
                    size: f32_at(e, 12),
                    started_at: u64_at(e, 16),
                })
            })
            .collect()
    }
}

fn list_kind(value: u8, record: usize) -> Result<ListKind, WireError> {
    match value {
        0 => Ok(ListKind::Changes),
        1 => Ok(ListKind::Full),
        2 => Ok(ListKind::Cached),
        3 => Ok(ListKind::Failed),
        v => Err(WireError::UnknownValue { record, what: "list kind", value: v.into() }),
    }
}

fn ending(value: u16, record: usize) -> Result<Ending, WireError> {
    match value {
        0 => Ok(Ending::Ok),
        13 => Ok(Ending::Error),
        8 => Ok(Ending::Full),
        4 => Ok(Ending::TimedOut),
        14 => Ok(Ending::ConnectFailed),
        10 => Ok(Ending::Reset),
        1 => Ok(Ending::Cancelled),
        9 => Ok(Ending::NotSent),
        v => Err(WireError::UnknownValue { record, what: "outcome code", value: v.into() }),
    }
}

fn request(r: &[u8]) -> Request {
    let options = u16_at(r, 38);
    Request {
        id: u32_at(r, 5),
        class: u16::from(r[9]),
        tenant: u32_at(r, 10),
        key: u64_at(r, 14),
        give_up_at: u64_at(r, 22),
        work_hint: (options & 1 != 0).then(|| u64_at(r, 30)),
        is_retry: options & 2 != 0,
        is_write: options & 4 != 0,
        has_streaming_body: false,
    }
}

fn report(r: &[u8], at: usize) -> RawReport {
    let mut values = [0.0; 4];
    for (k, value) in values.iter_mut().enumerate() {
        *value = f32_at(r, at + 1 + 4 * k);
    }
    RawReport { count: r[at], values }
}

impl RawReport {
    /// Names the values by the instance's list of fields; none when the report is empty.
    pub fn named(&self, fields: &[ReportField]) -> Option<Report> {
        if self.count == 0 {
            return None;
        }
        let mut report = Report::default();
        for (field, &value) in fields.iter().zip(&self.values[..usize::from(self.count).min(4)]) {
            let value = Some(value).filter(|v| v.is_finite());
            match field {
                ReportField::Concurrent => report.concurrent = value,
                ReportField::Queued => report.queued = value,
                ReportField::Utilisation => report.utilisation = value,
                ReportField::ServiceMs => report.service_ms = value,
                ReportField::Rate => report.rate = value,
                ReportField::ErrorRate => report.error_rate = value,
                ReportField::Unknown => {}
            }
        }
        Some(report)
    }
}

/// Collects the actions of one reply.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    count: u32,
}

impl fmt::Debug for Reply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Reply({} records)", self.count)
    }
}

impl Reply {
    /// Adds an action of an instance.
    pub fn push(&mut self, instance: u32, action: &Action) {
        let mut r = [0u8; ACTION];
        let put =
            |r: &mut [u8; ACTION], at: usize, bytes: &[u8]| r[at..at + bytes.len()].copy_from_slice(bytes);
        let server = |r: &mut [u8; ACTION], at: usize, id: &ServerId| put(r, at, &id.0.to_be_bytes()[2..]);
        put(&mut r, 1, &instance.to_be_bytes());
        match action {
            Action::Send { request, server: to, timeout } => {
                r[0] = 100;
                put(&mut r, 5, &request.to_be_bytes());
                server(&mut r, 9, to);
                put(&mut r, 15, &timeout.to_be_bytes());
            }
            Action::Refuse { request, retry_after, .. } => {
                r[0] = 40;
                put(&mut r, 5, &request.to_be_bytes());
                put(&mut r, 9, &retry_after.to_be_bytes());
            }
            Action::Fail { request } => {
                r[0] = 10;
                put(&mut r, 5, &request.to_be_bytes());
            }
            Action::Cancel { request, attempt } => {
                r[0] = 20;
                put(&mut r, 5, &request.to_be_bytes());
                r[9] = *attempt;
            }
            Action::Probe { server: to } => {
                r[0] = 30;
                server(&mut r, 5, to);
            }
            Action::SendMessage { to, bytes } => {
                r[0] = 60;
                put(&mut r, 5, &to.unwrap_or(u32::MAX).to_be_bytes());
                self.refer(&mut r, 9, bytes);
            }
            Action::Subscribe => {
                r[0] = 80;
                r[5] = 1;
            }
            Action::FetchList => r[0] = 70,
            Action::StartTimer { after, token } => {
                r[0] = 90;
                put(&mut r, 5, &after.to_be_bytes());
                put(&mut r, 13, &token.to_be_bytes());
            }
            Action::Log { server, text } => {
                r[0] = 120;
                let line = server.map_or(text.clone(), |server| format!("{server}: {text}"));
                self.refer(&mut r, 5, line.as_bytes());
            }
        }
        self.records.extend_from_slice(&r);
        self.count += 1;
    }

    fn refer(&mut self, r: &mut [u8; ACTION], at: usize, bytes: &[u8]) {
        r[at..at + 4].copy_from_slice(&(self.tail.len() as u32).to_be_bytes());
        r[at + 4..at + 8].copy_from_slice(&(bytes.len() as u32).to_be_bytes());
        self.tail.extend_from_slice(bytes);
    }

    /// The reply's bytes; leaves it empty for the next batch.
    pub fn take(&mut self) -> Vec<u8> {
        let length = 8 + self.records.len() + self.tail.len();
        let mut out = Vec::with_capacity(length);
        out.extend_from_slice(&self.count.to_be_bytes());
        out.extend_from_slice(&(length as u32).to_be_bytes());
        out.append(&mut self.records);
        out.append(&mut self.tail);
        self.count = 0;
        out
    }
}
