//! Routing: chooses the route of a request by the request's head alone, without I/O.
//!
//! The first route in the order of the file whose conditions all hold is taken. Path and host are normalised first
//! (see [`path`] and [`host`]) and forwarded in that form, so that the gateway and the servers interpret a request in
//! the same way.

mod cover;
pub mod expression;
pub mod fields;
pub mod host;
pub mod path;
pub mod rewrite;
pub mod table;

pub use expression::Expression;
pub use fields::{FieldMatch, FieldTest};
pub use host::{Host, HostPattern};
pub use path::{PathPattern, PathRules};
pub use rewrite::{HeaderEdits, Redirect, Rewrite};
pub use table::{Mismatch, RequestHead, Route, RouteAction, RouteTable};
