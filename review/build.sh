#!/bin/sh
# Builds the stand-ins that the scripts start: one program, from the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/standins/main.rs -o target/review/standins
