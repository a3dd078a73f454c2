//! Measurements that can be run again with `cargo bench`; what they need beside the benches themselves.
