#!/bin/sh
# Installs the Debian packages that build, check and demo need. Does nothing if all are installed.
set -eu
packages="gcc make cmake pkg-config clang-format clang-tidy spin protobuf-c-compiler
  libck-dev libprotobuf-c-dev libmicrohttpd-dev libcurl4-openssl-dev libjansson-dev libsodium-dev
  libcunit1-dev"
missing=""
for package in $packages; do
  dpkg -s "$package" 2>/dev/null | grep -q '^Status: install ok installed' || missing="$missing $package"
done
[ -n "$missing" ] || exit 0
sudo=""
[ "$(id -u)" -eq 0 ] || sudo=sudo
$sudo apt-get update -q
# shellcheck disable=SC2086
$sudo apt-get install -y -q $missing
