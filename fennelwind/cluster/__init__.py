"""Carries the council out: its streams, its folder, its clients, on the loop."""
