#!/bin/sh
# Installs the Debian packages that the build, the tests and CI need.
# Does nothing where all are there already, so it is cheap to call each time.
set -eu
packages="build-essential cmake ninja-build pkg-config git curl
  clang-format clang-tidy
  libev-dev libzmq3-dev libmicrohttpd-dev libcurl4-gnutls-dev libglib2.0-dev
  libjson-c-dev libprotobuf-c-dev libsodium-dev libgnutls28-dev
  libgtest-dev librapidcheck-dev"
missing=""
for package in $packages; do
  dpkg -s "$package" >/dev/null 2>&1 || missing="$missing $package"
done
if [ -n "$missing" ]; then
  export DEBIAN_FRONTEND=noninteractive
  apt-get update -qq
  # shellcheck disable=SC2086
  apt-get install -y -qq --no-install-recommends $missing
fi
