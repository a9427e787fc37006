"""What operators see: structured logs."""

from fennelwind.observability.logs import LogObserver, configure

__all__ = ["LogObserver", "configure"]
