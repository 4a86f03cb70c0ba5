PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
MINUTES ?= 5

.PHONY: setup demo test lint format soak

setup: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $@

demo: setup
	$(BIN)/python -m bench.demo
	$(BIN)/python -m bench.steering.demo

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

soak: setup
	$(BIN)/python -m bench.soak --minutes $(MINUTES)
