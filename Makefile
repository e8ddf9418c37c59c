PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
export UV_USE_IO_URING := 0

SEED ?=
SECONDS ?= 20

.PHONY: env test demo soak bench slopes format lint types unit clean

env: $(VENV)/.ready

$(VENV)/.ready: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -c constraints.txt -e '.[dev]'
	touch $@

test: env format lint types unit

format: env
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

lint: env
	$(BIN)/flake8 ibisplank

types: env
	$(BIN)/mypy

unit: env
	$(BIN)/python tests/run.py

demo: env
	$(BIN)/python -m examples.platform
	$(BIN)/python -m examples.demo

soak: env
	$(BIN)/python -m harness.soak $(if $(SEED),--seed $(SEED)) --seconds $(SECONDS)

bench: env
	$(BIN)/python -m bench.run

slopes: env
	$(BIN)/python -m bench.slopes

clean:
	rm -rf $(VENV) build
