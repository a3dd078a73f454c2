#!/bin/sh
# Builds the stand-ins of all cases. The project's own programs come from the build of the deploy file.
set -e
cd "$(dirname "$0")/standins"
cargo build --release --locked --offline
