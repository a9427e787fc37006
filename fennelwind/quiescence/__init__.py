"""Who has heard that queries are to keep away from an engine, and has none of its own left there. No I/O."""
