# Targets for developers and newcomers; README.md describes each of them.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
SEED ?= 1

.PHONY: install fmt lint gen gen-check test ci demo up down bench overload \
	scale clean

install: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q --disable-pip-version-check \
	    -e '.[dev]'
	touch $@

fmt: install
	$(BIN)/ruff format .

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/flake8 .

gen:
	sh tools/generate_thrift.sh

gen-check: install
	sh tools/check_thrift.sh

# A fixed hash seed gives hypothesis the same examples in every run.
test: install
	PYTHONHASHSEED=0 $(BIN)/python -m pytest

demo: install
	$(BIN)/python -m standins.demo run

up: install
	$(BIN)/python -m standins.demo up

down: install
	$(BIN)/python -m standins.demo down

bench: install
	$(BIN)/python -m benchmarks.run --seed $(SEED)

# Writes build/overload.html: load patterns with and without each decision.
overload: install
	PYTHONHASHSEED=0 $(BIN)/python -m benchmarks.bench_overload

# Writes build/scale.html: control traffic and refusals against size.
scale: install
	PYTHONHASHSEED=0 $(BIN)/python -m benchmarks.bench_scale

ci: lint gen-check test

clean:
	rm -rf build $(VENV)
