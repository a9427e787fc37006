"""fennelwind: the decisions of a workload manager in front of analytic engines."""
