# Two commands do all: `make demo` sets up and plays a bad day, `make test` sets up and tests.
.PHONY: demo test setup proto clean

STAMP := .venv/.fennelwind-ready

setup: $(STAMP)

# The whole environment is made again when what it is made from has changed.
$(STAMP): pyproject.toml requirements.txt
	test -x .venv/bin/python || python3 -m venv .venv
	.venv/bin/pip -q install --disable-pip-version-check -e '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	.venv/bin/fennelwind demo

test: $(STAMP)
	.venv/bin/ruff check .
	.venv/bin/python -m pytest

# The generated modules are in the repository; make them anew after a change of a .proto file.
proto: $(STAMP)
	.venv/bin/python -m grpc_tools.protoc -I fennelwind/config --python_out=fennelwind/config fennelwind/config/settings.proto
	.venv/bin/python -m grpc_tools.protoc -I fennelwind/standin --python_out=fennelwind/standin fennelwind/standin/script.proto
	.venv/bin/python -m grpc_tools.protoc -I fennelwind/council --python_out=fennelwind/council fennelwind/council/council.proto
	.venv/bin/python -m grpc_tools.protoc -I fennelwind/store --python_out=fennelwind/store fennelwind/store/store.proto
	.venv/bin/python -m grpc_tools.protoc -I fennelwind/fleet --python_out=fennelwind/fleet fennelwind/fleet/day.proto

clean:
	rm -rf .venv *.egg-info
