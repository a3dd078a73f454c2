//! The rules for active requests: whether an attempt may be sent, repeated or written now, and whether a
//! request may be refused. The balancer proposes; what these functions deny is not carried out, and is
//! counted.

use corkhollow_balance::interface::{Class, Effect, Ending, Group, Nanos, Phase, Request, Server, Settings};

/// The retry and hedging policy of a request, fixed by the settings in force when it was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Whether the request may run more than once.
    pub effect: Effect,
    /// For keyed requests: the servers that recognise a repeated key.
    pub group: Group,
    /// For keyed requests: how long the servers remember a key, from the first attempt that may have run.
    pub window: Nanos,
    /// Whether an attempt may be sent while another one is open.
    pub hedging: bool,
    /// The most attempts per request, hedges included.
    pub max_attempts: usize,
}

impl RetryPolicy {
    /// The policy for a request of `class`: the limits of the settings in force and those under which its
    /// head arrived both bind.
    pub fn for_request(request: &Request, class: &Class, settings: &Settings) -> Self {
        RetryPolicy {
            effect: class.effect,
            group: class.group,
            window: class.window,
            hedging: settings.second_copies && request.allows_hedges,
            max_attempts: settings.max_attempts.min(request.max_attempts) as usize,
        }
    }
}

/// The state of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// Not ended; the server may be running the request or may have run it.
    Open,
    /// Ended in this way.
    Ended(Ending),
}

/// An attempt that was decided on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SentAttempt {
    /// The server as listed when the attempt was decided on.
    pub server: Server,
    /// When the attempt was decided on, no later than its first byte was written.
    pub sent_at: Nanos,
    /// Whether it is open or has ended.
    pub state: AttemptState,
}

impl SentAttempt {
    /// Whether the attempt has not ended.
    pub fn is_open(&self) -> bool {
        self.state == AttemptState::Open
    }

    /// Whether the server may have run the request.
    pub fn may_have_run(&self) -> bool {
        match self.state {
            AttemptState::Open => true,
            AttemptState::Ended(ending) => !ending.never_ran(),
        }
    }
}

/// Why the rules deny an action.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The request has its final answer, or its client has disconnected.
    RequestOver,
    /// The request's deadline has passed.
    OutOfTime,
    /// The request has reached its maximum number of attempts.
    TooManyAttempts,
    /// The request's body was streamed to another server and cannot be sent again.
    BodySpent,
    /// Another attempt is open, and the settings do not allow hedging.
    AnotherAttemptOpen,
    /// An attempt may have run, and the request is not idempotent.
    MayHaveRun,
    /// An attempt may have run, and the servers no longer remember its key.
    WindowOver,
    /// An attempt may have run, and this server does not recognise its key.
    OtherGroup,
    /// The server is draining, no longer listed or unknown.
    ServerNotReady,
    /// A refusal would invite the client to retry a request that may have run.
    RefusalNotHarmless,
}

impl Denial {
    /// All denials, in the order of their discriminants.
    pub const ALL: [Denial; 10] = [
        Denial::RequestOver,
        Denial::OutOfTime,
        Denial::TooManyAttempts,
        Denial::BodySpent,
        Denial::AnotherAttemptOpen,
        Denial::MayHaveRun,
        Denial::WindowOver,
        Denial::OtherGroup,
        Denial::ServerNotReady,
        Denial::RefusalNotHarmless,
    ];

    /// The name used in metrics and on the events page.
    pub fn name(self) -> &'static str {
        match self {
            Denial::RequestOver => "request-over",
            Denial::OutOfTime => "out-of-time",
            Denial::TooManyAttempts => "too-many-attempts",
            Denial::BodySpent => "body-spent",
            Denial::AnotherAttemptOpen => "another-attempt-open",
            Denial::MayHaveRun => "may-have-run",
            Denial::WindowOver => "window-over",
            Denial::OtherGroup => "other-group",
            Denial::ServerNotReady => "server-not-ready",
            Denial::RefusalNotHarmless => "refusal-not-harmless",
        }
    }

    /// Whether a correct balancer may propose an action that is denied for this reason. Any other denial
    /// indicates a bug.
    pub fn is_expected(self) -> bool {
        matches!(self, Denial::RequestOver | Denial::OutOfTime | Denial::TooManyAttempts | Denial::BodySpent)
    }
}

/// The state of a request on which the rules decide.
#[derive(Clone, Copy, Debug)]
pub struct RequestState {
    /// The request's policy.
    pub policy: RetryPolicy,
    /// Whether the client still waits for the final answer.
    pub is_awaited: bool,
    /// When the request times out.
    pub deadline: Nanos,
}

/// Whether an attempt may be sent to `server` now; `others` are the request's other attempts in order.
/// Checked when an attempt is decided on, and again right before its first byte is written, since connecting
/// takes time.
///
/// # Errors
/// The reason why it may not.
pub fn may_send<'a>(
    now: Nanos,
    request: RequestState,
    others: impl Iterator<Item = &'a SentAttempt> + Clone,
    server: Option<&Server>,
) -> Result<(), Denial> {
    let RequestState { policy, is_awaited, deadline } = request;
    if !is_awaited {
        return Err(Denial::RequestOver);
    }
    if now >= deadline {
        return Err(Denial::OutOfTime);
    }
    if others.clone().count() >= policy.max_attempts {
        return Err(Denial::TooManyAttempts);
    }
    if !policy.hedging && others.clone().any(SentAttempt::is_open) {
        return Err(Denial::AnotherAttemptOpen);
    }
    let server = server.filter(|server| server.phase == Phase::Ready).ok_or(Denial::ServerNotReady)?;
    let first_possible_run = others.clone().find(|attempt| attempt.may_have_run());
    first_possible_run.map_or(Ok(()), |first| may_repeat(now, policy, first, server))
}

/// Whether a request with these attempts may be sent once more to some server, although one may have run.
pub fn may_repeat_anywhere<'a>(
    now: Nanos,
    request: RequestState,
    mut attempts: impl Iterator<Item = &'a SentAttempt> + Clone,
) -> bool {
    let RequestState { policy, is_awaited, deadline } = request;
    let is_in_time = is_awaited && now < deadline;
    let is_within_limit = attempts.clone().count() < policy.max_attempts;
    let first_run_at = attempts.find(|attempt| attempt.may_have_run()).map_or(now, |attempt| attempt.sent_at);
    let may_run_again = match policy.effect {
        Effect::Safe => true,
        Effect::Unsafe => false,
        Effect::Keyed => now < first_run_at.saturating_add(policy.window),
    };
    is_in_time && is_within_limit && may_run_again
}

/// Whether a request may be repeated at `server` now, given the first attempt that may have run.
fn may_repeat(now: Nanos, policy: RetryPolicy, first: &SentAttempt, server: &Server) -> Result<(), Denial> {
    match policy.effect {
        Effect::Safe => Ok(()),
        Effect::Unsafe => Err(Denial::MayHaveRun),
        Effect::Keyed if now >= first.sent_at.saturating_add(policy.window) => Err(Denial::WindowOver),
        Effect::Keyed => {
            let recognises_key = match policy.group {
                Group::All => true,
                Group::Zone => first.server.zone == server.zone,
                Group::Cell => first.server.cell == server.cell,
            };
            recognises_key.then_some(()).ok_or(Denial::OtherGroup)
        }
    }
}

/// Whether a request with these attempts may be refused, which tells the client that it can safely retry.
pub fn may_refuse<'a>(policy: RetryPolicy, mut attempts: impl Iterator<Item = &'a SentAttempt>) -> bool {
    match policy.effect {
        Effect::Safe => true,
        Effect::Keyed if policy.group == Group::All => true,
        Effect::Keyed | Effect::Unsafe => !attempts.any(SentAttempt::may_have_run),
    }
}
