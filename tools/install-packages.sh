#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests require. Does nothing if all are installed.
set -euo pipefail
packages=(
    g++ cmake ninja-build ccache pkg-config python3 python3-h11 curl clang clang-format clang-tidy libclang-rt-14-dev
    libabsl-dev libmsgpack-cxx-dev prometheus-cpp-dev libcpp-httplib-dev libcxxopts-dev liblog4cxx-dev
    nlohmann-json3-dev librapidcheck-dev libxxhash-dev libzstd-dev liburcu-dev libssl-dev
    libgtest-dev libgmock-dev libbenchmark-dev libuv1-dev libboost-dev
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}"
fi
