PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: demo test lint setup

setup: $(VENV)/ready

$(VENV)/ready: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

demo: setup
	$(BIN)/python -m standins.demo

lint: setup
	$(BIN)/ruff format --check src standins features benches
	$(BIN)/ruff check src standins features benches
	$(BIN)/flake8 src standins features benches

test: setup
	$(BIN)/python -m features.run
