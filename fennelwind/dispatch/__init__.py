"""Dispatch of queries: from submission to final answer, between frontends, the policy and the engines."""
