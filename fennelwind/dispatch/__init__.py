"""The life of a query: the ledger that owns its final answer, the driver between module and engines."""
