"""Sampled ends of service on real processes; clients use their connections until the earliest SIGKILL.

.venv/bin/python tests/support/shutdown_soak.py FIRST LAST [AT_ONCE]
"""

import search_paths  # noqa: F401 - for a play that is run by hand

# isort: split

import signal
import socket
import sys
import tempfile
import threading
import time
from concurrent.futures import ProcessPoolExecutor
from contextlib import suppress
from itertools import pairwise
from pathlib import Path
from random import Random

from nodes import SETTINGS, instance, query_id
from processes import (
    DEADLINE_SLACK_S,
    LEFT_S,
    Controller,
    SlowChannel,
    ThreadedClient,
    ThreadedExecutor,
    classes,
)

SLACK_S = 0.05  # protocol: by which every time limit of the rules is extended
CROSSED_S = 0.05  # protocol: a request that crosses a close by so much is sent again
OVERDUE_S = 0.5  # standing: an answer so much behind its time is lost
NEW_UNTIL_S = 0.2  # protocol: new connections arrive so long after SIGTERM at least
SHARE_OF_CLIENTS = 3  # protocol: clients hold a third of the descriptors at most


class SoakExecutor(ThreadedExecutor):
    """An executor that may be in trouble."""

    def __init__(self, random: Random) -> None:
        self.random, self.trouble = (
            random,
            random.choice(["", "", "slow", "hangs", "resets", "full", "forgets"]),
        )
        super().__init__(work_s=random.choice([0.0, 0.02, 0.1]) if self.trouble != "slow" else 3.0)
        self.serves = self.trouble != "hangs"

    def _answer(self, verb, path, fields):
        answer = super()._answer(verb, path, fields)
        if verb == "POST" and self.random.random() < 0.3:
            if self.trouble == "resets":
                raise OSError("reset")
            if self.trouble == "forgets":
                self.ends.pop(fields["X-Req"], None)
                return b"HTTP/1.1 500 Lost\r\nContent-Length: 0\r\n\r\n"
            if self.trouble == "full":
                self.ends.pop(fields["X-Req"], None)
                return b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
        return answer


class StallMeter:
    """How long threads of this process waited for their turn at most: its times may be so late."""

    def __init__(self) -> None:
        self.worst_s = 0.0
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while True:
            began = time.monotonic()
            time.sleep(0.005)
            self.worst_s = max(self.worst_s, time.monotonic() - began - 0.005)


class Soak:
    """One end of service."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.random = random = Random(f"shutdown soak {seed}")
        self.longest_ms = random.choice([300.0, 900.0, 2000.0, 3000.0, 6000.0])
        self.crowd = random.random() < 0.3
        self.executors = [SoakExecutor(random) for _ in range(random.randint(1, 4))]
        self.ceilings = SETTINGS["Ceilings"] | {
            "Cancel": random.random() < 0.7,
            "ParallelTries": random.random() < 0.5,
            "MaxAttempts": random.choice([1, 2, 3]),
        }
        self.keyed = {
            "Effect": "by_key",
            "Group": random.choice(["all", "zone", "cell"]),
            "MemorySpanMs": 400.0,
        }
        grades = classes(GiveUpMs=self.longest_ms)
        grades[1] |= self.keyed
        self.grace_s, self.drained = random.choice([0.0, 0.3]), {}  # when each executor was told to drain
        rules = SETTINGS["Rules"] | {"DrainGraceMs": 1000.0 * self.grace_s}
        self.budget = random.choice([{}, {"ExtraFloor": 1.0, "FurtherRatio": 0.1, "LookBackMs": 500.0}])
        rules |= self.budget
        self.channel = SlowChannel(lambda number: 0.0)
        self.instances = [
            instance(f"s-{k}", k)
            | {"hostPort": each.address, "zone": random.choice(["east", "west"]), "cell": random.randrange(2)}
            for k, each in enumerate(self.executors, 1)
        ]
        self.controller = Controller(
            folder,
            self.executors,
            instances=self.instances,
            channel=self.channel.address,
            Grades=grades,
            Ceilings=self.ceilings,
            Rules=rules,
            sockets=256,
        )
        self.clients: list[ThreadedClient] = []
        self.left: dict[str, float] = {}  # when a request was withdrawn, by its id
        self.lock, self.count = threading.Lock(), 0
        self.ended, self.meter = False, StallMeter()
        self.told_at = self.killed_at = float("inf")

    def run(self) -> list[str]:
        """Play it; return what broke."""
        try:
            if self.crowd:
                idle = [ThreadedClient(self.controller) for _ in range(256 // SHARE_OF_CLIENTS - 12)]
            threads = [
                threading.Thread(target=self._client, args=(Random(f"{self.random.random()}"),), daemon=True)
                for _ in range(self.random.randint(4, 12))
            ]
            for thread in threads:
                thread.start()
            drains = threading.Timer(self.random.uniform(0.0, 1.5), self._drain)
            drains.start()
            time.sleep(self.random.uniform(0.3, 1.2))
            self._signals()
            drains.join()
            self.ended = True
            for thread in threads:
                thread.join(10.0)
            time.sleep(0.1)
            for client in idle if self.crowd else ():
                client.close()
            broke = list(self._judge())
            if broke:
                closed = [line.strip() for line in self.controller.lines if line.startswith("closed")]
                broke.append(f"own threads late by {self.meter.worst_s:.3f} s at most; {closed}")
            return broke
        finally:
            self.controller.end()

    def _drain(self) -> None:
        """Tell of the end of an executor, in one of the forms that the protocol has for it."""
        number = self.random.randrange(len(self.executors))
        state = self.random.choice(["terminating", "terminated"])
        self.channel.tell(2, self.instances[number] | {"lifecycle": state})
        self.drained[self.executors[number]] = time.monotonic()

    def _signals(self) -> None:
        random, controller = self.random, self.controller
        for _ in range(random.choice([0, 0, 2, 5])):
            controller.signal(signal.SIGHUP)
            time.sleep(random.choice([0.0, 0.01, 0.2]))
        self.told_at = controller.signal(signal.SIGTERM)
        self.killed_at = self.told_at + controller.killed_after_s(self.longest_ms)
        for _ in range(random.choice([0, 1, 4])):
            time.sleep(random.uniform(0.0, 0.3))
            with suppress(ProcessLookupError):
                controller.signal(random.choice([signal.SIGTERM, signal.SIGINT, signal.SIGHUP]))
        while time.monotonic() < self.killed_at and controller.process.poll() is None:
            time.sleep(0.005)
        controller.process.kill()
        controller.process.wait()

    def _client(self, random: Random) -> None:
        client = None
        while not self.ended:
            try:
                if client is None:
                    if time.monotonic() > self.told_at + NEW_UNTIL_S:
                        return
                    client = ThreadedClient(self.controller)
                    self.clients.append(client)
                self._ask(client, random)
            except OSError:
                client = None
                time.sleep(0.01)

    def _ask(self, client: ThreadedClient, random: Random) -> None:
        asked = []
        for _ in range(random.choice([1, 1, 1, 3, 8])):
            with self.lock:
                self.count += 1
                query = query_id(self.count)
            cls = random.choice(["lookup", "scene-build", "publish"])
            asked.append(client.send_request(query, cls, random.uniform(0.3, 1.0) * self.longest_ms))
        if random.random() < 0.1:
            time.sleep(random.uniform(0.0, 0.1))
            number = random.choice(list(client.requests))
            client.forget(number)
            self.left[client.requests[number].query] = time.monotonic()
        if random.random() < 0.05:
            now = time.monotonic()
            self.left |= {each.query: now for each in client.requests.values() if not each.answers}
            client.close(random.random() < 0.5)
            raise OSError("left")
        while not self.ended and client.ended_at is None:
            if all(each.answers or each.query in self.left for each in asked):
                break
            time.sleep(0.005)
        if client.ended_at is not None:
            raise OSError("ended")
        time.sleep(random.choice([0.0, 0.02, 0.3, 1.0]))

    def _judge(self):
        posts: dict[str, list] = {}
        for executor in self.executors:
            for post in executor.posts:
                posts.setdefault(post.query, []).append(post)
        if self.controller.process.returncode not in (0, -signal.SIGKILL):
            yield f"ended with {self.controller.process.returncode}"
        self.error_s = self.meter.worst_s
        if self.budget:
            yield from self._judge_budget(posts)
        for client in self.clients:
            for number, request in client.requests.items():
                yield from self._judge_one(client, number, request, posts.get(request.query, []))

    def _judge_budget(self, posts):
        """Judge the further attempts of any window against the requests taken in it."""
        window_s, slack = self.budget["LookBackMs"] / 1000.0, SLACK_S + self.error_s
        taken = [one.sent_at for client in self.clients for one in client.requests.values()]
        further = sorted(
            post.whole_at
            for each in posts.values()
            for post in sorted(each, key=lambda post: post.whole_at)[1:]
        )
        for at in further:
            many = sum(at - window_s + slack <= other <= at for other in further)
            of = sum(at - window_s - slack <= sent <= at + slack for sent in taken)
            if many > self.budget["ExtraFloor"] + self.budget["FurtherRatio"] * of:
                yield f"{many} further attempts in a window of {of} requests"

    def _judge_rules(self, said, request, posts):
        """Judge the attempts of one request against each other, and against its class."""
        # In the order in which they left: the kernel's account of arrivals is some ms coarse.
        posts = sorted(posts, key=lambda post: -int(post.headers["X-Wait-Ms"]))
        slack = SLACK_S + self.error_s
        once, keyed = request.cls == "publish", request.cls == "scene-build"
        if len(posts) > self.ceilings["MaxAttempts"]:
            yield f"{said}: {len(posts)} attempts"
        for before, post in pairwise(posts):
            if not self.ceilings["ParallelTries"] and post.whole_at < before.out_until() - slack:
                yield f"{said}: two attempts out, {before.out_until() - post.whole_at:.3f} s"
        for post in posts:
            if post.whole_at > self.drained.get(post.executor, float("inf")) + self.grace_s + slack:
                yield f"{said}: sent to one that was told to drain"
        doubt = next((post for post in posts if not post.never_ran), None)
        later = posts[posts.index(doubt) + 1 :] if doubt is not None else []
        if once and later:
            yield f"{said}: sent again though it may have run"
        for post in later if keyed else ():
            if post.whole_at > doubt.whole_at + self.keyed["MemorySpanMs"] / 1000.0 + slack:
                yield f"{said}: sent again after its repeats are forgotten"
            group = self.keyed["Group"]
            if group != "all" and self._place(post, group) != self._place(doubt, group):
                yield f"{said}: sent again in another {group}"
        refused = request.answers and request.answers[0][1] and request.answers[0][1][0] == "Shed"
        if refused and doubt is not None and (once or keyed and self.keyed["Group"] != "all"):
            yield f"{said}: refused though it may have run"

    def _place(self, post, group):
        told = self.instances[self.executors.index(post.executor)]
        return told["zone"], told["cell"] if group == "cell" else None

    def _judge_one(self, client, number, request, posts):
        said = f"{request.query} sent {request.sent_at - self.told_at:+.3f} s from SIGTERM"
        yield from self._judge_rules(said, request, posts)
        left = self.left.get(request.query)
        due = request.sent_at + request.wait_s
        if len(request.answers) > 1:
            yield f"{said}: {len(request.answers)} answers"
        if not request.answers and left is None:
            ended = client.ended_at or self.killed_at
            crossed = request.sent_at >= ended - CROSSED_S - self.error_s and not posts
            shut_unread = self.crowd and number == 1 and not posts
            if not (crossed or shut_unread):
                yield f"{said}: no answer; closed at {ended - self.told_at:+.3f} s, {len(posts)} attempts"
        if request.answers and left is None and request.answers[0][0] > due + OVERDUE_S + self.error_s:
            yield f"{said}: answer {request.answers[0][0] - due:.3f} s behind its time"
        for post in posts:
            if left is not None and post.whole_at > left + LEFT_S + self.error_s:
                yield f"{said}: an attempt began {post.whole_at - left:.3f} s after its client left"
            told = int(post.headers["X-Wait-Ms"]) / 1000.0
            if told > due - post.whole_at + DEADLINE_SLACK_S + self.error_s:
                yield f"{said}: told {told:.3f} s with {due - post.whole_at:.3f} s left"


def play(seed: int) -> list[str]:
    """Play the end of service of a seed; return what broke."""
    with tempfile.TemporaryDirectory() as folder:
        return Soak(seed, Path(folder)).run()


if __name__ == "__main__":
    first, last = int(sys.argv[1]), int(sys.argv[2])
    socket.setdefaulttimeout(30.0)
    with ProcessPoolExecutor(int(sys.argv[3]) if len(sys.argv) > 3 else 2) as pool:
        for seed, broke in zip(range(first, last), pool.map(play, range(first, last)), strict=True):
            print(seed, broke or "holds", flush=True)
