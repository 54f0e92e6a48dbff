# Convenience targets around CMake. Targets that build first install the Debian
# packages that are missing.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: setup build test demo soak soak-short bench format check-format lint scenarios capacity measure clean

setup:
	@scripts/setup.sh

build: setup
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

test: build
	@cd $(BUILD) && ctest --output-on-failure -j 4
	@sed -n 's/^\([A-Za-z].*\)/KNOWN-RED, not run: \1/p' KNOWN-RED.txt

demo: build
	@scripts/demo.sh $(BUILD)

scenarios: build
	@python3 scripts/scenarios.py $(BUILD)

# Injects randomized faults into the real programs; see docs/OPERATIONS.md.
SEEDS ?= 1-50
soak: build
	@python3 soak/run.py $(BUILD)/toucanridge --seeds $(SEEDS) --jobs 4 \
	  --keep $(BUILD)/soak

# A run without faults, the seeds that once failed, requests that crash servers
# while hosts restart, die and freeze, silent links between hosts, and a fleet in
# which hosts of an older build are replaced by this one and the other way round.
soak-short: build
	@python3 soak/run.py $(BUILD)/toucanridge --trouble none --seeds 1 \
	  --seconds 8
	@python3 soak/run.py $(BUILD)/toucanridge --jobs 2 --seconds 12 \
	  --seeds "$$(awk '/^[0-9]/ {print $$1}' soak/regressions.txt | paste -sd,)"
	@python3 soak/run.py $(BUILD)/toucanridge --trouble crashing --jobs 4 \
	  --seconds 24 --seeds 1,3,5,6
	@python3 soak/run.py $(BUILD)/toucanridge --trouble links --jobs 2 \
	  --nodes 12 --seconds 40 --seeds 5-6
	@scripts/build_older.sh $(BUILD)
	@python3 soak/run.py $(BUILD)/toucanridge --jobs 2 --seconds 16 \
	  --older $(BUILD)/older/toucanridge --seeds 1-2

bench: build
	@scripts/bench.sh $(BUILD)

capacity: build
	@python3 scripts/capacity.py $(BUILD)

format:
	@git ls-files '*.h' '*.cpp' | xargs clang-format -i

check-format: setup
	@git ls-files '*.h' '*.cpp' | xargs clang-format --dry-run -Werror

lint: build
	@scripts/lint.sh $(BUILD)

clean:
	@rm -rf $(BUILD)
