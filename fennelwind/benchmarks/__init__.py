"""Measurements: each compares ways of doing the same in one run, and is told as ratios."""
