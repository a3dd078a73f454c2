//! Requests under way. What happens on the sockets becomes an event for the decision module; what the module wants
//! is carried out, in order; each request gets one final answer.
//!
//! The engine knows no connection. The sides that hold them sit above it: fronts hand requests in
//! ([`Engine::submit`]), and a [`Transport`] takes attempts to servers and tells how they went.

mod body;
mod clock;
mod engine;
mod log;
mod message;
mod requests;
pub mod rules;

pub use body::BufferedBody;
pub use clock::Clock;
pub use engine::{Engine, PendingAnswer, RunningAttempt, Transport};
pub use log::{log, LogLimiter};
pub use message::{
    Answer, AttemptId, BodyFrame, ClientBody, IncompleteBody, InterimHandler, Message, Payload, Upload,
    UploadProgress,
};
pub use requests::{Command, DiscoveryCall, FinalAnswer, RequestMessage, Requests};
