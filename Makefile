# make demo   installs missing packages, builds, and demonstrates the main functions
# make check  installs missing packages, then runs formatter, linter, models and all tests, as CI does
BUILD ?= build
JOBS ?= $(shell nproc)

all: build

setup:
	./tools/setup.sh

build:
	cmake -S . -B $(BUILD)/release -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	cmake --build $(BUILD)/release -j $(JOBS)

debug:
	cmake -S . -B $(BUILD)/asan -DCMAKE_BUILD_TYPE=Debug -DBT_SANITIZE=address,undefined >/dev/null
	cmake --build $(BUILD)/asan -j $(JOBS)

tsan:
	cmake -S . -B $(BUILD)/tsan -DCMAKE_BUILD_TYPE=Debug -DBT_SANITIZE=thread >/dev/null
	cmake --build $(BUILD)/tsan -j $(JOBS)

# The generated code is committed, so that a build does not need protoc-c.
proto:
	protoc-c --proto_path=source/wire --c_out=source/wire/generated source/wire/bilberry.proto

format:
	./tools/format.sh -i

check-format:
	./tools/format.sh --dry-run --Werror

lint: build
	./tools/lint.sh $(BUILD)/release

models:
	./model/run.sh

test: debug
	./tools/run-tests.sh $(BUILD)/asan

test-threads: tsan
	./tools/run-tests.sh $(BUILD)/tsan 'base|wire|process'

check: setup
	./tools/check.sh

demo: setup build
	./tools/demo.sh $(BUILD)/release

bench: build
	BT_BUILD_DIR=$(BUILD)/release $(BUILD)/release/bench_path

bench-log: build
	BT_BUILD_DIR=$(BUILD)/release $(BUILD)/release/bench_log

bench-maps: build
	$(BUILD)/release/bench_maps

# Measures the cost of leading a rank group, by group size.
bench-leader: build
	$(BUILD)/release/bench_leader

# Measures what requests that crash endpoints cost an instance.
bench-crashes: build
	$(BUILD)/release/bench_crashes

# Measures what the causes of delay cost a gateway for one request.
bench-delays: build
	$(BUILD)/release/bench_delays

bench-policy: build
	$(BUILD)/release/bench_policy

# Applies loads to an emulated rank group and compares several ways of operating it.
FILE ?= examples/experiments/jump.json
experiment: build
	$(BUILD)/release/bench_experiment $(FILE)

capacity: build
	$(BUILD)/release/bench_capacity

# One randomized run with fault injection; SEED determines all random choices.
SEED ?= 1
SECONDS_OF_SOAK ?= 20
POISON ?= 0
PARTS ?= 0
NOTICES ?= 0
RESTORES ?= 0
UNREADABLE ?= 0
soak: build
	BT_BUILD_DIR=$(BUILD)/release $(BUILD)/release/soak --seed $(SEED) --seconds $(SECONDS_OF_SOAK) --poison $(POISON) --parts $(PARTS) --notices $(NOTICES) --restores $(RESTORES) --unreadable $(UNREADABLE)

clean:
	rm -rf $(BUILD)

.PHONY: all setup build debug tsan proto format check-format lint models test test-threads check \
	demo bench bench-crashes bench-leader bench-log bench-maps bench-policy experiment capacity soak clean
