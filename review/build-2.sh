#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, without a network: they use the standard library only.
set -e
cd "$(dirname "$0")/stubs-2"
cargo build --release --locked --offline --target-dir target
