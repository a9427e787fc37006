"""HiveServer2-style Thrift towards clients."""

from fennelwind.fronts.hs2.server import Front

__all__ = ["Front"]
