#!/bin/sh
# Put the libraries and the product's packages under target/deps. Libraries are
# installed anew when the lock file changes, sources are copied at every build; tests,
# tools and stand-ins stay out.
set -eu
cd "$(dirname "$0")/.."
libraries=target/libraries.lock
mkdir -p target
sed '/^# Tools/,$d' requirements.lock > target/wanted.lock
if ! cmp -s target/wanted.lock "$libraries"; then
    rm -rf target/deps
    python3 -m pip install --quiet --disable-pip-version-check --no-deps \
        --target target/deps -r target/wanted.lock
    python3 -m compileall -q target/deps
    cp target/wanted.lock "$libraries"
fi
rm -rf target/deps/trestlestall
for package in packages/*; do
    [ "$package" = packages/standins ] || cp -r "$package/src/." target/deps/
done
# Compiled once here, not at each start of each process.
python3 -m compileall -q target/deps/trestlestall platform
