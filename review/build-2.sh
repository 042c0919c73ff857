#!/bin/sh
# Builds the cases and their stand-ins into target/review-2, after the build of the deploy file. The stand-ins use the standard
# library alone, but for that of etcd: it is the project's own, and is linked with what the build has left.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
for case in review/6 review/7 review/8 review/9 review/10; do
    [ -f "$case/case.rs" ] || continue
    rustc --edition 2021 -O -A warnings -o "$out/case-$(basename "$case")" "$case/case.rs"
done
newest() { ls -t target/release/deps/lib"$1"-*.rlib | head -n 1; }
rustc --edition 2021 -O -C panic=abort -L dependency=target/release/deps --extern tokio="$(newest tokio)" \
    --extern saffronpaddle_test_doubles="$(newest saffronpaddle_test_doubles)" -o "$out/etcd" review/standins-2/etcd.rs
