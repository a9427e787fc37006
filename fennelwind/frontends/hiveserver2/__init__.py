"""Frontend that serves clients over HiveServer2's Thrift protocol."""

from fennelwind.frontends.hiveserver2.server import Frontend

__all__ = ["Frontend"]
