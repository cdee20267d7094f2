# Sourced by the other scripts: changes to the root of the repository, installs missing packages and builds.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
BUILD_DIR=${BUILD_DIR:-build}
JOBS=${JOBS:-$(nproc)}
PACKAGES=(g++ cmake ninja-build ccache pkg-config curl libboost1.81-dev libgflags-dev
  libeasyloggingpp-dev libgtest-dev libgmock-dev libbenchmark-dev libssl-dev libxxhash-dev librapidcheck-dev
  clang-format clang-tidy valgrind)

install_packages() {
  if ! dpkg -s "${PACKAGES[@]}" >/dev/null 2>&1; then
    echo "installing the packages required by the build"
    apt-get update -q >/dev/null
    DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends "${PACKAGES[@]}" >/dev/null
  fi
}

build() {
  install_packages
  cmake -S . -B "$BUILD_DIR" -G Ninja >/dev/null
  cmake --build "$BUILD_DIR" -j "$JOBS" -- --quiet "$@"
}
