"""Defects planted in the gate, and what finds each: a proof that can't fail proves nothing.

`python tests/contracts_defects.py` prints the table: which finder, after how many plays.
"""

from collections.abc import Callable
from dataclasses import replace
from typing import Any, NamedTuple
from unittest.mock import patch

from contracts_model import GateModel
from contracts_world import World
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from fennelwind.contracts import carrying, machine, messages, rules, said, types
from fennelwind.contracts import contracts_pb2 as pb
from fennelwind.contracts.carrying import Carrier
from fennelwind.contracts.machine import ContractMachine
from fennelwind.lab import contract_rows

CAUTIOUS = ("other-kind", "key-other")  # rules that reject what a client hands out as text all the same


class Defect(NamedTuple):
    """A defect: where it is put, what is put there, and what is tried to find it."""

    title: str
    owner: Any
    name: str
    make: Callable[[Any], Any]  # of what stands there now
    finder: str
    written: str = ""  # a written test that finds it as well, where plays take long


# Finders: each returns after how many plays it fails; 0: it did not.

def by_model(most: int) -> int:
    """Play the machine beside the plain model."""
    tried = [0]

    class Counted(GateModel):
        def __init__(self) -> None:
            tried[0] += 1
            super().__init__()
    try:
        run_state_machine_as_test(Counted, settings=settings(
            max_examples=most, stateful_step_count=40, deadline=None, derandomize=True, database=None,
            phases=(Phase.generate,), suppress_health_check=list(HealthCheck), report_multiple_bugs=False))
    except Exception:  # noqa: BLE001 - whatever it is, it was found
        return tried[0]
    return 0


def by_rows(most: int) -> int:
    """Hold verdicts against rows."""
    for seed in range(most):
        for rejected, how, found, _ in contract_rows.play(seed):
            if (how == contract_rows.BROKEN) != rejected and not (rejected and set(found) <= set(CAUTIOUS)):
                return seed + 1
    return 0


def by_world(most: int) -> int:
    """Carry changes out under faults."""
    for seed in range(most):
        try:
            World(seed, 1 + seed % 3, seed % 2 == 1, back=seed % 5 != 0, behind=seed % 4 == 0).play()
        except Exception:  # noqa: BLE001
            return seed + 1
    return 0


def by_cases(most: int) -> int:
    """Go through the written cases of tables."""
    from test_contracts import cases, told_verdict
    for number, (reads, old, new, verdict, rule) in enumerate(cases("contract_tables.txt"), 1):
        try:
            if told_verdict(reads, old, new) != (verdict, sorted(rule.split())):
                return number
        except AssertionError:
            return number
    return 0


FINDERS = {"model": by_model, "rows": by_rows, "world": by_world, "cases": by_cases}


# What is planted.

def old_copy(real):
    def barred(self, at, told, name, facts, answer):
        told.version = answer.version
        return real(self, at, told, name, facts, answer)
    return barred


def never_lapses(real):
    return lambda self, subscription: None


def no_place(real):
    def check(subscriptions, *more, **named):
        class Names:
            def forms(self, table):
                return {key: names for key, names in subscriptions.forms(table).items()
                        if not any(read.place for read in key[0].columns)}
        return real(Names(), *more, **named)
    return check


def last_step_only(real):
    def finished(self, at, change, answer):
        real(self, at, change, answer)
        table = self.tables.get(change.table)
        for subscription in list(self.subscriptions.values()):
            self._unlist(subscription)
            subscription.reads = tuple(
                replace(reads, columns=tuple(
                    replace(r, type=table.form.by_number[r.number].type)
                    if r.number in table.form.by_number else r for r in reads.columns))
                if table and reads.table == change.table else reads
                for reads in subscription.reads)
            self._list(subscription)
    return finished


def star_is_open(real):
    def resolved(self, told):
        reads = real(self, told)
        return replace(reads, columns=()) if reads.star else reads
    return resolved


def names_alone(real):
    def by_name(read, form, found):
        return real(replace(read, number=0), form, found)
    return by_name


def places_by_type_alone(real):
    def at_place(read, form, found):
        column = form.row[read.place - 1] if read.place <= len(form.row) else None
        return column if column is not None else real(read, form, found)
    return at_place


def case_matters(real):
    def reading(grammar, text):
        told = real(grammar, text)
        for column in told[0] if grammar is types.READS_GRAMMAR else ():
            if f"{column[1].upper()} " in text:
                column[1] = column[1].upper()
        return told
    return reading


def any_fence(real):
    def acting(self, told, facts, answer):
        return self.changes.get(told.number)
    return acting


def half_done(real):
    def finish(self, at, told, facts, answer):
        change = self._acting(told, facts, answer)
        if change is not None:
            self._finished(at, change, answer)
    return finish


def current_only(real):
    def forms(self, reads):
        table = self.tables.get(reads.table)
        return [table.form] if table is not None else []
    return forms


def not_asked_for_moves(real):
    def propose(self, at, told, facts, answer):
        class Still:
            def fact(self, kind, key):
                return 0
        return real(self, at, told, Still(), answer)
    return propose


def seen_once_begun(real):
    def fact(self, kind, key):
        change = self.changes.get(self.by_table.get(key, 0))
        return int(change is not None and change.step > 0)
    return fact


def fence_forgotten(real):
    def message(change):
        told = real(change)
        told.fence = 0
        return told
    return message


def renewal_too_short(real):
    def renew(self, at, told, facts, answer):
        before = {number: each.until_ms for number, each in self.subscriptions.items()}
        real(self, at, told, facts, answer)
        for number in told.numbers:
            if number in before:
                self.subscriptions[number].until_ms = before[number]
    return renew


def all_publishers(real):
    def check(*given, publisher="", **named):
        verdict = real(*given, publisher=publisher, **named)
        return verdict._replace(affected=tuple(a for a in verdict.affected if a.level < rules.Level.BROKEN))
    return check


def nulls_ignored(real):
    def judge(*given):
        return [found for found in real(*given) if found.rule != "nulls-come"]
    return judge


def precision_alone(real):
    def plain(expected, given):
        if expected.kind == given.kind == "decimal":
            return "fits" if given.size[0] <= expected.size[0] else "decimal-too-wide"
        return real(expected, given)
    return plain


def keys_ignored(real):
    def nested(expected, given):
        if expected.kind == given.kind == "map":
            return list(rules.type_rules(expected.parts[1], given.parts[1]))
        return real(expected, given)
    return nested


def protocol_ignored(real):
    return lambda given, version: ()


def late_answers(real):
    def take(self, now, event, actions):
        if isinstance(event, carrying.Recorded):
            event = replace(event, token=self._told)
        elif hasattr(event, "token") and event.engine in self._parts:
            event = replace(event, token=self._parts[event.engine].token)
        return real(self, now, event, actions)
    return take


def lost_is_done(real):
    def ran(self, now, part, how, actions):
        return real(self, now, part, "ok" if how == "lost" else how, actions)
    return ran


def no_stop(real):
    def ran(self, now, part, how, actions):
        if how == "lost" and not self._turning:
            self._look(now, part, actions)
        else:
            real(self, now, part, how, actions)
    return ran


def no_look(real):
    def ran(self, now, part, how, actions):
        if how in ("ok", "failed"):
            self._settle(now, part, self._aim, actions)
        else:
            real(self, now, part, how, actions)
    return ran


def run_before_note(real):
    def of_engine(self, now, part, event, actions):
        if isinstance(event, carrying.Drained) and part.phase == "drain" and event.token == part.token:
            self._run(now, part, actions)
        else:
            real(self, now, part, event, actions)
    return of_engine


def untouched_on_return(real):
    def settle(self, now, part, state, actions, *, quiet=False):
        if part.state == pb.Change.GONE_AWAY and state == pb.Change.ASKED:
            state = pb.Change.WAITING
        return real(self, now, part, state, actions, quiet=quiet)
    return settle


RETURNS = (pb.Change.GONE_AWAY, pb.Change.WAITING)
DEFECTS = (
    Defect("admission from an old copy of the record", ContractMachine, "_barred", old_copy, "model",
           "test_two_publishers_at_once_and_one_with_an_old_copy"),
    Defect("a lapsed subscriber still counts", ContractMachine, "_lapse", never_lapses, "model"),
    Defect("a renewal does not lengthen the term", ContractMachine, "_renew", renewal_too_short, "model"),
    Defect("names are compared with their case", said, "parsed", case_matters, "cases"),
    Defect("readers by place are passed over", machine, "check", no_place, "model",
           "test_a_change_that_breaks_nobody_stands_and_one_that_does_names_who_and_what"),
    Defect("each step is held against the one before alone", ContractMachine, "_finished", last_step_only,
           "model", "test_steps_that_are_each_harmless_and_together_break"),
    Defect("`*` means what is there at the check", ContractMachine, "_resolved", star_is_open, "model",
           "test_a_change_that_breaks_nobody_stands_and_one_that_does_names_who_and_what"),
    Defect("a name is a column, whichever bears it", rules, "_by_name", names_alone, "rows"),
    Defect("a place is a column, whichever stands there", rules, "_at_place", places_by_type_alone, "rows"),
    Defect("whoever asks may act, without a fence", ContractMachine, "_acting", any_fence, "model"),
    Defect("the fence is not in the snapshot", machine, "change_message", fence_forgotten, "model",
           "test_another_member_goes_on_where_the_first_one_stopped"),
    Defect("finished before all engines are", ContractMachine, "_finish", half_done, "model"),
    Defect("who registers meanwhile is held against the old schema alone", ContractMachine, "_forms",
           current_only, "model"),
    Defect("shards under way are not asked for", ContractMachine, "_propose", not_asked_for_moves, "model"),
    Defect("moves see a change once it has begun", ContractMachine, "fact", seen_once_begun, "model"),
    Defect("nobody breaks for a publisher", machine, "check", all_publishers, "model"),
    Defect("nulls are not looked at", rules, "_of_column", nulls_ignored, "rows"),
    Defect("decimals by precision alone", rules, "_plain", precision_alone, "rows"),
    Defect("keys of maps are not looked at", rules, "_nested", keys_ignored, "rows"),
    Defect("all versions of the protocol carry all", rules, "carried", protocol_ignored, "rows"),
    Defect("a late answer is taken for the present question's", Carrier, "_take", late_answers, "world"),
    Defect("a lost answer is taken for success", Carrier, "_ran", lost_is_done, "world"),
    Defect("what was lost is not stopped before the look", Carrier, "_ran", no_stop, "world"),
    Defect("answers count, no look", Carrier, "_ran", no_look, "world"),
    Defect("the statement runs before the record knows", Carrier, "_of_engine", run_before_note, "world"),
    Defect("an engine that returns is taken for untouched", Carrier, "_settle", untouched_on_return, "world",
           "test_an_engine_that_returns_half_way_is_not_taken_for_untouched"),
)


def by_test(name: str) -> int:
    """Run a written test."""
    import test_contracts
    made = test_contracts.Gate()
    made.propose("t", "a int, b string")
    try:
        getattr(test_contracts, name)(made)
    except (AssertionError, KeyError):
        return 1
    return 0


def search(defect: Defect, most: int = 0) -> int:
    """Plant a defect; return after how many plays its finder fails, 0 if it does not.

    most: plays; 0: the written test, if there is one, or else a hundred.
    """
    _forget()
    allowed = machine._FORWARD | ({RETURNS} if defect.make is untouched_on_return else set())
    with patch.object(defect.owner, defect.name, defect.make(getattr(defect.owner, defect.name))), \
            patch.object(machine, "_FORWARD", allowed):
        quick = defect.written and not most
        found = by_test(defect.written) if quick else FINDERS[defect.finder](most or 100)
    _forget()
    return found


def _forget() -> None:
    for cached in (rules.type_rules, rules.carried, messages.read_all_reads, said.parse_reads):
        getattr(cached, "cache_clear", int)()


if __name__ == "__main__":
    print("| planted | found by | after plays |\n| --- | --- | --- |")
    for each in DEFECTS:
        print(f"| {each.title} | {each.finder} | {search(each, 2000) or 'not within 2000'} |", flush=True)
