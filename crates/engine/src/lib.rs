//! Requests under way. What happens on the sockets becomes an event for the decision module; what the module wants
//! is carried out, in order; each request gets one final answer.
//!
//! The engine knows no connection. The sides that hold them sit above it: fronts hand requests in
//! ([`Engine::submit`]), and a [`Carrier`] takes attempts to servers and tells how they went.

mod body;
mod clock;
mod engine;
mod log;
mod message;
mod requests;
pub mod rules;

pub use body::Pieces;
pub use clock::Clock;
pub use engine::{Carrier, Engine, Running, Ticket};
pub use log::{log, Pace};
pub use message::{
    Answer, AttemptId, Broken, ClientBody, Interims, Message, Payload, Piece, Progress, Upload,
};
pub use requests::{Command, ListCall, Load, Requests, Verdict};
