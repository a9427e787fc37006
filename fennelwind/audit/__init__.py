"""Checks the seven rules from the bytes seen on the sockets around a controller; shares no code with it."""

from fennelwind.audit.record import Recorder
from fennelwind.audit.rules import RULES, Verdict, audit
from fennelwind.audit.trace import read_trace

__all__ = ["RULES", "Recorder", "Verdict", "audit", "read_trace"]
