"""Quiescence: have all controllers stopped sending queries to a replica or table on an engine? No I/O."""
