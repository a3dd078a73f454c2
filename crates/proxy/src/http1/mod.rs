//! HTTP/1.1 towards clients.

mod answers;
mod client;
mod client_connections;
mod closing;
mod general;
mod platform;
mod respond;
mod service;
mod upload;

pub use client_connections::ClientConnections;
pub use service::Service;
