//! HTTP/1.1 towards the clients.

mod clients;

pub use clients::{Clients, Service};
