"""What a plan says of a day, as the audit takes it: who could not know, or be reached. No I/O."""

from fennelwind.audit.fleet import HEARS_MS, ClassFacts, Facts, Place, Window
from fennelwind.testbed import day_pb2 as pb
from fennelwind.testbed.links import LinkFault
from fennelwind.testbed.plan import CHANNEL, RELOADED_MS, Plan, clients_of

EFFECTS = {pb.QueryClass.SAFE: "safe", pb.QueryClass.KEYED: "keyed", pb.QueryClass.UNSAFE: "unsafe"}
HEALS_MS = 1000.0  # ms after a link's fault in which what it held still arrives
HOLDS = (pb.Fault.CUT, pb.Fault.RESET, pb.Fault.STALL, pb.Fault.RATE, pb.Fault.DELAY)


def facts_of(plan: Plan) -> Facts:
    """Return what the audit has to know of a day."""
    day, rules = plan.day.file, plan.day.file.rules
    cores = {kind.name: kind.cores for kind in day.kinds}
    classes = tuple(
        ClassFacts(cls.name, EFFECTS[cls.effect], cls.memory_ms, frozenset(cls.zones)) for cls in day.classes
    )
    places = {
        life.instance: Place(
            plan.slots[life.slot].zone,
            cores[plan.slots[life.slot].kind],
            life.start_ms,
            plan.slots[life.slot].name,
        )
        for life in plan.lives
    }
    told = {
        c.number: [
            (at, one["instanceId"], one["lifecycle"])
            for at, event in plan.told(c.number)
            for one in event["nodes"]["instances"]
        ]
        for c in plan.controllers
    }
    holds = tuple(fault for fault in plan.link_faults if fault.kind in HOLDS)

    def disturbed(controller: int, slot: str, start: float, end: float) -> bool:
        return bool(_windows(holds, plan.controllers[controller].name, {slot}, start, end))

    return Facts(
        classes,
        places,
        told,
        blind={c.number: _blind(plan, holds, c.number) for c in plan.controllers},
        deaf={c.number: _deaf(plan, holds, c.number) for c in plan.controllers},
        disturbed=disturbed,
        drain_grace_ms=rules.drain_grace_ms,
        cold_share=rules.cold_share,
        cold_ms=rules.cold_ms,
        fall_multiple=rules.fall_multiple,
        fall_ms=rules.fall_ms,
        max_attempts=rules.max_attempts,
        parallel=rules.parallel,
        budget_free=rules.budget_free,
        budget_share=rules.budget_share,
        budget_ms=rules.budget_ms,
    )


def _windows(
    faults: tuple[LinkFault, ...],
    name: str,
    others: set[str],
    start: float = float("-inf"),
    end: float = float("inf"),
) -> list[Window]:
    """Return when a way between a party and any of the others was at fault, in either direction."""
    found = []
    for fault in faults:
        until = fault.until_ms + HEALS_MS + 2.0 * fault.delay_ms
        if (
            fault.at_ms < end
            and start < until
            and any(fault.between(name, other) or fault.between(other, name) for other in others)
        ):
            found.append((fault.at_ms, until))
    return found


def _blind(plan: Plan, holds: tuple[LinkFault, ...], number: int) -> list[Window]:
    """Return when the channel could not tell a controller its news, until they count as told."""
    name = plan.controllers[number].name
    windows = [(start, end + HEARS_MS) for start, end in _windows(holds, name, {CHANNEL})]
    windows += [(fault.at_ms, fault.until_ms + HEARS_MS) for fault in plan.channel_faults]
    windows += [
        (step.at_ms, step.at_ms + HEARS_MS + RELOADED_MS)
        for step in plan.steps
        if step.controller == number and step.verb == "hup"
    ]
    since = None
    for step in plan.steps:
        if step.controller == number and step.verb == "stop" and since is None:
            since = step.at_ms
        elif step.controller == number and step.verb == "cont" and since is not None:
            windows.append((since, step.at_ms + HEARS_MS))
            since = None
    return windows


def _deaf(plan: Plan, holds: tuple[LinkFault, ...], number: int) -> list[Window]:
    """Return when clients could not reach a controller, or its answers them."""
    everyone = {clients_of(zone.name) for zone in plan.day.file.zones}
    return _windows(holds, plan.controllers[number].name, everyone)
