//! Decides whether a client's connection may be closed. The decision is made once when a close is requested
//! and again when it is carried out, because bytes may arrive in between.

use corkhollow_plan::limits::write_stall_timeout;
use std::time::Duration;

/// Progress of the current request on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStage {
    /// Between requests, or reading a request head.
    Idle,
    /// The head has been read; the body is being read.
    ReadingBody,
    /// The request has been submitted; its deadline bounds how long this takes.
    AwaitingAnswer,
    /// The answer is being written to the client.
    WritingAnswer,
    /// The last answer is written; what the client still sends is discarded before the close.
    Lingering,
}

/// Why the node closes a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// No request came within the idle timeout.
    IdleTimeout,
    /// The connection limit is reached and a new connection needs the slot.
    MakeRoom,
    /// The same, where a request has not arrived whole.
    Incomplete,
    /// The node drains or shuts down.
    Draining,
    /// The listener was removed from the configuration.
    ListenerRemoved,
    /// A request head did not arrive within the header timeout.
    SlowHead,
    /// A request or its answer made no progress within the stall timeout.
    Stalled,
}

impl CloseReason {
    /// The reason's name in metrics and events.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::IdleTimeout => "idle-timeout",
            CloseReason::MakeRoom => "make-room",
            CloseReason::Incomplete => "incomplete",
            CloseReason::Draining => "leaving",
            CloseReason::ListenerRemoved => "listener-removed",
            CloseReason::SlowHead => "slow-head",
            CloseReason::Stalled => "stalled",
        }
    }
}

/// How a request arrives that is not whole yet, from what is most to what is least likely of a bad client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestPace {
    /// All that has come came without a pause. Those that have been silent longest give way first.
    Stopped,
    /// More came after a pause, slowly. Those that have taken longest give way first: whoever writes most often must not
    /// keep the others from their time.
    Slow,
    /// More came after a pause, at [`MIN_STEADY_BYTES_PER_SECOND`] or faster. Those that have been silent longest give way
    /// first.
    Steady,
}

/// Half of the rate at which the platform's slowest clients send a body.
const MIN_STEADY_BYTES_PER_SECOND: f64 = 32_000.0;

impl RequestPace {
    /// The pace of a request of which so much has come since its first byte.
    pub fn of(has_resumed: bool, received_bytes: u64, since_first_byte: Duration) -> Self {
        let is_steady = received_bytes as f64 >= MIN_STEADY_BYTES_PER_SECOND * since_first_byte.as_secs_f64();
        match (has_resumed, is_steady) {
            (false, _) => RequestPace::Stopped,
            (true, false) => RequestPace::Slow,
            (true, true) => RequestPace::Steady,
        }
    }
}

/// Snapshot of a connection on which a close is decided.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionState {
    /// Progress of the current request.
    pub stage: RequestStage,
    /// Time since the first byte of the current request; `None` if no byte has come.
    pub since_first_byte: Option<Duration>,
    /// Upper bound on the time since the client connected; `None` once a first request head has been read.
    pub since_connect: Option<Duration>,
    /// Whether the client has begun a request, or goes on with one that is answered, and has yet to send the rest.
    pub owes_bytes: bool,
    /// Time since the client's last bytes were read.
    pub since_last_byte: Duration,
    /// Time since bytes last moved in either direction, as of the last periodic check.
    pub since_progress: Duration,
    /// Bytes written to the client since its current request began.
    pub written_bytes: u64,
}

impl ConnectionState {
    /// Whether no byte of a further request has been read.
    pub fn is_between_requests(&self) -> bool {
        self.stage == RequestStage::Idle && self.since_first_byte.is_none()
    }
}

/// Timeouts of a client's connection.
#[derive(Clone, Copy, Debug)]
pub struct CloseLimits {
    /// Longest time to receive a request head.
    pub header_timeout: Duration,
    /// Longest time from a client's connecting until its first request head is received.
    pub first_request_timeout: Duration,
    /// Longest time between requests.
    pub idle_timeout: Duration,
    /// Longest time without progress of a request or its answer.
    pub stall_timeout: Duration,
}

/// How a requested close is carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseDecision {
    /// The connection stays open: the reason no longer holds.
    Keep,
    /// Close once the current request, if any, is answered.
    CloseGracefully,
    /// A request has begun to arrive: answer it, then close.
    CloseAfterNextAnswer,
    /// Close at once, abandoning any current request.
    Abort,
    /// Refuse the request that has not arrived whole, and close.
    Refuse,
}

/// A client that has connected or written within this time is not cut off for others: its bytes may be on their way.
const MIN_SILENCE: Duration = Duration::from_millis(20);
/// The same holds for a request no longer than this after its first byte, or no bad client that writes all the time
/// would ever make room.
const MAX_UNDISTURBED: Duration = Duration::from_millis(200);

/// Whether a close for this reason may be requested now. `has_unread` asks the kernel whether bytes or an end
/// of stream wait to be read; it costs a system call and is called only when the answer matters.
pub fn should_close(
    reason: CloseReason,
    state: &ConnectionState,
    limits: &CloseLimits,
    has_unread: impl FnOnce() -> bool,
) -> bool {
    let between_requests = state.is_between_requests();
    match reason {
        CloseReason::MakeRoom => {
            let is_new = state.since_connect.is_some() && state.since_last_byte < MIN_SILENCE;
            between_requests && !is_new && !has_unread()
        }
        CloseReason::Draining => {
            (between_requests || state.stage == RequestStage::Lingering) && !has_unread()
        }
        CloseReason::IdleTimeout => {
            between_requests && state.since_progress >= limits.idle_timeout && !has_unread()
        }
        CloseReason::ListenerRemoved => true,
        CloseReason::Incomplete => may_be_cut_off(state) && !has_unread(),
        CloseReason::SlowHead => {
            let elapsed = state.since_first_byte.or(state.since_connect);
            let timed_out = elapsed.is_some_and(|time| time > limits.header_timeout)
                || state.since_connect.is_some_and(|time| time > limits.first_request_timeout);
            state.stage == RequestStage::Idle && timed_out && !has_unread()
        }
        CloseReason::Stalled => {
            let timeout = write_stall_timeout(limits.stall_timeout, state.written_bytes);
            let stalled = !between_requests && state.since_progress >= timeout;
            // While an answer is awaited or written the socket is not read, so pending bytes are not
            // progress.
            let reads_request = matches!(state.stage, RequestStage::Idle | RequestStage::ReadingBody);
            stalled && !(reads_request && has_unread())
        }
    }
}

/// Whether a client that owes bytes has been silent for long enough to make room for others.
fn may_be_cut_off(state: &ConnectionState) -> bool {
    let is_silent = state.since_last_byte >= MIN_SILENCE;
    // The rest of a body that is passed on may be on its way between two tasks.
    let had_its_time = state.stage != RequestStage::AwaitingAnswer
        && state.since_first_byte.is_some_and(|time| time >= MAX_UNDISTURBED);
    state.owes_bytes && (is_silent || had_its_time)
}

/// How to carry out a close that was requested earlier. A request whose first bytes have arrived since must
/// still be answered.
pub fn decide_close(
    reason: CloseReason,
    state: &ConnectionState,
    limits: &CloseLimits,
    has_unread: impl FnOnce() -> bool,
) -> CloseDecision {
    match reason {
        CloseReason::SlowHead | CloseReason::Stalled => match should_close(reason, state, limits, has_unread)
        {
            true => CloseDecision::Abort,
            false => CloseDecision::Keep,
        },
        CloseReason::Incomplete => match should_close(reason, state, limits, has_unread) {
            true => CloseDecision::Refuse,
            false => CloseDecision::Keep,
        },
        CloseReason::IdleTimeout
        | CloseReason::MakeRoom
        | CloseReason::Draining
        | CloseReason::ListenerRemoved => match state.stage {
            // If the rest of the head never comes, the header timeout closes the connection.
            RequestStage::Idle if !state.is_between_requests() || has_unread() => {
                CloseDecision::CloseAfterNextAnswer
            }
            RequestStage::Idle
            | RequestStage::ReadingBody
            | RequestStage::AwaitingAnswer
            | RequestStage::WritingAnswer
            | RequestStage::Lingering => CloseDecision::CloseGracefully,
        },
    }
}
