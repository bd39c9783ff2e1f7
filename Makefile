# Entry points for common tasks; the build itself is defined in CMakeLists.txt.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all install build test demo bench lint format fault-run soak breakages fuzz clean

all: build

install:
	support/install-packages.sh

build:
	cmake -S . -B $(BUILD) -G Ninja
	ninja -C $(BUILD) -j $(JOBS)

test: install build
	cd $(BUILD) && ctest --output-on-failure -j 4

demo: install build
	support/demo.sh $(BUILD)/bin

bench: build
	support/bench.sh $(BUILD)/bin

lint: build
	support/lint.sh $(BUILD)

format:
	git ls-files '*.cc' '*.h' | xargs clang-format -i

fault-run: build
	support/fault-run.sh $(BUILD)/bin

# Runs the fault soak with SEEDS consecutive seeds from FIRST (default: new seeds) and prints the verdict of
# each.
SEEDS ?= 10
FIRST ?=
soak: build
	soak/run.sh $(BUILD)/bin $(SEEDS) $(FIRST)

# Verifies that the soak detects each safeguard that a test-only build disables.
breakages: build
	cmake -S . -B build-broken -G Ninja -DJACKDAW_PARTS=platform -DJACKDAW_BREAKAGES=ON
	ninja -C build-broken -j $(JOBS)
	soak/breakages.sh $(BUILD)/bin build-broken/bin

RUNS ?= 200000
fuzz: install
	fuzz/run.sh $(RUNS)

clean:
	rm -rf $(BUILD)
