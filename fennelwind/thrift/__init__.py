"""Thrift's binary protocol and the HiveServer2 service's structures, without I/O."""
