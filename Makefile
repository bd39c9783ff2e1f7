# Entry points; the build itself is CMake's.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all install build test demo bench lint format fault-run clean

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

clean:
	rm -rf $(BUILD)
