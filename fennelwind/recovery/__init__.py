"""Request coalescing: repeats of an open request share one execution. No I/O."""
