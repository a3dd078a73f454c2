//! Whether a client's connection may be closed now, in one place. It is asked when a close is chosen and again when it is carried out:
//! between the two, bytes may have come.

use std::time::Duration;

/// How far the request under way on a connection is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStage {
    /// Between requests, or in a head.
    Idle,
    /// In a body.
    ReadingBody,
    /// The request is with the service, whose deadline bounds it.
    AwaitingAnswer,
    /// The answer is on its way.
    WritingAnswer,
}

/// Why the node closes a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// It has stood idle for too long.
    IdleTimeout,
    /// A new connection needs its place.
    MakeRoom,
    /// The node drains or ends.
    Draining,
    /// Its listener has been removed.
    ListenerRemoved,
    /// A head has not come in time, or none has begun.
    SlowHead,
    /// A body or an answer does not move.
    Stalled,
}

impl CloseReason {
    /// Its name in metrics and events.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::IdleTimeout => "idle-timeout",
            CloseReason::MakeRoom => "make-room",
            CloseReason::Draining => "leaving",
            CloseReason::ListenerRemoved => "listener-removed",
            CloseReason::SlowHead => "slow-head",
            CloseReason::Stalled => "stalled",
        }
    }
}

/// What a decision on a connection needs to know of it, as of now.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionState {
    /// How far its request is.
    pub stage: RequestStage,
    /// How long ago the first byte of the request under way came.
    pub since_first_byte: Option<Duration>,
    /// How long ago it was accepted, where nothing has come on it since.
    pub since_accept: Option<Duration>,
    /// How long nothing has moved on it.
    pub since_progress: Duration,
}

impl ConnectionState {
    /// Between requests, as far as has been read.
    pub fn is_between_requests(&self) -> bool {
        self.stage == RequestStage::Idle && self.since_first_byte.is_none()
    }
}

/// How long a connection may take.
#[derive(Clone, Copy, Debug)]
pub struct CloseLimits {
    /// For a head.
    pub header_timeout: Duration,
    /// Between requests.
    pub idle_timeout: Duration,
    /// Without anything moving in a request or an answer.
    pub stall_timeout: Duration,
}

/// What is done with a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseDecision {
    /// Nothing: the reason is gone.
    Keep,
    /// It is closed once the request under way, if there is one, is answered.
    CloseGracefully,
    /// A request is coming: it is answered, and the connection closed behind it.
    CloseAfterNextAnswer,
    /// It is closed at once, whatever is under way.
    Abort,
}

/// Whether a connection is to be closed for this reason, as far as is known when the close is chosen. `has_unread` asks the kernel
/// whether it has bytes or an end that have not been read; it is asked only where that counts.
pub fn should_close(
    reason: CloseReason,
    state: &ConnectionState,
    limits: &CloseLimits,
    has_unread: impl FnOnce() -> bool,
) -> bool {
    let idle = state.is_between_requests();
    match reason {
        CloseReason::MakeRoom | CloseReason::Draining => idle && !has_unread(),
        CloseReason::IdleTimeout => idle && state.since_progress >= limits.idle_timeout && !has_unread(),
        CloseReason::ListenerRemoved => true,
        CloseReason::SlowHead => {
            let elapsed = state.since_first_byte.or(state.since_accept);
            let timed_out =
                state.stage == RequestStage::Idle && elapsed.is_some_and(|time| time > limits.header_timeout);
            timed_out && !has_unread()
        }
        CloseReason::Stalled => {
            let stalled = !idle && state.since_progress >= limits.stall_timeout;
            // Behind a request, what a client sends is not read: it is no progress of its answer.
            let reads_request = matches!(state.stage, RequestStage::Idle | RequestStage::ReadingBody);
            stalled && !(reads_request && has_unread())
        }
    }
}

/// How a close that was chosen is carried out, now that the connection is in this state: bytes may have come since, and what has begun
/// with them is owed its answer.
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
        CloseReason::IdleTimeout
        | CloseReason::MakeRoom
        | CloseReason::Draining
        | CloseReason::ListenerRemoved => match state.stage {
            // A head that does not come to its end is cut like any other.
            RequestStage::Idle if !state.is_between_requests() || has_unread() => {
                CloseDecision::CloseAfterNextAnswer
            }
            RequestStage::Idle
            | RequestStage::ReadingBody
            | RequestStage::AwaitingAnswer
            | RequestStage::WritingAnswer => CloseDecision::CloseGracefully,
        },
    }
}
