//! Benchmarks, run with `cargo bench`, and the programs that they compare against.
