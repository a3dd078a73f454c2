//! Which route a request takes: pure, and decided by the request's head alone.
//!
//! Routes are tried in the order of the file, and the first whose conditions all hold is taken. The path and the
//! host are put into one form before (see [`path`] and [`host`]), and the request goes on in that form, so that
//! this program and the servers cannot read one request as two different ones.

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
