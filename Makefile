# make demo: set up, build, bring up a front with stand-in engines, stream an answer.
# make test: set up, build, run all tests. Both work on a fresh machine.
# make soak: front nodes as real processes under overlapping faults.
JOBS ?= $(shell nproc)
export RC_PARAMS ?= seed=20261201

.PHONY: all setup build demo test soak clean
all: build
setup:
	scripts/setup.sh
build: setup
	cmake -B build -DCMAKE_BUILD_TYPE=Release -DCALICOGRADE_PROGRAM=ON -DCALICOGRADE_LAB=ON
	cmake --build build -j$(JOBS)
demo: build
	scripts/demo.sh
test: setup
	cmake -B build-adapter -DCMAKE_BUILD_TYPE=Release
	cmake --build build-adapter -j$(JOBS)
	cmake -B build-load -DCMAKE_BUILD_TYPE=Release -DCALICOGRADE_PROGRAM=ON -DCALICOGRADE_LAB=ON -DCALICOGRADE_TESTS=ON
	cmake --build build-load -j$(JOBS) --target load_tests calicograded
	scripts/run_tests.sh --test-dir build-load --output-on-failure -j1 -L load
	cmake -B build-asan -DCMAKE_BUILD_TYPE=None -DCALICOGRADE_PROGRAM=ON -DCALICOGRADE_LAB=ON -DCALICOGRADE_TESTS=ON -DCALICOGRADE_SANITIZE=address,undefined
	cmake --build build-asan -j$(JOBS)
	scripts/run_tests.sh --test-dir build-asan --output-on-failure -j$(JOBS)
	cmake -B build-tsan -DCMAKE_BUILD_TYPE=None -DCALICOGRADE_PROGRAM=ON -DCALICOGRADE_LAB=ON -DCALICOGRADE_TESTS=ON -DCALICOGRADE_SANITIZE=thread
	cmake --build build-tsan -j$(JOBS) --target front_tests net_faults_tests calicograded calicograde-lab
	scripts/run_tests.sh --test-dir build-tsan --output-on-failure -j2 -L threads
# make soak SEEDS=n: n seeds of the fault soak, counted up from FIRST; logs of those that fail stay in build-soak/logs.
SEEDS ?= 10
FIRST ?= 1
soak: setup
	cmake -B build-soak -DCMAKE_BUILD_TYPE=Release -DCALICOGRADE_PROGRAM=ON -DCALICOGRADE_LAB=ON
	cmake --build build-soak -j$(JOBS) --target calicograded calicograde-soak calicograde_faults
	build-soak/calicograde-soak --daemon build-soak/calicograded --faults build-soak/libcalicograde_faults.so \
	  --first $(FIRST) --seeds $(SEEDS) --keep build-soak/logs
clean:
	rm -rf build build-adapter build-load build-asan build-tsan build-soak
