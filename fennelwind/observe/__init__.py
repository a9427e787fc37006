"""What operators see: structured logs."""

from fennelwind.observe.logs import LogObserver, configure

__all__ = ["LogObserver", "configure"]
