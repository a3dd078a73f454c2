//! HTTP/1.1 on the client side: connections, requests and answers.

mod backlog;
#[cfg(test)]
mod backlog_tests;
mod body_pace;
#[cfg(test)]
mod body_pace_tests;
mod client_connection;
mod client_connections;
mod close_policy;
#[cfg(test)]
mod close_policy_tests;
mod connection_task;
mod general;
mod listen_queue;
#[cfg(test)]
mod listen_queue_tests;
mod platform;
mod platform_head;
mod respond;
mod responses;
mod service;
mod upload;

pub use client_connections::ClientConnections;
pub use service::Service;
