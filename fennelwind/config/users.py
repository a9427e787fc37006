"""The file of users: protobuf text, `users { name: "ann" hash: "$argon2id$..." classes: "lookup" }`."""

from dataclasses import dataclass
from pathlib import Path

from google.protobuf import text_format

from fennelwind.config import settings_pb2 as pb
from fennelwind.errors import FennelwindError


@dataclass(slots=True, frozen=True)
class User:
    """A user; without classes any may be run."""

    name: str
    hash: str
    classes: frozenset[str]


class UsersError(FennelwindError):
    """A file of users that can't be used; the text says why and where."""

    code = "users-unusable"
    advice = (
        "Mend the file of users at the place that is named and send SIGHUP; until then the users "
        "are as before. `fennelwind password` makes a hash."
    )


def load_users(path: str | Path, classes: list[str]) -> dict[str, User]:
    """Read users by name. Raises `UsersError`, which never holds a hash, and `OSError`."""
    message, users = pb.Users(), {}
    try:
        text_format.Parse(Path(path).read_text(encoding="utf-8"), message)
    except text_format.ParseError as exc:
        raise UsersError(f"{path}:{exc.GetLine()}:{exc.GetColumn()}: no file of users") from None
    except UnicodeDecodeError:
        raise UsersError(f"{path}: bytes that are not UTF-8") from None
    for i, user in enumerate(message.users):
        if not user.name:
            raise UsersError(f"{path}: user {i + 1} has no name")
        if user.name in users:
            raise UsersError(f"{path}: {user.name} is named twice")
        if not user.hash.startswith("$argon2id$"):
            raise UsersError(f"{path}: {user.name}: hash: no Argon2id hash; `fennelwind password` makes one")
        for name in user.classes:
            if name not in classes:
                raise UsersError(f"{path}: {user.name}: classes: no class {name!r}")
        users[user.name] = User(user.name, user.hash, frozenset(user.classes))
    if not users:
        raise UsersError(f"{path}: no users")
    return users
