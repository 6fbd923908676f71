PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test lint bench golden

$(STAMP): requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -r requirements-dev.txt
	$(BIN)/pip install -q --disable-pip-version-check --no-deps -e .
	touch $@

demo: $(STAMP)
	$(BIN)/rhubarb-demo

test: $(STAMP)
	$(BIN)/python -m tests
	$(BIN)/python -m behave --no-color -f progress tests/scenarios

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

bench: $(STAMP)
	$(BIN)/python -m benchmarks

golden: $(STAMP)
	RHUBARB_RENEW_GOLDEN=1 $(BIN)/python -m unittest tests.golden.test_sessions
