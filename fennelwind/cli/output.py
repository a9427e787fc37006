"""How the command line shows things."""

from fennelwind.errors import FennelwindError


def table(rows: list[list[str]]) -> str:
    """Return rows as aligned columns, the first one to the left."""
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) if i == 0 else cell.rjust(width)
            for i, (cell, width) in enumerate(zip(row, widths, strict=True))
        ).rstrip()
        for row in rows
    )


def told(exc: FennelwindError) -> str:
    """Return an error with its code and what can be done."""
    return f"{exc}\n{exc.code}: {exc.advice}"
