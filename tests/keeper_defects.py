"""Defects planted into what carries the council out, and after how many seeds of chaos each is found.

`python tests/keeper_defects.py 60` plants each in turn and plays up to so many seeds.
"""

import sys
from contextlib import ExitStack, suppress
from unittest.mock import patch

from council_chaos import FAULTS, Chaos

from fennelwind.council.interface import Life, Written
from fennelwind.council.record import Record
from fennelwind.errors import FennelwindError
from fennelwind.keeper.asker import Asker, Result
from fennelwind.keeper.folder import Folder
from fennelwind.keeper.member import Member
from fennelwind.keeper.state import State
from fennelwind.keeper.tasks import Acting
from fennelwind.leases.guard import Fenced, Guard
from fennelwind.loop.simdisk import SimDisk


def acknowledged_before_sync():
    """`Written` is told before the store has written."""
    def write(self):
        while True:
            while not self._writes:
                self._ink.wait()
            writes = [self._writes.popleft() for _ in range(len(self._writes))]
            self.post(Written(writes[-1].number))
            try:
                self.store.write(writes)
            except FennelwindError:
                self._write_again(False)

    return [patch.object(Member, "_write", write)]


def syncs_do_nothing():
    """The disk says that it has synced, and has not."""
    return [patch.object(SimDisk, "sync", lambda self, name: None)]


def failed_writes_count():
    """A write that failed is told as done."""
    def write(self):
        while True:
            while not self._writes:
                self._ink.wait()
            writes = [self._writes.popleft() for _ in range(len(self._writes))]
            with suppress(FennelwindError):
                self.store.write(writes)
            self.post(Written(writes[-1].number))

    return [patch.object(Member, "_write", write)]


def reads_are_not_confirmed():
    """A read is answered from what the member has, whoever leads."""
    whole = Member._look

    def look(self, caller, token, view):
        view.fresh = False
        whole(self, caller, token, view)

    return [patch.object(Member, "_look", look)]


def answers_are_not_kept():
    """A command that is asked again, as its answer was lost, is done again."""
    whole = Record._command

    def command(self, at, command):
        client = self._clients.get(command.client)
        if client is not None:
            client.kept.clear()
        return whole(self, at, command)

    return [patch.object(Record, "_command", command)]


def unknown_is_told_as_not_done():
    """A command whose outcome nobody told is said to be refused."""
    whole = Asker._command

    def command(self, command, until):
        return whole(self, command, until)[0], False

    return [patch.object(Asker, "_command", command)]


def a_deposed_leaders_unknown_is_told_as_refused():
    """What a member can't tell any more is answered as if it had never been entered."""
    whole = Member._propose

    def propose(self, command, tell):
        def told(result):
            if result.refusal == Result.UNKNOWN:
                result = Result(refusal=Result.TOO_LARGE)
            tell(result)

        whole(self, command, told)

    return [patch.object(Member, "_propose", propose)]


def a_snapshot_forgets_clients():
    """Commands that were done are done again after a snapshot was taken over or read."""
    whole = Record.restore

    def restore(self, data):
        whole(self, data)
        for client in self._clients.values():
            client.kept.clear()

    return [patch.object(Record, "restore", restore)]


def an_entry_is_left_out():
    """One entry in forty is counted and not applied."""
    whole = State._apply

    def apply(self, entries):
        self.left = getattr(self, "left", 0) + 1
        if self.left % 40 == 0 and entries[0].index == self.record.index + 1:
            self.record.index = entries[0].index
            entries = entries[1:]
        whole(self, entries)

    return [patch.object(State, "_apply", apply)]


def a_lost_folder_votes_as_who_it_was():
    """A folder made anew gets the life of the one that was lost."""
    whole = Folder.__init__

    def made(self, disk, fleet, name, token, *more):
        whole(self, disk, fleet, name, lambda size: name.encode().ljust(size), *more)

    return [patch.object(Folder, "__init__", made)]


def lives_are_not_told_apart():
    """A message counts as its name's latest known life's, whoever sent it."""
    whole = Member.received

    def received(self, sender, message):
        lives = [m.life for m in self.core.log.config.members.members if m.name == sender.name]
        whole(self, Life(sender.name, lives[0] if lives else sender.life), message)

    return [patch.object(Member, "received", received)]


def resource_takes_any_fence():
    """An act of an older fence is not refused."""
    return [patch.object(Fenced, "show", lambda self, task, fence: None)]


def acts_are_not_guarded():
    """Neither the guard nor the fence is looked at: an act goes on after its lease, and is taken."""
    return [patch.object(Guard, "may_go_on", lambda self, now, act: True),
            patch.object(Acting, "check", lambda self: None),
            patch.object(Fenced, "show", lambda self, task, fence: None)]


acknowledged_before_sync.faults = ("all", "all", "power")  # it shows where a majority loses power together
a_lost_folder_votes_as_who_it_was.faults = lives_are_not_told_apart.faults = ("lost", "cut", "stop", "power")
answers_are_not_kept.faults = ("stop", "cut", "kill")
resource_takes_any_fence.faults = acts_are_not_guarded.faults = ("stop",)
failed_writes_count.faults = ("sync", "full", "sync", "full", "all")

DEFECTS = [acknowledged_before_sync, syncs_do_nothing, failed_writes_count, reads_are_not_confirmed,
           answers_are_not_kept, unknown_is_told_as_not_done,
           a_deposed_leaders_unknown_is_told_as_refused, a_snapshot_forgets_clients,
           an_entry_is_left_out, a_lost_folder_votes_as_who_it_was, lives_are_not_told_apart,
           resource_takes_any_fence, acts_are_not_guarded]


def found(defect, seeds):
    """Return the first seed that finds the defect and what it says; None: none did."""
    for seed in seeds:
        with ExitStack() as stack:
            for one in defect():
                stack.enter_context(one)
            wrong = Chaos(seed, 3 if seed % 4 else 5, faults=getattr(defect, "faults", FAULTS)).play()
        if wrong:
            return seed, wrong[0]
    return None


def main():
    """Plant each, or those that are named; print the table."""
    most = int(sys.argv[1])
    print("| planted | found by seed | how |\n| --- | --- | --- |")
    for defect in [one for one in DEFECTS if one.__name__ in sys.argv[2:]] or DEFECTS:
        told = found(defect, range(most))
        what = "not found" if told is None else told[1].split("(")[0][:60].replace("|", " ")
        seed = f"none of {most}" if told is None else told[0]
        print(f"| {defect.__doc__} | {seed} | {what} |", flush=True)


if __name__ == "__main__":
    main()
