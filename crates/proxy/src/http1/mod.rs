//! HTTP/1.1 towards the clients.

mod answers;
mod client;
mod clients;
mod closing;
mod general;
mod platform;
mod respond;
mod service;
mod upload;

pub use clients::Clients;
pub use service::Service;
