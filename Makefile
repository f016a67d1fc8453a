# Everything runs from a virtual environment that the first target makes.
PYTHON ?= python3
BIN = .venv/bin

.PHONY: demo test lint check

.venv/installed: constraints.txt packages/*/pyproject.toml platform/pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install -q --constraint constraints.txt setuptools wheel
	$(BIN)/pip install -q --constraint constraints.txt --no-build-isolation \
	    -e packages/core -e packages/entry -e packages/fleet -e packages/operator -e packages/emulator -e platform \
	    pytest pytest-bdd hypothesis ruff
	touch $@

demo: .venv/installed
	$(BIN)/python -m dewstep_emulator.demo

test: .venv/installed
	$(BIN)/python -m pytest $(PYTEST_OPTIONS)

lint: .venv/installed
	$(BIN)/ruff format --check packages platform tests
	$(BIN)/ruff check packages platform tests

check: lint test
