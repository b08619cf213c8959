VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin

.PHONY: setup demo test lint format docs

$(VENV)/.installed: requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

setup: $(VENV)/.installed

demo: setup
	$(BIN)/python -m borageworks demo

lint: setup
	$(BIN)/python -m ruff format --check .
	$(BIN)/python -m ruff check .
	$(BIN)/python -m mypy

test: lint
	$(BIN)/python -m pytest

format: setup
	$(BIN)/python -m ruff format .
	$(BIN)/python -m ruff check --fix .
