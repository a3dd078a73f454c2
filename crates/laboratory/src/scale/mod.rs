//! The size that is coming, and configurations of it or of a part of it.

mod fit;
mod generate;
mod size;

pub use fit::Fit;
pub use generate::{Change, Frame, Generated, Pool, Route};
pub use size::{Changes, Control, Count, Counts, Faults, Size};
