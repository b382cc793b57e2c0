# Front for CMake: `make demo` and `make check` are the two commands that a
# newcomer needs; the rest serves development.
BUILD ?= build
SOURCES = $(shell git ls-files '*.c' '*.h' '*.cc' | grep -v '\.pb-c\.')
C_SOURCES = $(shell git ls-files '*.c' | grep -v '\.pb-c\.')

.PHONY: soak regress faults all build deps check check-sanitize check-long demo format format-check lint bench slopes spread install clean

all: build

deps:
	tools/install-deps.sh

build:
	cmake -S . -B $(BUILD) -G Ninja
	cmake --build $(BUILD)

# Tests that KNOWN-RED.txt lists are printed and passed over.
check: deps build
	tools/check.sh $(BUILD)

# The property tests with many more cases and a new seed, which is printed:
# `make check-long SEED=N TEST=prop_fleet:LimitsHold` runs that one again.
check-long: build
	tools/check-long.sh $(BUILD) "$(SEED)" "$(TEST)"

# A randomized fault soak of gateway mode: `make soak SEED=N MINUTES=M
# ROUTERS=R'; by default a new seed, which is printed, 1 minute and 3 routers.
soak:
	cmake -S . -B $(BUILD) -G Ninja
	cmake --build $(BUILD) --target mqsoak
	MQ_BIN=$(BUILD) $(BUILD)/tests/mqsoak $(if $(SEED),--seed "$(SEED)") \
	  $(if $(MINUTES),--minutes "$(MINUTES)") \
	  $(if $(ROUTERS),--routers "$(ROUTERS)")

# All pairs of the fault matrix; writes docs/FAULTS.md from the run.
faults: build
	MQ_FAULTS_PAGE=docs/FAULTS.md $(BUILD)/tests/test_fault_matrix

check-sanitize:
	cmake -S . -B build-sanitize -G Ninja -DCMAKE_BUILD_TYPE=Debug -DMQ_SANITIZE=ON
	cmake --build build-sanitize
	ctest --test-dir build-sanitize --output-on-failure -j 4

demo: deps build
	tools/demo.sh $(BUILD)

format:
	clang-format -i $(SOURCES)

format-check:
	clang-format --dry-run -Werror $(SOURCES)

lint:
	printf '%s\n' $(C_SOURCES) | xargs -P 8 -n 4 clang-tidy -p $(BUILD) --quiet

# Runs of both deployments on the loopback interface, about five minutes;
# `make bench MODE=quick` takes one.  Results and page go to bench-out.
bench: build
	BUILD=$(BUILD) tools/bench.sh $(MODE)

# A release build has the deliberate defects compiled out.
install:
	cmake -S . -B build-release -G Ninja -DCMAKE_BUILD_TYPE=Release -DMQ_DEFECTS=OFF
	cmake --build build-release --target marjoramquay mqctl
	cmake --install build-release

clean:
	rm -rf build build-sanitize build-release

# Prints the slopes behind docs/CAPACITY.md.
slopes: build
	tools/slopes.sh $(BUILD)

# How soon 7, 20 and 60 routers act as one, and what that costs.
spread: build
	tools/bench/spread.sh $(BUILD)

# The standard days of all sites on the users' bench, before each landing:
# `make regress BENCH=PATH', or with SITES="FILE...".  No part of CI, which has
# no bench.
regress:
	BENCH=$(BENCH) tools/regress.sh $(SITES)
