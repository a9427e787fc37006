"""Clearances on whole controllers in virtual time: copies that leave go as soon as all have said so."""

import pytest
import test_moves_program as moves
from fleet import Fleet, Seen
from test_gate import FOLLOWER

from fennelwind import config
from fennelwind import interface as api
from fennelwind.clearance.roll import RollMachine
from fennelwind.cli.program import Program
from fennelwind.keeper import clearances

NAMES = moves.NAMES


class Scene(moves.Scene):
    """Three members of the record's level 2, and controllers: c0 with the engines, others by its list."""

    def __init__(self, seed, controllers=2, level=2):
        super().__init__(seed)
        self.level = level
        self.others = {f"c{n}": self.council.world.host(f"c{n}", f"127.0.0.{n + 1}")
                       for n in range(1, controllers)}
        self.programs = {}

    def play(self, call):
        plain = self.council.start
        self.council.start = lambda name: plain(name, level=self.level)
        super().play(call)

    def _main(self, call):
        def main():
            listed = "\n".join(f'engines {{ address: "{e.name}" kind: "k" }}' for e in self.fleet.engines)
            for name, host in self.others.items():
                settings = config.read(moves.with_disks(Fleet.text(listed)) + FOLLOWER % name + MOVES)
                program = self.programs[name] = Program(host, settings, Seen(), 2)
                host.start(program.start)
            self.until(lambda: len(self.record().machines["roll"].lives) > len(self.others))
            self.until(lambda: self.record().machines["roll"].sure(self.record().clock_ms))
            self.link = self.fleet.client()
            return call()
        return super()._main(main)

    def record(self):
        return next(k.member.state.record for k in self.council.keepers.values())

    def drain(self, engine):
        """Let every controller hear that an engine drains; it has to be emptied then."""
        event = api.EngineList("delta", (api.EngineEntry(engine.name, "draining"),))
        for program in [self.fleet.program, *self.programs.values()]:
            program.driver.post(event)

    def gone_after(self, name):
        """Wait until the copy of a shard that leaves has gone; return the ms since the switch."""
        machine = self.record().machines["shards"]
        self.until(lambda: machine.waiting())
        began = self.host.now()
        self.until(lambda: not machine.waiting())
        return self.host.now() - began


MOVES = moves.MOVES.replace("moves {", "moves { clearances: true")


@pytest.fixture(autouse=True)
def with_clearances(monkeypatch):
    monkeypatch.setattr(moves, "MOVES", MOVES)
    monkeypatch.setattr(RollMachine, "forget_ms", 40_000)  # else two minutes pass ahead of each test
    monkeypatch.setattr(clearances, "RENEW_MS", 10_000.0)


def test_a_copy_goes_when_all_have_said_that_no_query_is_left_there():
    scene = Scene(1)

    def call():
        scene.drain(scene.fleet.engines[0])
        assert scene.gone_after(NAMES[0]) < 5_000.0
        assert scene.fleet.seen.failures == []

    scene.play(call)
