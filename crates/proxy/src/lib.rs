//! HTTP/1.1 connections to clients and servers, with the engine between them. All decisions on requests are
//! left to the engine; this crate does the I/O.

pub mod active_plan;
pub mod background;
mod body;
#[cfg(test)]
mod body_tests;
pub mod class_indexes;
#[cfg(test)]
mod early_answer_tests;
pub mod fleet;
mod headers;
pub mod http1;
mod message_progress;
#[cfg(test)]
mod message_progress_tests;
pub mod operator;
mod shortage;
mod socket;
pub mod upstream;
