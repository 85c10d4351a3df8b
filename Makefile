# Commands described in README.md. All except format and clean first install missing packages and build what they need.
BUILD := build
JOBS := $(shell nproc)

.PHONY: install build test test-asan test-tsan fuzz soak soak-short demo bench style format clean

install:
	@tools/install-packages.sh

build: install
	@cmake -S . -B $(BUILD) -G Ninja > /dev/null
	@cmake --build $(BUILD) -j $(JOBS)

style: build
	@tools/check-style.sh $(BUILD)

fuzz: install
	@cmake -S . -B build-fuzz -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DSKYLARK_FUZZ=ON -DSKYLARK_SANITIZER=address > /dev/null
	@cmake --build build-fuzz -j $(JOBS) --target fuzzers
	@ctest --test-dir build-fuzz -R fuzz --output-on-failure

soak: build
	@/usr/bin/python3 -m soak --build $(BUILD) $(if $(SEED),--seed $(SEED)) $(if $(MINUTES),--minutes $(MINUTES)) $(if $(NODES),--nodes $(NODES))

soak-short: build
	@tools/soak-short.sh $(BUILD)

test: style fuzz soak-short
	@ctest --test-dir $(BUILD) --output-on-failure

test-asan test-tsan: test-%: install
	@cmake -S . -B build-$* -G Ninja -DSKYLARK_SANITIZER=$(if $(filter asan,$*),address,thread) > /dev/null
	@cmake --build build-$* -j $(JOBS)
	@ctest --test-dir build-$* --output-on-failure

demo: build
	@tools/demo.sh $(BUILD)

bench: build
	@tools/bench.sh $(BUILD)

format:
	@git ls-files --cached --others --exclude-standard 'src/*.cpp' 'src/*.h' 'platform/*.cpp' 'platform/*.h' | xargs clang-format -i

clean:
	@rm -rf build build-fuzz build-asan build-tsan
