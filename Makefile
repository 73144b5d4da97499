PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
DEPLOYMENT ?= saltbush

.PHONY: setup test lint model demo bench plots

setup: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[dev,plot]'
	touch $@

test: setup
	$(BIN)/python scripts/run_checks.py

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

model: setup
	$(BIN)/python -m spec

demo: setup
	$(BIN)/python -m bench.demo $(DEPLOYMENT)

bench: setup
	$(BIN)/python -m bench
