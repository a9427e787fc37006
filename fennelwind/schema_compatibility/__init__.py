"""Who reads what, and which schema change may pass: a machine on the record and its checker. Free of I/O."""
