"""What a controller of a day is told: the platform's configuration file; and what its clients write."""

import json
from collections.abc import Callable
from random import Random
from typing import Any

from fennelwind.emulators.platform.clients import Wish
from fennelwind.loop import Address
from fennelwind.testbed import day_pb2 as pb
from fennelwind.testbed.plan import TENANT, Ask, Plan

EFFECTS = {pb.QueryClass.SAFE: "repeatable", pb.QueryClass.KEYED: "by_key", pb.QueryClass.UNSAFE: "once"}
IDLE_MS = 15_000.0  # ms after which executors close idle connections
DIAL_MS = 250.0  # ms in which a connection comes up or never will


def settings_of(plan: Plan, controller: int) -> dict[str, Any]:
    """Return the nested settings, with the platform's names and units."""
    day, rules = plan.day.file, plan.day.file.rules
    zones = [zone.name for zone in day.zones]
    grades = []
    for cls in day.classes:
        grade = {
            "Name": cls.name,
            "AimMs": cls.aim_ms,
            "AimStretch": cls.aim_stretch,
            "GiveUpMs": cls.give_up_ms,
            "Points": cls.worth,
            "LateWorth": cls.late_worth,
            "Effect": EFFECTS[cls.effect],
            "MemorySpanMs": cls.memory_ms,
        }
        if cls.zones:
            grade["RunsIn"] = [zones.index(name) for name in cls.zones]
        grades.append(grade)
    return {
        "Balancers": len(plan.controllers),
        "Me": controller,
        "Zone": zones.index(plan.controllers[controller].zone),
        "Zones": zones,
        "Kinds": [kind.name for kind in day.kinds],
        "Ceilings": {
            "Cancel": rules.cancel,
            "ConnIdleMs": IDLE_MS,
            "DialTimeoutMs": DIAL_MS,
            "MaxAttempts": rules.max_attempts,
            "MaxOpen": 20_000,
            "MaxRetryAfterMs": rules.max_retry_after_ms,
            "ParallelTries": rules.parallel,
            "Peers": day.controllers.peers,
            "Probing": rules.probes,
            "RetryAfter": rules.max_retry_after_ms > 0.0,
        },
        "FamilyInfo": {
            "KindCores": [kind.cores for kind in day.kinds],
            "SizeMb": [kind.memory_mb for kind in day.kinds],
            "WidthByClass": [cls.threads for cls in day.classes],
            "RanksHeeded": rules.priorities,
            "TakesGrants": rules.grants,
        },
        "Grades": grades,
        "Projects": [{"Name": TENANT, "QuotaPerS": 1e6}],
        "Report": {"Columns": list(day.reports.fields), "Source": "piggyback"},
        "Rules": {
            "DrainGraceMs": rules.drain_grace_ms,
            "ColdShare": rules.cold_share,
            "RampTimeMs": rules.cold_ms,
            "FallMultiple": rules.fall_multiple,
            "OverloadForMs": rules.fall_ms,
            "ExtraFloor": rules.budget_free,
            "FurtherRatio": rules.budget_share,
            "LookBackMs": rules.budget_ms,
        },
    }


class Book:
    """The events of the command channel for all controllers, with the rig's addresses in them.

    `where` tells at which address a controller finds the executor in a slot; `epoch_ms` is the Unix time of
    the day's start.
    """

    def __init__(self, plan: Plan, where: Callable[[int, int], Address], epoch_ms: float) -> None:
        self.plan, self.where, self.epoch_ms = plan, where, epoch_ms
        self._told: dict[int, list[tuple[float, dict[str, Any]]]] = {}

    def told(self, controller: int) -> list[tuple[float, dict[str, Any]]]:
        """Return a controller's events, each with the time from which it is told."""
        if controller not in self._told:
            self._told[controller] = [
                (
                    at,
                    event
                    | {
                        "nodes": event["nodes"]
                        | {"instances": [self._entry(controller, one) for one in event["nodes"]["instances"]]}
                    },
                )
                for at, event in self.plan.told(controller)
            ]
        return self._told[controller]

    def known(self, controller: int, now: float) -> dict[str, Any]:
        """Return what the configuration of a start at that time tells: the list then, as an event."""
        listed: dict[str, dict[str, Any]] = {}
        cursor = 0
        for at, event in self.told(controller):
            if at > now:
                break
            cursor = event["cursor"]
            for one in event["nodes"]["instances"]:
                listed[one["instanceId"]] = one
                if one["lifecycle"] == "terminated":
                    del listed[one["instanceId"]]
        nodes = {"generation": cursor, "reset": True, "instances": list(listed.values())}
        return {"cursor": cursor, "cmds": [{"cursor": cursor, "nodes": nodes}]}

    def _entry(self, controller: int, one: dict[str, Any]) -> dict[str, Any]:
        told = {name: value for name, value in one.items() if name != "slot"}
        told["hostPort"] = str(self.where(controller, one["slot"]))
        if told["startedAtMs"]:
            told["startedAtMs"] += self.epoch_ms
        return told


def config_text(
    plan: Plan,
    controller: int,
    *,
    listen: Address,
    channel: Address,
    peers: list[Address],
    peers_all: Address,
    known: dict[str, Any],
    start: int,
    salt: str = "",
) -> str:
    """Return the file of a controller's start; `start` counts its lives, `salt` varies its seed."""
    told, day = plan.controllers[controller], plan.day.file
    seed = Random(f"{plan.seed}/controller {controller} {start} {salt}").getrandbits(64)
    return json.dumps(
        {
            "name": told.name,
            "listen": str(listen),
            "seed": f"{seed:016x}",
            "channel": str(channel),
            "peer_listen": str(Address(listen.host, peers[controller].port)),
            "peers": [str(p) for p in peers],
            "peers_all": str(peers_all),
            "limits": {
                "cores": 1.0,
                "memory_mb": day.controllers.memory_mb,
                "sockets": day.controllers.sockets,
            },
            "known": known,
            "settings": settings_of(plan, controller),
        }
    )


def wish_of(plan: Plan, ask: Ask) -> Wish:
    """Return a planned request as its client writes it; its true needs ride in a comment."""
    cls = plan.day.file.classes[ask.cls]
    statement = (
        f"select a, b, c from data_{ask.group}.facts /* standin work={ask.work_ms:.3f}"
        f" width={cls.threads} need={ask.need_mb:.1f} rows={ask.rows} */"
    )
    return Wish(
        ask.number,
        ask.at_ms,
        ask.controller,
        ask.cls,
        cls.name,
        cls.give_up_ms,
        ask.estimate_ms,
        ask.estimate_mb,
        statement.encode("ascii"),
        ask.withdrawn_ms,
    )
