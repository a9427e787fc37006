"""Defects planted in schema compatibility and the check that finds each, as proof that the checks can fail.

`python tests/support/contracts_defects.py` prints a table of finders and of the plays that each needed.
"""

import search_paths  # noqa: F401 - for a play that is run by hand

# isort: split

from contextlib import AbstractContextManager
from dataclasses import replace
from functools import partial
from typing import NamedTuple
from unittest.mock import patch

from contracts_model import GateModel
from contracts_world import World
from planted import Line, broken, by_model, planted, row

from fennelwind.benchmarks import contract_rows
from fennelwind.schema_compatibility import checker, messages, rules, session_options, state_machine
from fennelwind.schema_compatibility import contracts_pb2 as pb
from fennelwind.schema_compatibility.rollout import Rollout
from fennelwind.schema_compatibility.state_machine import SchemaStateMachine

CAUTIOUS = ("other-kind", "key-other")  # rules that reject what a client would still return as text


class Defect(NamedTuple):
    """A planted defect, its finder, and a written test that also finds it, where plays take long."""

    title: str
    finder: str
    changes: list[AbstractContextManager]
    written: str = ""


# Finders: each returns after how many plays it failed, and how; None: it did not fail.


def by_rows(seed: int) -> None:
    """Compare verdicts with rows as read."""
    for rejected, how, found, _ in contract_rows.play(seed):
        assert (how == contract_rows.BROKEN) == rejected or (rejected and set(found) <= set(CAUTIOUS))


def by_world(seed: int) -> None:
    """Roll a change out under faults."""
    World(seed, 1 + seed % 3, seed % 2 == 1, back=seed % 5 != 0, behind=seed % 4 == 0).run_to_end()


def by_case(case: tuple[str, ...]) -> None:
    """Check a written case of table verdicts."""
    from test_contracts import verdict_of_change

    reads, old, new, verdict, rule = case
    assert verdict_of_change(reads, old, new) == (verdict, sorted(rule.split()))


def by_test(name: str) -> None:
    """Run a written test."""
    import test_contracts

    made = test_contracts.Gate()
    made.propose("t", "a int, b string")
    getattr(test_contracts, name)(made)


def find(finder: str, most: int) -> tuple[int, str] | None:
    """Run a finder with at most `most` plays."""
    if finder == "model":
        return by_model(GateModel, most)
    if finder == "cases":
        from test_contracts import cases

        return broken(partial(by_case, case) for case in cases("contract_tables.txt"))
    return broken(partial({"rows": by_rows, "world": by_world}[finder], seed) for seed in range(most))


def last_step_only(real):
    """Make subscribers expect the types that the last change gave their columns."""

    def finished(self, at, change, answer):
        real(self, at, change, answer)
        now = change.indexed.by_number if change.indexed is not None else {}
        for subscription in list(self.subscriptions.values()):
            self._unindex_reads(subscription)
            subscription.reads = tuple(
                replace(
                    reads,
                    columns=tuple(
                        replace(r, type=now[r.number].type) if r.number in now else r for r in reads.columns
                    ),
                )
                if reads.table == change.table
                else reads
                for reads in subscription.reads
            )
            self._index_reads(subscription)

    return finished


DEFECTS = (
    Defect(
        "admission from an old copy of the record",
        "model",
        [Line(SchemaStateMachine._is_blocked, "command.version != answer.version", "False")],
        "test_concurrent_and_stale_proposals_are_refused",
    ),
    Defect(
        "a lapsed subscriber still counts",
        "model",
        [patch.object(SchemaStateMachine, "_expire", lambda self, subscription: None)],
    ),
    Defect(
        "a renewal does not lengthen the term",
        "model",
        [
            Line(
                SchemaStateMachine._renew,
                "subscription.until_ms = max(subscription.until_ms, at.clock_ms + subscription.term_ms)",
                "pass",
            )
        ],
        "test_lapsed_subscription_blocks_no_change_and_its_return_reports_breaks",
    ),
    Defect(
        "names are compared with their case",
        "cases",
        [
            Line(
                session_options.parse_reads,
                "columns, access = parse_text(READS_GRAMMAR, text)",
                "columns, access = parse_text(READS_GRAMMAR, text)\n"
                "    for c in columns:\n"
                "        c[1] = c[1].upper() if f'{c[1].upper()} ' in text else c[1]",
            )
        ],
    ),
    Defect(
        "readers by place are passed over",
        "model",
        [
            Line(
                checker.check_change,
                "subscribers(table).items():",
                "subscribers(table).items():\n        if any(r.place for r in reads.columns):\n"
                "            continue",
            )
        ],
        "test_compatible_change_is_applied_and_breaking_one_names_subscribers_and_rules",
    ),
    Defect(
        "each step is held against the one before alone",
        "model",
        [patch.object(SchemaStateMachine, "_apply_schema", last_step_only(SchemaStateMachine._apply_schema))],
        "test_compatible_steps_that_break_in_sum_are_refused",
    ),
    Defect(
        "`*` means what is there at the check",
        "model",
        [Line(SchemaStateMachine._resolve, "return replace(reads, columns=columns)", "return reads")],
        "test_compatible_change_is_applied_and_breaking_one_names_subscribers_and_rules",
    ),
    Defect(
        "a name is a column, whichever bears it",
        "rows",
        [
            Line(
                rules._find_by_name,
                "(not read.number or not column.number or column.number == read.number)",
                "True",
            )
        ],
    ),
    Defect(
        "a place is a column, whichever stands there",
        "rows",
        [
            Line(
                rules._find_at_place,
                "if read.number and column.number else column.name == read.name",
                "or True",
            )
        ],
    ),
    Defect(
        "whoever asks may act, without a fence",
        "model",
        [
            patch.object(
                SchemaStateMachine,
                "_begun_change",
                lambda self, command, facts, answer: self.changes.get(command.number),
            )
        ],
    ),
    Defect(
        "the fence is not in the snapshot",
        "model",
        [Line(state_machine.change_message, "fence=change.fence", "fence=0")],
        "test_change_continues_from_a_snapshot",
    ),
    Defect(
        "finished before all engines are",
        "model",
        [Line(SchemaStateMachine._finish, "Change.DONE in states <= {Change.DONE, *not_required}", "True")],
        "test_only_the_lease_holder_advances_a_change_and_a_later_holder_continues",
    ),
    Defect(
        "who registers meanwhile is held against the old schema alone",
        "model",
        [
            Line(
                SchemaStateMachine._schemas_to_check,
                "schemas + [change.indexed] if change is not None else schemas",
                "schemas",
            )
        ],
    ),
    Defect(
        "shards under way are not asked for",
        "model",
        [Line(SchemaStateMachine._propose, 'facts.fact("moving", name) > 0', "False")],
    ),
    Defect(
        "moves see a change once it has begun",
        "model",
        [
            Line(
                SchemaStateMachine.fact,
                "key in self.by_table",
                "key in self.by_table and self.changes[self.by_table[key]].step > 0",
            )
        ],
    ),
    Defect(
        "nobody breaks for a publisher",
        "model",
        [
            Line(
                checker.check_change,
                "if others:",
                "if others and all(f.level < Level.BROKEN for f in findings):",
            )
        ],
        "test_compatible_change_is_applied_and_breaking_one_names_subscribers_and_rules",
    ),
    Defect(
        "nulls are not looked at",
        "rows",
        [Line(rules._column_findings, "column.nullable and not read.nullable", "False")],
    ),
    Defect(
        "decimals by precision alone",
        "rows",
        [
            Line(
                rules._plain_type_rule,
                "given_scale <= scale and given_precision - given_scale <= precision - scale",
                "given_precision <= precision",
            )
        ],
    ),
    Defect(
        "keys of maps are not looked at",
        "rows",
        [Line(rules._nested_type_rules, "RULES[key_rule].level", "False")],
    ),
    Defect(
        "all versions of the protocol carry all",
        "rows",
        [patch.object(rules, "protocol_rules", lambda given, version: ())],
    ),
    Defect(
        "a late answer is taken for the present question's",
        "world",
        [
            Line(Rollout._handle, "event.token == self._command_token", "True"),
            Line(Rollout._handle_engine_event, "event.token != engine.token", "False"),
        ],
    ),
    Defect(
        "a lost answer is taken for success",
        "world",
        [
            Line(
                Rollout._on_statement_ended,
                'engine.may_still_run and how == "lost"',
                'False; how = "ok" if how == "lost" else how',
            )
        ],
    ),
    Defect(
        "what was lost is not stopped before the look",
        "world",
        [
            Line(
                Rollout._on_statement_ended,
                "self._stop_statement(",
                "(self._stop_statement if self._revert_reason else self._describe)(",
            )
        ],
    ),
    Defect(
        "answers count, no look",
        "world",
        [
            Line(
                Rollout._on_statement_ended,
                "elif self._old_shape != self._new_shape:\n        self._describe(now_ms, engine, actions)",
                "elif how in ('ok', 'failed'):\n"
                "        self._mark(now_ms, engine, self._target_state, actions)",
            )
        ],
    ),
    Defect(
        "the statement runs before the record knows",
        "world",
        [
            Line(
                Rollout._handle_engine_event,
                "self._mark(now_ms, engine, state, actions, quiet=True)",
                "self._run_statement(now_ms, engine, actions)",
            )
        ],
    ),
    Defect(
        "an engine that returns is taken for untouched",
        "world",
        [
            Line(
                Rollout._mark,
                "self._enter_phase(",
                "if engine.state == Change.GONE_AWAY and state == Change.ASKED:\n"
                "        state = Change.WAITING\n    self._enter_phase(",
            ),
            patch.object(
                state_machine,
                "_FORWARD_TRANSITIONS",
                state_machine._FORWARD_TRANSITIONS | {(pb.Change.GONE_AWAY, pb.Change.WAITING)},
            ),
        ],
        "test_engine_returning_during_a_rollout_is_not_treated_as_unchanged",
    ),
    Defect(
        "an engine that missed a change is taken for one with the old schema",
        "world",
        [
            Line(
                Rollout._on_table_described,
                "expected = self._new_shape",
                "described = self._old_shape if engine.state == Change.BEHIND else described\n"
                "    expected = self._new_shape",
            )
        ],
    ),
)


def search(defect: Defect, most: int = 0) -> tuple[int, str] | None:
    """Plant a defect; return after how many plays its finder failed, and how; None: it did not fail.

    `most`: number of plays; 0: the written test, if there is one, else 100 plays.
    """
    _forget()
    try:
        with planted(defect.changes):
            if defect.written and not most:
                return broken([partial(by_test, defect.written)])
            return find(defect.finder, most or 100)
    finally:
        _forget()


def _forget() -> None:
    for cached in (
        rules.type_rules,
        rules.protocol_rules,
        messages.read_all_reads,
        session_options.parse_reads,
    ):
        getattr(cached, "cache_clear", int)()


if __name__ == "__main__":
    row("planted", "found by", "after plays", "how")
    row(*["---"] * 4)
    for each in DEFECTS:
        row(each.title, each.finder, *(search(each, 2000) or ("not within 2000", "")))
