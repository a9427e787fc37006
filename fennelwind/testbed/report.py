"""A page of results: tables by a template, charts by matplotlib, all in one file."""

import base64
from io import BytesIO
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
from jinja2 import Environment, PackageLoader, select_autoescape  # noqa: E402
from matplotlib import pyplot  # noqa: E402

BREAKS_MOST = 200  # lines of what broke
MAPS_MOST = 8  # plays whose work over time is drawn


def summary(results: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return a row for each day, rig and policy."""
    groups: dict[tuple[str, str, str], list[dict[str, Any]]] = {}
    for result in results:
        groups.setdefault((result["name"], result["rig"], result["policy"]), []).append(result)

    def mean(plays: list[dict[str, Any]], label: str) -> float:
        return sum(play["figures"][label] for play in plays) / len(plays)

    return [
        {
            "name": name,
            "rig": rig,
            "policy": policy,
            "plays": len(plays),
            "worth": mean(plays, "worth"),
            "uneven": mean(plays, "uneven"),
            "idle": mean(plays, "idle_while_queued"),
            "overfull": mean(plays, "overfull"),
            "wasted": mean(plays, "wasted"),
            "breaks": sum(rule["breaks"] for play in plays for rule in play["rules"]),
        }
        for (name, rig, policy), plays in sorted(groups.items())
    ]


def _chart(rows: list[dict[str, Any]], label: str, title: str) -> dict[str, str]:
    """Return bars of one figure: days side by side, a colour for each rig and policy."""
    names = sorted({row["name"] for row in rows})
    sorts = sorted({(row["rig"], row["policy"]) for row in rows})
    width = 0.8 / max(1, len(sorts))
    figure, axes = pyplot.subplots(figsize=(10.0, 3.6))
    for place, sort in enumerate(sorts):
        values = {row["name"]: row[label] for row in rows if (row["rig"], row["policy"]) == sort}
        at = [i + place * width for i, name in enumerate(names) if name in values]
        axes.bar(at, [values[name] for name in names if name in values], width, label=", ".join(sort))
    axes.set_xticks([i + 0.4 - width / 2 for i in range(len(names))], names)
    axes.set_ylabel(title)
    axes.legend(fontsize=8, ncols=4)
    return _image(figure, title)


def _map(result: dict[str, Any]) -> dict[str, str]:
    """Return work over time, a row for each executor's life: where all send at once, it shows."""
    work = result["figures"]["work"]
    title = f"Threads a core: {result['name']} ({result['rig']}), {result['policy']}, seed {result['seed']}"
    figure, axes = pyplot.subplots(figsize=(10.0, 0.6 + 0.12 * len(work)))
    image = axes.imshow(list(work.values()), aspect="auto", vmin=0.0, vmax=4.0, cmap="viridis")
    axes.set_xlabel("s")
    axes.set_ylabel("executors")
    figure.colorbar(image)
    return _image(figure, title)


def _image(figure: Any, title: str) -> dict[str, str]:
    data = BytesIO()
    figure.savefig(data, format="png", dpi=110, bbox_inches="tight", metadata={"Software": None})
    pyplot.close(figure)
    return {"title": title, "data": base64.b64encode(data.getvalue()).decode("ascii")}


def write_report(results: list[dict[str, Any]], path: Path) -> None:
    """Write the page."""
    rows = summary(results)
    charts = [
        _chart(rows, label, title)
        for label, title in (
            ("worth", "Share of the worth served"),
            ("uneven", "Variation of work over executors"),
            ("idle", "Idle while another queues"),
            ("wasted", "Work wasted"),
        )
    ]
    drawn = [result for result in results if result["figures"].get("work")]  # older results have none
    charts += [_map(result) for result in drawn[:MAPS_MOST]]
    breaks = [
        f"{result['name']}, {result['policy']}, seed {result['seed']}: {text}"
        for result in results
        for text in [
            *result["broke"],
            *(f"{rule['rule']}: {first}" for rule in result["rules"] for first in rule["first"]),
        ]
    ][:BREAKS_MOST]
    environment = Environment(loader=PackageLoader("fennelwind.testbed"), autoescape=select_autoescape())
    page = environment.get_template("report.html").render(
        results=results, summary=rows, charts=charts, breaks=breaks
    )
    path.write_text(page, encoding="utf-8")
