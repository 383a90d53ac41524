PYTHON ?= python3.11
VENV ?= .venv
PACKAGES := core decisions daemon cli testkit
SOURCES := $(foreach p,$(PACKAGES),$(CURDIR)/packages/$(p)/src) $(CURDIR)/platform/src $(CURDIR)/platform/soak
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(SOURCES))
SEED ?= 1
SECONDS ?= 60

.PHONY: venv demo demo-stop test bench soak soak-own fuzz lint

venv: $(VENV)/.installed

$(VENV)/.installed: constraints.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install -q -c constraints.txt -r requirements-dev.txt $(foreach p,$(PACKAGES),-e packages/$(p)) -e platform
	touch $@

lint: venv
	$(VENV)/bin/ruff format --check packages platform features
	$(VENV)/bin/ruff check packages platform features
	$(VENV)/bin/flake8 packages platform features
	$(VENV)/bin/mypy $(foreach p,$(PACKAGES),packages/$(p)/src) platform/src platform/soak

demo: venv
	$(VENV)/bin/python -m baobabwharf_testkit.demo $(if $(KEEP),--keep)

demo-stop: venv
	$(VENV)/bin/python -m baobabwharf_testkit.demo --stop

test: venv
	$(VENV)/bin/python -m baobabwharf_testkit.run_tests

bench: venv
	$(VENV)/bin/python -m baobabwharf_testkit.gateway_bench --rounds 2 --seconds 1
	$(VENV)/bin/python -m baobabwharf_testkit.config_bench
	$(VENV)/bin/python -m baobabwharf_testkit.policy_bench --seeds 1 --first-seed 100

# The platform's programs; SEED may name several seeds.
soak: venv
	$(VENV)/bin/python -m baobabwharf_soak --seconds $(SECONDS) --seeds $(SEED)

# Odd messages at every boundary; a message that makes one fail is kept.
fuzz: venv
	$(VENV)/bin/python -m baobabwharf_soak.fuzz --seconds $(SECONDS) --seed $(SEED)

# The daemon with its own interface: bookings by key, a flooding customer.
soak-own: venv
	$(VENV)/bin/python -m baobabwharf_testkit.soak --seconds $(SECONDS) --seed $(SEED)
