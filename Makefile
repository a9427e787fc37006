# Two commands do all: `make demo` sets up and plays a bad day, `make test` sets up and tests.
.PHONY: demo test typecheck setup proto clean

STAMP := .venv/.fennelwind-ready

setup: $(STAMP)

# The whole environment is made again when what it is made from has changed.
$(STAMP): pyproject.toml requirements.txt
	test -x .venv/bin/python || python3 -m venv .venv
	.venv/bin/pip -q install --disable-pip-version-check -e '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	.venv/bin/fennelwind demo

typecheck: $(STAMP)
	.venv/bin/mypy

test: $(STAMP) typecheck
	.venv/bin/ruff check .
	.venv/bin/ruff format --check .
	.venv/bin/python -m pytest -n 4 --dist loadgroup

# The generated modules are in the repository; make them anew after a change of a .proto file.
proto: $(STAMP)
	for p in fennelwind/*/*.proto; do \
		.venv/bin/python -m grpc_tools.protoc -I $$(dirname $$p) --python_out=$$(dirname $$p) --pyi_out=$$(dirname $$p) $$p || exit 1; \
	done

clean:
	rm -rf .venv *.egg-info
