//! The rules on requests under way, in one place: whether an attempt may be sent, repeated or begun now, and whether a request may be
//! refused. The decision module proposes; what these functions deny is not done, and is counted.

use corkhollow_balance::interface::{Class, Effect, Ending, Group, Nanos, Phase, Server, Settings};

/// What the settings in force when a request was taken allow for it; later settings do not change it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// How far it may be repeated.
    pub effect: Effect,
    /// For keyed requests: which servers recognise a repeat.
    pub group: Group,
    /// For keyed requests: for how long, from the first attempt that may have run.
    pub window: Nanos,
    /// Two of its attempts may be open at once.
    pub hedging: bool,
    /// The most attempts that it may have.
    pub max_attempts: usize,
}

impl RetryPolicy {
    /// The terms of a class.
    pub fn for_class(class: &Class, settings: &Settings) -> Self {
        RetryPolicy {
            effect: class.effect,
            group: class.group,
            window: class.window,
            hedging: settings.second_copies,
            max_attempts: settings.max_attempts as usize,
        }
    }
}

/// How an attempt stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// It has not ended: it may run, or may have run.
    Open,
    /// It has ended so.
    Ended(Ending),
}

/// An attempt that has been sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SentAttempt {
    /// Its server as the list had it.
    pub server: Server,
    /// When it was decided on, which is no later than its first byte.
    pub sent_at: Nanos,
    /// How it stands.
    pub state: AttemptState,
}

impl SentAttempt {
    /// Whether it is open.
    pub fn is_open(&self) -> bool {
        self.state == AttemptState::Open
    }

    /// Whether its server may have run the request.
    pub fn may_have_run(&self) -> bool {
        match self.state {
            AttemptState::Open => true,
            AttemptState::Ended(ending) => !ending.never_ran(),
        }
    }
}

/// Why something is denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The request has its final answer, or its client has left.
    RequestOver,
    /// The request's time is up.
    OutOfTime,
    /// The request has had all the attempts that it may have.
    TooManyAttempts,
    /// The request's body has gone to another server and is not there for a repeat.
    BodySpent,
    /// Another attempt is open, and the settings allow no hedging.
    AnotherAttemptOpen,
    /// An attempt may have run, and the request must not run twice.
    MayHaveRun,
    /// An attempt may have run, and servers have forgotten its key.
    WindowOver,
    /// An attempt may have run, and this server does not recognise its key.
    OtherGroup,
    /// The server drains, has left the list or is not known.
    ServerNotReady,
    /// A refusal would invite a repeat of what may have run.
    RefusalNotHarmless,
}

impl Denial {
    /// All there are, in the order of their numbers.
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

    /// Its name in metrics and events.
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

    /// Whether a decision module that works could have proposed what is denied so. Any other denial has kept a rule from being broken
    /// by a fault of the program.
    pub fn is_expected(self) -> bool {
        matches!(self, Denial::RequestOver | Denial::OutOfTime | Denial::TooManyAttempts | Denial::BodySpent)
    }
}

/// What has to be known of a request for a decision about it.
#[derive(Clone, Copy, Debug)]
pub struct RequestState {
    /// What the settings allow for it.
    pub policy: RetryPolicy,
    /// Its client waits for the final answer.
    pub is_awaited: bool,
    /// When its time is up.
    pub deadline: Nanos,
}

/// Whether one more attempt, or the first one, may go to this server now; `others` are the request's other attempts, the first of
/// them first. Asked when an attempt is decided on and again right before its first byte is written, as connecting takes time.
///
/// # Errors
/// Why it may not.
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
    let first_run = others.clone().find(|attempt| attempt.may_have_run());
    first_run.map_or(Ok(()), |first| may_repeat(now, policy, first, server))
}

/// Whether a request of which this attempt may have run may go to this server now.
fn may_repeat(now: Nanos, policy: RetryPolicy, first: &SentAttempt, server: &Server) -> Result<(), Denial> {
    match policy.effect {
        Effect::Safe => Ok(()),
        Effect::Unsafe => Err(Denial::MayHaveRun),
        Effect::Keyed if now >= first.sent_at.saturating_add(policy.window) => Err(Denial::WindowOver),
        Effect::Keyed => {
            let same = match policy.group {
                Group::All => true,
                Group::Zone => first.server.zone == server.zone,
                Group::Cell => first.server.cell == server.cell,
            };
            same.then_some(()).ok_or(Denial::OtherGroup)
        }
    }
}

/// Whether a request with these attempts may be refused, which promises its client that a repeat does no harm.
pub fn may_refuse<'a>(policy: RetryPolicy, mut attempts: impl Iterator<Item = &'a SentAttempt>) -> bool {
    match policy.effect {
        Effect::Safe => true,
        Effect::Keyed if policy.group == Group::All => true,
        Effect::Keyed | Effect::Unsafe => !attempts.any(SentAttempt::may_have_run),
    }
}
