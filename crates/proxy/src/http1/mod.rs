//! HTTP/1.1 towards the clients.

mod clients;
mod closing;
mod general;
mod platform;
mod upload;

pub use clients::{Clients, Service};
