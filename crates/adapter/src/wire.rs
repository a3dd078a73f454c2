//! The simulator's wire format: frames of event records are read, frames of action records are written. A
//! frame consists of a header, fixed-size records and a tail, to which records refer for data of variable
//! length. All integers are big-endian.

use corkhollow_balance::interface::{Action, Ending, ListKind, Phase, Report, Request, Server, ServerId};
use corkhollow_balance::settings::ReportField;
use std::fmt;

pub const FRAME_HEADER_BYTES: usize = 16;
pub const EVENT_RECORD_BYTES: usize = 48;
const ACTION_RECORD_BYTES: usize = 24;
const LIST_ENTRY_BYTES: usize = 24;

/// A malformed frame.
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

/// A load report on the wire: up to four values, whose fields the instance's settings name.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RawReport {
    pub count: u8,
    pub values: [f32; 4],
}

/// An event record, borrowed from its frame.
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

fn bytes_at<const N: usize>(bytes: &[u8], at: usize) -> [u8; N] {
    let mut buffer = [0; N];
    buffer.copy_from_slice(&bytes[at..at + N]);
    buffer
}

fn u16_at(bytes: &[u8], at: usize) -> u16 {
    u16::from_be_bytes(bytes_at(bytes, at))
}

fn u32_at(bytes: &[u8], at: usize) -> u32 {
    u32::from_be_bytes(bytes_at(bytes, at))
}

fn u64_at(bytes: &[u8], at: usize) -> u64 {
    u64::from_be_bytes(bytes_at(bytes, at))
}

fn f32_at(bytes: &[u8], at: usize) -> f32 {
    f32::from_be_bytes(bytes_at(bytes, at))
}

/// Reads a server's six bytes: an IPv4 address and a port.
fn server_at(bytes: &[u8], at: usize) -> ServerId {
    ServerId((u64::from(u32_at(bytes, at)) << 16) | u64::from(u16_at(bytes, at + 4)))
}

/// A complete input frame.
pub struct Frame<'a> {
    /// The present time in nanoseconds.
    pub time: u64,
    bytes: &'a [u8],
    record_count: usize,
}

impl<'a> Frame<'a> {
    /// The length of the whole frame in bytes according to its header.
    pub fn declared_length(header: &[u8; FRAME_HEADER_BYTES]) -> Result<usize, WireError> {
        let (length, records) = (u32_at(header, 8) as usize, u32_at(header, 12) as usize);
        match records.checked_mul(EVENT_RECORD_BYTES).and_then(|n| n.checked_add(FRAME_HEADER_BYTES)) {
            Some(min_length) if min_length <= length => Ok(length),
            _ => Err(WireError::Length { length, records }),
        }
    }

    /// Checks the length of a frame; `bytes` includes its header.
    pub fn new(bytes: &'a [u8]) -> Result<Self, WireError> {
        if bytes.len() < FRAME_HEADER_BYTES {
            return Err(WireError::Truncated {
                what: "frame header",
                have: bytes.len(),
                want: FRAME_HEADER_BYTES,
            });
        }
        let length = Self::declared_length(&bytes_at(bytes, 0))?;
        if bytes.len() != length {
            return Err(WireError::Truncated { what: "frame", have: bytes.len(), want: length });
        }
        Ok(Frame { time: u64_at(bytes, 0), bytes, record_count: u32_at(bytes, 12) as usize })
    }

    pub fn record_count(&self) -> usize {
        self.record_count
    }

    /// The `item_bytes`-sized items in the tail to which the record's reference at byte `at` points.
    fn tail(&self, index: usize, at: usize, item_bytes: usize) -> Result<&'a [u8], WireError> {
        let record = &self.bytes[FRAME_HEADER_BYTES + index * EVENT_RECORD_BYTES..];
        let (offset, length) = (u32_at(record, at) as usize, u32_at(record, at + 4) as usize);
        let tail = &self.bytes[FRAME_HEADER_BYTES + self.record_count * EVENT_RECORD_BYTES..];
        length
            .checked_mul(item_bytes)
            .and_then(|n| n.checked_add(offset))
            .and_then(|end| tail.get(offset..end))
            .ok_or(WireError::Tail { record: index, offset, length, tail: tail.len() })
    }

    /// Decodes a record into the ID of its balancer instance and its event.
    pub fn decode_record(&self, index: usize) -> Result<(u32, Record<'a>), WireError> {
        let record = &self.bytes[FRAME_HEADER_BYTES + index * EVENT_RECORD_BYTES
            ..FRAME_HEADER_BYTES + (index + 1) * EVENT_RECORD_BYTES];
        let ending = |at| decode_ending(u16_at(record, at), index);
        let event = match record[0] {
            50 => Record::Start { seed: u64_at(record, 5), settings: self.tail(index, 13, 1)? },
            80 => Record::Stop,
            90 => Record::List {
                kind: decode_list_kind(record[9], index)?,
                servers: self.decode_list_entries(index)?,
            },
            10 => Record::Request(decode_request(record)),
            60 => Record::Message { from: u32_at(record, 5), bytes: self.tail(index, 9, 1)? },
            40 => Record::ClientGone { request: u32_at(record, 5) },
            30 => Record::Probed {
                server: server_at(record, 5),
                ending: ending(11)?,
                took: u64_at(record, 13),
                report: decode_report(record, 21),
            },
            100 => Record::Outcome {
                request: u32_at(record, 5),
                server: server_at(record, 9),
                attempt: record[15],
                finished: record[16] != 0,
                took: u64_at(record, 17),
                ending: ending(25)?,
                report: decode_report(record, 27),
            },
            20 => Record::StreamStarted {
                request: u32_at(record, 5),
                attempt: record[9],
                server: server_at(record, 10),
                took: u64_at(record, 16),
            },
            70 => Record::Timer { token: u32_at(record, 5) },
            code => return Err(WireError::UnknownEvent { record: index, code }),
        };
        Ok((u32_at(record, 1), event))
    }

    fn decode_list_entries(&self, index: usize) -> Result<Vec<Server>, WireError> {
        self.tail(index, 10, LIST_ENTRY_BYTES)?
            .chunks_exact(LIST_ENTRY_BYTES)
            .map(|entry| {
                Ok(Server {
                    id: server_at(entry, 0),
                    zone: entry[6],
                    kind: u16_at(entry, 7),
                    cell: u16_at(entry, 9),
                    phase: match entry[11] {
                        0 => Phase::Removed,
                        1 => Phase::Ready,
                        2 => Phase::Draining,
                        value => {
                            return Err(WireError::UnknownValue {
                                record: index,
                                what: "phase",
                                value: value.into(),
                            });
                        }
                    },
                    size: f32_at(entry, 12),
                    started_at: u64_at(entry, 16),
                })
            })
            .collect()
    }
}

fn decode_list_kind(value: u8, index: usize) -> Result<ListKind, WireError> {
    match value {
        0 => Ok(ListKind::Changes),
        1 => Ok(ListKind::Full),
        2 => Ok(ListKind::Cached),
        3 => Ok(ListKind::Failed),
        value => Err(WireError::UnknownValue { record: index, what: "list kind", value: value.into() }),
    }
}

fn decode_ending(value: u16, index: usize) -> Result<Ending, WireError> {
    match value {
        0 => Ok(Ending::Ok),
        13 => Ok(Ending::Error),
        8 => Ok(Ending::Full),
        4 => Ok(Ending::TimedOut),
        14 => Ok(Ending::ConnectFailed),
        10 => Ok(Ending::Reset),
        1 => Ok(Ending::Cancelled),
        9 => Ok(Ending::NotSent),
        value => Err(WireError::UnknownValue { record: index, what: "outcome code", value: value.into() }),
    }
}

fn decode_request(record: &[u8]) -> Request {
    let options = u16_at(record, 38);
    Request {
        id: u32_at(record, 5),
        class: u16::from(record[9]),
        tenant: u32_at(record, 10),
        key: u64_at(record, 14),
        give_up_at: u64_at(record, 22),
        work_hint: (options & 1 != 0).then(|| u64_at(record, 30)),
        is_retry: options & 2 != 0,
        is_write: options & 4 != 0,
        ..Request::new(0, 0)
    }
}

fn decode_report(record: &[u8], at: usize) -> RawReport {
    let mut values = [0.0; 4];
    for (index, value) in values.iter_mut().enumerate() {
        *value = f32_at(record, at + 1 + 4 * index);
    }
    RawReport { count: record[at], values }
}

impl RawReport {
    /// Assigns the values to the instance's report fields; `None` if the report is empty.
    pub fn assign_fields(&self, fields: &[ReportField]) -> Option<Report> {
        if self.count == 0 {
            return None;
        }
        let mut report = Report::default();
        for (field, &value) in fields.iter().zip(&self.values[..usize::from(self.count).min(4)]) {
            let value = Some(value).filter(|value| value.is_finite());
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

/// Collects the action records of one output frame.
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
    /// Appends an action of an instance.
    pub fn push(&mut self, instance_id: u32, action: &Action) {
        let mut record = [0u8; ACTION_RECORD_BYTES];
        let put = |record: &mut [u8; ACTION_RECORD_BYTES], at: usize, bytes: &[u8]| {
            record[at..at + bytes.len()].copy_from_slice(bytes)
        };
        let put_server = |record: &mut [u8; ACTION_RECORD_BYTES], at: usize, id: &ServerId| {
            put(record, at, &id.0.to_be_bytes()[2..])
        };
        put(&mut record, 1, &instance_id.to_be_bytes());
        match action {
            Action::Send { request, server: to, timeout } => {
                record[0] = 100;
                put(&mut record, 5, &request.to_be_bytes());
                put_server(&mut record, 9, to);
                put(&mut record, 15, &timeout.to_be_bytes());
            }
            Action::Refuse { request, retry_after, .. } => {
                record[0] = 40;
                put(&mut record, 5, &request.to_be_bytes());
                put(&mut record, 9, &retry_after.to_be_bytes());
            }
            Action::Fail { request } => {
                record[0] = 10;
                put(&mut record, 5, &request.to_be_bytes());
            }
            Action::Cancel { request, attempt } => {
                record[0] = 20;
                put(&mut record, 5, &request.to_be_bytes());
                record[9] = *attempt;
            }
            Action::Probe { server: to } => {
                record[0] = 30;
                put_server(&mut record, 5, to);
            }
            Action::SendMessage { to, bytes } => {
                record[0] = 60;
                put(&mut record, 5, &to.unwrap_or(u32::MAX).to_be_bytes());
                self.append_to_tail(&mut record, 9, bytes);
            }
            Action::Subscribe => {
                record[0] = 80;
                record[5] = 1;
            }
            Action::FetchList => record[0] = 70,
            Action::StartTimer { after, token } => {
                record[0] = 90;
                put(&mut record, 5, &after.to_be_bytes());
                put(&mut record, 13, &token.to_be_bytes());
            }
            Action::Log { server, text } => {
                record[0] = 120;
                let line = server.map_or(text.clone(), |server| format!("{server}: {text}"));
                self.append_to_tail(&mut record, 5, line.as_bytes());
            }
        }
        self.records.extend_from_slice(&record);
        self.count += 1;
    }

    /// Appends `bytes` to the tail and writes a reference to them at byte `at` of the record.
    fn append_to_tail(&mut self, record: &mut [u8; ACTION_RECORD_BYTES], at: usize, bytes: &[u8]) {
        record[at..at + 4].copy_from_slice(&(self.tail.len() as u32).to_be_bytes());
        record[at + 4..at + 8].copy_from_slice(&(bytes.len() as u32).to_be_bytes());
        self.tail.extend_from_slice(bytes);
    }

    /// Takes the encoded frame and leaves the reply empty for the next batch.
    pub fn take_bytes(&mut self) -> Vec<u8> {
        let length = 8 + self.records.len() + self.tail.len();
        let mut buffer = Vec::with_capacity(length);
        buffer.extend_from_slice(&self.count.to_be_bytes());
        buffer.extend_from_slice(&(length as u32).to_be_bytes());
        buffer.append(&mut self.records);
        buffer.append(&mut self.tail);
        self.count = 0;
        buffer
    }
}
