PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := coordination node ctl standins

.PHONY: demo test lint format capacity benchmark experiment clean

$(VENV)/installed: constraints.txt requirements-dev.txt $(PACKAGES:%=packages/%/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt setuptools
	$(BIN)/pip install --quiet --constraint constraints.txt --requirement requirements-dev.txt
	$(BIN)/pip install --quiet --constraint constraints.txt --no-build-isolation $(PACKAGES:%=--editable packages/%)
	touch $@

demo: $(VENV)/installed
	$(BIN)/python -m eelgrass_standins demo

test: $(VENV)/installed
	$(BIN)/python -m pytest

lint: $(VENV)/installed
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .

format: $(VENV)/installed
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

soak: $(VENV)/installed
	EELGRASS_SOAK_SEEDS=40 $(BIN)/python -m pytest -s tests/test_faults_together.py
	EELGRASS_SOAK_SEEDS=50 $(BIN)/python -m pytest -s tests/test_platform_soak.py
	EELGRASS_SOAK_SEEDS=50 $(BIN)/python -m pytest -s tests/test_poison_soak.py
	EELGRASS_SOAK_SEEDS=50 $(BIN)/python -m pytest -s tests/test_change_soak.py

capacity: $(VENV)/installed
	$(BIN)/python benchmarks/control_cost.py
	PYTHONPATH=tests $(BIN)/python benchmarks/propagation.py

benchmark: $(VENV)/installed
	PYTHONPATH=tests $(BIN)/python benchmarks/hop_cost.py

experiment: $(VENV)/installed
	PYTHONPATH=tests $(BIN)/python benchmarks/overload.py

clean:
	rm -rf $(VENV) out
