"""Quiescence: check that no controller sends queries to a replica or table on an engine any more. No I/O."""
