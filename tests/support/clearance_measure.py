"""Measure what quiescence saves and costs.

`python tests/support/clearance_measure.py drops|changes SEEDS`, `messages` or `check`.
"""

import search_paths  # noqa: F401 - makes imports work when run as a script

# isort: split

import statistics
import sys
import time

import test_quiescence_program as program
from cluster_world import Cluster
from fleet import Fleet
from test_quiescence_program import OLD, WIDER, Scene, publish
from test_shard_routing import ENGINES, SETTINGS

from fennelwind.cluster import quiescence
from fennelwind.cluster.quiescence import QuiescenceClient
from fennelwind.quiescence.in_flight import InFlightTracker
from fennelwind.quiescence.registered_controllers import ControllerRegistry
from fennelwind.shards.routing import MAX_SLOTS, Routing


def print_times(title, times_ms):
    """Print the median, the 5th and 95th percentile, and the number of some times in ms."""
    times_ms = sorted(times_ms)
    low, high = times_ms[len(times_ms) // 20], times_ms[-1 - len(times_ms) // 20]
    print(
        f"| {title} | {statistics.median(times_ms):.0f} | {low:.0f} to {high:.0f} | {len(times_ms)} |",
        flush=True,
    )


def drops(is_on, seeds):
    """Measure the time from the switch to the end of the drop, while three controllers query the shard."""
    times_ms = []
    for seed in range(seeds):
        scene = Scene(seed, controllers=3)
        scene.play(
            lambda scene=scene: (scene.drain(scene.fleet.engines[0]), times_ms.append(scene.drop_delay_ms()))
        )
    print_times("switch to drop, " + ("cleared" if is_on else "without"), times_ms)


def changes(is_on, seeds):
    """Measure, per engine, the time from its quiescence to the moment its statement may run."""
    times_ms = []
    for seed in range(seeds):
        scene = Scene(seed, controllers=3)

        def call(scene=scene):
            for engine in scene.fleet.engines:
                engine.schemas.run(f"CREATE TABLE IF NOT EXISTS sales.orders ({OLD})")
            publish(scene.fleet.client(), OLD)
            contracts = scene.record().machines["contracts"]
            version = contracts.tables["sales.orders"].version
            task, quiet_since_ms = scene.host.spawn(publish, scene.fleet.client(), WIDER, version), {}
            while not task.done:
                now = scene.host.now()
                for change in contracts.changes.values():
                    for engine in change.quiet:
                        quiet_since_ms.setdefault(engine, now)
                        if change.engines[engine] == 1:  # ASKED: the engine may run the statement
                            times_ms.append(now - quiet_since_ms[engine]) if quiet_since_ms[
                                engine
                            ] >= 0 else None
                            quiet_since_ms[engine] = -1.0
                scene.host.sleep(2.0)

        scene.play(call)
    print_times("quiet to drained, " + ("cleared" if is_on else "without"), times_ms)


def messages(controllers=200):
    """Measure log entries and acknowledgements per second at the leader, by number of barrier requests."""
    cluster = Cluster(1)

    def main(cluster):
        for name in cluster.names:
            cluster.kill(name)
            cluster.start(name, level=2)
        quiescence_clients = []
        for n in range(controllers):
            host = cluster.start(f"c{n}", f"10.1.{n // 250}.{n % 250 + 1}")
            host.quiescence = QuiescenceClient(host.loop, host.client, f"c{n}", InFlightTracker())
            quiescence_clients.append(host.quiescence)
        cluster.until(
            lambda: (
                sum(client.in_flight.registration_number > 0 for client in quiescence_clients) == controllers
            ),
            300_000.0,
        )
        simulator = cluster.world.rig
        for requests in (0, 1, 20):
            for client in quiescence_clients:
                client.update_replicas(requests + 1, {}, [(f"t/d={n}", "e") for n in range(requests)], True)
            simulator.sleep(5_000.0)
            record = cluster.runtimes[cluster.leader()].member.state.replicated_state
            index, acknowledgements = (
                record.index,
                sum(client.counts["told"] for client in quiescence_clients),
            )
            simulator.sleep(60_000.0)
            acknowledgements = sum(client.counts["told"] for client in quiescence_clients) - acknowledgements
            entries = (record.index - index) / 60
            print(
                f"| {controllers} controllers, {requests} requests | {entries:.1f} entries/s |"
                f" {acknowledgements / 60:.1f} acknowledgements/s |",
                flush=True,
            )

    cluster.play(main)


def check(queries=5_000, runs=40):
    """Measure the cost of a query in routing, in us of the fastest run, with and without a tracker."""
    for case, tracker, excluded in (
        ("without a tracker", None, {}),
        ("nothing is requested", InFlightTracker(), {}),
        ("three tables are quiesced", InFlightTracker(), {t: frozenset({"e1"}) for t in "abt"}),
    ):
        routing = Routing(SETTINGS, MAX_SLOTS, tracker)
        routing.rewrite_list(ENGINES)
        routing.update_replicas({"t/d=1": ("e1", "e3"), "t/d=2": ("e3", "e5")})
        routing.update_quiesced(excluded)
        for shards in ((), ("t/d=1",)):
            times_us = []
            for _ in range(runs):
                started_s = time.perf_counter()
                for query in range(queries):
                    if shards:
                        routing.classify(query, 0, shards)
                    if routing.may_send(query, "e3"):
                        routing.attempt_started(query, 0, "e3")
                        routing.attempt_ended(query, 0)
                    routing.query_ended(query)
                times_us.append((time.perf_counter() - started_s) / queries * 1e6)
            print(f"| {case} | {len(shards)} shards named | {min(times_us):.2f} us |", flush=True)


if __name__ == "__main__":
    case, *arguments = sys.argv[1:]
    if case in ("drops", "changes"):
        ControllerRegistry.silence_timeout_ms, quiescence.RENEWAL_MS = 40_000, 10_000.0
        original_text = Fleet.text
        Fleet.text = staticmethod(
            lambda *args: original_text(*args).replace('"(?i)load"', '"(?i)load|alter"')
        )
        for is_on in (True, False):
            program.moves.MOVES = program.MOVES = program.MOVES.replace(
                "clearances: true", f"clearances: {str(is_on).lower()}"
            )
            globals()[case](is_on, int(arguments[0]))
    else:
        globals()[case]()
