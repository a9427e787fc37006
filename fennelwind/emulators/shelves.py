"""An engine's disk as moves of shards see it: partitions with bytes, spills, a fence, tasks that take time.

No I/O and no clock. `begin` reads a statement and says how many bytes it carries; `end` carries it out. A
load that breaks off, or finds the disk full, leaves a part. An older fence than the newest seen is refused.
"""

import re
from dataclasses import dataclass, field

NAME, TEXT = r"`((?:[^`]|``)+(?:`\.`(?:[^`]|``)+)*)`", r"'((?:[^'\\]|\\.)*)'"
SPEC = r"(?: PARTITION \((.*?)\))?"
SUM = (
    r"CAST\(COUNT\(\*\) AS STRING\), "
    r"CAST\(COALESCE\(SUM\(CAST\(HASH\(\*\) AS BIGINT\)\), 0\) AS STRING\)"
)
FORMS = {
    kind: re.compile(form, re.DOTALL)
    for kind, form in {
        "export": rf"EXPORT TABLE {NAME}{SPEC} TO {TEXT}",
        "import": rf"IMPORT TABLE {NAME}{SPEC} FROM {TEXT}",
        "drop": rf"ALTER TABLE {NAME} DROP IF EXISTS{SPEC} PURGE",
        "drop table": rf"DROP TABLE IF EXISTS {NAME} PURGE",
        "check": rf"SELECT {SUM} FROM {NAME}(?: WHERE (.*))?",
        "list": rf"SHOW PARTITIONS {NAME}",
        "list whole": rf"SHOW TABLES(?: IN {NAME})? LIKE {TEXT}",
        "read mark": rf"SELECT mark FROM {NAME} LIMIT 1",
        "make mark": rf"CREATE TABLE IF NOT EXISTS {NAME} \(mark STRING\)",
        "write mark": rf"INSERT INTO TABLE {NAME} VALUES \({TEXT}\)",
    }.items()
}
PAIR = re.compile(rf"`((?:[^`]|``)+)`={TEXT}")
FENCE = "fennelwind.fence"


class Refused(Exception):
    """The engine's word on a statement, with its SQLSTATE."""

    def __init__(self, text: str, state: str) -> None:
        super().__init__(text)
        self.state = state


@dataclass(slots=True, frozen=True)
class Content:
    """What a copy holds."""

    rows: int
    checksum: int
    size: int


@dataclass(slots=True, eq=False)
class Task:
    """A statement that runs."""

    kind: str
    shard: str
    path: str = ""
    size: int = 0  # bytes that it has to carry


@dataclass(slots=True)
class Shelf:
    """One engine's disk; `staging` is the store that all engines reach."""

    disk: int
    staging: dict[str, Content]
    held: dict[str, Content] = field(default_factory=dict)
    spilled: int = 0
    mark: str = ""
    ms_per_byte: float = 0.0  # that a copy takes on a whole engine
    fence: int = 0
    loads: int = 0  # copies read in, whole
    refused: int = 0  # statements with an older fence

    @property
    def free(self) -> int:
        """Bytes that nothing takes."""
        return self.disk - self.spilled - sum(content.size for content in self.held.values())

    def begin(self, statement: str, overlay: dict[str, str]) -> Task:
        """Take a statement. Raises `Refused`."""
        fence = int(overlay.get(FENCE, "moves:0").removeprefix("moves:"))
        if fence < self.fence:
            self.refused += 1
            raise Refused(f"fence {fence}, where {self.fence} was seen", "55000")
        self.fence = fence
        task = self.read(statement)
        if task.kind == "export":
            if task.shard not in self.held:
                raise Refused("no such partition", "42S02")
            task.size = self.held[task.shard].size
        elif task.kind == "import":
            if task.path not in self.staging:
                raise Refused("nothing to import", "42000")
            if task.shard in self.held:
                raise Refused("the partition exists already", "42000")
            task.size = self.staging[task.path].size
            self._take(task.shard, Content(0, 0, task.size // 2))
        return task

    def end(self, task: Task) -> Content | None:
        """Carry a statement out; a check's figures come back. Raises `Refused`."""
        there = self.held.get(task.shard)
        if task.kind == "write mark":
            self.mark = task.path
        if "mark" in task.kind or "list" in task.kind:
            return None
        if task.kind == "check":
            return there or Content(0, 0, 0)
        if task.kind in ("drop", "drop table"):
            self.held.pop(task.shard, None)
        elif task.kind == "export":
            if there is None or task.path in self.staging:
                raise Refused("the partition is gone, or the folder is not empty", "42000")
            self.staging[task.path] = there
        elif there is None or there.rows:
            raise Refused("the partition was changed meanwhile", "42000")
        else:
            whole = self.staging[task.path]
            self._take(task.shard, whole, whole.size - there.size)
            self.loads += 1
        return None

    def run(self, task: Task) -> tuple[str, tuple[tuple[str, ...], ...]]:
        """Carry a statement out; return an SQLSTATE, "" if it went well, and rows of text."""
        try:
            content = self.end(task)
        except Refused as exc:
            return exc.state, ()
        table = task.shard.partition("/")[0]
        if task.kind == "read mark":
            return ("", ((self.mark,),)) if self.mark else ("42S02", ())
        if task.kind == "list":
            return "", tuple(
                (shard.partition("/")[2],) for shard in sorted(self.held) if shard.startswith(table + "/")
            )
        if task.kind == "list whole":
            whole = f"{table}.{task.path}/" if table else f"{task.path}/"
            return "", ((task.path,),) if whole in self.held else ()
        return "", ((str(content.rows), str(content.checksum)),) if content is not None else ()

    def whole(self, shard: str) -> bool:
        """Tell whether a copy of the shard is here, and not a part of one."""
        return shard in self.held and self.held[shard].rows > 0

    def knows(self, statement: str) -> bool:
        """Tell whether it is a statement of these."""
        return any(form.fullmatch(statement) for form in FORMS.values())

    def _take(self, shard: str, content: Content, more: int | None = None) -> None:
        if (content.size if more is None else more) > self.free:
            raise Refused("no space left on device", "58030")
        self.held[shard] = content

    def read(self, statement: str) -> Task:
        """Return what a statement asks for. Raises `Refused`."""
        for kind, form in FORMS.items():
            found = form.fullmatch(statement)
            if found is not None:
                table, spec, path = (*found.groups(), None, None)[:3]
                if kind in ("list whole", "write mark"):
                    path = spec
                pairs = [f"{_plain(column)}={_text(value)}" for column, value in PAIR.findall(spec or "")]
                return Task(kind, f"{_plain(table or '')}/" + "/".join(pairs), _text(path or ""))
        raise Refused(f"can't parse: {statement}", "42000")


def _plain(name: str) -> str:
    return name.replace("`.`", ".").replace("``", "`")


def _text(literal: str) -> str:
    return re.sub(r"\\(.)", r"\1", literal)
