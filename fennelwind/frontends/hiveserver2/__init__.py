"""HiveServer2-style Thrift towards clients."""

from fennelwind.frontends.hiveserver2.server import Frontend

__all__ = ["Frontend"]
