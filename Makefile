# Every target sets up what it needs; only Python 3.11 and make are required.

PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
CODE := packages platform test benchmarks
SEEDS ?= 20
FIRST ?= 1
export PYTHONPATH := $(CURDIR)/packages/amaranthlug/src:$(CURDIR)/packages/amaranthlug-ui/src:$(CURDIR)/packages/amaranthlug-standins/src:$(CURDIR)/platform

.PHONY: setup test demo bench check format soak platform-soak

$(VENV)/.installed: requirements.txt packages/*/pyproject.toml platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --require-hashes -r requirements.txt
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation \
	  -e packages/amaranthlug -e packages/amaranthlug-ui \
	  -e packages/amaranthlug-standins -e platform
	touch $@

setup: $(VENV)/.installed

test: setup
	$(BIN)/python -m pytest

demo: setup
	$(BIN)/python -m amaranthlug_ui.main demo

bench: setup
	$(BIN)/python benchmarks/run.py

soak: setup
	$(BIN)/python -m amaranthlug_standins.soak --first $(FIRST) \
	  --seeds $(SEEDS) --out out

platform-soak: setup
	$(BIN)/python -m amaranthlug_platform_standins.soak --first $(FIRST) \
	  --seeds $(SEEDS)

check: setup
	$(BIN)/ruff format --check $(CODE)
	$(BIN)/ruff check $(CODE)
	$(BIN)/mypy packages/amaranthlug/src packages/amaranthlug-ui/src \
	  packages/amaranthlug-standins/src platform/amaranthlug_platform \
	  platform/amaranthlug_platform_standins

format: setup
	$(BIN)/ruff format $(CODE)
	$(BIN)/ruff check --fix $(CODE)
