//! The planned size of a deployment, and generated configurations of that size or of a fraction of it.

mod fit;
mod generate;
mod size;

pub use fit::PowerFit;
pub use generate::{Change, ConfigFrame, GeneratedConfig, GeneratedPool, GeneratedRoute};
pub use size::{ChangeRates, ControlBudget, Counts, Dimension, FaultRates, PlannedSize};
