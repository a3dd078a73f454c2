//! What the state machine of requests tells its executor to do.

use crate::message::AttemptId;
use crate::rules::Denial;
use corkhollow_balance::interface::{Ending, Nanos, Refusal, RequestId, ServerId};

/// A call to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryCall {
    /// Open a watch on the server list.
    Subscribe,
    /// Fetch the server list once.
    Fetch,
}
/// The final answer to a request; there is exactly one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalAnswer<A> {
    /// A server's answer.
    FromServer(A),
    /// Refused without effect; the client may safely retry.
    Refused {
        /// Advised delay before a retry (`Retry-After`); 0 for none.
        retry_after: Nanos,
        /// The reason for the refusal.
        reason: Refusal,
    },
    /// Failed; the request may or may not have taken effect.
    Failed {
        /// The request's deadline passed.
        timed_out: bool,
    },
}

impl<A> FinalAnswer<A> {
    /// The name used on the events page; for a refusal, its reason.
    pub fn name(&self) -> &'static str {
        match self {
            FinalAnswer::FromServer(_) => "by-server",
            FinalAnswer::Refused { reason, .. } => reason.name(),
            FinalAnswer::Failed { timed_out: true } => "out-of-time",
            FinalAnswer::Failed { timed_out: false } => "failed",
        }
    }
}

/// A command for the executor. Commands are executed in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command<M, A> {
    /// Start an attempt.
    Send {
        /// The attempt.
        id: AttemptId,
        /// The server to send to.
        server: ServerId,
        /// The request to send.
        message: M,
        /// Whether another attempt of the request is still open.
        hedge: bool,
    },
    /// The attempt's result is no longer needed.
    Abandon(AttemptId),
    /// The request is over. An attempt whose last byte has not been written is cancelled and ends with
    /// [`Ending::NotSent`]; one that has been written continues.
    CancelUnsent(AttemptId),
    /// Give the client its final answer. Issued once per request, unless the client disconnects first.
    Answer {
        /// The request.
        request: RequestId,
        /// The final answer.
        answer: FinalAnswer<A>,
    },
    /// Call discovery.
    CallDiscovery(DiscoveryCall),
    /// Write a line to the log.
    Log {
        /// The server that the line is about, if any.
        server: Option<ServerId>,
        /// The text of the line.
        text: String,
    },
    /// For metrics: an attempt has ended.
    AttemptEnded {
        /// The attempt.
        id: AttemptId,
        /// How it ended.
        ending: Ending,
    },
    /// For metrics: a request gets another attempt, as a retry or a hedge.
    AttemptRepeated {
        /// How the previous attempt ended; `None` for a hedge.
        after: Option<Ending>,
    },
    /// For metrics: the rules denied an action of the balancer, and it was not carried out.
    ProposalDenied {
        /// The request.
        request: RequestId,
        /// The reason.
        denial: Denial,
    },
}
