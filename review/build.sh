#!/bin/bash
# Builds the stand-ins of the cases with the compiler alone: no package, no network.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p built
for source in */main.rs; do
    rustc --edition 2021 -C opt-level=2 -o "built/case-$(dirname "$source")" "$source"
done
