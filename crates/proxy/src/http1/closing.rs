//! Whether a client's connection may be closed now, in one place. It is asked when a close is chosen and again when it is carried out:
//! between the two, bytes may have come.

use std::time::Duration;

/// How far the request under way on a connection is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Between requests, or in a head.
    Idle,
    /// In a body.
    Reading,
    /// The request is with the service, whose deadline bounds it.
    Waiting,
    /// The answer is on its way.
    Writing,
}

/// Why the node closes a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// It has stood idle for too long.
    IdleTimeout,
    /// A new connection needs its place.
    MakeRoom,
    /// The node drains or ends.
    Leaving,
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
            CloseReason::Leaving => "leaving",
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
    pub stage: Stage,
    /// How long ago the first byte of the request under way came.
    pub head_for: Option<Duration>,
    /// How long ago it was accepted, where nothing has come on it since.
    pub silent_for: Option<Duration>,
    /// How long nothing has moved on it.
    pub still_for: Duration,
}

impl ConnectionState {
    /// Between requests, as far as has been read.
    pub fn is_resting(&self) -> bool {
        self.stage == Stage::Idle && self.head_for.is_none()
    }
}

/// How long a connection may take.
#[derive(Clone, Copy, Debug)]
pub struct CloseLimits {
    /// For a head.
    pub head: Duration,
    /// Between requests.
    pub idle: Duration,
    /// Without anything moving in a request or an answer.
    pub stall: Duration,
}

/// What is done with a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseDecision {
    /// Nothing: the reason is gone.
    Keep,
    /// It is closed once the request under way, if there is one, is answered.
    Close,
    /// A request is coming: it is answered, and the connection closed behind it.
    CloseAfterAnswer,
    /// It is closed at once, whatever is under way.
    Cut,
}

/// Whether a connection is to be closed for this reason, as far as is known when the close is chosen. `unread` asks the kernel
/// whether it has bytes or an end that have not been read; it is asked only where that counts.
pub fn should_close(
    reason: CloseReason,
    state: &ConnectionState,
    limits: &CloseLimits,
    unread: impl FnOnce() -> bool,
) -> bool {
    let resting = state.is_resting();
    match reason {
        CloseReason::MakeRoom | CloseReason::Leaving => resting && !unread(),
        CloseReason::IdleTimeout => resting && state.still_for >= limits.idle && !unread(),
        CloseReason::ListenerRemoved => true,
        CloseReason::SlowHead => {
            let begun = state.head_for.or(state.silent_for);
            let late = state.stage == Stage::Idle && begun.is_some_and(|time| time > limits.head);
            late && !unread()
        }
        CloseReason::Stalled => {
            let still = !resting && state.still_for >= limits.stall;
            // Behind a request, what a client sends is not read: it is no progress of its answer.
            let moves = matches!(state.stage, Stage::Idle | Stage::Reading);
            still && !(moves && unread())
        }
    }
}

/// How a close that was chosen is carried out, now that the connection is in this state: bytes may have come since, and what has begun
/// with them is owed its answer.
pub fn carry_out(
    reason: CloseReason,
    state: &ConnectionState,
    limits: &CloseLimits,
    unread: impl FnOnce() -> bool,
) -> CloseDecision {
    match reason {
        CloseReason::SlowHead | CloseReason::Stalled => match should_close(reason, state, limits, unread) {
            true => CloseDecision::Cut,
            false => CloseDecision::Keep,
        },
        CloseReason::IdleTimeout
        | CloseReason::MakeRoom
        | CloseReason::Leaving
        | CloseReason::ListenerRemoved => match state.stage {
            // A head that does not come to its end is cut like any other.
            Stage::Idle if !state.is_resting() || unread() => CloseDecision::CloseAfterAnswer,
            Stage::Idle | Stage::Reading | Stage::Waiting | Stage::Writing => CloseDecision::Close,
        },
    }
}
