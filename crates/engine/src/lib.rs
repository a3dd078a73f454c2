//! The lifecycle of proxied requests: socket activity becomes events for the balancer, and the balancer's
//! actions are executed in order. Each request gets exactly one final answer.
//!
//! The engine holds no connections. The client side submits requests ([`Engine::submit`]); a [`Transport`]
//! sends attempts to servers and reports their results.

mod active_request;
mod body;
mod clock;
mod command;
mod engine;
mod log;
mod message;
mod request_ids;
mod requests;
pub mod rules;
mod stored_headers;
mod timers;

pub use active_request::{RequestMessage, UploadDeadline};
pub use body::{BodyBuffer, BufferedBody};
pub use clock::Clock;
pub use command::{Command, DiscoveryCall, FinalAnswer};
pub use engine::{Engine, PendingAnswer, RunningAttempt, Transport};
pub use log::{log, LogLimiter};
pub use message::{
    Answer, ArrivalProbe, AttemptId, BodyFrame, ClientBody, IncompleteBody, InterimHandler, Message, Payload,
    Upload, UploadProgress,
};
pub use request_ids::{RequestKey, SharedIds, ID_RETENTION};
pub use requests::Requests;
pub use stored_headers::StoredHeaders;
