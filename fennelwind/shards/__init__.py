"""Where tables' shards lie and how they move: a machine on the record, a planner, a carrier."""
