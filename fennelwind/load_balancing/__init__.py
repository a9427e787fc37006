"""How one of many controllers spreads load of which it sees little."""
