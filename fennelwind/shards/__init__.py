"""Placement and migration of tables' shards: replicated state machine, planner and migration driver."""
