"""Settings in protobuf text format, checked with file, line and column, all problems at once."""

from fennelwind.config.read import Controller, Problem, Selector, SettingsError, load, read

__all__ = ["Controller", "Problem", "Selector", "SettingsError", "load", "read"]
