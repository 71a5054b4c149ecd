PYTHON ?= python3
BIN := .venv/bin
ENTRY_PORT ?= 8700
SEED ?= 1
MINUTES ?= 1

.PHONY: demo test soak fault-soak capacity experiments

.venv/installed: requirements.txt pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install -q -r requirements.txt
	$(BIN)/pip install -q --no-deps --no-build-isolation -e .
	touch $@

demo: .venv/installed
	exec $(BIN)/python tools/demo.py --entry_port=$(ENTRY_PORT)

test: .venv/installed
	$(BIN)/ruff format --check -q .
	$(BIN)/ruff check -q .
	$(BIN)/python tools/run_tests.py

soak: .venv/installed
	$(BIN)/python tools/soak.py --seed=$(SEED) --minutes=$(MINUTES)

capacity: .venv/installed
	$(BIN)/python tools/capacity.py

experiments: .venv/installed
	$(BIN)/python tools/experiments.py

fault-soak: .venv/installed
	$(BIN)/python tools/fault_soak.py --seed=$(SEED) --minutes=$(MINUTES)
