# Commands of the README. `make install` needs root on Debian 12.
PACKAGES = g++ cmake ninja-build ccache pkg-config clang-format clang-tidy libtbb-dev libboost1.81-dev libzmq3-dev \
	cppzmq-dev libprotobuf-dev libcli11-dev liblog4cplus-dev catch2 libtrompeloeil-cpp-dev librapidcheck-dev \
	libxxhash-dev python3
BUILD = build/release

.PHONY: install build test demo capacity

install:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || (apt-get update -qq && DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $(PACKAGES) >/dev/null)

build: install
	@cmake --preset release >/dev/null
	@cmake --build --preset release

test: build
	@ctest --test-dir $(BUILD) --output-on-failure -j 4

demo: build
	@$(BUILD)/demo --bin $(BUILD)
	@$(BUILD)/job_demo --bin $(BUILD)

# Runs the benchmarks of docs/CAPACITY.md and draws its plot.
capacity: build
	@$(BUILD)/control_bench 300 | tee $(BUILD)/control.txt
	@$(BUILD)/fleet_bench
	@$(BUILD)/idempotency_bench 20261204
	@python3 tools/plot_capacity.py < $(BUILD)/control.txt > docs/capacity.svg
