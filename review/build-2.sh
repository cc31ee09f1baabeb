#!/bin/sh
# Builds the stand-ins of the second review (review/6 to review/10) into target/review-2. Only the
# standard library is used, so no network is needed.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc -O --edition 2021 -o target/review-2/rig review/rig-2/rig.rs
