"""fennelwind: the decisions of a workload manager in front of analytic engines."""

__version__ = "0.8.0"
