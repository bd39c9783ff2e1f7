#!/usr/bin/env bash
# Installs the packages for the build, the tests and the linters; does nothing when all are installed.
set -eu
packages=(g++ cmake ninja-build pkg-config curl clang clang-format clang-tidy
  libabsl-dev
  libmicrohttpd-dev libcurl4-openssl-dev libjsoncpp-dev libsimdjson-dev libspdlog-dev libsodium-dev libtclap-dev
  libboost-dev libboost-test-dev libclang-rt-14-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
export DEBIAN_FRONTEND=noninteractive
as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -qq
"${as_root[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}"
