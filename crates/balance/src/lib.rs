//! Load balancing decisions of a reverse proxy for HTTP servers.
//!
//! The crate does no I/O and reads no clock: the proxy passes each event with its time to a [`Balancer`], and
//! executes the actions that the balancer returns.
//!
//! ```
//! use corkhollow_balance::interface::{Action, Event, ListKind, Phase, Request, Server, ServerId, Settings};
//! use corkhollow_balance::Balancer;
//!
//! let mut balancer = Balancer::new(Settings::single_class(400_000_000, 800_000_000), 7).unwrap();
//! let mut actions = Vec::new();
//! let server = Server::warm(ServerId(1));
//! balancer.handle(0, Event::List { kind: ListKind::Full, servers: vec![server] }, &mut actions);
//! actions.clear();
//! let request = Request::new(1, 1_000_000 + 800_000_000);
//! balancer.handle(1_000_000, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { request: 1, .. })));
//! assert_eq!(server.phase, Phase::Ready);
//! ```

mod balancer;
pub mod interface;
mod knowledge;
mod quotas;
pub mod settings;
mod updates;

pub use balancer::Balancer;
pub use knowledge::{ClassKnowledge, Knowledge, ServerKnowledge};
