"""A short scripted day in virtual time: the same controller, stand-ins and audit as on sockets."""

from google.protobuf import text_format

from fennelwind import config
from fennelwind.audit import Recorder, audit, read_trace
from fennelwind.audit.rules import served_share
from fennelwind.cli.demo import DATA
from fennelwind.cli.program import Program
from fennelwind.dispatch.observer import SilentObserver
from fennelwind.emulators import script_pb2 as sc
from fennelwind.emulators.day import Day
from fennelwind.loop import SimLoop

SCRIPT = """
length_ms: 9000 connections: 300 discovery_delay_ms: 300
engines { count: 2 kind: "node-8" zone: "hall-a" cell: 0 }
engines { count: 2 kind: "node-12" zone: "hall-b" cell: 1 }
loads { query_class: "lookup" per_s: 25 statement: "select 1" work_ms: 40 spread: 0.7 estimate_spread: 0.3
        threads: 1 rows: 2 timeout_ms: 3000 async_share: 0.2 impatient_share: 0.1 }
loads { query_class: "report" per_s: 4 statement: "select 2" work_ms: 1500 spread: 0.6 estimate_spread: 0.3
        threads: 4 rows: 20 timeout_ms: 10000 async_share: 0.6 cancel_share: 0.1 }
loads { query_class: "append" per_s: 6 statement: "insert 3" work_ms: 60 spread: 0.5 estimate_spread: 0.2
        threads: 1 rows: 1 keys: 4 timeout_ms: 6000 }
loads { query_class: "publish" per_s: 4 statement: "call 4" work_ms: 120 spread: 0.5 estimate_spread: 0.2
        threads: 2 rows: 1 timeout_ms: 6000 }
faults { kind: CUT at_ms: 1000 for_ms: 1500 engines: 0 }
faults { kind: CRASH at_ms: 2000 for_ms: 1500 engines: 1 engines: 3 }
faults { kind: LOSE at_ms: 4000 for_ms: 2000 engines: 2 }
faults { kind: DRAIN at_ms: 5500 for_ms: 2500 engines: 0 }
faults { kind: HANG at_ms: 7000 for_ms: 1500 engines: 3 }
"""


class SimDay:
    """One day, played; `tamper` may change the program before it starts."""

    def __init__(self, seed, script=SCRIPT, tamper=lambda program: None):
        self.loop = loop = SimLoop(seed)
        self.errors = []
        loop.on_error = lambda task, exc: self.errors.append((task.name, exc))
        script = text_format.Parse(script, sc.Script())
        script.seed = seed
        settings = config.load(DATA / "bad-day.settings.txtpb").file
        self.recorder = Recorder(loop.now)
        self.day = Day(loop, script, settings, self.recorder.wrap)

        def main():
            self.day.start()
            settings.discovery.address = str(self.day.discovery.address)
            controller = config.read(text_format.MessageToString(settings))
            self.program = Program(loop, controller, SilentObserver(), seed)
            tamper(self.program)
            self.program.start()
            loop.sleep(200)
            self.day.play(self.program.address)
            loop.sleep(1000)
            self.left = self.program.driver.ledger.entries, self.program.driver.gateway.queries
            self.program.close()

        loop.run(main)
        self.settings = settings
        self.trace = read_trace(self.recorder.wires)
        self.verdicts = {v.rule: v for v in audit(self.trace, settings)}
        self.classes = served_share(self.trace, settings)

    @property
    def broken(self):
        return {rule: v.breaks for rule, v in self.verdicts.items() if v.breaks}
