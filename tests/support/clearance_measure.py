"""What clearances gain and cost.

`python tests/support/clearance_measure.py drops|changes SEEDS`, `messages` or `check`.
"""

import search_paths  # noqa: F401 - for a play that is run by hand

# isort: split

import statistics
import sys
import time

import test_quiescence_program as program
from council_world import Council
from fleet import Fleet
from test_quiescence_program import OLD, WIDER, Scene, publish
from test_shard_routing import ENGINES, SETTINGS

from fennelwind.cluster import quiescence
from fennelwind.cluster.quiescence import QuiescenceClient
from fennelwind.quiescence.in_flight import InFlightTracker
from fennelwind.quiescence.registered_controllers import ControllerRegistry
from fennelwind.shards.routing import MAX_SLOTS, Routing


def told(what, took):
    """Print the median and the middle nine tenths of some times in ms."""
    took = sorted(took)
    low, high = took[len(took) // 20], took[-1 - len(took) // 20]
    print(f"| {what} | {statistics.median(took):.0f} | {low:.0f} to {high:.0f} | {len(took)} |", flush=True)


def drops(on, seeds):
    """From the switch to the end of the drop, with three controllers that query the shard all the while."""
    took = []
    for seed in range(seeds):
        scene = Scene(seed, controllers=3)
        scene.play(lambda scene=scene: (scene.drain(scene.fleet.engines[0]), took.append(scene.gone_after())))
    told("switch to drop, " + ("cleared" if on else "without"), took)


def changes(on, seeds):
    """From an engine's quiet until its statement may run, per engine."""
    took = []
    for seed in range(seeds):
        scene = Scene(seed, controllers=3)

        def call(scene=scene):
            for engine in scene.fleet.engines:
                engine.schemas.run(f"CREATE TABLE IF NOT EXISTS sales.orders ({OLD})")
            publish(scene.fleet.client(), OLD)
            record = scene.record().machines["contracts"]
            version = record.tables["sales.orders"].version
            task, since = scene.host.spawn(publish, scene.fleet.client(), WIDER, version), {}
            while not task.done:
                now = scene.host.now()
                for change in record.changes.values():
                    for engine in change.quiet:
                        since.setdefault(engine, now)
                        if change.engines[engine] == 1:  # asked
                            took.append(now - since[engine]) if since[engine] >= 0 else None
                            since[engine] = -1.0
                scene.host.sleep(2.0)

        scene.play(call)
    told("quiet to drained, " + ("cleared" if on else "without"), took)


def messages(controllers=200):
    """Commands and words a second at the leader, by so many controllers."""
    council = Council(1)

    def main(council):
        for name in council.names:
            council.kill(name)
            council.start(name, level=2)
        parts = []
        for n in range(controllers):
            keeper = council.start(f"c{n}", f"10.1.{n // 250}.{n % 250 + 1}")
            keeper.quiescence = QuiescenceClient(keeper.loop, keeper.client, f"c{n}", InFlightTracker())
            parts.append(keeper.quiescence)
        council.until(
            lambda: sum(p.in_flight.registration_number > 0 for p in parts) == controllers, 300_000.0
        )
        rig = council.world.rig
        for wishes in (0, 1, 20):
            for part in parts:
                part.update_replicas(wishes + 1, {}, [(f"t/d={n}", "e") for n in range(wishes)], True)
            rig.sleep(5_000.0)
            record = council.keepers[council.leader()].member.state.record
            index, words = record.index, sum(p.counts["told"] for p in parts)
            rig.sleep(60_000.0)
            words = sum(p.counts["told"] for p in parts) - words
            entries = (record.index - index) / 60
            print(
                f"| {controllers} controllers, {wishes} wishes | {entries:.1f} entries/s |"
                f" {words / 60:.1f} words/s |",
                flush=True,
            )

    council.play(main)


def check(times=5_000, runs=40):
    """What a query costs in routing, in us of the quickest of some runs, with and without a book."""
    for what, book, quiet in (
        ("without a book", None, {}),
        ("nothing is asked for", InFlightTracker(), {}),
        ("three tables are quiet", InFlightTracker(), {t: frozenset({"e1"}) for t in "abt"}),
    ):
        routing = Routing(SETTINGS, MAX_SLOTS, book)
        routing.rewrite_list(ENGINES)
        routing.update_replicas({"t/d=1": ("e1", "e3"), "t/d=2": ("e3", "e5")})
        routing.update_quiesced(quiet)
        for named in ((), ("t/d=1",)):
            took = []
            for _ in range(runs):
                began = time.perf_counter()
                for query in range(times):
                    if named:
                        routing.classify(query, 0, named)
                    if routing.may_send(query, "e3"):
                        routing.attempt_started(query, 0, "e3")
                        routing.attempt_ended(query, 0)
                    routing.query_ended(query)
                took.append((time.perf_counter() - began) / times * 1e6)
            print(f"| {what} | {len(named)} shards named | {min(took):.2f} us |", flush=True)


if __name__ == "__main__":
    what, *rest = sys.argv[1:]
    if what in ("drops", "changes"):
        ControllerRegistry.silence_timeout_ms, quiescence.RENEWAL_MS = 40_000, 10_000.0
        plain = Fleet.text
        Fleet.text = staticmethod(lambda *args: plain(*args).replace('"(?i)load"', '"(?i)load|alter"'))
        for on in (True, False):
            program.moves.MOVES = program.MOVES = program.MOVES.replace(
                "clearances: true", f"clearances: {str(on).lower()}"
            )
            globals()[what](on, int(rest[0]))
    else:
        globals()[what]()
