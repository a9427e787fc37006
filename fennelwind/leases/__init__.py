"""Tasks of the whole fleet, each with one holder and a fence; a machine on the record. Free of I/O."""
