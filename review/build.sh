#!/bin/sh
# Builds the stand-ins of the review's cases, below target/. Needs no network: all libraries are those of
# the repository's own lock file.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked --manifest-path review/stand/Cargo.toml --target-dir target/review
