//! A request that is active, as the state machine keeps it, and its message as attempts send it.

use crate::rules::{RetryPolicy, SentAttempt};
use corkhollow_balance::interface::Nanos;

/// A request as attempts send it: a handle that is cheap to clone.
pub trait RequestMessage: Clone {
    /// Whether an attempt has consumed the body, which leaves none for another attempt.
    fn is_body_consumed(&self) -> bool;

    /// The deadline as of `now` if it depends on the progress of the request body. `timeout` counts from the end
    /// of the body.
    fn upload_deadline(&self, now: Nanos, timeout: Nanos) -> Option<UploadDeadline>;
}

/// The deadline of a request whose body is streamed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UploadDeadline {
    /// When the request times out, as far as is known now.
    pub at: Nanos,
    /// Whether the body has ended. Until then the deadline may move, to a later or an earlier time.
    pub is_final: bool,
}
/// An attempt of an active request.
pub(crate) struct Attempt {
    pub(crate) record: SentAttempt,
    /// Time from the request's last byte to the head of the answer, once that has arrived.
    pub(crate) latency: Option<Nanos>,
    /// False if the rules denied the attempt.
    pub(crate) was_sent: bool,
}

/// A request that awaits its answer or has an open attempt.
pub(crate) struct ActiveRequest<C, M, A> {
    /// The client's own request ID, also in [`Requests::client_request_ids`], if it must be unique.
    pub(crate) client_request_id: Option<C>,
    /// Whether nothing more of an answer is to be passed on to the client.
    pub(crate) is_delivered: bool,
    pub(crate) message: M,
    pub(crate) give_up_at: Nanos,
    /// Time allowed from the end of the request body.
    pub(crate) timeout: Nanos,
    /// Whether the client is still waiting for its final answer.
    pub(crate) is_awaited: bool,
    pub(crate) attempts: Vec<Attempt>,
    /// The policy in force when the request was accepted; `None` if its class was unknown.
    pub(crate) policy: Option<RetryPolicy>,
    /// A server's error answer, given to the client unless a later attempt yields a better one.
    pub(crate) fallback: Option<A>,
}

impl<C, M, A> ActiveRequest<C, M, A> {
    /// All attempts, in order.
    pub(crate) fn sent_attempts(&self) -> impl Iterator<Item = &SentAttempt> + Clone {
        self.attempts.iter().map(|attempt| &attempt.record)
    }

    /// Whether its client awaits nothing and no attempt is open.
    pub(crate) fn is_over(&self) -> bool {
        !self.is_awaited && !self.sent_attempts().any(SentAttempt::is_open)
    }

    /// Whether a server may have run it.
    pub(crate) fn may_have_run(&self) -> bool {
        self.sent_attempts().any(SentAttempt::may_have_run)
    }
}
