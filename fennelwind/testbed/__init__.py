"""Many controllers as real processes or in virtual time, with faults between them."""
