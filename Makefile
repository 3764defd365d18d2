PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
PACKAGES = $(wildcard packages/*)

.PHONY: install test codestyle format demo slopes

install: $(VENV)/installed

$(VENV)/installed: requirements.lock $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps \
		--no-build-isolation $(foreach package,$(PACKAGES),-e ./$(package))
	touch $@

codestyle: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python tools/check_imports.py
	$(BIN)/python tools/check_circles.py
	$(BIN)/python tools/check_clocks.py

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

test: install codestyle
	$(BIN)/python tools/run_tests.py

slopes: install
	$(BIN)/python -m trestlestall.standins.slopes

demo: install
	$(BIN)/python -m trestlestall.standins.demo
