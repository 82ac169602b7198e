# The commands of the project; see README.md and DEVELOPERS.md.
BUILD ?= build
SANITIZED ?= build-sanitized
JOBS ?= $(shell nproc)

.PHONY: bench torture fuzz model bench-path bench-decide bench-state build demo check test sanitized format layers tidy install-packages clean

build: install-packages
	@cmake -G Ninja -S . -B $(BUILD) >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

# The whole path as separate processes, shown and checked.
demo: build
	@$(BUILD)/test/demo

# All tests of the plain build.
test: build
	@scripts/run-tests $(BUILD)

# The same tests under the address and undefined-behaviour sanitizers.
sanitized: install-packages
	@cmake -G Ninja -S . -B $(SANITIZED) -DWRENHINGE_SANITIZE=ON >/dev/null
	@cmake --build $(SANITIZED) -j $(JOBS)
	@scripts/run-tests $(SANITIZED)

format: install-packages
	@scripts/check-format

layers:
	@scripts/check-layers

tidy: build
	@scripts/check-tidy $(BUILD)

# Goodput and waste of the decisions against plain policies, on virtual time; table, CSV and plot.
SEEDS ?= 5
bench: build
	@mkdir -p $(BUILD)/bench
	@$(BUILD)/test/policy-bench $(BUILD)/bench $(SEEDS) | tee $(BUILD)/bench/policy.txt
	@gnuplot -e "folder='$(BUILD)/bench'" test/performance/policy.gnuplot

# Random schedules of failures: make torture SEEDS=20000
torture: build
	@$(BUILD)/test/torture-test 1 $(SEEDS)

# Changed samples for all decoders, on two seeds of so many: make fuzz SEEDS=1000000
fuzz: build
	@$(BUILD)/test/fuzz-test 1 $(SEEDS)
	@$(BUILD)/test/fuzz-test 2 $(SEEDS)

# The specifications of the core protocols, whole and with one safeguard out at a time (spin).
model: install-packages
	@scripts/check-models

# Time and memory that the router adds, cost of decisions, cost of commits; real time, so no part of the tests.
bench-path bench-decide bench-state: build
	@$(BUILD)/test/$@

# Everything that CI demands.
check: format layers tidy model sanitized test
	@scripts/print-known-red

install-packages:
	@scripts/install-packages

clean:
	@rm -rf $(BUILD) $(SANITIZED)
