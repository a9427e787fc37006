"""Planted defects of shard migrations, and which simulation finds each, after how many.

`python tests/support/move_defects.py [SEEDS]` prints the table.
"""

import search_paths  # noqa: F401 - to run this file as a script

# isort: split

import sys
from functools import partial
from unittest.mock import patch

from move_play import ONE_FAULT, Broken, Play, QuickMachine, play, play_careless, play_one_fault
from planted import Line, broken, by_model, planted, row

from fennelwind.shards import state_machine
from fennelwind.shards.migration import MigrationDriver
from fennelwind.shards.state_machine import ShardMachine

QUICK_SEEDS = 10
ACTIONS = 17  # of a simulation of one fault; the last ones leave nothing to disturb
DROP_NOW = """if work.phase not in ("sent", "early") and move.drops:
        work.phase = "early"
        return self._run_statement(move.number, "early", move.shard, move.drops,
                                   migration_statements.drop(move.shard), self.timing.drop_ms)
    """
DEFECTS = {
    "switched without a check": [
        Line(
            MigrationDriver._verify,
            "if work.target is not None and",
            "return self._request_step(move, Step.CHECK, attempt=move.attempt, rows=max(shard.rows, 0),"
            " checksum=shard.checksum)\n    if work.target is not None and",
        )
    ],
    "old copy dropped before the switch": [
        Line(
            MigrationDriver._at_checked,
            "self._request_step(move, Step.SWITCH)",
            DROP_NOW + "self._request_step(move, Step.SWITCH)",
        )
    ],
    "old copy dropped before the record says so": [
        Line(
            MigrationDriver._at_switched,
            "if not self._may_drop_old(move):",
            DROP_NOW + "if not self._may_drop_old(move):",
        )
    ],
    "last good copy may go": [patch.object(ShardMachine, "may_drop", lambda self, shard, engine: True)],
    "headroom without the copy that comes in": [
        Line(
            ShardMachine.free_bytes,
            "self.used.get(engine, 0)",
            "sum(self.shards[s].size for s, held in self.copies.items()"
            " if engine in held and held[engine].state != 'coming')",
        )
    ],
    "spills beyond the headroom not counted": [
        patch.object(state_machine, "usable_disk", lambda home: home.disk)
    ],
    "fence not checked by the record": [
        patch.object(ShardMachine, "_has_valid_fence", lambda self, fence, facts: True)
    ],
    "drops on their way not waited for": [
        patch.object(MigrationDriver, "_drops_ended", lambda self, shard, engine: True)
    ],
    "loads on their way not waited for": [
        patch.object(MigrationDriver, "_loads_ended", lambda self, move: True)
    ],
    "resumed move copies again": [
        Line(
            MigrationDriver._at_copying,
            'work.phase, work.attempt = "verify", move.attempt',
            "return self._begin_copy(move, work)",
        )
    ],
    "generation ignored: an empty disk passes for the old one": [
        Line(ShardMachine._update_engine, "if known.mark and host.mark != known.mark:", "if False:")
    ],
    "generation ignored by steps": [
        Line(
            ShardMachine._is_target_valid,
            "host, replica = self.homes[move.target],",
            "if move.target not in self.copies.get(move.shard, {}):\n"
            "        self._set_replica(move.shard, Replica(move.shard, move.target, 'coming'))\n"
            "    return True\n    host, replica = self.homes[move.target],",
        ),
        patch.object(MigrationDriver, "_is_target_valid", lambda self, move: True),
    ],
    "a check's answer from an earlier disk is taken": [
        Line(ShardMachine._record_check, "host.generation != request.generation or", "")
    ],
    "a check's answer from before a move is taken": [
        Line(ShardMachine._record_check, "request.seen < self._content_entry.get(shard.name, 0)", "False")
    ],
    "copies of a returned engine trusted unchecked": [
        patch.object(ShardMachine, "_mark_doubtful", lambda self, engine, at: None)
    ],
    "space of a half copy freed before its drop": [
        Line(
            ShardMachine._undo,
            'self._set_step(move, "undoing", at)',
            'self._set_step(move, "undoing", at)\n        self._undone(self.moves[move.number], request, at)',
        )
    ],
    "undone without the drop": [
        Line(MigrationDriver._at_undoing, 'work.phase == "dropped" or not has_replica', "True")
    ],
    "no rest after a switch": [patch.object(QuickMachine, "rest_ms", 0)],
    "queries on the old copy not waited for": [
        Line(MigrationDriver._at_switched, "if work.is_quiesced or", "if True or")
    ],
    "table under change moved on": [
        Line(Play.fact, 'return int(kind == "changing" and key in self.changing)', "return 0")
    ],
    "acts on a copy of the record older than its answers": [
        Line(MigrationDriver.step, "and self._index >= self._min_index", "")
    ],
}


def play_with_one_fault(number, kind, **more):
    """Simulate one fault; raise `Broken` if a replica imported before its holder's end is imported again."""
    one = play_one_fault(number, kind, **more)
    if kind.startswith("crash") and one.action_count >= number and 0 < one.loads_then < one.loads():
        raise Broken("a replica was imported twice")
    return one


def model(most=400):
    """Run the model beside the state machine; return after how many examples they differ, and how."""
    from test_shard_moves import Model  # which imports this file

    return by_model(Model, most, 50)


def plays(most):
    """Yield kinds of simulations, cheap and specific ones first: a name, and the simulations."""
    for kind in ONE_FAULT:
        yield (
            f"one fault: {kind}",
            [partial(play_with_one_fault, number, kind) for number in range(1, ACTIONS)],
        )
    yield (
        "one fault, quick copies",
        [
            partial(play_with_one_fault, number, "late, crash target", seed=seed, quick=True)
            for seed in range(QUICK_SEEDS)
            for number in range(1, 9)
        ],
    )  # up to the first import
    yield "careless planner", [partial(play_careless, seed) for seed in range(most // 4)]
    yield "plain model", None
    yield "mixed faults", [partial(play, seed) for seed in range(most)]


def hunt(title, most):
    """Return the kind of simulation that finds a defect, after how many of it and of all, and its message."""
    before = 0
    with planted(DEFECTS[title]):
        for sort, some in plays(most):
            found = broken(some, Broken) if some is not None else model()
            if found is not None:
                return sort, found[0], before + found[0], found[1].removeprefix("Broken: ")
            before += 400 if some is None else len(some)
    return None


if __name__ == "__main__":
    limit = int(sys.argv[1]) if len(sys.argv) > 1 else 200
    print("| defect | found by | plays of that sort | of all | what it says |\n" + "| --- " * 5 + "|")
    for title in DEFECTS:
        row(title, *(hunt(title, limit) or ("nothing", limit, "", "")))
